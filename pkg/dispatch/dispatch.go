package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/claim"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/relay"
	"github.com/lilacweir/lilacweir/pkg/trace"
)

// Choice is the target of the next attempt.
type Choice struct {
	Target relay.Target
	// Domain and Region are those where the request will be processed.
	Domain, Region string
	// Version is the model version there; empty for services.
	Version string
	// Revision is the configuration revision used for the choice.
	Revision config.Revision
	// OnFirstByte is called when the answer begins, unless nil.
	OnFirstByte func()
}

// Router chooses targets from the latest snapshots.
type Router interface {
	// Route starts routing one request. The caller must call Release on the result.
	Route(request *Request) Route
	// Permitted checks a choice against the configuration now in force.
	Permitted(request *Request, choice *Choice) *outcome.Refusal
	// Retry takes one retry from the budget; false if there is none left.
	Retry() bool
}

// Route takes one request through admission and its attempts.
type Route interface {
	// Next waits for admission, once, and chooses a target that is not in tried.
	// Calling done releases the slot taken there.
	Next(ctx context.Context, tried []string) (choice Choice, done func(relay.Report), refusal *outcome.Refusal)
	// LocalUpstreams returns the own failure domain's upstreams that serve the request.
	LocalUpstreams() []string
	// Release releases the request's resources.
	Release()
}

// Claims grants the right to run requests that may not be repeated.
// *claim.Coordinator implements it.
type Claims interface {
	Begin(ctx context.Context, asked claim.Claim) (*claim.Grant, *claim.Recorded, *outcome.Refusal)
}

// Dispatcher serves requests. Its fields are set once, before the first request.
type Dispatcher struct {
	Router  Router
	Claims  Claims
	Client  *relay.Client
	Log     zerolog.Logger
	Trace   *trace.Log
	Metrics *Metrics
	Now     func() time.Time
	// Domain is the own failure domain.
	Domain string
	// Ending, unless nil, ends when running requests are to end.
	Ending context.Context
}

// untilEnding returns a context that also ends with relay.ErrEnding when running requests are to end. The returned
// function releases it.
func (d *Dispatcher) untilEnding(ctx context.Context) (context.Context, context.CancelFunc) {
	if d.Ending == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.Ending, func() { cancel(relay.ErrEnding) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// minTracedWait is the minimum queueing time that is traced.
const minTracedWait = 10 * time.Millisecond

// unbudgetedAttempts is the number of attempts outside the retry budget while
// upstreams refuse for lack of capacity: a rejected attempt costs almost nothing, and
// one overloaded engine is little evidence about the others.
const unbudgetedAttempts = 2

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

// run is the state of one request in progress.
type run struct {
	*Dispatcher
	request  *Request
	sink     *relay.Sink
	record   *trace.Record
	start    time.Time
	tried    []string
	attempts int
	// mayHaveRun is true once an attempt may have run.
	mayHaveRun bool
	// leftDomain is true once the own failure domain's upstreams were excluded.
	leftDomain  bool
	lastFailure *relay.Failure
}

// Serve processes the request and answers the caller. It panics with
// http.ErrAbortHandler if only a broken connection can signal an incomplete answer.
func (d *Dispatcher) Serve(ctx context.Context, request *Request, sink *relay.Sink) {
	start := d.Now()
	r := &run{Dispatcher: d, request: request, sink: sink, start: start, record: d.Trace.Begin(request.ID, start)}
	r.traceEvent(trace.Event{Kind: trace.Arrived, Subject: request.Caller.Name})
	d.Metrics.Requests.Inc(1)
	if !request.Deadline.IsZero() {
		limited, cancel := context.WithDeadline(ctx, request.Deadline)
		defer cancel()
		ctx = limited
	}
	ctx, release := d.untilEnding(ctx)
	defer release()
	refusal := r.serveClaimed(ctx)
	r.end(refusal)
	if refusal != nil {
		sink.Refuse(refusal)
	}
}

// serve makes attempts until one succeeds or no retry is allowed. ctx bounds the
// waiting, work the attempts.
func (r *run) serve(ctx, work context.Context) *outcome.Refusal {
	route := r.Router.Route(r.request)
	defer route.Release()
	for {
		choice, done, refusal := r.next(ctx, route)
		if refusal != nil {
			return r.refuse(refusal)
		}
		report := r.attempt(work, &choice, done)
		if report.Failure == nil {
			return nil
		}
		if !r.mayRetry(route, report.Failure) {
			return r.refuse(report.Failure.Refusal)
		}
	}
}

// next chooses a target. If there is no other, a repeatable request that may have run
// returns to targets that failed before: resuming a stream is worth more than starting
// anew, and a request without a begun stream has paid its retry from the budget.
func (r *run) next(ctx context.Context, route Route) (Choice, func(relay.Report), *outcome.Refusal) {
	asked := r.Now()
	choice, done, refusal := route.Next(ctx, r.tried)
	if r.Now().Sub(asked) >= minTracedWait {
		r.traceEvent(trace.Event{Kind: trace.Queued, Subject: r.request.Serves})
	}
	if refusal == nil || !r.mayHaveRun || len(r.tried) == 0 {
		return choice, done, refusal
	}
	r.tried = nil
	return route.Next(ctx, nil)
}

// attempt makes one attempt at a target.
func (r *run) attempt(ctx context.Context, choice *Choice, done func(relay.Report)) relay.Report {
	chunks := r.sink.Chunks
	report := r.send(ctx, choice)
	done(report)
	r.attempts++
	r.tried = append(r.tried, choice.Target.Name)
	if r.sink.Chunks > chunks {
		r.request.Version = choice.Version
	}
	if report.Failure != nil {
		r.recordFailure(choice, report.Failure)
	}
	return report
}

// send makes the attempt if it is still permitted.
func (r *run) send(ctx context.Context, choice *Choice) relay.Report {
	if refusal := r.Router.Permitted(r.request, choice); refusal != nil {
		return relay.Report{Failure: &relay.Failure{Refusal: refusal, Unsent: true}}
	}
	r.recordAttempt(choice)
	return r.Client.Do(ctx, choice.Target, r.call(choice), r.sink)
}

// recordAttempt traces and counts an attempt, and sets the caller's header fields that
// name its target.
func (r *run) recordAttempt(choice *Choice) {
	kind := trace.Sent
	switch {
	case r.sink.HeadWritten:
		kind = trace.Resumed
		r.Metrics.Resumed.Inc(1)
	case choice.Target.Peer:
		kind = trace.Forwarded
	}
	if choice.Target.Peer {
		r.Metrics.Forwarded.Inc(1)
	}
	if r.attempts > 0 {
		r.Metrics.Retried.Inc(1)
	}
	r.traceEvent(trace.Event{Kind: kind, Subject: choice.Target.Name})
	if r.sink.HeadWritten {
		return
	}
	r.sink.Head(func(fields http.Header) {
		fields.Set(header.Domain, choice.Domain)
		fields.Set(header.Upstream, choice.Target.Name)
	})
}

// call returns the call to send to the choice.
func (r *run) call(choice *Choice) *relay.Call {
	call := &relay.Call{
		RequestID:   r.request.ID,
		Method:      r.request.Method,
		URI:         r.request.URI,
		Header:      r.request.Header,
		Body:        r.request.Body,
		AtMostOnce:  !r.request.Repeatable,
		Offset:      r.request.Offset,
		OnFirstByte: choice.OnFirstByte,
	}
	if choice.Target.Peer {
		call.Header = r.peerHeader(choice)
	}
	return call
}

// recordFailure traces, counts and logs a failed attempt.
func (r *run) recordFailure(choice *Choice, failure *relay.Failure) {
	r.lastFailure = failure
	if failure.Refusal.Outcome != outcome.NotRun {
		r.mayHaveRun = true
	}
	kind := trace.Failed
	if failure.Mismatched {
		kind = trace.Crossed
		r.Metrics.Mismatched.Inc(1)
	}
	r.traceEvent(trace.Event{Kind: kind, Subject: choice.Target.Name, Reason: failure.Refusal.Reason, Outcome: failure.Refusal.Outcome})
	r.Log.Warn().Str("request", r.request.ID).Str("target", choice.Target.Name).
		Str("outcome", string(failure.Refusal.Outcome)).Str("reason", string(failure.Refusal.Reason)).
		Err(failure.Refusal.Err).Msg("attempt-failed")
}

// refuse returns the refusal that applies to the request as a whole.
func (r *run) refuse(refusal *outcome.Refusal) *outcome.Refusal {
	if r.lastFailure != nil && !r.lastFailure.CallerGone && refusal.Reason == outcome.ReasonNoUpstream {
		refusal = r.lastFailure.Refusal
	}
	whole := *refusal
	whole.RequestID = r.request.CallerID
	if r.mayHaveRun {
		whole.Outcome = outcome.Unknown
	}
	if whole.Status < http.StatusBadRequest {
		whole.Status = http.StatusBadGateway
	}
	return &whole
}

func (r *run) traceEvent(event trace.Event) {
	event.After = r.Now().Sub(r.start)
	r.record.Add(event)
}

// end logs and counts the end of the request.
func (r *run) end(refusal *outcome.Refusal) {
	out, reason := outcome.Complete, outcome.Reason("")
	if refusal != nil {
		out, reason = refusal.Outcome, refusal.Reason
	}
	r.traceEvent(trace.Event{Kind: trace.Ended, Outcome: out, Reason: reason})
	took := r.Now().Sub(r.start)
	r.Metrics.end(took, reason)
	event := r.Log.Info().Str("request", r.request.ID).Str("caller", r.request.Caller.Name).
		Str("serves", r.request.Serves).Str("outcome", string(out)).Int("attempts", r.attempts).
		Int("chunks", r.sink.Chunks).Dur("ms", took)
	if reason != "" {
		event = event.Str("reason", string(reason))
	}
	if r.request.Origin != "" {
		event = event.Str("origin", r.request.Origin)
	}
	event.Msg("request-ended")
}
