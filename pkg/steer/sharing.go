package steer

import (
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/member"
)

// minSharedTokens is the size in tokens from which on a shared part is worth steering
// for: engines cache whole blocks of about that size.
const minSharedTokens = 16

// sharedSegment returns the prompt's last shared part, nil when nothing is shared that
// matters. Prompts that share a later part share what comes before it as well.
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

// sharedTokens is the prompt without its last part, which is the request's own.
func sharedTokens(req *Request) int {
	total := 0
	for _, segment := range req.Segments[:len(req.Segments)-1] {
		total += segment.Tokens
	}
	return total
}

// hashedUpstream returns the upstream to which a shared part is hashed, so that
// instances that know nothing of each other choose alike. That of one region is that
// of all regions together where it lies in that region.
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

// prefixLocation is where the shared parts of one request's prompt are thought to be.
type prefixLocation struct {
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

// locatePrefix looks for the request's shared parts among the upstreams of the region.
func (w *Snapshot) locatePrefix(req *Request, upstreams []*fleet.Upstream) prefixLocation {
	segment := sharedSegment(req)
	if segment == nil {
		return prefixLocation{}
	}
	s := prefixLocation{tokens: sharedTokens(req), holders: make(map[string]bool), copies: req.Service.Engine != nil && req.Service.Engine.Copies}
	favourite := hashedUpstream(segment, upstreams)
	for _, upstream := range upstreams {
		if w.Recent.Held(segment.ID, upstream.ID, w.Now) {
			s.holders[upstream.ID] = true
			if s.holder == nil || upstream == favourite {
				s.holder = upstream
			}
		}
	}
	s.trust = 1
	if s.holder == nil {
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

// worthRoundTrip says whether shared parts of that size are gathered in one region, since
// reading them costs more than the way there. Smaller ones are gathered in each.
func worthRoundTrip(tokens int) bool {
	return cachedWeight*affinity*float64(tokens) > roundTripTokens+remoteMargin
}

// known says whether the holder was sent the parts, as opposed to being where they would
// be gathered.
func (s *prefixLocation) known() bool { return s.trust == 1 }

// held estimates how many of the shared tokens the upstream holds.
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

// copied is how many tokens the upstream should copy from the holder.
func (s *prefixLocation) copied(upstream *fleet.Upstream) int {
	if !s.copies || s.holder == nil || s.holder == upstream || s.holders[upstream.ID] || s.tokens < minCopiedTokens {
		return 0
	}
	return s.tokens
}

// minCopiedTokens is the size in tokens from which on copying is worth setting up, which
// takes about 3 ms: the time of reading that many.
const minCopiedTokens = 256

// favouriteRegion returns the region of the upstream to which a shared part is hashed
// among all that the request may go to; empty when there is none.
func (w *Snapshot) favouriteRegion(req *Request, shared *Segment) string {
	key := prefixKey{service: req.Service.Name, route: req.Route, segment: shared.ID}
	if w.prefixRegion.prefixKey != key {
		w.prefixRegion = prefixRegion{key, w.hashedRegion(req, shared)}
	}
	return w.prefixRegion.region
}

// prefixKey is a shared part that a route's requests gather in one region, gathered where
// that is. A decision asks for it several times, and hashes all upstreams for it.
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
