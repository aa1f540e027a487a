package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/claim"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/relay"
)

// finishTimeout bounds the recording of a claimed request's result.
const finishTimeout = 3 * time.Second

// serveClaimed serves the request, after claiming its idempotency key if it must not
// run twice. A forwarded request was claimed by the gateway that received it.
func (r *run) serveClaimed(ctx context.Context) *outcome.Refusal {
	if r.request.Repeatable {
		return r.serve(ctx, ctx)
	}
	detached, cancel := r.detach(ctx)
	defer cancel()
	if r.request.IdempotencyKey == "" || r.request.Origin != "" {
		return r.serve(ctx, detached)
	}
	grant, recorded, refusal := r.Claims.Begin(ctx, claim.Claim{
		Key:         r.request.IdempotencyKey,
		Caller:      r.request.Caller.Name,
		Fingerprint: claim.FingerprintOf(r.request.Method, r.request.URI, r.request.Body),
	})
	switch {
	case refusal != nil:
		return r.refuse(refusal)
	case recorded != nil:
		return r.replay(recorded)
	}
	return r.runGranted(ctx, detached, grant)
}

// detach returns a context that does not end when the caller disconnects: a request
// that may not be repeated runs to its end, so that a repeat finds an answer. The
// deadline, and the end of this instance, still apply.
func (r *run) detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, release := r.untilEnding(context.WithoutCancel(ctx))
	if r.request.Deadline.IsZero() {
		return detached, release
	}
	limited, cancel := context.WithDeadline(detached, r.request.Deadline)
	return limited, func() {
		cancel()
		release()
	}
}

// runGranted runs the request and records its result in every case.
func (r *run) runGranted(ctx, work context.Context, grant *claim.Grant) *outcome.Refusal {
	// One byte beyond the stored maximum shows that an answer is too long.
	r.sink.Capture = &relay.Capture{Limit: claim.MaxStoredBody + 1}
	result := claim.Result{Outcome: outcome.Unknown}
	defer func() { r.recordResult(ctx, grant, result) }()
	refusal := r.serve(ctx, work)
	switch {
	case refusal == nil || r.sink.Received:
		result = resultOf(r.sink.Capture)
	case !r.mayHaveRun:
		result.Outcome = outcome.NotRun
	}
	return refusal
}

// recordResult reports the result to the decider of the key. The caller's answer
// does not wait for a remote decider, but a shutdown does.
func (r *run) recordResult(ctx context.Context, grant *claim.Grant, result claim.Result) {
	finish := func() {
		finishing, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
		defer cancel()
		grant.Finish(finishing, result)
	}
	if grant.Local() {
		finish()
		return
	}
	r.Metrics.Active.Inc(1)
	go func() {
		defer r.Metrics.Active.Dec(1)
		finish()
	}()
}

func resultOf(kept *relay.Capture) claim.Result {
	result := claim.Result{Outcome: outcome.Complete, Status: kept.Status, Body: kept.Body}
	if kept.ContentType != "" {
		result.Header = map[string]string{header.ContentType: kept.ContentType}
	}
	return result
}

// replay answers with the recorded answer of the earlier run.
func (r *run) replay(recorded *claim.Recorded) *outcome.Refusal {
	if recorded.BodyDropped {
		return r.refuse(&outcome.Refusal{
			Outcome: outcome.Complete,
			Reason:  outcome.ReasonKeyAnswerDropped,
			Status:  http.StatusConflict,
			Detail:  "the request ran and was answered completely; its answer was too long to keep",
		})
	}
	r.sink.Head(func(fields http.Header) {
		for name, value := range recorded.Header {
			fields.Set(name, value)
		}
		fields.Set(header.Replayed, header.True)
		fields.Set(header.Outcome, string(outcome.Complete))
	})
	// A caller that has disconnected can retry.
	_ = r.sink.Answer(recorded.Status, recorded.Body)
	return nil
}
