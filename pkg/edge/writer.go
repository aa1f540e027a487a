package edge

import (
	"maps"
	"net/http"
	"strconv"
	"time"
)

type writer struct {
	http.ResponseWriter
	control *http.ResponseController
	// closesConnection reports whether the caller is asked to use another connection next.
	closesConnection func() bool
	started          bool
	status           int
	// lastEvent is the ID of the last stream event that was passed on.
	lastEvent string
	bytes     int
	// firstByteAt is the time at which the first part of the answer was passed on.
	firstByteAt time.Time
	// waited is the time of the writes for which the caller was slow to take what it got before.
	waited time.Duration
	now    func() time.Time
}

// slowWrite is the time from which a write counts as held up by the caller. Others copy to a buffer of the
// system.
const slowWrite = 20 * time.Millisecond

// writeHead writes the head. length is -1 if it is unknown.
func (w *writer) writeHead(status int, fields http.Header, length int64) error {
	maps.Copy(w.Header(), fields)
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if w.closesConnection() {
		w.Header().Set("Connection", "close")
	}
	w.started, w.status = true, status
	w.firstByteAt = w.now()
	w.WriteHeader(status)
	return nil
}

// writePart writes and flushes a part of the body.
func (w *writer) writePart(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	start := w.now()
	defer func() {
		if took := w.now().Sub(start); took >= slowWrite {
			w.waited += took
		}
	}()
	n, err := w.Write(part)
	w.bytes += n
	if err != nil {
		return err
	}
	return w.control.Flush()
}

// writeAnswer writes an answer that is in memory.
func (w *writer) writeAnswer(answer *bufferedAnswer) error {
	if err := w.writeHead(answer.status, answer.header, int64(len(answer.body))); err != nil {
		return err
	}
	return w.writePart(answer.body)
}
