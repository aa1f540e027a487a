package admission

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// minRetryAfter prevents immediate retries. retryNoCapacity is about the time
// until a pool's capacity is divided anew among the gateways.
const (
	minRetryAfter   = 100 * time.Millisecond
	retryNoCapacity = time.Second
)

// statusClientClosed is the non-standard status of a request that its caller
// cancelled, as nginx logs it.
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

// refuseUnreachable refuses a request that would miss its deadline in the queue.
// A retry can succeed after the queue has drained for the duration retry.
func refuseUnreachable(retry time.Duration) *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonDeadline, max(minRetryAfter, retry),
		"the deadline would be missed in the queue")
}

// refuseInfeasible refuses a request that would miss its deadline even without a
// queue. A retry with the same deadline does not help.
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
