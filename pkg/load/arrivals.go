// Package load sends open-loop load to gateways and measures what callers see.
//
// Guarantee: each request is due at a time that was drawn beforehand from a
// fixed seed, and its times count from then. A slow answer thus delays no later
// request and hides none of its own wait (no coordinated omission).
package load

import (
	"math/rand/v2"
	"time"
)

// Arrivals draws the due times of a Poisson process, from its beginning.
// rate is requests a second.
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
