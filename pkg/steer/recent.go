package steer

import (
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/member"
)

// leastShared is the size in tokens from which on a shared part is worth steering
// for: engines cache whole blocks of about that size.
const leastShared = 16

// sharedPart returns the prompt's last shared part, nil when nothing is shared that
// matters. Prompts that share a later part share what comes before it as well.
func sharedPart(req *Request) *Part {
	if !req.Route.SharedPrompts || len(req.Parts) < 2 {
		return nil
	}
	shared := &req.Parts[len(req.Parts)-2]
	if shared.Tokens < leastShared {
		return nil
	}
	return shared
}

// sharedTokens is the prompt without its last part, which is the request's own.
func sharedTokens(req *Request) int {
	total := 0
	for _, part := range req.Parts[:len(req.Parts)-1] {
		total += part.Tokens
	}
	return total
}

// favouriteOf returns the upstream to which a shared part is hashed, so that
// instances that know nothing of each other choose alike. That of one region is that
// of all regions together where it lies in that region.
func favouriteOf(shared *Part, upstreams []*fleet.Upstream) *fleet.Upstream {
	if shared == nil || len(upstreams) == 0 {
		return nil
	}
	names := make([]string, len(upstreams))
	for i, upstream := range upstreams {
		names[i] = upstream.ID
	}
	first := member.First(member.Key("prompt", shared.ID), names)
	return upstreams[first]
}

// favouriteRegion returns the region of the upstream to which a shared part is hashed
// among all that the request may go to; empty when there is none.
func (w *World) favouriteRegion(req *Request, shared *Part) string {
	var permitted []*fleet.Upstream
	for _, upstream := range w.Fleet.Service(req.Service.Name) {
		if w.Fleet.Usable(upstream) && req.Route.PermittedIn(upstream.Region) {
			permitted = append(permitted, upstream)
		}
	}
	if favourite := favouriteOf(shared, permitted); favourite != nil {
		return favourite.Region
	}
	return ""
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
	recentParts = 8192
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
