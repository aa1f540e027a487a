package exchange

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/lilacweir/lilacweir/pkg/responsehead"
)

// A faulty server may send bytes that are no answer, and send them without end. What precedes the body
// of an answer is bounded in bytes, in time and in the number of answers to be skipped.

const (
	// maxHeadBytes bounds, in bytes, all that a connection receives before the body of the answer:
	// its head, and the answers that are skipped.
	maxHeadBytes = 64 << 10
	// headTime bounds the time from the first byte of a head to its end, and that of an answer which is
	// skipped. Servers send a head at once. It leaves time for another attempt.
	headTime = time.Second
	// maxInterim bounds the interim answers (1xx) before the answer.
	maxInterim = 8
)

// BoundError reports that a server sent more before the body of its answer than is read.
type BoundError struct {
	// Bytes, Time and Answers are the exceeded bound; the others are zero. Answers counts interim ones.
	Bytes   int64
	Time    time.Duration
	Answers int
}

// Error implements error.
func (e *BoundError) Error() string {
	switch {
	case e.Time > 0:
		return fmt.Sprintf("the answer's head did not arrive within %v", e.Time)
	case e.Answers > 0:
		return fmt.Sprintf("more than %d interim answers", e.Answers)
	default:
		return fmt.Sprintf("no answer within %d bytes", e.Bytes)
	}
}

// boundedConn is a connection whose reads are bounded while no answer's body is read.
type boundedConn struct {
	net.Conn
	// bounded is true while the bounds are in force, and left the number of bytes that may be read.
	bounded bool
	left    int64
	// head checks the present head.
	head responsehead.Scanner
	// began is when the first byte of the present head arrived, zero before it, and until the end of
	// its time, zero while it arrived in one piece.
	began, until time.Time
}

// bound begins the bounds.
func (c *boundedConn) bound() {
	c.bounded, c.left = true, maxHeadBytes
	c.head.Begin()
	c.endHeadTime()
}

// nextHead makes what is read next a head, after an answer that was skipped. It begins with the buffered bytes. The
// error is a *responsehead.Error.
func (c *boundedConn) nextHead(buffered []byte) error {
	c.endHeadTime()
	c.head.Begin()
	return c.head.Scan(buffered)
}

// endHeadTime ends the time for a head: the next one has not begun.
func (c *boundedConn) endHeadTime() {
	c.began = time.Time{}
	c.setUntil(time.Time{})
}

// release ends the bounds.
func (c *boundedConn) release() {
	c.endHeadTime()
	c.bounded = false
}

// setUntil sets the end of the time for a head, zero for none, and the read deadline by it.
func (c *boundedConn) setUntil(until time.Time) {
	if c.until.IsZero() && until.IsZero() {
		return
	}
	c.until = until
	// If this fails the exchange's context still ends the wait.
	_ = c.SetReadDeadline(until)
}

// Read implements net.Conn. The error is a *BoundError if a bound is exceeded, and a *responsehead.Error if a head is
// malformed.
func (c *boundedConn) Read(p []byte) (int, error) {
	if !c.bounded {
		return c.Conn.Read(p)
	}
	if c.left <= 0 {
		return 0, &BoundError{Bytes: maxHeadBytes}
	}
	if !c.began.IsZero() && c.until.IsZero() {
		c.setUntil(c.began.Add(headTime))
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	if n > 0 && c.began.IsZero() {
		c.began = time.Now()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.until.IsZero() && !time.Now().Before(c.until) {
		err = &BoundError{Time: headTime}
	}
	if malformed := c.head.Scan(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}
