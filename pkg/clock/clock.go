// Package clock abstracts the time that lilacweir's decisions use, so that tests, benchmarks and
// simulations run them without waiting.
package clock

import "time"

// Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time. Values from one Clock may be compared and
	// subtracted (the system clock carries a monotonic reading).
	Now() time.Time
}

// System is the system clock.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Func adapts a plain function to Clock.
type Func func() time.Time

// Now implements Clock.
func (f Func) Now() time.Time { return f() }
