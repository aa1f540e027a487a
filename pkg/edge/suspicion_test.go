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
			return say(http.StatusOK, strconv.FormatInt(began, 10))(conn, request)
		}
		return say(http.StatusOK, "ok")(conn, request)
	}
}

// coldRate is what a cold upstream bears in these tests, requests a second.
const coldRate = 10

// unreachedFor returns an instance that has just failed to reach its only upstream, which
// is known to have started at 1000 and takes connections again from now on.
func unreachedFor(t *testing.T, script script) (*bed, *upstream) {
	t.Helper()
	gone := newUpstream(t, nil)
	b := newBed(t, safe, gone)
	b.edge.startedAt = time.Now().Add(-time.Minute)
	b.edge.board.Routes.Load().Service(testService).ColdRate = coldRate
	view := b.edge.board.Fleet.Load()
	view.Upstreams[0].Began = 1000
	address := gone.listener.Addr().String()
	b.is.NoErr(gone.listener.Close())
	b.is.Equal(b.ask(http.MethodGet, "/r/", "").status, http.StatusServiceUnavailable)
	listener, err := net.Listen("tcp", address)
	b.is.NoErr(err)
	back := &upstream{listener: listener, script: script}
	t.Cleanup(func() { _ = listener.Close() })
	go back.accept()
	return b, back
}

// answeredWithin counts the requests of a caller that asks all the time that are answered
// within half a second of the first.
func (b *bed) answeredWithin() int {
	b.Helper()
	b.eventually("it is reached again", func() bool { return b.ask(http.MethodGet, "/r/", "").status == http.StatusOK })
	answered := 1
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); {
		if b.ask(http.MethodGet, "/r/", "").status == http.StatusOK {
			answered++
		}
	}
	return answered
}

// TestAnUpstreamRebornBehindACutGetsNoMoreThanAColdOne: its entry in the store, which this
// instance may not hear, still tells of its former start.
func TestAnUpstreamRebornBehindACutGetsNoMoreThanAColdOne(t *testing.T) {
	b, _ := unreachedFor(t, startedAt(2000))
	bears := int(coldRate*b.edge.settings.Limits.ColdFactor + b.edge.settings.Limits.ColdSlack)
	b.is.True(b.answeredWithin() <= bears/minInstances)
	b.is.True(b.lines.Has(string(event.UpstreamReborn), "began=2000"))
}

// TestAnUpstreamThatWasOnlyUnreachedGetsAllAgain once it has said that it is the same.
func TestAnUpstreamThatWasOnlyUnreachedGetsAllAgain(t *testing.T) {
	b, _ := unreachedFor(t, startedAt(1000))
	b.is.True(b.answeredWithin() > coldRate)
}

// TestWhatAFormerStartSaysIsOldNews: a smaller start than the known one settles nothing.
func TestWhatAFormerStartSaysIsOldNews(t *testing.T) {
	b, _ := unreachedFor(t, startedAt(500))
	b.is.True(b.answeredWithin() <= coldRate)
}

// TestAnUpstreamWhoseNameIsNewAtEachStartIsNotAsked: requests for another are refused there.
func TestAnUpstreamWhoseNameIsNewAtEachStartIsNotAsked(t *testing.T) {
	u := newUpstream(t, startedAt(0))
	b := newBed(t, safe, u)
	known := &fleet.Upstream{ID: "u-0", Address: u.listener.Addr().String()}
	b.edge.suspect(known, &net.OpError{})
	b.is.True(!b.edge.mayBeCold(known, b.edge.service(known)))
	b.is.Equal(u.arrivals.Load(), int32(0))
}
