// Package clock gives the decisions of lilacweir their notion of time, so that a
// test, a benchmark or an outside driver can run them without waiting.
package clock

import "time"

// Clock tells the time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time; values from one Clock may be compared and
	// subtracted (the system clock carries a monotonic reading).
	Now() time.Time
}

// System is the machine's clock.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Func adapts a plain function to Clock.
type Func func() time.Time

// Now implements Clock.
func (f Func) Now() time.Time { return f() }
