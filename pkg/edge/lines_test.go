package edge

import (
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
	b.is.Equal(len(b.lines.with("event=request-failed", "outcome=not-run", "sends=2")), 1)
	b.is.Equal(len(b.lines.with("event=request-routed", "target=u-", "at=", "usable=", "version=1")), 2)
	b.is.Equal(len(b.lines.with("event=attempt-rejected", "at=", "status=503")), 2)
}

func TestTheStepsOfARequestThatGoesWellAreLeftOutOverTheBudget(t *testing.T) {
	b := newBed(t, unsafe, newUpstream(t, say(http.StatusOK, "ok")))
	b.ask(http.MethodPost, "/r/", "body")
	b.is.Equal(len(b.lines.with("event=request-routed")), 1)
	b.eventually("the end is logged", func() bool {
		return len(b.lines.with("event=request-ended", "status=200", "sends=1")) == 1
	})
	b.good.off.Store(true)
	b.ask(http.MethodPost, "/r/", "body")
	b.is.Equal(len(b.lines.with("event=request-routed")), 1)
	b.is.Equal(len(b.lines.with("event=request-ended")), 1)
}

func TestAnEjectionIsLogged(t *testing.T) {
	b := newBed(t, safe, newUpstream(t, reset), newUpstream(t, say(http.StatusOK, "ok")))
	b.edge.setPools(b.edge.board.Fleet.Load(), map[string]bool{})
	b.eventually("the failing upstream is ejected", func() bool {
		b.ask(http.MethodGet, "/r/", "")
		return b.edge.tracker.Load("u-0").Ejected
	})
	b.is.Equal(len(b.lines.with("event=upstream-ejected", "upstream=u-0", "failures=3", "for_ms=2000")), 1)
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
	b.is.True(shown())
	empty := &fleet.View{}
	empty.Index()
	b.edge.forgetGone(b.edge.board.Fleet.Load(), empty)
	b.is.True(!shown())
}
