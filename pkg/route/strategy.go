package route

import "github.com/lilacweir/lilacweir/pkg/limit"

// Filter decides whether an upstream may take a request now.
type Filter interface {
	// Keep returns false to exclude the upstream.
	Keep(req *Request, upstream string, own limit.Load) bool
}

// Scorer ranks upstreams.
type Scorer interface {
	// Score returns a cost, in seconds; the lowest wins.
	Score(req *Request, estimate Estimate) float64
}

// Picker chooses the upstreams of a pool that are considered.
type Picker interface {
	// Sample returns indices below pool.Size.
	Sample(req *Request, pool Sampled, rnd Rand) Sample
}

// Sampled is a Picker's view of a pool.
type Sampled struct {
	// Size is the number of usable upstreams.
	Size int
	// Preferred is the upstream to which rendezvous hashing assigns the request's prefix;
	// -1 if there is none.
	Preferred int32
	// Holders are the upstreams that reported the longest cached prefix.
	Holders []int32
}

// MaxSample bounds the upstreams that one decision considers.
const MaxSample = 16

// Sample is a small set of upstreams.
type Sample struct {
	count   int
	indices [MaxSample]int32
}

// Add puts an index into the sample, unless it is there, negative, or the sample
// is full.
func (s *Sample) Add(index int32) {
	if index < 0 || s.count == MaxSample {
		return
	}
	for _, have := range s.indices[:s.count] {
		if have == index {
			return
		}
	}
	s.indices[s.count] = index
	s.count++
}

// Strategy determines how a local upstream is chosen.
type Strategy struct {
	Filters []Filter
	Scorer  Scorer
	Picker  Picker
}

// DefaultStrategy returns the gateways' strategy; costWeight is the declared weight of cost
// against latency, 0 to 1.
func DefaultStrategy(costWeight float64) Strategy {
	return Strategy{
		Filters: []Filter{NotEjected{}, NotBackingOff{}, NotTried{}, BelowLimit{}},
		Scorer:  TimeAndCost{CostWeight: costWeight, PrefillWeight: prefillWeight},
		Picker:  AffinityAndChoices{},
	}
}
