package clock

import (
	"context"
	"time"
)

// Sleep waits for d on the system clock or until ctx ends, and reports whether ctx is still
// active. It is meant for loops around decisions; decisions themselves use a Clock.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
