package relay

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// WriteTimeout bounds the time that a caller may take to read one write of its
// answer.
const WriteTimeout = 20 * time.Second

// CallerError is a failed write of the answer: the caller has disconnected or reads
// too slowly.
type CallerError struct{ Err error }

// Error implements error.
func (e *CallerError) Error() string { return fmt.Sprintf("write to caller: %v", e.Err) }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Err }

// Sink is the caller's side of a request: it receives the answer across attempts. It
// is used by one goroutine at a time, besides its own keep-alive.
type Sink struct {
	// mu protects the writer and its header from the concurrent keep-alive.
	mu         sync.Mutex
	writer     http.ResponseWriter
	controller *http.ResponseController
	now        func() time.Time
	extendAt   time.Time
	// idle is true if nothing was written since the last keep-alive.
	idle bool
	// HeadWritten is true once the head of the answer was written.
	HeadWritten bool
	// Stream is true if the answer is a stream of events.
	Stream bool
	// Chunks counts the relayed chunks.
	Chunks int
	// Capture receives the beginning of the answer for repeats, unless nil.
	Capture *Capture
	// Received is true once the upstream's complete answer was received, whether or not
	// the caller read it.
	Received bool
}

// NewSink returns the sink of one request.
func NewSink(w http.ResponseWriter, now func() time.Time) *Sink {
	return &Sink{writer: w, controller: http.NewResponseController(w), now: now}
}

// Head changes the header of the answer before it is sent.
func (s *Sink) Head(change func(fields http.Header)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.writer.Header())
}

// Answer sends a complete answer that was stored from an earlier run.
func (s *Sink) Answer(status int, body []byte) error {
	s.Head(func(fields http.Header) { fields.Set("Content-Length", strconv.Itoa(len(body))) })
	s.begin(status)
	if len(body) == 0 {
		return nil
	}
	return s.writeUnflushed(body)
}

// begin writes the head of the answer.
func (s *Sink) begin(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extendDeadline()
	s.HeadWritten = true
	s.writer.WriteHeader(status)
	if s.Capture != nil {
		s.Capture.begin(status, s.writer.Header().Get(header.ContentType))
	}
}

// write sends bytes to the caller and flushes them.
func (s *Sink) write(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.writeUnflushedLocked(p); err != nil {
		return err
	}
	if err := s.controller.Flush(); err != nil {
		return &CallerError{Err: err}
	}
	return nil
}

// writeUnflushed sends bytes to the caller without a flush.
func (s *Sink) writeUnflushed(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeUnflushedLocked(p)
}

func (s *Sink) writeUnflushedLocked(p []byte) error {
	s.extendDeadline()
	s.idle = false
	if s.Capture != nil {
		s.Capture.add(p)
	}
	if _, err := s.writer.Write(p); err != nil {
		return &CallerError{Err: err}
	}
	return nil
}

// extendDeadline extends the write deadline. It does so only after half of
// WriteTimeout, so that few chunks bear the cost.
func (s *Sink) extendDeadline() {
	now := s.now()
	if now.Before(s.extendAt) {
		return
	}
	s.extendAt = now.Add(WriteTimeout / 2)
	// A writer without deadlines, such as a test recorder, has no slow reader.
	_ = s.controller.SetWriteDeadline(now.Add(WriteTimeout))
}

// Refuse ends the request with a refusal: as JSON before the answer has begun, as an
// error event inside a stream, otherwise by breaking the connection, so that the
// answer cannot look complete.
func (s *Sink) Refuse(refusal *outcome.Refusal) {
	message := EncodeRefusal(refusal)
	if !s.HeadWritten {
		s.writeRefusal(refusal, message)
		return
	}
	if !s.Stream {
		panic(http.ErrAbortHandler)
	}
	// The write fails if the caller has disconnected, which needs no handling.
	_ = s.write([]byte("event: error\ndata: " + string(message) + "\n\n"))
}

func (s *Sink) writeRefusal(refusal *outcome.Refusal, message []byte) {
	s.Head(func(fields http.Header) {
		fields.Set(header.ContentType, "application/json")
		fields.Set(header.RequestID, refusal.RequestID)
		fields.Set(header.Outcome, string(refusal.Outcome))
		if refusal.RetryAfter > 0 {
			seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
			fields.Set(header.RetryAfter, strconv.FormatInt(int64(seconds), 10))
		}
	})
	s.begin(refusal.Status)
	_ = s.writeUnflushed(message)
}
