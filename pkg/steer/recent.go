package steer

import (
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/peer"
)

// Recent remembers where prompt parts were sent lately, by this instance and, as far as
// they told, by others. It is safe for concurrent use; its size is bounded.
type Recent struct {
	mu    sync.Mutex
	parts map[string]map[string]time.Time
	// told holds this instance's own placements of large parts, oldest first.
	told []placed
}

type placed struct {
	peer.Placement
	at time.Time
}

// Bounds of what is remembered.
const (
	// recentParts is how many parts are remembered; each costs about 200 bytes.
	recentParts = 8192
	// heldFor is how long an upstream is taken to hold a part that nobody used since.
	heldFor = 20 * time.Second
	// leastTold is the size in tokens from which on a placement is told to others: less
	// is read sooner than told.
	leastTold = 1000
	// toldFor is for how long it is told: a few rounds, so that a lost one does no harm.
	toldFor = 2 * time.Second
	// mostTold bounds what is told at once.
	mostTold = 64
)

// NewRecent returns an empty memory.
func NewRecent() *Recent { return &Recent{parts: make(map[string]map[string]time.Time)} }

// Held says whether the upstream is taken to hold the part.
func (r *Recent) Held(part, upstream string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.parts[part][upstream]
	return ok && now.Sub(at) < heldFor
}

// Holders returns the upstreams, and regions to which this instance has sent it, that
// are taken to hold the part.
func (r *Recent) Holders(part string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, at := range r.parts[part] {
		if now.Sub(at) < heldFor {
			names = append(names, name)
		}
	}
	return names
}

// Add notes that this instance has sent the parts to the upstream.
func (r *Recent) Add(parts []Segment, upstream string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, part := range parts {
		if part.Tokens < leastShared {
			continue
		}
		r.note(part.ID, upstream, now)
		// The last part is the request's own: nobody else will ask for it.
		if part.Tokens >= leastTold && i < len(parts)-1 {
			r.told = append(r.told, placed{peer.Placement{Part: part.ID, Upstream: upstream}, now})
		}
	}
}

// Sent notes that this instance has sent the parts to another region, whose instances
// tell of the upstream.
func (r *Recent) Sent(parts []Segment, region string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		if part.Tokens >= leastTold {
			r.note(part.ID, region, now)
		}
	}
}

// Learn notes a placement by another instance.
func (r *Recent) Learn(placement peer.Placement, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.parts[placement.Part][placement.Upstream]) {
		r.note(placement.Part, placement.Upstream, at)
	}
}

// Told returns this instance's own placements that others should know of.
func (r *Recent) Told(now time.Time) []peer.Placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := 0
	for old < len(r.told) && (now.Sub(r.told[old].at) > toldFor || len(r.told)-old > mostTold) {
		old++
	}
	r.told = append(r.told[:0], r.told[old:]...)
	told := make([]peer.Placement, len(r.told))
	for i := range r.told {
		told[i] = r.told[i].Placement
	}
	return told
}

// note records a placement. The caller holds r.mu.
func (r *Recent) note(part, upstream string, at time.Time) {
	held := r.parts[part]
	if held == nil {
		r.shrink(at)
		held = make(map[string]time.Time, 1)
		r.parts[part] = held
	}
	held[upstream] = at
}

// shrink makes room for one more part.
func (r *Recent) shrink(now time.Time) {
	if len(r.parts) < recentParts {
		return
	}
	for part, at := range r.parts {
		for upstream, used := range at {
			if now.Sub(used) >= heldFor {
				delete(at, upstream)
			}
		}
		if len(at) == 0 {
			delete(r.parts, part)
		}
	}
	for part := range r.parts {
		if len(r.parts) < recentParts {
			return
		}
		delete(r.parts, part)
	}
}
