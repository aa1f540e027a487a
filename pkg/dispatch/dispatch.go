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

// Choice is where the next attempt goes.
type Choice struct {
	Target relay.Target
	// Domain and Region say where the request will be processed.
	Domain, Region string
	// Version is the model version there; empty for services.
	Version string
	// Revision is the configuration by which the choice was made.
	Revision config.Revision
	// OnFirstByte is called when the answer begins; nil for none.
	OnFirstByte func()
}

// Router chooses targets by the newest snapshots.
type Router interface {
	// Route begins the way of one request. End must be called on the result.
	Route(request *Request) Route
	// Permitted checks a choice against the configuration that is in force now.
	Permitted(request *Request, choice *Choice) *outcome.Refusal
	// Retry asks for one retry of a request that may have run.
	Retry() bool
}

// Route is the way of one request through admission and its attempts.
type Route interface {
	// Next waits for admission, once, and chooses a target that is not in tried.
	// The place taken there is given back by calling done.
	Next(ctx context.Context, tried []string) (choice Choice, done func(relay.Report), refusal *outcome.Refusal)
	// LocalUpstreams names the own failure domain's upstreams that serve the request.
	LocalUpstreams() []string
	// End gives up what the request holds.
	End()
}

// Claims gives the right to run requests that may not be repeated.
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
}

// notedWait is the least time in the queue that operators are told of.
const minTracedWait = 10 * time.Millisecond

// freeAttempts is how many attempts a request has, without regard to the retry
// budget, while nothing has run for lack of capacity: one more costs next to nothing,
// and a single engine that starts nothing says little of the others.
const unbudgetedAttempts = 2

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

// run is one request on its way.
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
	// leftDomain is true once the own failure domain's upstreams were given up.
	leftDomain  bool
	lastFailure *relay.Failure
}

// Serve takes the request to its end. It panics with http.ErrAbortHandler where
// only a broken connection can tell the caller that the answer is not whole.
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
	refusal := r.serveClaimed(ctx)
	r.end(refusal)
	if refusal != nil {
		sink.Refuse(refusal)
	}
}

// serve makes attempts until one succeeds or the request must be given up. Waiting
// ends with ctx; an attempt, once it is made, ends with work.
func (r *run) serve(ctx, work context.Context) *outcome.Refusal {
	route := r.Router.Route(r.request)
	defer route.End()
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

// next chooses a target. A repeatable request goes back to a target that broke off
// before when there is no other: a stream's chunks are worth more than a fresh
// start, and other requests have paid for their retry from the budget.
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

// attempt tries one target.
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

// announce notes an attempt, and tells the caller where it goes.
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

// call is what is sent to the choice.
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

// failed notes a failed attempt.
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

// refuse returns the refusal that is true for the whole request.
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
