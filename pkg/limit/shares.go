// Package limit bounds what one gateway sends to each upstream: its share of the upstream's
// concurrency, an adaptive bound below that share, a backoff after an upstream's rejection,
// ejection of failing upstreams, and a budget for retries.
//
// Guarantees: gateways that hold the same view of their domain never exceed an upstream's
// limit together; the last usable upstream of a pool is never ejected; retries add at most
// RetryShare of the successes to the load.
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
	// Weight is in proportion to the gateway's requests in flight or waiting; negative
	// counts as zero.
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

// Share returns one gateway's element of Shares; zero if it is not in demands. It counts
// the gateways that rank before it instead of sorting them.
func Share(upstream string, total int, self string, demands []Demand) int {
	own := slices.IndexFunc(demands, func(d Demand) bool { return d.Name == self })
	if own < 0 || total <= 0 {
		return 0
	}
	quotas := quotas(total, demands)
	ranked := rank(upstream, demands, quotas)
	left, before := total, 0
	for i, quota := range quotas {
		left -= int(quota)
		if compareRankings(ranked[i], ranked[own]) < 0 {
			before++
		}
	}
	if before < left {
		return int(quotas[own]) + 1
	}
	return int(quotas[own])
}

// evenShare is the share of a limit that is split evenly regardless of demand, so that a
// gateway without known demand can start at once.
const evenShare = 0.5

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
		quotas[i] = evenShare*even + (1-evenShare)*weighted
	}
	return quotas
}

// byRemainder orders the indices of demands by decreasing fraction of their quota.
func byRemainder(upstream string, demands []Demand, quotas []float64) []int {
	ranked := rank(upstream, demands, quotas)
	slices.SortFunc(ranked, compareRankings)
	order := make([]int, len(ranked))
	for i := range ranked {
		order[i] = ranked[i].index
	}
	return order
}

// ranking is the sort key of one demand. Its hash is computed once, since equal fractions
// are common.
type ranking struct {
	index    int
	fraction float64
	tie      uint64
	name     string
}

func rank(upstream string, demands []Demand, quotas []float64) []ranking {
	ranked := make([]ranking, len(demands))
	hash := xxhash.New()
	for i := range demands {
		fraction := quotas[i] - float64(int(quotas[i]))
		ranked[i] = ranking{
			index: i, fraction: fraction, name: demands[i].Name,
			tie: tieBreak(hash, upstream, demands[i].Name),
		}
	}
	return ranked
}

func compareRankings(a, b ranking) int {
	return cmp.Or(
		cmp.Compare(b.fraction, a.fraction),
		cmp.Compare(a.tie, b.tie),
		cmp.Compare(a.name, b.name),
	)
}

func tieBreak(hash *xxhash.Digest, upstream, gateway string) uint64 {
	hash.Reset()
	_, _ = hash.WriteString(upstream)
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(gateway)
	return hash.Sum64()
}
