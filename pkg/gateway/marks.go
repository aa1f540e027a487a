package gateway

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// markClearDelay is the time by which a report must be later than a leaving mark to
// clear it, because reports lag.
const markClearDelay = 5 * time.Second

// leavingMarks holds the upstreams that reported that they are leaving. Reads take
// no lock. The zero value is ready for use.
type leavingMarks struct {
	mu    sync.Mutex
	since atomic.Pointer[map[string]time.Time]
}

// mark records that an upstream reported that it is leaving.
func (m *leavingMarks) mark(upstream string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]time.Time)
	if current := m.since.Load(); current != nil {
		maps.Copy(next, *current)
	}
	next[upstream] = now
	m.since.Store(&next)
}

// marked reports whether an upstream is leaving and gets no new work.
func (m *leavingMarks) marked(upstream string) bool {
	current := m.since.Load()
	if current == nil {
		return false
	}
	_, ok := (*current)[upstream]
	return ok
}

// names returns the marked upstreams.
func (m *leavingMarks) names() []string {
	current := m.since.Load()
	if current == nil {
		return nil
	}
	names := make([]string, 0, len(*current))
	for name := range *current {
		names = append(names, name)
	}
	return names
}

// clearReported clears the marks of upstreams that reported themselves live more
// than markClearDelay after they were marked. The domain's state merges all marks,
// this gateway's included, so the upstream's own report decides.
func (m *leavingMarks) clearReported(upstreams *board.Upstreams) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.since.Load()
	if current == nil {
		return
	}
	next := maps.Clone(*current)
	maps.DeleteFunc(next, func(name string, since time.Time) bool {
		load, ok := upstreams.ByName[name]
		live := load.State == board.UpstreamLive || load.Marked
		return ok && live && load.ReportedAt.After(since.Add(markClearDelay))
	})
	m.since.Store(&next)
}
