package clock

import (
	"context"
	"time"
)

// Sleep waits for d on the machine's clock, or until ctx ends; it reports whether
// ctx lasted. It is for loops around decisions, not for decisions.
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
