package exchange

import (
	"errors"
	"io"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// inlineBody is the length in bytes of what is written of a body before its answer is awaited. The rest is
	// written meanwhile: a server may answer a long request before it has read it, and read on later or never.
	inlineBody = 32 << 10
	// earlyAnswerWait bounds the wait for an answer after an incomplete write: a server that refuses a long
	// request early has sent its answer by then.
	earlyAnswerWait = 50 * time.Millisecond
)

// sending is the writing of a request beside the reading of its answer.
type sending struct {
	conn *conn
	// done is closed at its end.
	done chan struct{}
	mu   sync.Mutex
	// err is the error of the write. answered is true once the head of the answer was read, until when cut closes
	// the connection after an error.
	err      error
	answered bool
	cut      *time.Timer
}

// startSending writes the rest of a request whose beginning was written with an error or without.
func (c *conn) startSending(rest []byte, err error) *sending {
	s := &sending{conn: c, done: make(chan struct{})}
	if err != nil || len(rest) == 0 {
		s.end(err)
		return s
	}
	go func() {
		n, err := c.Conn.Write(rest)
		if err == nil && n < len(rest) {
			err = io.ErrShortWrite
		}
		s.end(err)
	}()
	return s
}

func (s *sending) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
	if err != nil && !s.answered {
		s.cut = time.AfterFunc(earlyAnswerWait, s.conn.abort)
	}
	close(s.done)
}

// gotHead records that the head of the answer was read.
func (s *sending) gotHead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = true
	if s.cut != nil {
		s.cut.Stop()
	}
}

// complete reports whether the request was written whole.
func (s *sending) complete() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// wasReset reports, after the end of the data was read, whether the connection was reset before its other side had
// ended it. It ends the sending. The system reports a reset once: if a write got the report, a read finds the end of
// the data. A write fails with EPIPE if the other side had ended its data before the reset.
func (s *sending) wasReset() bool {
	// If this fails the write ends with its context.
	_ = s.conn.SetWriteDeadline(time.Unix(1, 0))
	<-s.done
	return s.err != nil && !errors.Is(s.err, os.ErrDeadlineExceeded) && !errors.Is(s.err, syscall.EPIPE)
}
