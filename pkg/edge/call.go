package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/origin"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// maxBuffered bounds, in bytes, the answers that are buffered until they are complete. Longer
// ones are passed on as they arrive.
const maxBuffered = 64 << 10

// call is one attempt at one target.
type call struct {
	*job
	to     *target
	pool   *exchange.Pool
	target exchange.Target
	send   Send
	// onPart is called when a part of the answer has arrived, and onData too unless it is nil. onUnread,
	// unless it is nil, is called before and after a part of a stream is passed on.
	onPart   func()
	onData   func()
	onUnread func(unread bool)
	// peer is true if the target is another instance, which may run the request on up to attempts
	// upstreams.
	peer     bool
	attempts int
	sent     time.Time
	// coldSend counts the request at its upstream, nil if that is not counted.
	coldSend *limit.ColdSend
	// waitedBefore is the time for which the caller held up earlier attempts.
	waitedBefore time.Duration
	// status is the status of the answer, zero if none arrived. complete is true once the whole
	// answer was read.
	status   int
	complete bool
	// relayed is the number of bytes of an answer that is passed on as it arrives, no stream.
	relayed int64
	// began is the service and software version that write the stream, nil if they are not known.
	began *origin.Origin
	// regionOverloaded is true if another instance refused for lack of capacity.
	regionOverloaded bool
	// hopRefusal is the refusal of another instance because it reaches no upstream or has no place there;
	// its until is zero if there was none.
	hopRefusal hopRefusal
	err        error
	// counted is true once the attempt is counted as a send.
	counted bool
	// cancel ends the attempt. overtaken is true once another attempt answers the caller.
	cancel    context.CancelCauseFunc
	overtaken bool
	// hedgeRequested is true while a hedge is about to be made.
	hedgeRequested atomic.Bool
}

type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// do sends the request and passes the answer on.
func (c *call) do(ctx context.Context) result {
	c.send.Keyed, c.send.Organisation = c.config.Keyed(), c.organisationName()
	fields := c.dialect.Outgoing(c.request.Header, c.send)
	c.setOrganisation(fields)
	fields.Del(header.Attempts)
	fields.Del(header.StreamOrigin)
	if c.peer {
		fields.Set(header.Attempts, strconv.Itoa(c.attempts))
		c.setStreamOrigin(fields)
	}
	request := &exchange.Request{
		Method:  c.request.Method,
		URI:     c.request.RequestURI,
		Host:    c.request.Host,
		Header:  fields,
		Body:    c.body,
		Matches: c.matchesRequest,
	}
	if c.coldSend != nil {
		request.BeforeWrite = c.coldSend.Written
	}
	var answer *exchange.Answer
	var err error
	c.await(func() { answer, err = c.pool.Do(ctx, c.target, request) })
	if err != nil {
		return c.classifyFailure(ctx, err)
	}
	defer answer.Close()
	c.countSends(c.upstreamSends(answer))
	c.status = answer.Status
	if c.overtaken {
		return overtaken
	}
	return c.handleHead(ctx, answer)
}

// classifyFailure classifies an attempt without a complete answer.
func (c *call) classifyFailure(ctx context.Context, err error) result {
	c.err = err
	var failure *exchange.Error
	unsent := errors.As(err, &failure) && failure.Stage == exchange.Unsent
	if !unsent && c.status == 0 {
		c.countSends(1)
	}
	if c.request.Context().Err() != nil {
		return callerGone
	}
	if c.overtaken && !unsent {
		c.logOvertaken()
		return overtaken
	}
	c.lastError, c.lastEnding = err, endingOf(ctx)
	c.logFailedAttempt(unsent)
	if unsent {
		return notRun
	}
	return broken
}

// countSends counts the sends to upstreams in this attempt.
func (c *call) countSends(made int) {
	c.sends += made
	c.to.sends += made
	c.counted = true
}

// matchesRequest reports whether an answer belongs to the request that was sent. Refusals need
// not name it.
func (c *call) matchesRequest(status int, fields http.Header) bool {
	reading := c.dialect.Reading(status, fields)
	if reading.RequestID == "" && c.attributes.RequestID != "" {
		return reading.NotRun || status >= http.StatusBadRequest
	}
	return reading.RequestID == c.attributes.RequestID
}

// handleHead decides from the answer's head how the answer is handled.
func (c *call) handleHead(ctx context.Context, answer *exchange.Answer) result {
	reading := c.dialect.Reading(answer.Status, answer.Header)
	if !c.peer {
		c.recordState(c.to.survey.Best.Upstream, &reading, c.sent)
	}
	if reading.NotRun || c.refusedByPeer(answer) {
		// For want of one software version a region is not overloaded.
		c.regionOverloaded = c.origin == nil && c.reportsOverload(answer)
		c.recordRegionAnswer(answer, reading.RetryAfter)
		c.recordHopRefusal(answer, reading.RetryAfter)
		c.recordUnresponsiveHop(answer)
		c.recordShareRefusal(answer)
		c.adoptQuarantine(answer, reading.RetryAfter)
		c.discardBody(answer)
		c.logRejection()
		return notRun
	}
	if !reading.Signed && answer.Status < http.StatusMultipleChoices {
		answer.DisableReuse()
		return c.rejectAnswer("answer without the server's signature")
	}
	if c.route.Kind == httproute.Streaming && answer.Status == http.StatusOK {
		c.began = c.streamOrigin(answer)
		if c.origin != nil && (c.began == nil || *c.began != *c.origin) {
			return c.rejectAnswer("the stream goes on at another software version")
		}
		return c.relayStream(ctx, answer)
	}
	if c.writer.started {
		return c.rejectAnswer("the stream cannot be resumed")
	}
	return c.relayAnswer(ctx, answer)
}

// upstreamSends returns the number of sends to upstreams in this attempt. An instance that
// refuses reports its own number.
func (c *call) upstreamSends(answer *exchange.Answer) int {
	if !c.refusedByPeer(answer) {
		return 1
	}
	made, err := strconv.Atoi(answer.Header.Get(header.Attempts))
	if err != nil {
		return 1
	}
	return made
}

// refusedByPeer reports whether another instance answered that the request did not run.
func (c *call) refusedByPeer(answer *exchange.Answer) bool {
	return c.peer && answer.Header.Get(header.Outcome) == string(outcome.NotRun)
}

// reportsOverload reports whether another instance refused for lack of capacity in its region.
func (c *call) reportsOverload(answer *exchange.Answer) bool {
	switch outcome.Reason(answer.Header.Get(header.Reason)) {
	case outcome.ReasonOverloaded, outcome.ReasonNoUpstream, outcome.ReasonUnresponsive:
		// An organisation above its fair share there says nothing about the others.
		return c.refusedByPeer(answer) && answer.Header.Get(header.AboveShare) == ""
	default:
		return false
	}
}

// recordHopRefusal records that another instance refused for a reason of its own, which others of its
// region need not have.
func (c *call) recordHopRefusal(answer *exchange.Answer, retryAfter time.Duration) {
	if !c.refusedByPeer(answer) {
		return
	}
	switch outcome.Reason(answer.Header.Get(header.Reason)) {
	case outcome.ReasonUnreachable:
		c.hopRefusal = hopRefusal{until: c.now().Add(hopRefusalTime)}
	case outcome.ReasonNoRoom:
		c.hopRefusal = hopRefusal{until: c.now().Add(roomHopPause), roomless: true, wait: retryAfter}
		c.noteRoomless(retryAfter)
	}
}

// recordUnresponsiveHop records that another instance refused since its upstreams are unresponsive.
func (c *call) recordUnresponsiveHop(answer *exchange.Answer) {
	if !c.refusedByPeer(answer) || outcome.Reason(answer.Header.Get(header.Reason)) != outcome.ReasonUnresponsive {
		return
	}
	if c.unresponsiveHops == nil {
		c.unresponsiveHops = make(map[string]bool)
	}
	c.unresponsiveHops[c.to.name()] = true
	c.unresponsiveRegions.record(c.to.peer.Instance.Region, c.service.Name, c.now())
}

// adoptQuarantine quarantines what another instance refused the request for as quarantined: a
// segment of its prompt, or the request itself.
func (c *call) adoptQuarantine(answer *exchange.Answer, retryAfter time.Duration) {
	if !c.refusedByPeer(answer) || outcome.Reason(answer.Header.Get(header.Reason)) != outcome.ReasonQuarantined {
		return
	}
	refused := c.fingerprint()
	if text := answer.Header.Get(header.Quarantined); text != "" {
		named, err := quarantine.Parse(text)
		if err != nil {
			c.failedLog.Warn().Err(err).Str(event.KeyTarget, c.to.name()).Msg(string(event.AnswerOdd))
			return
		}
		refused = named
	}
	if segment, ok := refused.Segment(); !ok {
		c.logQuarantine(refused, c.quarantine.Quarantine(refused, retryAfter))
	} else if slices.Contains(c.promptSegments(), segment) {
		c.logQuarantine(refused, c.quarantine.QuarantineSegment(segment, c.organisationName(), retryAfter))
	}
}

// Bounds of bodies that nobody waits for.
const (
	// discardTime bounds the time in which the body of a refusal is read.
	discardTime = 100 * time.Millisecond
	// errorBodyTime is the same for an error answer that is not passed on if another upstream does
	// better.
	errorBodyTime = time.Second
	// endlessBytes is the length in bytes from which an answer that is no stream counts as one without
	// an end if its caller leaves.
	endlessBytes = 8 << 20
	// leaveSlack is the time before the end of a caller's time from which it leaves for that.
	leaveSlack = 100 * time.Millisecond
)

// discardBody reads the rest of a refusal so that its connection can be reused.
func (c *call) discardBody(answer *exchange.Answer) {
	var n int64
	var err error
	defer answer.CutAfter(discardTime)()
	c.await(func() { n, err = io.CopyN(io.Discard, answer, maxBuffered) })
	if err == nil {
		c.log.Debug().Int64(event.KeyBytes, n).Msg(string(event.RefusalTooLong))
	}
}

// invalidAnswerError is the error of an answer that cannot be passed on.
type invalidAnswerError struct{ problem string }

// Error implements error.
func (e *invalidAnswerError) Error() string { return e.problem }

func (c *call) rejectAnswer(problem string) result {
	c.err = &invalidAnswerError{problem: problem}
	c.lastError, c.lastEnding = c.err, endedByTarget
	c.failedLog.Warn().Str(event.KeyRequest, c.attributes.RequestID).Str(event.KeyTarget, c.to.name()).
		Int(event.KeyStatus, c.status).Str(event.KeyProblem, problem).Msg(string(event.AnswerOdd))
	return broken
}

// relayAnswer passes on an answer that is not a stream.
func (c *call) relayAnswer(ctx context.Context, answer *exchange.Answer) result {
	// An upstream's error is passed on only if no other upstream does better.
	failed := answer.Status >= http.StatusInternalServerError && c.route.Repeatable()
	if failed {
		defer answer.CutAfter(errorBodyTime)()
	}
	var body []byte
	var err error
	c.await(func() { body, err = io.ReadAll(io.LimitReader(answer, maxBuffered)) })
	if err != nil {
		return c.classifyFailure(ctx, &exchange.Error{Stage: exchange.Sent, Target: c.target, Err: err})
	}
	c.onPart()
	if !answer.Complete() && len(body) == maxBuffered {
		if failed {
			return c.rejectAnswer("an error answer without end")
		}
		return c.relayLongAnswer(ctx, answer, body)
	}
	if err := c.checkEnd(ctx, answer); err != nil {
		return c.classifyFailure(ctx, err)
	}
	c.complete = true
	complete := &bufferedAnswer{status: answer.Status, header: c.dialect.Answer(answer.Header), body: body}
	if failed {
		c.upstreamFailure = complete
		c.err = &invalidAnswerError{problem: fmt.Sprintf("the upstream answered %d", answer.Status)}
		c.lastError, c.lastEnding = c.err, endedByTarget
		c.logFailedAttempt(false)
		return broken
	}
	if !c.overtake() {
		return overtaken
	}
	return c.deliver(complete)
}

// deliver passes on an answer that is in memory.
func (c *job) deliver(answer *bufferedAnswer) result {
	if err := c.writer.writeAnswer(answer); err != nil {
		return callerGone
	}
	return done
}

// relayLongAnswer passes on an answer that is too long to be buffered.
func (c *call) relayLongAnswer(ctx context.Context, answer *exchange.Answer, first []byte) result {
	if !c.overtake() {
		return overtaken
	}
	if err := c.writer.writeHead(answer.Status, c.dialect.Answer(answer.Header), answer.Length); err != nil {
		return callerGone
	}
	if err := c.writer.writePart(first); err != nil {
		return callerGone
	}
	c.relayed = int64(len(first))
	buffer := make([]byte, maxBuffered)
	for {
		n, err := c.read(answer, buffer)
		c.relayed += int64(n)
		if passed := c.writer.writePart(buffer[:n]); passed != nil {
			return callerGone
		}
		if errors.Is(err, io.EOF) {
			if err := c.checkEnd(ctx, answer); err != nil {
				return c.classifyFailure(ctx, err)
			}
			return done
		}
		if err != nil {
			return c.classifyFailure(ctx, &exchange.Error{Stage: exchange.Sent, Target: c.target, Err: err})
		}
	}
}
