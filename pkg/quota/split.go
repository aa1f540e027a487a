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
type demandView struct {
	now    time.Time
	window time.Duration
	peers  []reportedDemand
	remote []reportedDemand
	own    map[string]int
	// declared counts the domains, heard those whose demand counts, with the own.
	declared, reachable int
	// silent says that one of those is silent now.
	silent bool
}

// tellers is somebody else's told demand.
type reportedDemand struct {
	name   string
	demand map[string]int
}

// look puts a view in order.
func newDemandView(view *View, now time.Time) *demandView {
	s := &demandView{now: now, declared: 1, reachable: 1, own: make(map[string]int)}
	if view.Members != nil {
		s.own = byCaller(DomainDemand(view.Members.Instances, now))
		for i := range view.Members.Instances {
			peer := &view.Members.Instances[i]
			if peer.Name != view.Self && mayAdmit(peer, now) {
				s.peers = append(s.peers, reportedDemand{peer.Name, byCaller(peer.Load.Demand)})
			}
		}
	}
	for _, domain := range view.Domains {
		if domain != view.Domain {
			s.addRemote(view.Remote, domain)
		}
	}
	s.window = DomainWindow + time.Duration(s.declared)*DomainWindowEach
	return s
}

// lookAt counts one remote domain, unless it has been silent for long.
func (s *demandView) addRemote(remote *board.Domains, domain string) {
	s.declared++
	if remote == nil {
		return
	}
	at := slices.IndexFunc(remote.Remote, func(d board.DomainDigest) bool { return d.Domain == domain })
	if at < 0 {
		return
	}
	digest := &remote.Remote[at]
	silence := s.now.Sub(digest.HeardAt)
	if silence >= PartitionHold {
		return
	}
	s.reachable++
	s.silent = s.silent || silence > board.DomainSilentAfter
	s.remote = append(s.remote, reportedDemand{domain, byCaller(digest.Demand)})
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
func (h *history) share(s *demandView, caller string, reported int) float64 {
	self := h.self.add(s.now, GatewayWindow, float64(reported), minimum)
	peers := sumMaxima(&h.peers, s.peers, caller, s.now, GatewayWindow)
	domain := h.domain.add(s.now, s.window, float64(s.own[caller]), minimum)
	remote := sumMaxima(&h.remote, s.remote, caller, s.now, s.window)
	if !s.silent || domain < h.held {
		h.held = domain
	}
	reachableShare := float64(s.reachable) / float64(s.declared)
	return reachableShare * weightedShare(h.held, remote, s.reachable) * weightedShare(self, peers, len(s.peers)+1)
}

// weigh returns the part of one among count, by its demand and that of the others.
func weightedShare(own, others float64, count int) float64 {
	even := 1 / float64(count)
	if own+others <= 0 {
		return even
	}
	return floorShare*even + (1-floorShare)*own/(own+others)
}

// sumMost notes what each of the others tells, and adds up the most that each told
// within the window. Those that are gone count until their window has passed.
func sumMaxima(windows *map[string]*window, others []reportedDemand, caller string, now time.Time, span time.Duration) float64 {
	sum := 0.0
	present := make(map[string]bool, len(others))
	for _, other := range others {
		present[other.name] = true
		demand := float64(other.demand[caller])
		known := (*windows)[other.name]
		if known == nil && demand == 0 {
			continue
		}
		if known == nil {
			if *windows == nil {
				*windows = make(map[string]*window)
			}
			known = new(window)
			(*windows)[other.name] = known
		}
		sum += known.add(now, span, demand, maximum)
	}
	for name, known := range *windows {
		if present[name] {
			continue
		}
		left := known.add(now, span, 0, maximum)
		if left == 0 {
			delete(*windows, name)
		}
		sum += left
	}
	return sum
}

// idle says that nobody has had a demand within the windows.
func (h *history) idle() bool {
	return h.held == 0 && h.self == (window{slot: h.self.slot}) && len(h.peers) == 0 && len(h.remote) == 0
}
