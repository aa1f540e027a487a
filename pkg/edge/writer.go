package edge

import (
	"maps"
	"net/http"
	"strconv"
	"time"
)

// writer writes the answer to the caller.
type writer struct {
	http.ResponseWriter
	control *http.ResponseController
	// closing is true when the caller is asked to use another connection next.
	closing func() bool
	begun   bool
	// status is that of the answer.
	status int
	// lastEvent is the ID of the last stream event that was passed on.
	lastEvent string
	bytes     int
	// first is when the first part of the answer was passed on.
	first time.Time
	now   func() time.Time
}

// begin writes the head; length is -1 when it is not known.
func (w *writer) begin(status int, fields http.Header, length int64) error {
	maps.Copy(w.Header(), fields)
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if w.closing() {
		w.Header().Set("Connection", "close")
	}
	w.begun, w.status = true, status
	w.first = w.now()
	w.WriteHeader(status)
	return nil
}

// pass writes a part of the body and sends it off.
func (w *writer) pass(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	n, err := w.Write(part)
	w.bytes += n
	if err != nil {
		return err
	}
	return w.control.Flush()
}

// whole writes an answer that is in memory.
func (w *writer) whole(answer *held) error {
	if err := w.begin(answer.status, answer.header, int64(len(answer.body))); err != nil {
		return err
	}
	return w.pass(answer.body)
}
