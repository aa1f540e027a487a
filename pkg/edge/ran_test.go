package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// TestUpstreamErrorsCountAsRun guards against running a request twice, and against telling its caller that
// it has not run and never will, after an upstream's own 500, or its 504 at the deadline.
func TestUpstreamErrorsCountAsRun(t *testing.T) {
	const timeout = 300 * time.Millisecond
	atDeadline := func(after time.Duration) script {
		return func(conn net.Conn, request *http.Request) bool {
			clock.Sleep(t.Context(), after)
			return respond(http.StatusGatewayTimeout, "too late")(conn, request)
		}
	}
	reject := respond(http.StatusServiceUnavailable, "full", testNotRun+": 1", "Retry-After: 0.1")
	for name, c := range map[string]struct {
		answer script
		status int
	}{
		"500":                        {respond(http.StatusInternalServerError, "broken"), http.StatusInternalServerError},
		"500 with Retry-After":       {respond(http.StatusInternalServerError, "broken", "Retry-After: 0.1"), http.StatusInternalServerError},
		"504":                        {atDeadline(0), http.StatusGatewayTimeout},
		"504 before the deadline":    {atDeadline(timeout - 50*time.Millisecond), http.StatusGatewayTimeout},
		"504 after the deadline":     {atDeadline(timeout + 20*time.Millisecond), http.StatusGatewayTimeout},
		"nothing until the deadline": {atDeadline(2 * timeout), http.StatusGatewayTimeout},
	} {
		for kind, route := range map[string]httproute.Route{"unsafe": unsafeRoute, "stream": streamRoute, "safe": safeRoute, "resumable": resumableRoute} {
			t.Run(name+", "+kind, func(t *testing.T) {
				route.Timeout = timeout
				u, arrivals := upstreamPair(t, firstThen(c.answer, reject))
				h := newHarness(t, route, u...)
				got := h.ask(http.MethodPost, "/r/", "x")
				h.is.NoErr(got.err)
				h.is.Equal(got.status, c.status)
				h.is.True(got.header.Get(header.Outcome) != string(outcome.NotRun))
				if !route.Repeatable() {
					h.is.Equal(arrivals(), 1)
				}
			})
		}
	}
}
