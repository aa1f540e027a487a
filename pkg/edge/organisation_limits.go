package edge

import (
	"context"
	"slices"

	"github.com/lilacweir/lilacweir/pkg/quota"
)

// followLimits updates the limiter's limits and the share of instances that are reachable, until
// ctx ends.
func (e *Edge) followLimits(ctx context.Context) {
	for {
		routes, peers := e.board.Routes.Changed(), e.gossip.View().Changed()
		if config := e.board.Routes.Load(); config != nil {
			e.limiter.SetLimits(declaredLimits(config))
		}
		e.limiter.SetReachable(e.liveShare())
		select {
		case <-routes:
		case <-peers:
		case <-ctx.Done():
			return
		}
	}
}

// liveShare returns the share of all instances, including this one, from which reports arrive.
func (e *Edge) liveShare() float64 {
	live := 1 + e.countPeers(true)
	return min(1, float64(live)/float64(max(1, e.instances())))
}

// maxOrganisationMetrics bounds the organisations with metrics of their own. Those with the
// highest demand relative to their limits get them.
const maxOrganisationMetrics = 50

// updateLimitGauges updates the gauges of single organisations.
func (e *Edge) updateLimitGauges() {
	states := e.limiter.States()
	slices.SortFunc(states, func(a, b quota.State) int {
		if a.Demand*b.Limit > b.Demand*a.Limit {
			return -1
		}
		return 1
	})
	for _, state := range states[:min(len(states), maxOrganisationMetrics)] {
		name := label(labelOrganisation, state.Caller)
		e.counts.series.Gauge("limit.rate", name).Update(int64(state.Limit))
		e.counts.series.Gauge("limit.demand", name).Update(int64(state.Demand))
		e.counts.series.Gauge("limit.balance", name).Update(int64(state.Balance))
		e.counts.series.Gauge("limit.refused", name).Update(state.Refused)
	}
}
