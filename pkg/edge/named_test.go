package edge

import (
	"net"
	"net/http"
	"testing"

	"github.com/lilacweir/lilacweir/pkg/limit"
)

// TestEachAnswerOfAnUpstreamMayNameItsLimit guards against reading the limit off good answers
// alone: an upstream in need refuses and fails.
func TestEachAnswerOfAnUpstreamMayNameItsLimit(t *testing.T) {
	for name, answer := range map[string]script{
		"a good answer": say(http.StatusOK, "ok", testLimit+": 2.5"),
		"an error":      say(http.StatusInternalServerError, "sorry", testLimit+": 2.5"),
		"a refusal":     say(http.StatusServiceUnavailable, "full", testNotRun+": 1", testLimit+": 2.5"),
		"a broken one":  brokenAfterHead,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, unsafe, newUpstream(t, answer))
			b.ask(http.MethodPost, "/r/", "body")
			b.is.Equal(b.edge.upstreamLimits.Of("u-0"), limit.Named{PerSecond: 2.5, Limited: true})
			b.is.True(b.lines.Has("event=upstream-limited", "upstream=u-0", "limit=2.5"))
		})
	}
}

// TestAnUnreadableLimitLeavesWhatWasKnown guards against taking nonsense for the end of a limit.
func TestAnUnreadableLimitLeavesWhatWasKnown(t *testing.T) {
	limits := []string{"1000", "many", ""}
	n := -1
	b := newBed(t, unsafe, newUpstream(t, func(conn net.Conn, request *http.Request) bool {
		n++
		return say(http.StatusOK, "ok", testLimit+": "+limits[n])(conn, request)
	}))
	for _, known := range []bool{true, true, false} {
		b.eventually("the limit lets a request through", func() bool {
			return b.ask(http.MethodPost, "/r/", "body").status == http.StatusOK
		})
		b.is.Equal(b.edge.upstreamLimits.Of("u-0").Limited, known)
	}
	b.is.True(b.lines.Has("event=upstream-limit-odd", "upstream=u-0"))
	b.is.True(b.lines.Has("event=upstream-unlimited", "upstream=u-0"))
}

// brokenAfterHead ends an answer within its body.
func brokenAfterHead(conn net.Conn, request *http.Request) bool {
	write(conn, request, http.StatusOK, "Content-Length: 100\r\n", "begin", testLimit+": 2.5")
	return false
}
