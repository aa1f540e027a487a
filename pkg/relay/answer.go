package relay

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// bufferSize bounds an event, and an answer that is buffered until it is complete,
// in bytes.
const bufferSize = 64 << 10

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// Faults of a complete engine answer.
var (
	errNoID    = errors.New("answer lacks the request's ID")
	errNotJSON = errors.New("answer is not complete JSON")
)

// answer relays the body.
func (a *attempt) answer(response *http.Response) *Failure {
	buffer := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buffer)
	if a.mustHoldID(response) && isStream(response) {
		a.resetTimer(a.idleLimit)
		return a.stream(response, buffer[:])
	}
	return a.whole(response, buffer[:])
}

// stream relays complete events, with one write for all events that a read completed.
func (a *attempt) stream(response *http.Response, buffer []byte) *Failure {
	id := []byte(a.call.RequestID)
	fill := 0
	gotFirstByte := false
	for {
		n, err := response.Body.Read(buffer[fill:])
		a.resetTimer(min(a.idleLimit, streamIdleTimeout))
		if n > 0 && !gotFirstByte {
			gotFirstByte = true
			a.gotFirstByte()
		}
		fill += n
		length, chunks, next := scan(buffer[:fill], id)
		if failure := a.deliver(response, buffer[:length], chunks); failure != nil {
			return failure
		}
		if next != scanMore {
			return a.endStream(next, response)
		}
		fill = copy(buffer, buffer[length:fill])
		if err != nil {
			return a.fail(outcome.Unknown, outcome.ReasonUpstreamFailed, "the answer broke off", err)
		}
		if fill == len(buffer) {
			return a.fail(outcome.Unknown, outcome.ReasonUpstreamFailed, "the upstream sent an event that is too long", nil)
		}
	}
}

// deliver writes events to the caller, preceded by the head if it was not written.
func (a *attempt) deliver(response *http.Response, events []byte, chunks int) *Failure {
	if len(events) == 0 {
		return nil
	}
	if !a.sink.HeadWritten {
		a.sink.Head(func(fields http.Header) { a.head(fields, response) })
		a.sink.Stream = true
		a.sink.begin(response.StatusCode)
	}
	if err := a.sink.write(events); err != nil {
		return a.callerFailed(err)
	}
	a.sink.Chunks += chunks
	return nil
}

// endStream returns the result of a stream that a scan found to have ended.
func (a *attempt) endStream(end scanResult, response *http.Response) *Failure {
	switch end {
	case scanDone:
		a.drain(response)
		return nil
	case scanMismatch:
		failure := a.fail(outcome.Unknown, outcome.ReasonUpstreamMismatch, "the upstream sent a part of another answer", nil)
		failure.Mismatched = true
		return failure
	default:
		return a.fail(outcome.Unknown, outcome.ReasonUpstreamFailed, "another gateway could not finish the answer", nil)
	}
}

// drain reads the end of a finished stream, so that its connection can be reused.
func (a *attempt) drain(response *http.Response) {
	var rest [1]byte
	_, _ = response.Body.Read(rest[:])
}

// whole buffers an answer until it is complete; one that exceeds the buffer is
// relayed as it arrives.
func (a *attempt) whole(response *http.Response, buffer []byte) *Failure {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return a.fail(outcome.Unknown, outcome.ReasonUpstreamFailed, "the upstream does not say where its answer ends", nil)
	}
	a.gotFirstByte()
	fill, err := a.readUntilFull(response.Body, buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		return a.brokenOff(err)
	}
	whole := err != nil
	if a.mustHoldID(response) && whole && !json.Valid(buffer[:fill]) {
		return a.brokenOff(errNotJSON)
	}
	if a.mustHoldID(response) && !hasRequestID(buffer[:fill], []byte(a.call.RequestID)) {
		failure := a.fail(outcome.Unknown, outcome.ReasonUpstreamMismatch, "the upstream answered another request", errNoID)
		failure.Mismatched = true
		return failure
	}
	if whole {
		return a.sendWhole(response, buffer[:fill])
	}
	return a.sendUnbuffered(response, buffer)
}

// readUntilFull reads until the buffer is full, which returns nil, or the body ends
// (io.EOF) or fails.
func (a *attempt) readUntilFull(body io.Reader, buffer []byte) (fill int, err error) {
	for err == nil && fill < len(buffer) {
		var n int
		n, err = body.Read(buffer[fill:])
		fill += n
		a.resetTimer(a.client.idle)
	}
	return fill, err
}

// mustHoldID reports whether the answer's body must contain the request ID.
func (a *attempt) mustHoldID(response *http.Response) bool {
	return a.target.Kind == config.KindEngine && response.StatusCode == http.StatusOK
}

// sendWhole sends an answer that was buffered completely.
func (a *attempt) sendWhole(response *http.Response, data []byte) *Failure {
	length := int64(len(data))
	if response.Request.Method == http.MethodHead {
		length = response.ContentLength
	}
	a.sink.Head(func(fields http.Header) {
		a.head(fields, response)
		fields.Set(header.Outcome, string(outcome.Complete))
		setLength(fields, length)
	})
	a.sink.begin(response.StatusCode)
	a.sink.Received = true
	// Flushing here avoids waiting for the request's log line. An answer that is
	// stored for repeats is not flushed: its result is recorded before it is sent.
	pass := a.sink.write
	if a.sink.Capture != nil {
		pass = a.sink.writeUnflushed
	}
	if err := pass(data); err != nil {
		return a.callerFailed(err)
	}
	return nil
}

// sendUnbuffered relays an answer that is longer than the buffer, which holds its
// first bytes.
func (a *attempt) sendUnbuffered(response *http.Response, buffer []byte) *Failure {
	a.sink.Head(func(fields http.Header) {
		a.head(fields, response)
		setLength(fields, response.ContentLength)
	})
	a.sink.begin(response.StatusCode)
	n, err := len(buffer), error(nil)
	for {
		if failed := a.sink.write(buffer[:n]); failed != nil {
			return a.callerFailed(failed)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return a.brokenOff(err)
		}
		n, err = response.Body.Read(buffer)
		a.resetTimer(a.client.idle)
	}
}

func (a *attempt) brokenOff(err error) *Failure {
	return a.fail(outcome.Unknown, outcome.ReasonUpstreamFailed, "the answer broke off", err)
}

func (a *attempt) callerFailed(err error) *Failure {
	failure := a.fail(outcome.Unknown, outcome.ReasonCancelled, "the caller stopped reading", err)
	failure.CallerGone = true
	return failure
}

// head copies the answer's end-to-end headers.
func (a *attempt) head(fields http.Header, response *http.Response) {
	header.CopyEndToEnd(fields, response.Header)
	if a.target.Peer {
		copyField(fields, response.Header, header.Domain)
		copyField(fields, response.Header, header.Upstream)
	}
}

// setLength sets Content-Length if the length is known.
func setLength(fields http.Header, length int64) {
	if length >= 0 {
		fields.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

func copyField(to, from http.Header, name string) {
	if values, ok := from[name]; ok {
		to[name] = values
	}
}
