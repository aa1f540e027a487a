package edge

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestLeavingIsReadFromEveryAnswer guards against reading the report only from successful
// answers: a leaving upstream rejects and fails as well.
func TestLeavingIsReadFromEveryAnswer(t *testing.T) {
	for name, answer := range map[string]script{
		"a good answer": respond(http.StatusOK, "ok", testLeaving+": 1"),
		"an error":      respond(http.StatusInternalServerError, "sorry", testLeaving+": 1"),
		"a refusal":     respond(http.StatusServiceUnavailable, "full", testNotRun+": 1", testLeaving+": 1"),
		"a broken one": func(conn net.Conn, request *http.Request) bool {
			writeResponse(conn, request, http.StatusOK, "Content-Length: 100\r\n", "begin", testLeaving+": 1")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, unsafeRoute, newUpstream(t, answer))
			h.ask(http.MethodPost, "/r/", "body")
			h.is.True(h.edge.departures.Leaving("u-0"))
			h.is.True(h.lines.Has("event=upstream-leaving", "upstream=u-0"))
		})
	}
}

// TestBackoffIsReadFromRejections guards against reading a backoff from rejections that name
// none, and against a log line for each rejection of a burst.
func TestBackoffIsReadFromRejections(t *testing.T) {
	h := newHarness(t, unsafeRoute, newUpstream(t, respond(http.StatusServiceUnavailable, "full", testNotRun+": 1", "Retry-After: 3")))
	h.ask(http.MethodPost, "/r/", "body")
	left := h.edge.tracker.RequestedBackoff("u-0")
	h.is.True(left > 2*time.Second && left <= 3*time.Second)
	h.is.True(h.lines.Has("event=upstream-resting", "upstream=u-0", "for_ms=3000"))
	full := newHarness(t, unsafeRoute, newUpstream(t, respond(http.StatusServiceUnavailable, "full", testNotRun+": 1")))
	full.ask(http.MethodPost, "/r/", "body")
	full.is.Equal(full.edge.tracker.RequestedBackoff("u-0"), time.Duration(0))
}
