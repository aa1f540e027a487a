package edge

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestEachAnswerOfAnUpstreamMaySayThatItLeaves guards against reading the word off good answers
// alone: an upstream that leaves refuses and fails as well.
func TestEachAnswerOfAnUpstreamMaySayThatItLeaves(t *testing.T) {
	for name, answer := range map[string]script{
		"a good answer": say(http.StatusOK, "ok", testLeaving+": 1"),
		"an error":      say(http.StatusInternalServerError, "sorry", testLeaving+": 1"),
		"a refusal":     say(http.StatusServiceUnavailable, "full", testNotRun+": 1", testLeaving+": 1"),
		"a broken one": func(conn net.Conn, request *http.Request) bool {
			write(conn, request, http.StatusOK, "Content-Length: 100\r\n", "begin", testLeaving+": 1")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, unsafe, newUpstream(t, answer))
			b.ask(http.MethodPost, "/r/", "body")
			b.is.True(b.edge.departures.Leaving("u-0"))
			b.is.True(b.lines.Has("event=upstream-leaving", "upstream=u-0"))
		})
	}
}

// TestAnUpstreamMayAskForRest guards against reading the time off refusals that name none, or
// logging a line for each request of a burst that is turned away.
func TestAnUpstreamMayAskForRest(t *testing.T) {
	b := newBed(t, unsafe, newUpstream(t, say(http.StatusServiceUnavailable, "full", testNotRun+": 1", "Retry-After: 3")))
	b.ask(http.MethodPost, "/r/", "body")
	left := b.edge.tracker.RequestedBackoff("u-0")
	b.is.True(left > 2*time.Second && left <= 3*time.Second)
	b.is.True(b.lines.Has("event=upstream-resting", "upstream=u-0", "for_ms=3000"))
	full := newBed(t, unsafe, newUpstream(t, say(http.StatusServiceUnavailable, "full", testNotRun+": 1")))
	full.ask(http.MethodPost, "/r/", "body")
	full.is.Equal(full.edge.tracker.RequestedBackoff("u-0"), time.Duration(0))
}
