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
	// polled is the last poll of the engines. received is the latest digest of
	// each other failure domain.
	polled   *board.Upstreams
	received map[string]board.DomainDigest
	// cutFrom is the set of failure domains from which messages are lost.
	cutFrom map[string]bool
}

// poll collects the engines' reports, each one sample interval old.
func (fd *failureDomain) poll() {
	fd.polled = &board.Upstreams{ByName: map[string]board.UpstreamLoad{}}
	for _, e := range fd.engines {
		if report := e.reports[0]; report.Name != "" {
			fd.polled.ByName[e.name] = report
		}
	}
}

// members returns the loads last published by the failure domain's gateways.
func (fd *failureDomain) members() *board.Members {
	members := &board.Members{}
	for _, g := range fd.gateways {
		members.Instances = append(members.Instances, board.Instance{
			Name: g.name, Domain: fd.name, Region: fd.region,
			State: board.InstanceLive, Incarnation: 1, Revision: 1, Load: g.published,
		})
	}
	return members
}

// publishDigest sends the failure domain's digest to the others after linkDelay.
func (fd *failureDomain) publishDigest(s *simulation) {
	made := digest.Build(digest.Input{
		Domain: fd.name, Region: fd.region, Now: s.Now(), Sequence: uint64(s.Now().UnixNano()),
		Members: fd.members(), Upstreams: fd.polled, Head: fd.gateways[0].head,
	})
	for i := range made.Pools {
		s.variant.advertise(&made.Pools[i])
	}
	s.After(linkDelay, func() {
		made.HeardAt = s.Now()
		for _, other := range s.failureDomains {
			if other != fd && !other.cutFrom[fd.name] {
				other.received[fd.name] = made
			}
		}
	})
}

// domains returns the digests received from other failure domains.
func (fd *failureDomain) domains(s *simulation) *board.Domains {
	domains := &board.Domains{}
	for _, other := range s.failureDomains {
		if received, ok := fd.received[other.name]; ok {
			domains.Remote = append(domains.Remote, received)
		}
	}
	return domains
}
