// Package decide measures decisions: it drives the real routing, limits and
// admission of a group of gateways over modelled engines in virtual time, open
// loop and from fixed seeds, and compares them with simpler policies.
//
// It models what decisions see (slots, prefill, decode, a prefix cache in limited
// memory, reports and gossip that lag) and nothing else: no network, no faults of
// processes. Engine parameters are those of the stand-in engine's deployments.
package decide

import (
	"fmt"
	"io"
	"time"
)

// Options says what to measure.
type Options struct {
	// Mix is "wellness" or "minibar".
	Mix string
	// Engines and Gateways is the size of the failure domain.
	Engines, Gateways int
	// Halls is the number of failure domains; zero means 1.
	FailureDomains int
	// Loads lists the offered loads in percent of capacity.
	Loads []int
	// Overload adds the goodput at and beyond the candidate's own capacity.
	Overload bool
	// Fault makes the first engine misbehave: FaultSlow, FaultLie, FaultReject, or
	// none of them.
	Fault string
	// Pairs is how many times each policy runs, each time with another seed that
	// all policies share.
	Pairs int
	// Length is the virtual time that is measured, after a warm-up.
	Length time.Duration
	// Seed is the first of the seeds.
	Seed uint64
	// CostWeight is the declared weight of cost against latency, 0 to 1.
	CostWeight float64
	// Day is for RunDay.
	Day Day
}

// Faults of the first engine.
const (
	// FaultSlow makes it slowFactor times slower, which it reports as it is.
	FaultSlow = "slow"
	// FaultLie makes it as slow, and report that it is fast and has nothing to do.
	FaultLie = "lie"
	// FaultReject makes it start nothing, while it reports that it is idle.
	FaultReject = "reject"
)

// slowFactor is how much slower an engine with a fault is.
const slowFactor = 4

// OptionError is an option that cannot be used.
type OptionError struct {
	// Name is the option, Value what was given.
	Name, Value string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("option %s: %q cannot be used", e.Name, e.Value)
}

// Run measures and writes a table to w.
func Run(w io.Writer, o Options) error {
	mix, err := mixOf(o.Mix)
	if err != nil {
		return err
	}
	if o.Engines < 1 || o.Gateways < 1 || o.Pairs < 1 {
		return &OptionError{Name: "size", Value: fmt.Sprint(o.Engines, o.Gateways, o.Pairs)}
	}
	capacity := saturated(o.healthy(), mix)
	out := &printer{w: w}
	out.header(o, capacity)
	for _, percent := range o.Loads {
		out.load(percent, compare(o, mix, capacity*float64(percent)/100))
	}
	if o.Overload {
		out.goodput(o, overload(o, mix))
	}
	return out.err
}

// healthy returns the options without the fault.
func (o Options) healthy() Options {
	o.Fault = ""
	return o
}

// compare runs every policy with every seed at one rate, one after the other with
// each seed, so that no policy has a part of the run to itself.
func compare(o Options, mix *mix, rate float64) []series {
	results := make([]series, len(policies))
	for pair := range o.Pairs {
		for i := range policies {
			at := (i + pair) % len(policies)
			run := newSimulation(o, mix, policies[at], rate, o.Seed+uint64(pair))
			results[at].name = policies[at].name
			results[at].runs = append(results[at].runs, run.measure())
		}
	}
	return results
}

// saturated is the capacity in requests a second: that of the best of the simpler
// policies.
func saturated(o Options, mix *mix) float64 {
	best := 0.0
	for _, p := range policies[1:] {
		best = max(best, capacityOf(o, mix, p))
	}
	return best
}

// Search for a capacity.
const (
	// keepsUp is the part of the offered requests that must be whole in time.
	keepsUp = 0.99
	// highestRate is requests a second for each engine, beyond any capacity.
	highestRate = 8.0
	searchSteps = 8
)

// capacityOf is the highest rate at which a policy answers keepsUp of what is
// offered before the deadlines, found by bisection with the first seed.
func capacityOf(o Options, mix *mix, p policy) float64 {
	low, high := 0.0, highestRate*float64(o.Engines)
	for range searchSteps {
		rate := (low + high) / 2
		run := newSimulation(o, mix, p, rate, o.Seed).measure()
		if float64(run.inTime) >= keepsUp*float64(run.offered) {
			low = rate
		} else {
			high = rate
		}
	}
	return low
}

// overload compares the goodput of the candidate at its own capacity and beyond.
func overload(o Options, mix *mix) []goodputAt {
	capacity := capacityOf(o, mix, policies[0])
	var out []goodputAt
	for _, percent := range []int{100, 130, 200} {
		at := goodputAt{percent: percent}
		for pair := range o.Pairs {
			run := newSimulation(o, mix, policies[0], capacity*float64(percent)/100, o.Seed+uint64(pair))
			at.runs = append(at.runs, run.measure())
		}
		out = append(out, at)
	}
	return out
}
