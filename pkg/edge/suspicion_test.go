package edge

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// startedAt answers questions for the start, and everything else whole.
func startedAt(began int64) script {
	return func(conn net.Conn, request *http.Request) bool {
		if request.URL.Path == "/status" {
			return respond(http.StatusOK, strconv.FormatInt(began, 10))(conn, request)
		}
		return respond(http.StatusOK, "ok")(conn, request)
	}
}

// coldRate is what a cold upstream bears in these tests, requests a second.
const coldRate = 10

// unreachedFor returns an instance that has just failed to reach its only upstream, which
// is known to have started at 1000 and takes connections again from now on.
func newUnreachableHarness(t *testing.T, script script) (*harness, *upstream) {
	t.Helper()
	gone := newUpstream(t, nil)
	h := newHarness(t, safeRoute, gone)
	h.edge.startedAt = time.Now().Add(-time.Minute)
	h.edge.board.Routes.Load().Service(testService).ColdRate = coldRate
	view := h.edge.board.Fleet.Load()
	view.Upstreams[0].Began = 1000
	address := gone.listener.Addr().String()
	h.is.NoErr(gone.listener.Close())
	h.is.Equal(h.ask(http.MethodGet, "/r/", "").status, http.StatusServiceUnavailable)
	listener, err := net.Listen("tcp", address)
	h.is.NoErr(err)
	back := &upstream{listener: listener, script: script}
	t.Cleanup(func() { _ = listener.Close() })
	go back.accept()
	return h, back
}

// answeredWithin counts the requests of a caller that asks all the time that are answered
// within half a second of the first.
func (h *harness) countAnswered() int {
	h.Helper()
	h.eventually("it is reached again", func() bool { return h.ask(http.MethodGet, "/r/", "").status == http.StatusOK })
	answered := 1
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); {
		if h.ask(http.MethodGet, "/r/", "").status == http.StatusOK {
			answered++
		}
	}
	return answered
}

// TestAnUpstreamRebornBehindACutGetsNoMoreThanAColdOne: its entry in the store, which this
// instance may not hear, still tells of its former start.
func TestUpstreamRestartedDuringAPartitionIsTreatedAsCold(t *testing.T) {
	h, _ := newUnreachableHarness(t, startedAt(2000))
	bears := int(coldRate*h.edge.settings.Limits.ColdFactor + h.edge.settings.Limits.ColdSlack)
	h.is.True(h.countAnswered() <= bears/minInstances)
	h.is.True(h.lines.Has(string(event.UpstreamReborn), "began=2000"))
}

// TestAnUpstreamThatWasOnlyUnreachedGetsAllAgain once it has said that it is the same.
func TestUnreachableUpstreamThatDidNotRestartGetsFullLoad(t *testing.T) {
	h, _ := newUnreachableHarness(t, startedAt(1000))
	h.is.True(h.countAnswered() > coldRate)
}

// TestWhatAFormerStartSaysIsOldNews: a smaller start than the known one settles nothing.
func TestOlderStartTimeDoesNotSettleASuspicion(t *testing.T) {
	h, _ := newUnreachableHarness(t, startedAt(500))
	h.is.True(h.countAnswered() <= coldRate)
}

// TestAnUpstreamWhoseNameIsNewAtEachStartIsNotAsked: requests for another are refused there.
func TestUpstreamWithANameForEachStartIsNotQueried(t *testing.T) {
	u := newUpstream(t, startedAt(0))
	h := newHarness(t, safeRoute, u)
	known := &fleet.Upstream{ID: "u-0", Address: u.listener.Addr().String()}
	h.edge.suspect(known, &net.OpError{})
	h.is.True(!h.edge.mayBeCold(known, h.edge.service(known)))
	h.is.Equal(u.arrivals.Load(), int32(0))
}
