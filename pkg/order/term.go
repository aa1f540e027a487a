// Package order sends model engines orders to load versions. One instance of each
// failure domain sends them, the holder of a lease in the platform's key-value service.
//
// Guarantees. An engine that checks fencing numbers never executes an order older than
// one it has accepted: each order has a higher number than all earlier orders of this
// and earlier holders. To an engine that ignores fencing numbers, an order is sent only
// if the holder's lease outlasts the order's delivery, and a new holder first waits for
// one lease and one delivery. The remaining case is a holder that is paused after that
// check for longer than this wait. The new holder's next reading of the engine then
// finds the wrong version, and it repeats the order.
//
// Without a lease no order is sent, and serving continues.
package order

import (
	"errors"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

const (
	// LeaseTTL is the lease's time to live.
	LeaseTTL = 10 * time.Second
	// renewInterval is the time between renewals of the lease.
	renewInterval = LeaseTTL / 4
	// checkInterval is the time between a candidate's checks whether the lease is
	// free.
	checkInterval = LeaseTTL / 4
	// FlightMargin bounds the time from the check of the lease to the order's
	// effect, and the drift between clocks during a lease.
	FlightMargin = time.Second
	// sequenceBits is the width of a fencing number's order count within a term.
	sequenceBits = 16
)

// Reasons why no order may be sent now.
var (
	// ErrNoLease means that the lease may expire before the order takes effect.
	ErrNoLease = errors.New("order lease expires too soon")
	// ErrOrdersInFlight means that an earlier holder's order may still be in flight
	// to an engine that ignores fencing numbers.
	ErrOrdersInFlight = errors.New("orders of an earlier holder may be in flight")
)

// term is a period in which this process holds the lease. It is immutable.
type term struct {
	lease platform.LeaseID
	// revision is the key-value service's revision of the lease holder's entry.
	revision int64
	// acquired is the time when the acquisition was confirmed.
	acquired time.Time
	// renewed is the time just before the last renewal request, so the lease lasts
	// for at least ttl from then.
	renewed time.Time
	ttl     time.Duration
}

// expired reports whether the lease may have expired.
func (t *term) expired(now time.Time) bool { return maxElapsed(now, t.renewed) >= t.ttl }

// renewalDue reports whether the lease should be renewed.
func (t *term) renewalDue(now time.Time) bool { return maxElapsed(now, t.renewed) >= renewInterval }

// permit returns an error unless an order may be sent now, to an engine that checks
// fencing numbers or to one that ignores them.
func (t *term) permit(now time.Time, checks bool) error {
	if maxElapsed(now, t.renewed)+FlightMargin >= t.ttl {
		return ErrNoLease
	}
	if !checks && minElapsed(now, t.acquired) < LeaseTTL+FlightMargin {
		return ErrOrdersInFlight
	}
	return nil
}

// maxElapsed returns the longest possible time since then: the monotonic clock stops
// on some suspended machines, and the wall clock may be set.
func maxElapsed(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// minElapsed returns the shortest possible time since then.
func minElapsed(now, then time.Time) time.Duration {
	return min(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
