// Package quota enforces each caller's declared limits over all gateways of all failure domains,
// with no leader and no call on the request path.
//
// It has two implementations. Limiter replicates one balance on each instance and is used by
// lilacweir-edge. Gate splits a limit into shares that follow demand and is used by
// lilacweir-gateway. With Gate each gateway admits a share of a limit: the failure domain's
// share by the demand in the digests, and of that its own by the demand in the heartbeats.
// Reported demand is late, so a share grows only once every other gateway has had time to
// receive the report, and shrinks at once.
//
// Guarantee of Gate: while reports arrive within the windows, the gateways' shares of a limit
// add up to at most the limit, whatever the demand; a failure domain that is partitioned keeps
// its share. See docs/design/quotas.md for the bound.
package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// Timing of shares.
const (
	// GatewayWindow is the time in which a gateway's demand reaches the gateways of its domain:
	// two exchanges with an agent, a heartbeat and a margin.
	GatewayWindow = 3 * time.Second
	// DomainWindow is the time in which a domain's demand reaches the gateways of another one: a
	// digest and a heartbeat more. DomainWindowEach is added for each declared domain, as
	// digests are fetched less often where there are many.
	DomainWindow     = 4 * time.Second
	DomainWindowEach = 75 * time.Millisecond
	// SilentHold is the time for which an unreachable instance of the own domain keeps its
	// share, because it may still have callers.
	SilentHold = 10 * time.Second
	// PartitionHold is the time for which an unreachable domain keeps its last share. After that
	// it gets an even share, on both sides of the partition.
	PartitionHold = time.Minute
)

// floorShare is split evenly whatever the demand, so that an idle gateway can start.
const floorShare = 0.05

// Bounds of the reported demand.
const (
	// GatewayDemands is the number of callers in a heartbeat, DomainDemands in a digest.
	GatewayDemands = 32
	DomainDemands  = 24
	// whole is a demand for the whole of a limit.
	whole = 1000
	// reportMargin is the fraction of a reported demand, as a divisor, by which a new one must
	// differ to be reported.
	reportMargin = 8
)

// DomainDemand sums the demand that the domain's instances report, for its digest.
func DomainDemand(instances []board.Instance, now time.Time) []board.CallerDemand {
	sums := make(map[string]int)
	for i := range instances {
		if !mayAdmit(&instances[i], now) {
			continue
		}
		for _, demand := range instances[i].Load.Demand {
			sums[demand.Caller] += demand.Demand
		}
	}
	return largest(sums, DomainDemands)
}

// mayAdmit reports whether the instance's gateway may still admit requests.
func mayAdmit(instance *board.Instance, now time.Time) bool {
	if instance.Incarnation == 0 || instance.State == board.InstanceLeft {
		return false
	}
	return instance.State != board.InstanceSilent || now.Sub(instance.LastHeard) < SilentHold
}

// largest returns the largest demands, sorted by caller.
func largest(demands map[string]int, count int) []board.CallerDemand {
	var list []board.CallerDemand
	for caller, demand := range demands {
		if demand > 0 {
			list = append(list, board.CallerDemand{Caller: caller, Demand: demand})
		}
	}
	slices.SortFunc(list, func(a, b board.CallerDemand) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Caller, b.Caller))
	})
	list = list[:min(len(list), count)]
	slices.SortFunc(list, func(a, b board.CallerDemand) int { return cmp.Compare(a.Caller, b.Caller) })
	return list
}

// Differs reports whether demands have changed enough to be reported again.
func Differs(before, after []board.CallerDemand) bool {
	return !slices.EqualFunc(before, after, func(a, b board.CallerDemand) bool {
		return a.Caller == b.Caller && !moved(a.Demand, b.Demand)
	})
}

func moved(reported, demand int) bool {
	return (reported == 0) != (demand == 0) || max(reported-demand, demand-reported) > reported/reportMargin
}
