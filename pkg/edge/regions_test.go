package edge

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/peer"
)

// refuseAs returns a script of an instance that refuses requests as not run.
func refuseAs(reason outcome.Reason, retryAfter string) script {
	return respond(http.StatusServiceUnavailable, "", header.Outcome+": "+string(outcome.NotRun), header.Reason+": "+string(reason), testNotRun+": 1", "Retry-After: "+retryAfter)
}

// newBoundHarness returns an instance whose only route is permitted in another region, with
// instances there.
func newBoundHarness(t *testing.T, instances ...*upstream) *harness {
	t.Helper()
	h := newRemoteHarness(t, instances...)
	route := resumableRoute
	route.Homes = []string{remoteRegion}
	h.declare(2, route)
	return h
}

// checkRefused sends a request and checks that it is refused, with a Retry-After within bounds.
func (h *harness) checkRefused(reason outcome.Reason, detail string, least, most time.Duration, fields ...string) {
	h.Helper()
	got := h.askAt(h.caller.URL, http.MethodPost, "/r/", "x", fields...)
	h.is.Equal(got.status, http.StatusServiceUnavailable)
	h.is.Equal(got.body, string(outcome.NotRun)+": "+string(reason)+": "+detail+"\n")
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	h.is.NoErr(err)
	if named := time.Duration(seconds * float64(time.Second)); named < least || named > most {
		h.Errorf("Retry-After %v, want %v to %v", named, least, most)
	}
}

const (
	detailFull      = "the permitted regions have no capacity in time"
	detailUnreached = "no instance in a permitted region can be reached"
)

// TestFullRegionsAreNotCalledUnreachable guards against refusals that name a lost connection, and a
// Retry-After that is too short, where the instances of the permitted regions were reached and had
// no capacity.
func TestFullRegionsAreNotCalledUnreachable(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.ReasonOverloaded, outcome.ReasonNoUpstream, outcome.ReasonNoRoom} {
		t.Run(string(reason), func(t *testing.T) {
			full := newUpstream(t, refuseAs(reason, "0.7"))
			h := newBoundHarness(t, full)
			h.checkRefused(outcome.ReasonOverloaded, detailFull, 700*time.Millisecond, 700*time.Millisecond)
			// Now few are asked: the region gets the share that it accepts, a tenth at least, or the
			// instance backs off.
			for range 60 {
				h.checkRefused(outcome.ReasonOverloaded, detailFull, 300*time.Millisecond, 700*time.Millisecond)
			}
			h.is.True(full.arrivals.Load() < 25)
			// Less urgent requests that are served here need not yield.
			h.is.True(!h.edge.overload.Contended(testService, 1, time.Now()))
		})
	}
	t.Run("callers wait for a third of their time", func(t *testing.T) {
		h := newBoundHarness(t, newUpstream(t, refuseAs(outcome.ReasonOverloaded, "5")))
		h.checkRefused(outcome.ReasonOverloaded, detailFull, 100*time.Millisecond, 300*time.Millisecond, testDeadline, "900")
	})
	t.Run("the remaining backoff", func(t *testing.T) {
		full := newUpstream(t, refuseAs(outcome.ReasonOverloaded, "0"))
		h := newRemoteHarness(t, full)
		h.eventually("the region backs off for longer than usual", func() bool {
			h.askAt(h.caller.URL, http.MethodPost, "/r/", "x")
			return full.arrivals.Load() == 4
		})
		h.checkRefused(outcome.ReasonOverloaded, detailFull, 600*time.Millisecond, 800*time.Millisecond)
	})
	t.Run("no upstream in the own region", func(t *testing.T) {
		h := newRemoteHarness(t, newUpstream(t, refuseAs(outcome.ReasonOverloaded, "0.7")))
		h.checkRefused(outcome.ReasonOverloaded, detailFull, 700*time.Millisecond, 700*time.Millisecond)
	})
}

// TestUnreachableRegionsAreNamedSo guards against a refusal that says that an instance cannot be
// reached while one of a permitted region is live, and against another detail if none is.
func TestUnreachableRegionsAreNamedSo(t *testing.T) {
	const usual = 300 * time.Millisecond
	t.Run("no live instance", func(t *testing.T) {
		newBoundHarness(t).checkRefused(outcome.ReasonNoUpstream, detailUnreached, usual, usual)
	})
	t.Run("no connection", func(t *testing.T) {
		closed := &upstream{}
		var err error
		closed.listener, err = net.Listen("tcp", "127.0.0.1:0")
		if err != nil || closed.listener.Close() != nil {
			t.Fatal(err)
		}
		newBoundHarness(t, closed).checkRefused(outcome.ReasonNoUpstream, detailUnreached, usual, usual)
	})
	for name, change := range map[string]func(*peer.Known){
		"not ready":           func(k *peer.Known) { k.Ready = false },
		"reaches no upstream": func(k *peer.Known) { k.Unreachable = testService },
	} {
		t.Run(name, func(t *testing.T) {
			h := newBoundHarness(t, newUpstream(t, streamFrom()))
			view := h.edge.gossip.View().Load()
			known := view.Others[0]
			change(&known)
			h.edge.gossip.View().Store(peer.NewView([]peer.Known{known}, nil, time.Now()))
			h.checkRefused(outcome.ReasonNoUpstream, "no upstream in a permitted region can take the request now", usual, usual)
		})
	}
	t.Run("silent upstreams", func(t *testing.T) {
		h := newBoundHarness(t, newUpstream(t, refuseAs(outcome.ReasonUnresponsive, "0.2")))
		h.checkRefused(outcome.ReasonUnresponsive, "the upstreams of the permitted regions are silent", 100*time.Millisecond, usual, testDeadline, "1000")
	})
}
