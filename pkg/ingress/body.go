package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// TooLargeError reports a body above the limit for one request.
type TooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("the body exceeds %d bytes", e.Limit) }

// Body is a request's body in memory.
type Body struct {
	Bytes   []byte
	receipt *Receipt
}

// Release gives the body up. It may be called more than once.
func (b *Body) Release() {
	b.Bytes = nil
	if b.receipt != nil {
		b.receipt.Release()
	}
}

const (
	// firstPiece is the length in bytes of a body's first buffer, which counts as part of its connection.
	firstPiece = 4 << 10
	// progressStep is the part of a body in bytes that counts as progress.
	progressStep = 16 << 10
)

// noDeadline clears a deadline, and past is one that has passed.
var (
	noDeadline time.Time
	past       = time.Unix(1, 0)
)

// ReadBody reads the whole body of a request, of limit bytes at most (zero: no limit), until the deadline. The
// body counts as the clients' memory until its Release. Its memory grows with what arrives, not with the length
// that is announced. The error is a *TooLargeError, ErrMemory, ErrStalled or that of the connection; the rest of
// the body has not been read then, and the answer must be prepared by EndEarly.
func (g *Guard) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	if r.ContentLength == 0 {
		return &Body{}, nil
	}
	body, err := g.readBody(w, r, limit, deadline)
	if err != nil {
		g.recordRefused(connOf(r.Context()).portOrNil(), err, r.ContentLength)
	}
	return body, err
}

func (g *Guard) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	length := r.ContentLength
	if limit > 0 && length > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	if length < 0 || length > firstPiece {
		g.memory.Fit(limit)
		if !g.memory.Admits(length) {
			return nil, ErrMemory
		}
	}
	conn, control := connOf(r.Context()), http.NewResponseController(w)
	if !conn.receive() {
		return nil, ErrStalled
	}
	// A connection without deadlines (a test's recorder) has no slow sender.
	_ = control.SetReadDeadline(deadline)
	reading := &bodyReader{guard: g, conn: conn, limit: limit, length: length, cease: func() { _ = control.SetReadDeadline(past) }}
	body, err := reading.readAll(r.Body)
	if err != nil {
		conn.closeAfterAnswer(w)
		return nil, err
	}
	if !conn.serve() {
		body.Release()
		return nil, ErrStalled
	}
	_ = control.SetReadDeadline(noDeadline)
	return body, nil
}

// bodyReader reads one body.
type bodyReader struct {
	guard *Guard
	conn  *conn
	// limit and length are in bytes; limit is zero if there is none, length -1 if it is unknown.
	limit, length int64
	// cease ends the reading of the body.
	cease func()
	// receipt is nil while the first buffer suffices.
	receipt *Receipt
	// unreported is the length in bytes of what has arrived since the last progress.
	unreported int
}

func (b *bodyReader) readAll(from io.Reader) (*Body, error) {
	data, err := b.read(from)
	if b.receipt == nil {
		return &Body{Bytes: data}, err
	}
	if err == nil {
		err = b.receipt.Complete()
	}
	if err != nil {
		if b.receipt.Ceased() {
			err = ErrStalled
		}
		b.receipt.Release()
		return nil, err
	}
	return &Body{Bytes: data, receipt: b.receipt}, nil
}

func (b *bodyReader) read(from io.Reader) ([]byte, error) {
	data := make([]byte, 0, b.atMost(firstPiece))
	for {
		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case b.limit > 0 && int64(len(data)) > b.limit:
			return nil, &TooLargeError{Limit: b.limit}
		case errors.Is(err, io.EOF) && (b.length < 0 || int64(len(data)) == b.length), int64(len(data)) == b.length:
			return data, nil
		case err != nil:
			return nil, err
		}
		b.reportProgress(n)
		if len(data) < cap(data) {
			continue
		}
		if data, err = b.grow(data); err != nil {
			return nil, err
		}
	}
}

func (b *bodyReader) reportProgress(arrived int) {
	b.unreported += arrived
	if b.unreported < progressStep {
		return
	}
	b.unreported = 0
	b.conn.progress()
	if b.receipt != nil {
		b.receipt.Progress()
	}
}

// atMost returns the size of a buffer of up to size bytes. It has a byte more than the limit, so that a body
// above it shows.
func (b *bodyReader) atMost(size int64) int64 {
	switch {
	case b.length >= 0:
		return min(size, b.length)
	case b.limit > 0 && size >= b.limit:
		return b.limit + 1
	default:
		return size
	}
}

// grow returns the data in a buffer of twice its size.
func (b *bodyReader) grow(data []byte) ([]byte, error) {
	if b.receipt == nil {
		b.receipt = b.guard.memory.Begin(b.cease)
	}
	old, size := int64(cap(data)), b.atMost(2*int64(cap(data)))
	if err := b.receipt.Grow(size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(data), size)
	copy(larger, data)
	if old > firstPiece {
		b.receipt.Shrink(old)
	}
	return larger, nil
}
