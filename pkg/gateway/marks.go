package gateway

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// markLife is how much later than a leaving mark a report must have been made to
// lift it: reports lag.
const markLife = 5 * time.Second

// leavingMarks holds the upstreams that said themselves that they are leaving.
// Reads take no lock. The zero value is ready for use.
type leavingMarks struct {
	mu    sync.Mutex
	since atomic.Pointer[map[string]time.Time]
}

// mark notes that an upstream said that it is leaving.
func (m *leavingMarks) mark(upstream string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]time.Time)
	if present := m.since.Load(); present != nil {
		maps.Copy(next, *present)
	}
	next[upstream] = now
	m.since.Store(&next)
}

// marked says whether an upstream gets no new work.
func (m *leavingMarks) marked(upstream string) bool {
	present := m.since.Load()
	if present == nil {
		return false
	}
	_, ok := (*present)[upstream]
	return ok
}

// names lists the marked upstreams.
func (m *leavingMarks) names() []string {
	present := m.since.Load()
	if present == nil {
		return nil
	}
	names := make([]string, 0, len(*present))
	for name := range *present {
		names = append(names, name)
	}
	return names
}

// review lifts the marks of upstreams that reported well after they had said
// that they were leaving that they are live: they came back. The state joins all
// marks, this one too, so the upstream's own report counts.
func (m *leavingMarks) review(upstreams *board.Upstreams) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := m.since.Load()
	if present == nil {
		return
	}
	next := maps.Clone(*present)
	maps.DeleteFunc(next, func(name string, since time.Time) bool {
		load, ok := upstreams.ByName[name]
		live := load.State == board.UpstreamLive || load.Marked
		return ok && live && load.ReportedAt.After(since.Add(markLife))
	})
	m.since.Store(&next)
}
