package edge

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/ingress"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

func (e *Edge) serveCaller(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) }

// servePeer serves a request that another instance has forwarded.
func (e *Edge) servePeer(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) }

// noConfigurationRetry is the Retry-After of an instance without a configuration, which reads one
// as soon as the store or another instance answers.
const noConfigurationRetry = 300 * time.Millisecond

// storeLostRetry replaces noConfigurationRetry while the store does not answer: outages last
// seconds, and a caller that returns too early has used up a retry.
const storeLostRetry = 1200 * time.Millisecond

// startRetry returns the Retry-After of an instance that cannot serve anything yet.
func (e *Edge) startRetry() time.Duration {
	if e.store.LastCallFailed() {
		return storeLostRetry
	}
	return noConfigurationRetry
}

// leavingRetry is the Retry-After of an instance that is leaving: another one can serve the
// caller.
const leavingRetry = 50 * time.Millisecond

// grantedByPeer returns the number of upstreams on which the forwarding instance lets a request
// run.
func grantedByPeer(fields http.Header) int {
	granted, err := strconv.Atoi(fields.Get(header.Attempts))
	if err != nil {
		return 1
	}
	return max(1, granted)
}

// writeSlack is the time that the caller may take to read the end of an answer after the
// request's deadline.
const writeSlack = time.Second

func (e *Edge) serve(w http.ResponseWriter, r *http.Request, forwarded bool) {
	e.active.Add(1)
	defer e.active.Add(-1)
	j := &job{
		Edge:      e,
		request:   r,
		forwarded: forwarded,
		started:   e.now(),
		writer: &writer{
			ResponseWriter:   w,
			control:          http.NewResponseController(w),
			closesConnection: e.Leaving,
			now:              e.now,
		},
	}
	defer j.releaseBody()
	refusal := j.serve()
	j.finish(refusal)
}

// serve serves the request. It returns the refusal that is still to be sent to the caller, nil if
// there is none.
func (j *job) serve() *outcome.Refusal {
	j.awaitReady(j.request.Context(), j.configured)
	if refusal := j.prepare(); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(j.request.Context(), j.deadline)
	defer cancel()
	ctx, release := j.untilGraceEnds(ctx)
	defer release()
	// A caller that does not read must not keep the answer in memory forever. A connection
	// without deadlines (a test's recorder) has no slow reader.
	_ = j.writer.control.SetWriteDeadline(j.deadline.Add(writeSlack))
	if refusal := j.pinOrigin(ctx); refusal != nil {
		return refusal
	}
	if !j.forwarded {
		j.retries.RecordRequest(j.service.Name)
	}
	return j.run(ctx)
}

// prepare finds the route and reads the whole request.
func (j *job) prepare() *outcome.Refusal {
	var err error
	if j.attributes, err = j.dialect.Attributes(j.request.Header); err != nil {
		refusal := outcome.Refuse(http.StatusBadRequest, outcome.ReasonBadRequest, 0, "bad header")
		refusal.Err = err
		return refusal
	}
	j.config = j.board.Routes.Load()
	if j.config == nil || j.board.Fleet.Load() == nil {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, j.startRetry(), "this instance has no configuration yet")
	}
	if refusal := j.checkHead(); refusal != nil {
		return refusal
	}
	j.route = j.config.Match(j.request.Host, path(j.request.RequestURI))
	if j.route == nil {
		return outcome.Refuse(http.StatusNotFound, outcome.ReasonUnknownRoute, 0, "no route matches")
	}
	if refusal := j.identify(); refusal != nil {
		return refusal
	}
	j.route = j.route.For(j.organisation)
	j.setDeadline()
	if refusal := j.charge(); refusal != nil {
		return refusal
	}
	j.attemptsLeft = max(1, j.route.MaxAttempts)
	if j.forwarded {
		j.attemptsLeft = min(j.attemptsLeft, grantedByPeer(j.request.Header))
	}
	if !j.leaving.Load().accepts(j.started, j.deadline) {
		return leavingRefusal()
	}
	if refusal := j.readBody(); refusal != nil {
		return refusal
	}
	// The end of a body may come late.
	if !j.leaving.Load().accepts(j.now(), j.deadline) {
		return leavingRefusal()
	}
	j.service = j.config.Service(j.route.Pick(hash(j.attributes.RequestID)))
	if j.service == nil {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, noConfigurationRetry, "the route has no service")
	}
	if j.forwarded && !j.route.PermittedIn(j.settings.Region) {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonForbiddenRegion, noConfigurationRetry, "the request may not be processed in this region")
	}
	return nil
}

// leavingRefusal refuses a request that may not end before the instance does.
func leavingRefusal() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonDraining, leavingRetry, "this instance leaves")
}

// maxRequestTime bounds every request, including those without a deadline of their caller or route.
const maxRequestTime = time.Minute

// setDeadline sets the earliest of the caller's, the route's and the general bound. A forwarded
// request comes with what is left of them at the instance at its caller, whose configuration may be
// another one.
func (j *job) setDeadline() {
	bound := maxRequestTime
	if j.attributes.Deadline > 0 {
		bound = min(bound, j.attributes.Deadline)
	}
	if j.route.Timeout > 0 && (!j.forwarded || j.attributes.Deadline == 0) {
		bound = min(bound, j.route.Timeout)
	}
	j.deadline = j.started.Add(bound)
}

// readBody reads the whole body, so that no part of a truncated request reaches an upstream.
func (j *job) readBody() *outcome.Refusal {
	body, err := j.guard.ReadBody(j.writer.ResponseWriter, j.request, int64(j.config.Limits.BodyBytes), j.leaving.Load().bodyDeadline(j.deadline))
	if err != nil {
		return j.bodyRefusal(err)
	}
	j.received, j.body = body, body.Bytes
	return nil
}

// bodyRefusal returns the refusal of a request whose body was not read whole.
func (j *job) bodyRefusal(err error) *outcome.Refusal {
	var tooLarge *ingress.TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return outcome.Refuse(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, 0, "the body is too large")
	case errors.Is(err, ingress.ErrMemory):
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonClientMemory, steer.RetryAfter(j.now(), j.deadline), "requests hold all the memory that they may have here")
	}
	if leaving := j.leaving.Load(); leaving != nil && !j.now().Before(leaving.answerBy) {
		return leavingRefusal()
	}
	refusal := outcome.Refuse(http.StatusRequestTimeout, outcome.ReasonSlowCaller, noConfigurationRetry, "the body did not arrive whole")
	refusal.Err = err
	return refusal
}

// releaseBody gives the body up, once no attempt can follow.
func (j *job) releaseBody() {
	if j.received != nil {
		j.body = nil
		j.received.Release()
	}
}

// finish sends a refusal to the caller, and logs and counts the end of the request.
func (j *job) finish(refusal *outcome.Refusal) {
	took := j.now().Sub(j.started)
	if refusal != nil && refusal.Outcome == outcome.NotRun {
		j.grant.Refund()
	}
	j.counts.requestEnded(j, refusal, took)
	if refusal == nil {
		j.logEnd(took)
		return
	}
	j.logRefusal(refusal, took)
	// The caller may take its time for the refusal.
	j.releaseBody()
	j.refuse(refusal)
}

// returnsUpstreamFailure reports whether the caller gets an upstream's error answer in place of a
// refusal.
func (j *job) returnsUpstreamFailure() bool {
	return !j.writer.started && j.upstreamFailure != nil && j.runs > 0
}

// refuse sends the caller an upstream's error answer if there is one, else the refusal. An answer
// that has started can only be aborted.
func (j *job) refuse(refusal *outcome.Refusal) {
	if j.writer.started {
		panic(http.ErrAbortHandler)
	}
	if j.returnsUpstreamFailure() {
		j.deliver(j.upstreamFailure)
		return
	}
	if j.received == nil {
		ingress.EndEarly(j.writer.ResponseWriter, j.request)
	}
	// A connection without deadlines (a test's recorder) has no slow reader.
	_ = j.writer.control.SetWriteDeadline(j.now().Add(refusalWriteTime))
	fields := j.writer.Header()
	maps.Copy(fields, j.dialect.Refusal(j.attributes.RequestID, refusal.RetryAfter))
	fields.Set(header.Outcome, string(refusal.Outcome))
	if j.forwarded {
		fields.Set(header.Reason, string(refusal.Reason))
		fields.Set(header.Attempts, strconv.Itoa(j.sends))
		if j.yieldsShare(refusal) {
			fields.Set(header.AboveShare, "1")
		}
		if refusal.Reason == outcome.ReasonQuarantined {
			fields.Set(header.Quarantined, j.quarantinedAs.Key())
		}
	}
	fields.Set(header.ContentType, "text/plain; charset=utf-8")
	body := fmt.Sprintf("%s: %s: %s\n", refusal.Outcome, refusal.Reason, refusal.Detail)
	j.deliver(&bufferedAnswer{status: refusal.Status, header: fields.Clone(), body: []byte(body)})
}

// surveyError gives, in logs, the reason why no upstream could accept a request.
type surveyError struct {
	survey steer.Survey
	// backingOff names the permitted regions that back off after a refusal for lack of capacity.
	backingOff []string
}

// Error implements error.
func (e *surveyError) Error() string {
	s := e.survey
	return fmt.Sprintf("known=%d usable=%d unreachable=%d unresponsive=%d resting=%d cold=%d limited=%d crowded=%d places=%d in_flight=%d slots=%d", s.Known, s.Usable, s.Unreachable, s.Unresponsive, s.BackingOff, s.Cold, s.Limited, s.Crowded, s.Places, s.InFlight, s.Slots)
}

// path returns the path of a request URI without its query, undecoded.
func path(uri string) string {
	bare, _, _ := strings.Cut(uri, "?")
	return bare
}
