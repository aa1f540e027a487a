package steer

import (
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/member"
)

// leastShared is the size in tokens from which on a shared part is worth steering
// for: reading it takes longer than an uneven load costs.
const leastShared = 500

// favouriteOf returns the upstream to which the request's first part is hashed, so
// that instances that know nothing of each other choose alike; empty when the part
// is too small to matter.
func favouriteOf(req *Request, upstreams []*fleet.Upstream) string {
	if !req.Route.SharedPrompts || len(req.Parts) < 2 || req.Parts[0].Tokens < leastShared {
		return ""
	}
	names := make([]string, len(upstreams))
	for i, upstream := range upstreams {
		names[i] = upstream.ID
	}
	if len(names) == 0 {
		return ""
	}
	return member.Rank(member.Key("prompt", req.Parts[0].ID), names)[0]
}

// Recent remembers where prompt parts were sent lately. It is safe for concurrent
// use; its size is bounded.
type Recent struct {
	mu    sync.Mutex
	parts map[string]map[string]time.Time
}

// Bounds of what is remembered.
const (
	// recentParts is how many parts are remembered; each costs about 200 bytes.
	recentParts = 4096
	// heldFor is how long an upstream is taken to hold a part that nobody used since.
	heldFor = 20 * time.Second
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

// Add notes that the parts were read at the upstream.
func (r *Recent) Add(parts []Part, upstream string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		if part.Tokens < leastShared {
			continue
		}
		at := r.parts[part.ID]
		if at == nil {
			r.shrink(now)
			at = make(map[string]time.Time, 1)
			r.parts[part.ID] = at
		}
		at[upstream] = now
	}
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
