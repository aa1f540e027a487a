package decide

import (
	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/digest"
)

// failureDomain is one failure domain, alone in its region.
type failureDomain struct {
	index        int
	name, region string
	engines      []*engine
	gateways     []*gateway
	// polled is the last poll of the engines. heard is the latest digest of each
	// other failure domain.
	polled *board.Upstreams
	heard  map[string]board.DomainDigest
	// cutFrom is the set of failure domains from which messages are lost.
	cutFrom map[string]bool
}

// poll collects the engines' reports, each one sample interval old.
func (h *failureDomain) poll() {
	h.polled = &board.Upstreams{ByName: map[string]board.UpstreamLoad{}}
	for _, e := range h.engines {
		if report := e.reports[0]; report.Name != "" {
			h.polled.ByName[e.name] = report
		}
	}
}

// members returns the loads last published by the failure domain's gateways.
func (h *failureDomain) members() *board.Members {
	members := &board.Members{}
	for _, g := range h.gateways {
		members.Instances = append(members.Instances, board.Instance{
			Name: g.name, Domain: h.name, Region: h.region,
			State: board.InstanceLive, Incarnation: 1, Revision: 1, Load: g.told,
		})
	}
	return members
}

// tell sends the failure domain's digest to the others, with a delay of linkDelay.
func (h *failureDomain) tell(s *simulation) {
	made := digest.Build(digest.Input{
		Domain: h.name, Region: h.region, Sequence: uint64(s.Now().UnixNano()),
		Members: h.members(), Upstreams: h.polled, Head: h.gateways[0].head,
	})
	for i := range made.Pools {
		s.variant.offer(&made.Pools[i])
	}
	s.After(linkDelay, func() {
		made.HeardAt = s.Now()
		for _, other := range s.failureDomains {
			if other != h && !other.cutFrom[h.name] {
				other.heard[h.name] = made
			}
		}
	})
}

// domains returns the digests received from other failure domains.
func (h *failureDomain) domains(s *simulation) *board.Domains {
	domains := &board.Domains{}
	for _, other := range s.failureDomains {
		if heard, ok := h.heard[other.name]; ok {
			domains.Remote = append(domains.Remote, heard)
		}
	}
	return domains
}
