package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// arrivalTime is the time in which the rest of a short body arrives if it was sent with its head.
	arrivalTime = 20 * time.Millisecond
	// shortBody is the length in bytes of a body that is read to its end, so that its connection can be used
	// again.
	shortBody = 256 << 10
	// lingerTime is the time for which a client may take an answer and stop sending before its connection is
	// closed. Data that arrives at a closed connection resets it, and the answer could be lost.
	lingerTime = 2 * time.Second
	// discardTime bounds the reading of a body that a handler did not need.
	discardTime = time.Second
)

// EndEarly prepares an answer to a request whose body was not read whole, so that the answer does not wait for
// the rest of the body. If a short body has not arrived within arrivalTime, or the body is long, the connection
// is closed after the answer.
func EndEarly(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || r.Body == nil || w.Header().Get("Connection") == "close" {
		return
	}
	if !discardShort(http.NewResponseController(w), r) {
		connOf(r.Context()).closeAfterAnswer(w)
	}
}

// closeAfterAnswer has the server close the connection after the answer, once the client has taken it.
func (c *conn) closeAfterAnswer(w http.ResponseWriter) {
	// The server then does not read the rest of the body before it sends the answer.
	w.Header().Set("Connection", "close")
	c.setLinger()
}

// discardShort reads a short body to its end, and reports whether it was there.
func discardShort(control *http.ResponseController, r *http.Request) bool {
	if r.ContentLength > shortBody || r.Header.Get("Expect") != "" {
		return false
	}
	if control.SetReadDeadline(time.Now().Add(arrivalTime)) != nil {
		return false
	}
	if _, err := io.CopyN(io.Discard, r.Body, shortBody+1); !errors.Is(err, io.EOF) {
		return false
	}
	return control.SetReadDeadline(noDeadline) == nil
}
