// Package quota keeps each caller to its declared limits over all gateways of all
// failure domains, with no leader and no call on the request's path.
//
// There are two ways: Limiter, a copy of one balance at each instance, is that of
// lilacweir-edge; Gate, parts of a limit that follow demand, that of lilacweir-gateway.
// With Gate each gateway lets in a part of a limit: the failure domain's part by the demand
// that the digests tell, and of that its own by the demand that the heartbeats
// tell. Told demand is late, so a part grows only once every other gateway has had
// the time to hear of it, and shrinks at once.
//
// Guarantee of Gate: while what is told arrives within the windows, the gateways' parts of
// a limit add up to at most the limit, whatever the demand does; a failure domain
// that is cut off keeps its part. See docs/design/quotas.md for the bound.
package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// Timing of parts.
const (
	// GatewayWindow is the time in which a gateway's demand reaches the gateways of
	// its domain: two exchanges with an agent, a heartbeat and a margin.
	GatewayWindow = 3 * time.Second
	// DomainWindow is the time in which a domain's demand reaches the gateways of
	// another one: a digest and a heartbeat more. DomainWindowEach is added for
	// each declared domain, as digests are fetched less often where there are many.
	DomainWindow     = 4 * time.Second
	DomainWindowEach = 75 * time.Millisecond
	// SilentHold is how long a silent instance of the own domain keeps its part: it
	// may still have callers.
	SilentHold = 10 * time.Second
	// CutHold is how long a silent domain keeps the part that it had. After that
	// it has the even part, on both sides of the cut.
	PartitionHold = time.Minute
)

// floorPart is split evenly whatever the demand, so that an idle gateway can start.
const floorShare = 0.05

// Bounds of what is told.
const (
	// GatewayDemands is how many callers a heartbeat tells of, DomainDemands a digest.
	GatewayDemands = 32
	DomainDemands  = 24
	// whole is a demand for the whole of a limit.
	whole = 1000
	// tellMargin is the part of a told demand, as a divisor, that a new one must
	// differ by to be told.
	reportMargin = 8
)

// DomainDemand adds up what the domain's instances tell, for its digest.
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

// counts says whether the instance's gateway may still let requests in.
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

// Differs says whether demands have changed enough to be told again.
func Differs(before, after []board.CallerDemand) bool {
	return !slices.EqualFunc(before, after, func(a, b board.CallerDemand) bool {
		return a.Caller == b.Caller && !moved(a.Demand, b.Demand)
	})
}

func moved(reported, demand int) bool {
	return (reported == 0) != (demand == 0) || max(reported-demand, demand-reported) > reported/reportMargin
}
