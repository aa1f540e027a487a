// Package clocktest makes the readings of a clock whose time of day steps, which a test cannot do to the
// system's.
package clocktest

import (
	"fmt"
	"time"
	"unsafe"
)

// secondsShift is the position of the seconds in the first word of a time.Time with a monotonic reading;
// the bits below hold the nanoseconds.
const secondsShift = 30

// Stepped returns a reading of the system's clock with the time of day moved by whole seconds and the same
// monotonic part. It panics if the reading has none, or where the layout of time.Time is another.
func Stepped(reading time.Time, seconds int) time.Time {
	stepped := reading
	word := (*uint64)(unsafe.Pointer(&stepped))
	*word += uint64(seconds) << secondsShift
	by := time.Duration(seconds) * time.Second
	if stepped.Sub(reading) != 0 || stepped.Round(0).Sub(reading.Round(0)) != by {
		panic(fmt.Sprintf("clocktest: %v has no monotonic reading, or time.Time another layout", reading))
	}
	return stepped
}

// Clock is a clock that a test moves on and steps. It is not safe for concurrent use.
type Clock struct {
	base    time.Time
	elapsed time.Duration
	// Seconds is by how much the time of day is off.
	Seconds int
}

// NewClock returns a clock that shows the present.
func NewClock() *Clock { return &Clock{base: time.Now()} }

// Now implements clock.Clock.
func (c *Clock) Now() time.Time { return Stepped(c.base.Add(c.elapsed), c.Seconds) }

// Advance moves the monotonic clock on.
func (c *Clock) Advance(d time.Duration) { c.elapsed += d }
