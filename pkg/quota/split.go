package quota

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// View is the state of the other gateways known to a gateway. Its contents must not be modified.
type View struct {
	// Self is the gateway's instance, Domain its failure domain.
	Self, Domain string
	// Domains names the declared failure domains.
	Domains []string
	Members *board.Members
	Remote  *board.Domains
}

// demandView is a View at one time, prepared for all callers.
type demandView struct {
	now    time.Time
	window time.Duration
	peers  []reportedDemand
	remote []reportedDemand
	own    map[string]int
	// declared counts the domains, reachable those with current demand, both including the own
	// one.
	declared, reachable int
	// silent is true if one of those is unreachable now.
	silent bool
}

// reportedDemand is the demand reported by another gateway or domain.
type reportedDemand struct {
	name   string
	demand map[string]int
}

// newDemandView prepares a view.
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

// addRemote adds one remote domain unless it has been unreachable for long.
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
	// held is the own domain's demand that counts. It does not grow while another domain is
	// unreachable and cannot learn of more.
	held float64
}

// share returns this gateway's share of the caller's limits, from 0 to 1. The argument reported
// is the demand that this gateway reports.
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

// weightedShare returns the share of one among count, by its demand and that of the others.
func weightedShare(own, others float64, count int) float64 {
	even := 1 / float64(count)
	if own+others <= 0 {
		return even
	}
	return floorShare*even + (1-floorShare)*own/(own+others)
}

// sumMaxima records the others' reported demands and sums the maxima of each within the window.
// Removed ones count until their window has passed.
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

// idle reports whether there was no demand within the windows.
func (h *history) idle() bool {
	return h.held == 0 && h.self == (window{slot: h.self.slot}) && len(h.peers) == 0 && len(h.remote) == 0
}
