package steer

import (
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/peer"
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

// sharing is where the shared parts of one request's prompt are thought to be.
type sharing struct {
	// tokens is the size of the shared parts; zero: nothing is shared that matters.
	tokens int
	// holders are the upstreams that were sent the parts lately, holder the one that
	// others should copy from: one of these, else the one to which the parts are hashed.
	holders map[string]bool
	holder  *fleet.Upstream
	// trust is how likely the holder holds them.
	trust float64
	// copies is true when engines can copy from each other.
	copies bool
}

// sharing looks for the request's shared parts among the upstreams of the region.
func (w *World) sharing(req *Request, upstreams []*fleet.Upstream) sharing {
	part := sharedPart(req)
	if part == nil {
		return sharing{}
	}
	s := sharing{tokens: sharedTokens(req), holders: make(map[string]bool), copies: req.Service.Engine != nil && req.Service.Engine.Copies}
	favourite := favouriteOf(part, upstreams)
	for _, upstream := range upstreams {
		if w.Recent.Held(part.ID, upstream.ID, w.Now) {
			s.holders[upstream.ID] = true
			if s.holder == nil || upstream == favourite {
				s.holder = upstream
			}
		}
	}
	s.trust = 1
	if s.holder == nil {
		s.holder, s.trust = favourite, remoteAffinity
		if !worthTheWay(s.tokens) || w.favouriteRegion(req, part) == w.Region {
			s.trust = affinity
		}
	}
	if s.holder != nil && !w.Fleet.Usable(s.holder) {
		s.holder = nil
	}
	return s
}

// worthTheWay says whether shared parts of that size are gathered in one region, since
// reading them costs more than the way there. Smaller ones are gathered in each.
func worthTheWay(tokens int) bool {
	return cachedWeight*affinity*float64(tokens) > wayTokens+farMargin
}

// known says whether the holder was sent the parts, as opposed to being where they would
// be gathered.
func (s *sharing) known() bool { return s.trust == 1 }

// held estimates how many of the shared tokens the upstream holds.
func (s *sharing) held(upstream *fleet.Upstream) int {
	switch {
	case s.tokens == 0:
		return 0
	case s.holders[upstream.ID]:
		return s.tokens
	case s.holder == upstream:
		return int(s.trust * float64(s.tokens))
	default:
		return 0
	}
}

// copied is how many tokens the upstream should copy from the holder.
func (s *sharing) copied(upstream *fleet.Upstream) int {
	if !s.copies || s.holder == nil || s.holder == upstream || s.holders[upstream.ID] || s.tokens < leastCopied {
		return 0
	}
	return s.tokens
}

// leastCopied is the size in tokens from which on copying is worth setting up, which
// takes about 3 ms: the time of reading that many.
const leastCopied = 256

// favouriteRegion returns the region of the upstream to which a shared part is hashed
// among all that the request may go to; empty when there is none.
func (w *World) favouriteRegion(req *Request, shared *Part) string {
	key := gathering{service: req.Service.Name, route: req.Route, part: shared.ID}
	if w.gathered.gathering != key {
		w.gathered = gathered{key, w.hashedRegion(req, shared)}
	}
	return w.gathered.region
}

// gathering is a shared part that a route's requests gather in one region, gathered where
// that is. A decision asks for it several times, and hashes all upstreams for it.
type gathering struct {
	service string
	route   *httproute.Route
	part    string
}

type gathered struct {
	gathering
	region string
}

func (w *World) hashedRegion(req *Request, shared *Part) string {
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
func (r *Recent) Add(parts []Part, upstream string, now time.Time) {
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
func (r *Recent) Sent(parts []Part, region string, now time.Time) {
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
