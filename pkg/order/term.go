// Package order gives model engines their orders: one order-giver for each
// failure domain, chosen by a lease in the platform's key-value service.
//
// Guarantees. An engine that checks fencing numbers never carries out an order
// that is older than one that it has taken: each order's number is higher than
// those of all earlier orders, of this holder and of earlier ones. For an engine
// that ignores them, an order is sent only while the holder's lease lasts for
// longer than the order's flight, and a new holder waits for a whole lease and
// the flight before its first one. What remains is a holder that is paused after
// that check, and for longer than that wait; then the new holder's next reading
// of the engine finds the wrong version, and it gives the order again.
//
// Without a lease no order is given, and serving goes on.
package order

import (
	"errors"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

const (
	// LeaseTTL is the lease's time to live.
	LeaseTTL = 10 * time.Second
	// renewInterval is how often the lease is renewed.
	renewInterval = LeaseTTL / 4
	// lookInterval is how often a candidate without the lease looks whether it is
	// free.
	checkInterval = LeaseTTL / 4
	// FlightMargin bounds the time from the check of the lease to the order's
	// effect, and the drift between clocks during a lease.
	FlightMargin = time.Second
	// sequenceBits is the part of a fencing number that counts a tenure's orders.
	sequenceBits = 16
)

// Reasons for which no order may be sent now.
var (
	// ErrNoLease: the lease ends before the order can have taken effect.
	ErrNoLease = errors.New("order lease ends too soon")
	// ErrSettling: an earlier holder's order may still be under way to an engine
	// that ignores fencing numbers.
	ErrOrdersInFlight = errors.New("orders of an earlier holder may be under way")
)

// tenure is the time in which this process is the order-giver. It is immutable.
type term struct {
	lease platform.LeaseID
	// revision is the key-value service's revision of the claim.
	revision int64
	// acquired is when the claim was known to be ours.
	acquired time.Time
	// renewed is just before the last renewal was asked for; the lease lasts for
	// ttl from a later moment on.
	renewed time.Time
	ttl     time.Duration
}

// expired reports whether the lease may have ended.
func (t *term) expired(now time.Time) bool { return maxElapsed(now, t.renewed) >= t.ttl }

// due reports whether the lease is to be renewed.
func (t *term) renewalDue(now time.Time) bool { return maxElapsed(now, t.renewed) >= renewInterval }

// permit says whether an order may leave now, to an engine that checks fencing
// numbers or to one that ignores them.
func (t *term) permit(now time.Time, checks bool) error {
	if maxElapsed(now, t.renewed)+FlightMargin >= t.ttl {
		return ErrNoLease
	}
	if !checks && minElapsed(now, t.acquired) < LeaseTTL+FlightMargin {
		return ErrOrdersInFlight
	}
	return nil
}

// atMost is the longest that the time since then can have been: the monotonic
// clock stands still while some machines sleep, and the wall clock may be set.
func maxElapsed(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// atLeast is the shortest that the time since then can have been.
func minElapsed(now, then time.Time) time.Duration {
	return min(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
