package quota

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// View is what a gateway knows of the others. Its parts must not be modified.
type View struct {
	// Self is the gateway's instance, Domain its failure domain.
	Self, Domain string
	// Domains names the declared failure domains.
	Domains []string
	Members *board.Members
	Remote  *board.Domains
}

// scene is a View at one time, put in order for all callers.
type scene struct {
	now    time.Time
	window time.Duration
	peers  []tellers
	remote []tellers
	own    map[string]int
	// declared counts the domains, heard those whose demand counts, with the own.
	declared, heard int
	// silent says that one of those is silent now.
	silent bool
}

// tellers is somebody else's told demand.
type tellers struct {
	name   string
	demand map[string]int
}

// look puts a view in order.
func look(view *View, now time.Time) *scene {
	s := &scene{now: now, declared: 1, heard: 1, own: make(map[string]int)}
	if view.Members != nil {
		s.own = byCaller(DomainDemand(view.Members.Instances, now))
		for i := range view.Members.Instances {
			peer := &view.Members.Instances[i]
			if peer.Name != view.Self && counts(peer, now) {
				s.peers = append(s.peers, tellers{peer.Name, byCaller(peer.Load.Demand)})
			}
		}
	}
	for _, domain := range view.Domains {
		if domain != view.Domain {
			s.lookAt(view.Remote, domain)
		}
	}
	s.window = DomainWindow + time.Duration(s.declared)*DomainWindowEach
	return s
}

// lookAt counts one remote domain, unless it has been silent for long.
func (s *scene) lookAt(remote *board.Domains, domain string) {
	s.declared++
	if remote == nil {
		return
	}
	at := slices.IndexFunc(remote.Remote, func(d board.DomainDigest) bool { return d.Domain == domain })
	if at < 0 {
		return
	}
	digest := &remote.Remote[at]
	quiet := s.now.Sub(digest.HeardAt)
	if quiet >= CutHold {
		return
	}
	s.heard++
	s.silent = s.silent || quiet > board.DomainSilentAfter
	s.remote = append(s.remote, tellers{domain, byCaller(digest.Demand)})
}

func byCaller(demands []board.CallerDemand) map[string]int {
	list := make(map[string]int, len(demands))
	for _, demand := range demands {
		list[demand.Caller] = demand.Demand
	}
	return list
}

// history is the demand of one caller over the last windows.
type history struct {
	self, domain  window
	peers, remote map[string]*window
	// held is the own domain's demand that counts: while another domain is silent,
	// and cannot hear of more, it does not grow.
	held float64
}

// part returns this gateway's part of the caller's limits, from 0 to 1. Told is
// the demand that this gateway tells.
func (h *history) part(s *scene, caller string, told int) float64 {
	self := h.self.add(s.now, GatewayWindow, float64(told), least)
	peers := sumMost(&h.peers, s.peers, caller, s.now, GatewayWindow)
	domain := h.domain.add(s.now, s.window, float64(s.own[caller]), least)
	remote := sumMost(&h.remote, s.remote, caller, s.now, s.window)
	if !s.silent || domain < h.held {
		h.held = domain
	}
	pool := float64(s.heard) / float64(s.declared)
	return pool * weigh(h.held, remote, s.heard) * weigh(self, peers, len(s.peers)+1)
}

// weigh returns the part of one among count, by its demand and that of the others.
func weigh(own, others float64, count int) float64 {
	even := 1 / float64(count)
	if own+others <= 0 {
		return even
	}
	return floorPart*even + (1-floorPart)*own/(own+others)
}

// sumMost notes what each of the others tells, and adds up the most that each told
// within the window. Those that are gone count until their window has passed.
func sumMost(kept *map[string]*window, others []tellers, caller string, now time.Time, span time.Duration) float64 {
	sum := 0.0
	present := make(map[string]bool, len(others))
	for _, other := range others {
		present[other.name] = true
		demand := float64(other.demand[caller])
		known := (*kept)[other.name]
		if known == nil && demand == 0 {
			continue
		}
		if known == nil {
			if *kept == nil {
				*kept = make(map[string]*window)
			}
			known = new(window)
			(*kept)[other.name] = known
		}
		sum += known.add(now, span, demand, most)
	}
	for name, known := range *kept {
		if present[name] {
			continue
		}
		left := known.add(now, span, 0, most)
		if left == 0 {
			delete(*kept, name)
		}
		sum += left
	}
	return sum
}

// idle says that nobody has had a demand within the windows.
func (h *history) idle() bool {
	return h.held == 0 && h.self == (window{slot: h.self.slot}) && len(h.peers) == 0 && len(h.remote) == 0
}
