package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// maxHeld bounds, in bytes, an answer that is held until it is whole; a longer one
// is passed on as it comes.
const maxBuffered = 64 << 10

// call is one attempt at one target.
type call struct {
	*job
	to     *target
	pool   *exchange.Pool
	target exchange.Target
	send   Send
	// begun is called when a part of the answer has come, and so is heard if it is not nil.
	onPart func()
	onData func()
	// peer is true when the target is another instance, which may run the request on
	// as many upstreams as attempts says.
	peer     bool
	attempts int
	// sent is when the request was sent.
	sent time.Time
	// status is that of the answer; zero: none came. whole is true once all of it was
	// read.
	status   int
	complete bool
	// regionFull is true when another instance refused for want of capacity.
	regionOverloaded bool
	err              error
}

// held is a whole answer in memory.
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
	if c.peer {
		fields.Set(header.Attempts, strconv.Itoa(c.attempts))
	}
	answer, err := c.pool.Do(ctx, c.target, &exchange.Request{
		Method: c.request.Method,
		URI:    c.request.RequestURI,
		Host:   c.request.Host,
		Header: fields,
		Body:   c.body,
		Ours:   c.matchesRequest,
	})
	if err != nil {
		return c.classifyFailure(ctx, err)
	}
	defer answer.Close()
	c.sends += c.upstreamSends(answer)
	c.status = answer.Status
	return c.handleHead(ctx, answer)
}

// failed classifies an attempt without a whole answer.
func (c *call) classifyFailure(ctx context.Context, err error) result {
	c.err, c.lastError = err, err
	var failure *exchange.Error
	unsent := errors.As(err, &failure) && failure.Stage == exchange.Unsent
	if !unsent && c.status == 0 {
		c.sends++
	}
	if c.request.Context().Err() != nil {
		return callerGone
	}
	c.logFailedAttempt(unsent)
	if unsent {
		return notRun
	}
	return broken
}

// ours says whether an answer belongs to the request that was sent. Refusals need
// not name it.
func (c *call) matchesRequest(status int, fields http.Header) bool {
	reading := c.dialect.Reading(status, fields)
	if reading.RequestID == "" && c.attributes.RequestID != "" {
		return reading.NotRun || status >= http.StatusBadRequest
	}
	return reading.RequestID == c.attributes.RequestID
}

// judge decides from the answer's head what becomes of it.
func (c *call) handleHead(ctx context.Context, answer *exchange.Answer) result {
	reading := c.dialect.Reading(answer.Status, answer.Header)
	if !c.peer {
		c.recordState(c.to.survey.Best.Upstream, &reading, c.sent)
	}
	if reading.NotRun || c.refusedByPeer(answer) {
		c.regionOverloaded = c.reportsOverload(answer)
		c.adoptQuarantine(answer, reading.RetryAfter)
		c.discardBody(answer)
		c.logRejection()
		return notRun
	}
	if !reading.Proven && answer.Status < http.StatusMultipleChoices {
		answer.Spoil()
		return c.rejectAnswer("answer without the server's signature")
	}
	if c.route.Kind == httproute.Streaming && answer.Status == http.StatusOK {
		return c.relayStream(ctx, answer)
	}
	if c.writer.started {
		return c.rejectAnswer("the stream cannot be resumed")
	}
	return c.relayAnswer(ctx, answer)
}

// arrivals is how often the request has come to an upstream by this attempt: another
// instance that refuses tells how often it has sent it.
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

// refusedByPeer says whether another instance answers that the request did not run.
func (c *call) refusedByPeer(answer *exchange.Answer) bool {
	return c.peer && answer.Header.Get(header.Outcome) == string(outcome.NotRun)
}

// full says whether another instance refused for want of capacity in its region.
func (c *call) reportsOverload(answer *exchange.Answer) bool {
	switch outcome.Reason(answer.Header.Get(header.Reason)) {
	case outcome.ReasonOverloaded, outcome.ReasonNoUpstream:
		return c.refusedByPeer(answer)
	default:
		return false
	}
}

// quarantineAsTold takes another instance's word that the request is quarantined.
func (c *call) adoptQuarantine(answer *exchange.Answer, retryAfter time.Duration) {
	if c.refusedByPeer(answer) && outcome.Reason(answer.Header.Get(header.Reason)) == outcome.ReasonQuarantined {
		c.logQuarantine(c.fingerprint(), c.quarantine.Hold(c.fingerprint(), retryAfter))
	}
}

// drain reads the rest of a refusal so that its connection can be kept.
func (c *call) discardBody(answer *exchange.Answer) {
	if n, err := io.CopyN(io.Discard, answer, maxBuffered); err == nil {
		c.log.Debug().Int64(event.KeyBytes, n).Msg(string(event.RefusalTooLong))
	}
}

// oddError is an answer that cannot be passed on.
type invalidAnswerError struct{ problem string }

// Error implements error.
func (e *invalidAnswerError) Error() string { return e.problem }

func (c *call) rejectAnswer(problem string) result {
	c.err = &invalidAnswerError{problem: problem}
	c.lastError = c.err
	c.failedLog.Warn().Str(event.KeyRequest, c.attributes.RequestID).Str(event.KeyTarget, c.to.name()).
		Int(event.KeyStatus, c.status).Str(event.KeyProblem, problem).Msg(string(event.AnswerOdd))
	return broken
}

// answer passes on an answer that is no stream.
func (c *call) relayAnswer(ctx context.Context, answer *exchange.Answer) result {
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered))
	if err != nil {
		return c.classifyFailure(ctx, &exchange.Error{Stage: exchange.Sent, Target: c.target, Err: err})
	}
	c.onPart()
	if !answer.Whole() && len(body) == maxBuffered {
		return c.relayLongAnswer(ctx, answer, body)
	}
	c.complete = true
	whole := &bufferedAnswer{status: answer.Status, header: c.dialect.Answer(answer.Header), body: body}
	if answer.Status >= http.StatusInternalServerError && c.route.Repeatable() {
		c.upstreamFailure = whole
		c.err = &invalidAnswerError{problem: fmt.Sprintf("the upstream answered %d", answer.Status)}
		c.lastError = c.err
		c.logFailedAttempt(false)
		return broken
	}
	return c.deliver(whole)
}

// give passes on an answer that is in memory.
func (c *job) deliver(whole *bufferedAnswer) result {
	if err := c.writer.writeAnswer(whole); err != nil {
		return callerGone
	}
	return done
}

// long passes on an answer that is too long to be held.
func (c *call) relayLongAnswer(ctx context.Context, answer *exchange.Answer, first []byte) result {
	if err := c.writer.writeHead(answer.Status, c.dialect.Answer(answer.Header), answer.Length); err != nil {
		return callerGone
	}
	if err := c.writer.writePart(first); err != nil {
		return callerGone
	}
	buffer := make([]byte, maxBuffered)
	for {
		n, err := answer.Read(buffer)
		if passed := c.writer.writePart(buffer[:n]); passed != nil {
			return callerGone
		}
		if errors.Is(err, io.EOF) {
			return done
		}
		if err != nil {
			return c.classifyFailure(ctx, &exchange.Error{Stage: exchange.Sent, Target: c.target, Err: err})
		}
	}
}
