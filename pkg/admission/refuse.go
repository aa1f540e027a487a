package admission

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// leastRetry keeps callers from coming back at once; retryNoCapacity is about how
// long it takes until a pool's share is divided anew.
const (
	minRetryAfter   = 100 * time.Millisecond
	retryNoCapacity = time.Second
)

// statusClientClosed is the customary status for a request whose caller has gone.
const statusClientClosed = 499

// refuseLate returns a refusal when the predicted wait is longer than allowed.
func refuseLate(wait, allowed time.Duration, t *Ticket) *outcome.Refusal {
	if allowed >= 0 && wait <= allowed {
		return nil
	}
	if t.Deadline.IsZero() {
		return refuseFull(wait - allowed)
	}
	if allowed < 0 {
		return refuseInfeasible()
	}
	return refuseUnreachable(wait - allowed)
}

// refuseUnreachable is for a deadline that would be missed in the queue; coming
// back helps once the queue has drained for retry.
func refuseUnreachable(retry time.Duration) *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonDeadline, max(minRetryAfter, retry),
		"the deadline would be missed in the queue")
}

// refuseHopeless is for a request that takes longer than its deadline leaves, even
// without a queue. Coming back with the same deadline does not help.
func refuseInfeasible() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonDeadline, 0,
		"the request is predicted to take longer than its deadline leaves")
}

func refuseFull(retry time.Duration) *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, max(minRetryAfter, retry),
		"the queue is full")
}

func refuseNoCapacity() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, retryNoCapacity,
		"this gateway has no share of any usable upstream")
}

func refuseCancelled(cause error) *outcome.Refusal {
	refusal := outcome.Refuse(statusClientClosed, outcome.ReasonCancelled, 0, "the caller gave the request up")
	refusal.Err = cause
	return refusal
}
