// Package decide measures routing decisions. It runs the real routing, limits and
// admission of a group of gateways against modelled engines in virtual time, with
// open-loop load from fixed seeds, and compares them with simpler policies.
//
// It models only the inputs of decisions (slots, prefill, decode, a prefix cache of
// limited size, delayed reports and gossip), without a network or process faults.
// Engine parameters are those of the stand-in engine's deployments.
package decide

import (
	"fmt"
	"io"
	"time"
)

// Options configures a measurement.
type Options struct {
	// Mix is MixWellness or MixMinibar.
	Mix string
	// Engines and Gateways are the sizes of each failure domain.
	Engines, Gateways int
	// FailureDomains is the number of failure domains; zero means 1.
	FailureDomains int
	// Loads lists the offered loads as percentages of capacity.
	Loads []int
	// Overload adds the goodput at and above the candidate's own capacity.
	Overload bool
	// Fault is the fault of the first engine: FaultSlow, FaultMisreport,
	// FaultReject, or empty for none.
	Fault string
	// Pairs is the number of runs of each policy. Run i of all policies uses the
	// same seed.
	Pairs int
	// Length is the virtual time measured after the warm-up.
	Length time.Duration
	// Seed is the seed of the first pair; each further pair adds one.
	Seed uint64
	// CostWeight is the declared weight of cost against latency, from 0 to 1.
	CostWeight float64
	// Day is used by RunDay only.
	Day Day
}

// Faults of the first engine.
const (
	// FaultSlow makes it slowFactor times slower, with correct reports.
	FaultSlow = "slow"
	// FaultMisreport makes it equally slow, but it reports that it is fast and idle.
	FaultMisreport = "lie"
	// FaultReject makes it reject every request while it reports that it is idle.
	FaultReject = "reject"
)

// slowFactor multiplies the processing times of a slow engine.
const slowFactor = 4

// OptionError reports an invalid option.
type OptionError struct {
	// Name is the option, Value the rejected value.
	Name, Value string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("option %s: %q cannot be used", e.Name, e.Value)
}

// Run compares the policies at each load and writes tables to w.
func Run(w io.Writer, o Options) error {
	mix, err := mixOf(o.Mix)
	if err != nil {
		return err
	}
	if o.Engines < 1 || o.Gateways < 1 || o.Pairs < 1 {
		return &OptionError{Name: "size", Value: fmt.Sprint(o.Engines, o.Gateways, o.Pairs)}
	}
	capacity := baselineCapacity(o.healthy(), mix)
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

// healthy returns the options without a fault.
func (o Options) healthy() Options {
	o.Fault = ""
	return o
}

// compare runs every policy with every seed at one rate. It runs all policies with
// one seed before the next, in a rotating order, so that none has a part of the
// measurement to itself.
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

// baselineCapacity returns the highest capacity of the simpler policies, in requests
// per second.
func baselineCapacity(o Options, mix *mix) float64 {
	best := 0.0
	for _, p := range policies[1:] {
		best = max(best, capacityOf(o, mix, p))
	}
	return best
}

// Parameters of the capacity search.
const (
	// requiredInTime is the fraction of offered requests that must complete in time.
	requiredInTime = 0.99
	// highestRate is in requests per second and engine, above any capacity.
	highestRate = 8.0
	searchSteps = 8
)

// capacityOf returns the highest rate at which a policy completes a fraction
// requiredInTime of the offered requests in time, by bisection with the first seed.
func capacityOf(o Options, mix *mix, p policy) float64 {
	low, high := 0.0, highestRate*float64(o.Engines)
	for range searchSteps {
		rate := (low + high) / 2
		run := newSimulation(o, mix, p, rate, o.Seed).measure()
		if float64(run.inTime) >= requiredInTime*float64(run.offered) {
			low = rate
		} else {
			high = rate
		}
	}
	return low
}

// overload measures the goodput of the candidate at and above its own capacity.
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
