// Package load sends open-loop load to gateways and measures what callers see.
//
// The due time of each request is drawn in advance from a fixed seed, and its
// latencies count from that time. A slow answer thus neither delays later requests
// nor hides its own waiting time (no coordinated omission).
package load

import (
	"math/rand/v2"
	"time"
)

// Arrivals draws the due times of a Poisson process, as offsets from its start.
// rate is in requests per second.
func Arrivals(seed uint64, rate float64, length time.Duration) []time.Duration {
	source := newRand(seed)
	var due []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(source.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return due
		}
		due = append(due, at)
	}
}

// seedStream separates this package's random streams from others of one seed.
const seedStream = 0x6c6f6164

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seedStream))
}
