// Package limit bounds what one gateway sends to each upstream: its share of the
// upstream's concurrency, an adaptive bound below that share, ejection of failing
// upstreams, and a budget for retries.
//
// Guarantees: gateways that hold the same view of their domain never exceed an
// upstream's limit together; the last usable upstream of a pool is never ejected;
// retries add at most RetryShare of the successes to the load.
package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Demand is one gateway's claim on an upstream.
type Demand struct {
	// Name is the gateway's instance name.
	Name string
	// Weight grows with the gateway's work in hand; negative counts as zero.
	Weight int
}

// Shares splits an upstream's concurrency among gateways, in the order of
// demands. Half is split evenly, half by weight, by largest remainder; the shares
// add up to total. Ties are broken by a hash of the upstream and the gateway, so
// that every gateway with the same view computes the same split.
func Shares(upstream string, total int, demands []Demand) []int {
	shares := make([]int, len(demands))
	if len(demands) == 0 || total <= 0 {
		return shares
	}
	quotas := quotas(total, demands)
	left := total
	for i, quota := range quotas {
		shares[i] = int(quota)
		left -= shares[i]
	}
	for _, i := range byRemainder(upstream, demands, quotas)[:max(0, min(left, len(demands)))] {
		shares[i]++
	}
	return shares
}

// Share returns one gateway's part of Shares; zero when it is not in demands.
func Share(upstream string, total int, self string, demands []Demand) int {
	shares := Shares(upstream, total, demands)
	for i, demand := range demands {
		if demand.Name == self {
			return shares[i]
		}
	}
	return 0
}

// evenPart is the part of a limit that is split without regard to demand, so that
// a gateway whose demand is not known yet can start at once.
const evenPart = 0.5

func quotas(total int, demands []Demand) []float64 {
	sum := 0
	for _, demand := range demands {
		sum += max(0, demand.Weight)
	}
	quotas := make([]float64, len(demands))
	for i, demand := range demands {
		even := float64(total) / float64(len(demands))
		if sum == 0 {
			quotas[i] = even
			continue
		}
		weighted := float64(total) * float64(max(0, demand.Weight)) / float64(sum)
		quotas[i] = evenPart*even + (1-evenPart)*weighted
	}
	return quotas
}

// byRemainder orders the indices of demands by falling fraction of their quota.
func byRemainder(upstream string, demands []Demand, quotas []float64) []int {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	fraction := func(i int) float64 { return quotas[i] - float64(int(quotas[i])) }
	slices.SortFunc(order, func(a, b int) int {
		if c := cmp.Compare(fraction(b), fraction(a)); c != 0 {
			return c
		}
		return cmp.Or(
			cmp.Compare(tieBreak(upstream, demands[a].Name), tieBreak(upstream, demands[b].Name)),
			cmp.Compare(demands[a].Name, demands[b].Name),
		)
	})
	return order
}

func tieBreak(upstream, gateway string) uint64 {
	return xxhash.Sum64String(upstream + "\x00" + gateway)
}
