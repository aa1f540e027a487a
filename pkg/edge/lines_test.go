package edge

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// TestTheStepsOfAFailedRequestAreKept although those of requests that go well are over
// their budget.
func TestTheStepsOfAFailedRequestAreKept(t *testing.T) {
	u, _ := both(t, say(http.StatusServiceUnavailable, "full", testNotRun+": 1"))
	b := newBed(t, unsafe, u...)
	b.good.off.Store(true)
	b.ask(http.MethodPost, "/r/", "body")
	b.is.Equal(len(b.lines.With("event=request-failed", "outcome=not-run", "sends=2")), 1)
	b.is.Equal(len(b.lines.With("event=request-routed", "target=u-", "at=", "usable=", "version=1")), 2)
	b.is.Equal(len(b.lines.With("event=attempt-rejected", "at=", "status=503")), 2)
}

func TestTheStepsOfARequestThatGoesWellAreLeftOutOverTheBudget(t *testing.T) {
	b := newBed(t, unsafe, newUpstream(t, say(http.StatusOK, "ok")))
	b.ask(http.MethodPost, "/r/", "body")
	b.is.Equal(len(b.lines.With("event=request-routed")), 1)
	b.eventually("the end is logged", func() bool {
		return len(b.lines.With("event=request-ended", "status=200", "sends=1")) == 1
	})
	b.good.off.Store(true)
	b.ask(http.MethodPost, "/r/", "body")
	b.is.Equal(len(b.lines.With("event=request-routed")), 1)
	b.is.Equal(len(b.lines.With("event=request-ended")), 1)
}

func TestAnEjectionIsLogged(t *testing.T) {
	b := newBed(t, safe, newUpstream(t, reset), newUpstream(t, say(http.StatusOK, "ok")))
	b.edge.setPools(b.edge.board.Fleet.Load(), map[string]bool{})
	b.eventually("the failing upstream is ejected", func() bool {
		b.ask(http.MethodGet, "/r/", "")
		return b.edge.tracker.Load("u-0").Ejected
	})
	b.eventually("it is logged", func() bool {
		return len(b.lines.With("event=upstream-ejected", "upstream=u-0", "failures=3", "for_ms=2000")) == 1
	})
}

// TestTheMetricsOfAnUpstreamThatIsGoneAreRemoved: upstreams have new IDs at each start.
func TestTheMetricsOfAnUpstreamThatIsGoneAreRemoved(t *testing.T) {
	b := newBed(t, safe, newUpstream(t, say(http.StatusOK, "ok")))
	b.ask(http.MethodGet, "/r/", "")
	shown := func() bool {
		names := ""
		b.edge.registry.Each(func(name string, _ any) { names += name })
		return strings.Contains(names, `target="u-0"`)
	}
	b.eventually("the attempt is counted", shown)
	empty := &fleet.View{}
	empty.Index()
	b.edge.forgetRemoved(b.edge.board.Fleet.Load(), empty)
	b.is.True(!shown())
}

// TestACallerThatLeftIsLoggedWithItsSteps: for its user the request has failed.
func TestACallerThatLeftIsLoggedWithItsSteps(t *testing.T) {
	gone := make(chan struct{})
	b := newBed(t, unsafe, newUpstream(t, func(net.Conn, *http.Request) bool { <-gone; return false }))
	b.good.off.Store(true)
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.caller.URL+"/r/", nil)
	b.is.NoErr(err)
	request.Header.Set(testID, "id-8")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
			t.Error("an answer came")
		}
	}()
	b.eventually("the request is at the upstream", func() bool { return b.edge.tracker.Load("u-0").InFlight == 1 })
	leave()
	b.eventually("its end is logged", func() bool {
		return len(b.lines.With("event=request-ended", "request=id-8", "outcome=caller-gone", "first_ms=-1")) == 1
	})
	b.is.Equal(len(b.lines.With("event=request-routed", "request=id-8", "at=")), 1)
	<-ended
	close(gone)
}

// TestTriesOfTheSameRequestBearTheSameContent guards against logs in which a request that
// ends its upstreams cannot be found again, as each try has an ID of its own.
func TestTriesOfTheSameRequestBearTheSameContent(t *testing.T) {
	b := newBed(t, unsafe, newUpstream(t, reset))
	for _, body := range []string{"one", "one", "two"} {
		b.ask(http.MethodPost, "/r/x", body)
	}
	contents := make(map[string]int)
	for _, line := range b.lines.With("event=attempt-failed") {
		_, content, _ := strings.Cut(line, " content=")
		content, _, _ = strings.Cut(content, " ")
		contents[content]++
	}
	b.is.Equal(len(contents), 2) // one content for the two tries with the same body
}
