// Package exchange sends one HTTP/1.1 request over one connection, reads its answer,
// and pools connections for later requests.
//
// Guarantees: a request is written once, to one connection, and never retried after a
// byte of it was written; errors state whether any byte of it may have been sent. An
// answer is read while a long request is still being written. A connection is reused
// only after a complete request and a complete, framed answer without excess bytes. A
// cancelled exchange closes its connection at once.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Target is the receiver of a request.
type Target struct {
	// ID distinguishes servers that successively use one address: connections are
	// pooled by ID.
	ID      string
	Address string
	// MaxConnections bounds the open connections to the target; zero means no bound.
	MaxConnections int
	// Settle is the time for which a new connection is left idle before its first request.
	Settle time.Duration
}

// Request is a request to send. Its header holds end-to-end fields only.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Matches reports whether an answer belongs to this request; others are skipped.
	// If nil, every answer does.
	Matches func(status int, header http.Header) bool
	// BeforeWrite is called just before the request is written, once for each connection on which that is
	// tried; nil if it is not needed.
	BeforeWrite func()
}

// Stage is the progress of a failed exchange.
type Stage int

// Stages of an exchange.
const (
	// Unsent means that no byte of the request was sent.
	Unsent Stage = iota
	// Sent means that some or all of the request was sent and no answer was received.
	Sent
)

// Error is the error of an exchange without an answer.
type Error struct {
	Stage  Stage
	Target Target
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	verb := "send to"
	if e.Stage == Sent {
		verb = "await the answer of"
	}
	return fmt.Sprintf("%s %s at %s: %v", verb, e.Target.ID, e.Target.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrFull means that all of the target's connections are in use.
var ErrFull = errors.New("all connections to the target are in use")

// ErrUnreachable means that no connection to the target could be made in time.
var ErrUnreachable = errors.New("no connection can be made")

// Answer is the head of an answer and its body, which must be read to its end or
// closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if unknown.
	Length   int64
	body     io.ReadCloser
	conn     *conn
	pool     *Pool
	stop     func() bool
	framed   bool
	reuse    bool
	complete bool
	closed   bool
	// sending is the writing of the request, which may go on.
	sending *sending
}

// maxStale bounds the pooled connections that one request may discard because they
// failed before a byte was written.
const maxStale = 3

// Do sends the request. The context bounds the whole exchange, including the body of the
// answer; errors are *Error.
func (p *Pool) Do(ctx context.Context, target Target, request *Request) (*Answer, error) {
	for stale := 0; ; stale++ {
		c, reused, err := p.get(ctx, target)
		if err != nil {
			return nil, &Error{Stage: Unsent, Target: target, Err: err}
		}
		answer, err := p.roundTrip(ctx, c, target, request)
		var failure *Error
		unsent := errors.As(err, &failure) && failure.Stage == Unsent
		if !unsent || !reused || stale == maxStale || ctx.Err() != nil {
			return answer, err
		}
	}
}

// roundTrip sends the request on a connection and reads the answer's head.
func (p *Pool) roundTrip(ctx context.Context, c *conn, target Target, request *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.abort)
	if request.BeforeWrite != nil {
		request.BeforeWrite()
	}
	written, rest, err := c.send(request)
	if err != nil && written == 0 {
		stop()
		p.discard(c)
		return nil, &Error{Stage: Unsent, Target: target, Err: errors.Join(err, ctx.Err())}
	}
	sending := c.startSending(rest, err)
	c.bounds.bound()
	response, skipped, readErr := c.readHead(request)
	if readErr != nil {
		stop()
		p.discard(c)
		<-sending.done
		return nil, &Error{Stage: Sent, Target: target, Err: errors.Join(sending.err, readErr, ctx.Err())}
	}
	sending.gotHead()
	return &Answer{
		Status:  response.StatusCode,
		Header:  response.Header,
		Length:  response.ContentLength,
		body:    response.Body,
		conn:    c,
		pool:    p,
		stop:    stop,
		sending: sending,
		framed:  framed(response),
		reuse:   skipped == 0 && !response.Close && framed(response),
	}, nil
}

// framed reports whether the answer's end is marked other than by closing.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// ErrReset means that the connection was reset before the end of an answer that ends with it.
var ErrReset = errors.New("the connection was reset inside the answer")

// Read reads the body. io.EOF means that the answer is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		if !a.framed && a.sending.wasReset() {
			return n, ErrReset
		}
		a.complete = true
	}
	return n, err
}

// Complete reports whether the body was read to its end.
func (a *Answer) Complete() bool { return a.complete }

// EndsWithConnection reports whether the answer has neither a length nor chunks. Its end does not
// show whether it is complete.
func (a *Answer) EndsWithConnection() bool { return !a.framed }

// CutAfter closes the connection after a time, unless the returned function is called before. Reads of the
// body then fail.
func (a *Answer) CutAfter(d time.Duration) (stop func()) {
	timer := time.AfterFunc(d, a.conn.abort)
	return func() { timer.Stop() }
}

// DisableReuse prevents the reuse of the connection.
func (a *Answer) DisableReuse() { a.reuse = false }

// Close ends the exchange. It returns the connection to the pool if it is reusable, and
// closes it otherwise. The request's body is not used any more.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if !a.stop() || !a.complete || !a.reuse || !a.sending.complete() || a.conn.reader.Buffered() > 0 {
		a.pool.discard(a.conn)
		<-a.sending.done
		return
	}
	a.pool.putIdle(a.conn, idleTimeoutOf(a.Header))
}

// send writes the request up to inlineBody bytes of its body. It returns the number of bytes written, and the rest of
// the body.
func (c *conn) send(request *Request) (written int, rest []byte, err error) {
	var head bytes.Buffer
	head.Grow(headSize)
	head.WriteString(request.Method)
	head.WriteByte(' ')
	head.WriteString(request.URI)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(request.Host)
	head.WriteString("\r\n")
	if len(request.Body) > 0 || bodyExpected(request.Method) {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(request.Body)))
		head.WriteString("\r\n")
	}
	if err := request.Header.Write(&head); err != nil {
		return 0, nil, fmt.Errorf("encode header: %w", err)
	}
	head.WriteString("\r\n")
	first := request.Body[:min(len(request.Body), inlineBody)]
	buffers := net.Buffers{head.Bytes(), first}
	n, err := buffers.WriteTo(c.Conn)
	return int(n), request.Body[len(first):], err
}

// headSize is the initial buffer size for a request head, in bytes.
const headSize = 1024

// bodyExpected reports whether a request of the method has a Content-Length even if its
// body is empty.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// maxSkipped bounds the answers to other requests that are skipped.
const maxSkipped = 2

// errMismatched means that the server answered other requests only.
var errMismatched = errors.New("received only answers to other requests")

// readHead reads the head of the request's final answer, and returns the number of skipped
// answers to other requests: a server may send one late or twice. What it reads is bounded, see
// BoundError, and must be a response of the protocol, see package responsehead.
func (c *conn) readHead(request *Request) (response *http.Response, skipped int, err error) {
	asked := &http.Request{Method: request.Method}
	for interim := 0; ; {
		response, err = http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, skipped, err
		}
		if response.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim {
				return nil, skipped, &BoundError{Answers: maxInterim}
			}
			c.bounds.endHeadTime()
			continue
		}
		if request.Matches == nil || request.Matches(response.StatusCode, response.Header) {
			c.bounds.release()
			return response, skipped, nil
		}
		if skipped == maxSkipped || !framed(response) {
			return nil, skipped, errMismatched
		}
		skipped++
		if _, err = io.Copy(io.Discard, response.Body); err != nil {
			return nil, skipped, err
		}
		// Peek does not read more than is buffered.
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if err = c.bounds.nextHead(buffered); err != nil {
			return nil, skipped, err
		}
	}
}

// readSize is the buffer size for answers, in bytes: a few events of a stream, or a
// complete small answer.
const readSize = 4096
