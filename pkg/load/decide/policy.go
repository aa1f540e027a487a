package decide

import (
	"github.com/lilacweir/lilacweir/pkg/route"
)

// policy is an algorithm that chooses an upstream.
type policy struct {
	name string
	// strategy returns the strategy of one gateway; nil keeps the default.
	strategy func() *route.Strategy
}

// policies holds the candidate first, then the simpler policies.
var policies = []policy{
	{name: "lilacweir"},
	{name: "round robin", strategy: baseline(func() route.Picker { return &roundRobin{} }, inFlight{})},
	{name: "least in-flight", strategy: baseline(func() route.Picker { return allUpstreams{} }, inFlight{})},
	{name: "two choices", strategy: baseline(func() route.Picker { return twoChoices{} }, inFlight{})},
	{name: "least reported", strategy: baseline(func() route.Picker { return allUpstreams{} }, reported{})},
}

func baseline(picker func() route.Picker, scorer route.Scorer) func() *route.Strategy {
	return func() *route.Strategy {
		strategy := route.DefaultStrategy(0)
		strategy.Picker = picker()
		strategy.Scorer = scorer
		return &strategy
	}
}

// roundRobin takes upstreams in turn.
type roundRobin struct{ next int32 }

// Sample implements route.Picker.
func (r *roundRobin) Sample(_ *route.Request, pool route.Sampled, _ route.Rand) route.Sample {
	var s route.Sample
	s.Add(r.next % int32(pool.Size))
	r.next++
	return s
}

// allUpstreams samples all upstreams, starting from a random one.
type allUpstreams struct{}

// Sample implements route.Picker.
func (allUpstreams) Sample(_ *route.Request, pool route.Sampled, rnd route.Rand) route.Sample {
	var s route.Sample
	start := rnd.Uint64()
	for i := range uint64(pool.Size) {
		s.Add(int32((start + i) % uint64(pool.Size)))
	}
	return s
}

// twoChoices samples two random upstreams.
type twoChoices struct{}

// Sample implements route.Picker.
func (twoChoices) Sample(_ *route.Request, pool route.Sampled, rnd route.Rand) route.Sample {
	var s route.Sample
	s.Add(int32(rnd.Uint64() % uint64(pool.Size)))
	s.Add(int32(rnd.Uint64() % uint64(pool.Size)))
	return s
}

// inFlight ranks by this gateway's own requests.
type inFlight struct{}

// Score implements route.Scorer.
func (inFlight) Score(_ *route.Request, e route.Estimate) float64 { return e.Own }

// reported ranks by the estimate of all requests at the upstream.
type reported struct{}

// Score implements route.Scorer.
func (reported) Score(_ *route.Request, e route.Estimate) float64 { return e.AtUpstream }
