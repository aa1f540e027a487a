// Package outcome defines the three outcomes of a request, and the typed refusal for
// every outcome that is not complete.
//
// Guarantee: NotRun is reported only if no byte of the request was sent to any
// upstream, or the upstream itself reported that it did not start.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is the final result of a request.
type Outcome string

// The outcomes of a request, typed end to end.
const (
	// Complete means that the caller received the complete answer.
	Complete Outcome = "complete"
	// NotRun means that no upstream started the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run, partly or completely.
	Unknown Outcome = "unknown"
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// Reasons that callers receive. Each is part of the public API.
const (
	ReasonNoConfiguration  Reason = "no-configuration"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonForbiddenRegion  Reason = "forbidden-region"
	ReasonForbiddenModel   Reason = "forbidden-model"
	ReasonUnknownModel     Reason = "unknown-model"
	ReasonUnknownRoute     Reason = "unknown-route"
	ReasonBadRequest       Reason = "bad-request"
	ReasonTooLarge         Reason = "too-large"
	ReasonSlowCaller       Reason = "slow-caller"
	ReasonClientMemory     Reason = "client-memory"
	ReasonOverloaded       Reason = "overloaded"
	ReasonCallerLimit      Reason = "caller-limit"
	ReasonDeadline         Reason = "deadline-unreachable"
	ReasonNoUpstream       Reason = "no-upstream"
	ReasonUnreachable      Reason = "upstreams-unreachable"
	ReasonUnresponsive     Reason = "upstreams-unresponsive"
	ReasonNoRoom           Reason = "upstreams-without-room"
	ReasonOriginUnknown    Reason = "stream-origin-unknown"
	ReasonOriginGone       Reason = "stream-origin-gone"
	ReasonUpstreamFailed   Reason = "upstream-failed"
	ReasonQuarantined      Reason = "quarantined"
	ReasonUpstreamMismatch Reason = "upstream-mismatch"
	ReasonDraining         Reason = "instance-leaving"
	ReasonLoop             Reason = "loop"
	ReasonStaleRevision    Reason = "stale-revision"
	ReasonKeyInvalid       Reason = "idempotency-key-invalid"
	ReasonKeyExpired       Reason = "idempotency-key-expired"
	ReasonKeyInProgress    Reason = "idempotency-key-in-progress"
	ReasonKeyReused        Reason = "idempotency-key-reused"
	ReasonKeyOwnerLost     Reason = "idempotency-key-owner-lost"
	ReasonKeyUnresolved    Reason = "idempotency-key-unresolved"
	ReasonKeyStoreDown     Reason = "idempotency-key-store-unavailable"
	ReasonKeyAnswerDropped Reason = "idempotency-key-answer-dropped"
	ReasonCancelled        Reason = "cancelled"
	ReasonInternal         Reason = "internal"
)

// Refusal is the typed result of a request that was not answered completely.
type Refusal struct {
	// Outcome is NotRun or Unknown.
	Outcome Outcome
	// Reason is the machine-readable cause.
	Reason Reason
	// Status is the HTTP status that the caller receives.
	Status int
	// RequestID identifies the request; the API layer fills it in.
	RequestID string
	// RetryAfter is the delay before a retry; zero means that retrying the same
	// request does not help.
	RetryAfter time.Duration
	// Detail is one human-readable sentence. It contains no secrets.
	Detail string
	// Err is the underlying error, if any.
	Err error
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Err != nil {
		return fmt.Sprintf("%s: %s: %s: %v", r.Outcome, r.Reason, r.Detail, r.Err)
	}
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// Refuse returns a NotRun refusal.
func Refuse(status int, reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Status: status, RetryAfter: retryAfter, Detail: detail}
}

// MayHaveRun returns an Unknown refusal: a retry might run the request twice.
func MayHaveRun(status int, reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Status: status, RetryAfter: retryAfter, Detail: detail}
}

// Of returns the outcome that an error implies: Complete for nil, the outcome of a
// wrapped refusal, and Unknown for anything else.
func Of(err error) Outcome {
	if err == nil {
		return Complete
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Outcome
	}
	return Unknown
}
