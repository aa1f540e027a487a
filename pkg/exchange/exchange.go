// Package exchange sends one HTTP/1.1 request over one connection and reads its
// answer, and keeps connections that showed nothing odd for later requests.
//
// Guarantees: a request is written once, to one connection, and never again of the
// package's own accord; the caller learns whether any byte of it may have left. A
// connection is used again only after a whole, framed answer, a whole request and
// not a byte beyond them. A cancelled exchange closes its connection at once.
package exchange

import (
	"bufio"
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

// Target is where a request goes.
type Target struct {
	// ID tells apart the servers that use an address one after the other:
	// connections are kept for an ID alone.
	ID      string
	Address string
	// MaxConnections bounds the open connections to the target; zero: no bound.
	MaxConnections int
}

// Request is what is sent. Its header holds end-to-end fields only.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Matches says whether an answer belongs to this request; others are skipped. Nil:
	// every answer does.
	Matches func(status int, header http.Header) bool
}

// Stage is how far a failed exchange had come.
type Stage int

// Stages of an exchange.
const (
	// Unsent: not a byte of the request has left.
	Unsent Stage = iota
	// Sent: some or all of the request has left, and no answer came.
	Sent
)

// Error is an exchange that got no answer.
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

// ErrFull: the target's connections are all in use.
var ErrFull = errors.New("all connections to the target are in use")

// Answer is the head of an answer and its body, which must be read to its end or
// closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length; -1 when it is not stated.
	Length   int64
	body     io.ReadCloser
	conn     *conn
	pool     *Pool
	stop     func() bool
	reuse    bool
	complete bool
	closed   bool
}

// earlyAnswerWait is how long an answer is awaited after the request could not be
// written to its end: a server that refuses a long request early has sent it by then.
const earlyAnswerWait = 50 * time.Millisecond

// maxStale bounds how many kept connections are given up, before a byte was written,
// for the sake of one request.
const maxStale = 3

// Do sends the request. The context bounds the exchange as a whole, the body of
// the answer included; the error is an *Error.
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

// on sends the request on a connection.
func (p *Pool) roundTrip(ctx context.Context, c *conn, target Target, request *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.abort)
	written, err := c.send(request)
	if err != nil && written == 0 {
		stop()
		p.discard(c)
		return nil, &Error{Stage: Unsent, Target: target, Err: errors.Join(err, ctx.Err())}
	}
	complete := err == nil
	if !complete {
		c.setReadTimeout(earlyAnswerWait)
	}
	response, skipped, readErr := c.readHead(request)
	if readErr != nil {
		stop()
		p.discard(c)
		return nil, &Error{Stage: Sent, Target: target, Err: errors.Join(err, readErr, ctx.Err())}
	}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,
		body:   response.Body,
		conn:   c,
		pool:   p,
		stop:   stop,
		reuse:  complete && skipped == 0 && !response.Close && framed(response),
	}, nil
}

// framed says whether the answer tells where it ends other than by closing.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// Read reads the body. io.EOF means that the answer is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// Whole says whether the body was read to its end.
func (a *Answer) Whole() bool { return a.complete }

// DisableReuse keeps the connection from being used again.
func (a *Answer) DisableReuse() { a.reuse = false }

// Close ends the exchange: the connection is kept if nothing was odd, else closed.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if !a.stop() || !a.complete || !a.reuse || a.conn.reader.Buffered() > 0 {
		a.pool.discard(a.conn)
		return
	}
	a.pool.putIdle(a.conn, idleTimeoutOf(a.Header))
}

// send writes the request and tells how many of its bytes were handed over.
func (c *conn) send(request *Request) (int, error) {
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
		return 0, fmt.Errorf("encode header: %w", err)
	}
	head.WriteString("\r\n")
	buffers := net.Buffers{head.Bytes(), request.Body}
	n, err := buffers.WriteTo(c.Conn)
	return int(n), err
}

// headSize is room for the head of a usual request, in bytes.
const headSize = 1024

// bodyExpected says whether a request of the method states the length of its body
// also when that is empty.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// maxSkipped bounds the answers to other requests that are skipped.
const maxSkipped = 2

// errForeign: the server answered other requests only.
var errMismatched = errors.New("answers to other requests only")

// head reads the head of the request's final answer, and says how many answers to
// other requests came before it: a server may send one late or twice.
func (c *conn) readHead(request *Request) (response *http.Response, skipped int, err error) {
	asked := &http.Request{Method: request.Method}
	for {
		response, err = http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, skipped, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches == nil || request.Matches(response.StatusCode, response.Header) {
			return response, skipped, nil
		}
		if skipped == maxSkipped || !framed(response) {
			return nil, skipped, errMismatched
		}
		skipped++
		if _, err = io.Copy(io.Discard, response.Body); err != nil {
			return nil, skipped, err
		}
	}
}

// newReader returns a buffered reader for a connection's answers.
func newReader(c net.Conn) *bufio.Reader { return bufio.NewReaderSize(c, readSize) }

// readSize is the buffer for answers, in bytes: a few events of a stream, or a
// whole small answer.
const readSize = 4096
