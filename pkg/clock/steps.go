package clock

import "time"

// Steps numbers equal spans of time, from its first use on, by the monotonic clock: a step of the time
// of day, ahead or back, changes no number. The zero value is ready. It is not safe for concurrent use.
type Steps struct{ base time.Time }

// At returns the number of the span that contains now.
func (s *Steps) At(now time.Time, span time.Duration) int64 {
	if s.base.IsZero() {
		s.base = now
	}
	return int64(max(0, now.Sub(s.base)) / span)
}

// StepDetector finds steps of the time of day. The zero value is ready. It is not safe for concurrent
// use.
type StepDetector struct{ last time.Time }

// Observe returns by how much the time of day has moved against the monotonic clock since the last
// call: a step, or the time for which the machine was suspended.
func (d *StepDetector) Observe(now time.Time) time.Duration {
	last := d.last
	d.last = now
	if last.IsZero() {
		return 0
	}
	return now.Round(0).Sub(last.Round(0)) - now.Sub(last)
}
