package route

import (
	"cmp"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/limit"
)

// liveGateways returns the domain's instances that accept requests, in the order of their
// names, with this one last.
func liveGateways(in *Input) []board.Instance {
	self := board.Instance{Name: in.Self, Domain: in.Domain, State: board.InstanceLive}
	if in.Members == nil {
		return []board.Instance{self}
	}
	var live []board.Instance
	for _, instance := range in.Members.Instances {
		if instance.Name == in.Self {
			self = instance
			continue
		}
		if instance.State == board.InstanceLive && instance.Incarnation != 0 {
			live = append(live, instance)
		}
	}
	return append(live, self)
}

// demands returns each gateway's requests in flight at an upstream plus those that wait for
// its pool.
func demands(gateways []board.Instance, upstream *config.Upstream) []limit.Demand {
	out := make([]limit.Demand, len(gateways))
	for i := range gateways {
		load := &gateways[i].Load
		out[i] = limit.Demand{
			Name:   gateways[i].Name,
			Weight: load.InFlight[upstream.Name] + load.Waiting[upstream.Serves],
		}
	}
	return out
}

func compareStrings(a, b string) int { return cmp.Compare(a, b) }
