package steer

import (
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/member"
)

// minSharedTokens is the least size in tokens of a shared segment that affects routing:
// engines cache whole blocks of about that size.
const minSharedTokens = 16

// sharedSegment returns the prompt's last shared segment; nil if nothing relevant is
// shared. Prompts that share a later segment share what comes before it as well.
func sharedSegment(req *Request) *Segment {
	if !req.Route.SharedPrompts || len(req.Segments) < 2 {
		return nil
	}
	shared := &req.Segments[len(req.Segments)-2]
	if shared.Tokens < minSharedTokens {
		return nil
	}
	return shared
}

// sharedTokens is the length of the prompt without its last segment, which belongs to the
// request alone.
func sharedTokens(req *Request) int {
	total := 0
	for _, segment := range req.Segments[:len(req.Segments)-1] {
		total += segment.Tokens
	}
	return total
}

// hashedUpstream returns the upstream to which a shared segment is hashed, so that
// instances choose alike without communication. The choice among all regions is also the
// choice within its own region.
func hashedUpstream(shared *Segment, upstreams []*fleet.Upstream) *fleet.Upstream {
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

// prefixLocation is where the shared segments of one request's prompt are assumed to be
// cached.
type prefixLocation struct {
	// tokens is the size of the shared segments; zero if nothing relevant is shared.
	tokens int
	// holders are the upstreams that were sent the segments recently. holder is the one to
	// copy from: one of the holders, else the upstream to which the segments are hashed.
	holders map[string]bool
	holder  *fleet.Upstream
	// remote is an upstream of another region that caches them, to copy from if none of the own region is
	// known to; nil if none is known.
	remote *fleet.Upstream
	// trust is the probability that the holder caches them.
	trust float64
	// copies is true if engines can copy from each other.
	copies bool
}

// locatePrefix looks up the request's shared segments among the upstreams of the region.
func (w *Snapshot) locatePrefix(req *Request, upstreams []*fleet.Upstream) prefixLocation {
	segment := sharedSegment(req)
	if segment == nil {
		return prefixLocation{}
	}
	s := prefixLocation{tokens: sharedTokens(req), holders: make(map[string]bool), copies: req.Service.Engine != nil && req.Service.Engine.Copies}
	favourite := hashedUpstream(segment, upstreams)
	for _, upstream := range upstreams {
		if w.Recent.Caches(segment.ID, upstream.ID, w.Now) {
			s.holders[upstream.ID] = true
			if s.holder == nil || upstream == favourite {
				s.holder = upstream
			}
		}
	}
	s.trust = 1
	if s.holder == nil {
		s.remote = w.remoteHolder(req, segment)
		s.holder, s.trust = favourite, remoteAffinity
		if !worthRoundTrip(s.tokens) || w.favouriteRegion(req, segment) == w.Region {
			s.trust = affinity
		}
	}
	if s.holder != nil && !w.usable(s.holder) {
		s.holder = nil
	}
	return s
}

// remoteHolder returns an upstream of another region that caches a segment, nil if none is known. Requests
// that are bound to some regions leave nothing in others that could be copied.
func (w *Snapshot) remoteHolder(req *Request, segment *Segment) *fleet.Upstream {
	if segment.Tokens < minPublishedTokens || req.Route.Bound() || req.Service.Engine == nil || !req.Service.Engine.Copies {
		return nil
	}
	var found *fleet.Upstream
	for _, name := range w.Recent.Holders(segment.ID, w.Now) {
		upstream := w.Fleet.Find(name)
		if upstream != nil && upstream.Region != w.Region && w.usable(upstream) && (found == nil || upstream.ID < found.ID) {
			found = upstream
		}
	}
	return found
}

// worthRoundTrip reports whether shared segments of that size are collected in one region,
// since reading them costs more than the round trip. Smaller ones are collected in each
// region.
func worthRoundTrip(tokens int) bool {
	return cachedWeight*affinity*float64(tokens) > roundTripTokens+remoteMargin
}

// known reports whether the holder was sent the segments, as opposed to being the upstream
// to which they are hashed.
func (s *prefixLocation) known() bool { return s.trust == 1 }

// held estimates how many of the shared tokens the upstream caches.
func (s *prefixLocation) held(upstream *fleet.Upstream) int {
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

// source returns the upstream from which another one should copy the shared segments; nil if none is worth
// it. What another software version has cached need not fit.
func (s *prefixLocation) source(upstream *fleet.Upstream) *fleet.Upstream {
	source := s.holder
	if s.remote != nil {
		source = s.remote
	}
	if !s.copies || source == nil || source == upstream || source.Software != upstream.Software || s.holders[upstream.ID] || s.tokens < minCopiedTokens {
		return nil
	}
	return source
}

// minCopiedTokens is the least size in tokens that is worth copying: setting up a copy
// takes about 3 ms, the time of reading that many.
const minCopiedTokens = 256

// favouriteRegion returns the region of the upstream to which a shared segment is hashed
// among all permitted ones; empty if there is none.
func (w *Snapshot) favouriteRegion(req *Request, shared *Segment) string {
	key := prefixKey{service: req.Service.Name, route: req.Route, segment: shared.ID}
	if w.prefixRegion.prefixKey != key {
		w.prefixRegion = prefixRegion{key, w.hashedRegion(req, shared)}
	}
	return w.prefixRegion.region
}

// prefixKey identifies a shared segment that a route's requests collect in one region, and
// prefixRegion holds that region. It is cached because a decision asks for it several
// times, and each computation hashes all upstreams.
type prefixKey struct {
	service string
	route   *httproute.Route
	segment string
}

type prefixRegion struct {
	prefixKey
	region string
}

func (w *Snapshot) hashedRegion(req *Request, shared *Segment) string {
	var permitted []*fleet.Upstream
	for _, upstream := range w.Fleet.Service(req.Service.Name) {
		if w.usable(upstream) && req.Route.PermittedIn(upstream.Region) {
			permitted = append(permitted, upstream)
		}
	}
	if favourite := hashedUpstream(shared, permitted); favourite != nil {
		return favourite.Region
	}
	return ""
}
