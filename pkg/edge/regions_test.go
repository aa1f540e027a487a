package edge

import (
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

// TestRefusalsNameTheStateOfThePermittedRegions guards against refusals that name a lost connection where the
// instances of the permitted regions were reached and had no capacity, against the reverse, and against a
// Retry-After at which the caller is refused again.
func TestRefusalsNameTheStateOfThePermittedRegions(t *testing.T) {
	const (
		full      = "the permitted regions have no capacity in time"
		unreached = "no instance in a permitted region can be reached"
		unusable  = "no upstream in a permitted region can take the request now"
		usual     = 300 * time.Millisecond
		named     = 700 * time.Millisecond
	)
	closed := newUpstream(t, nil)
	if err := closed.listener.Close(); err != nil {
		t.Fatal(err)
	}
	refusing := func(reason outcome.Reason, retryAfter string) *upstream {
		return newUpstream(t, refuseAs(reason, retryAfter))
	}
	for name, c := range map[string]struct {
		instance    *upstream
		change      func(*peer.Known)
		reason      outcome.Reason
		detail      string
		least, most time.Duration
		deadline    string
	}{
		"overloaded":          {refusing(outcome.ReasonOverloaded, "0.7"), nil, outcome.ReasonOverloaded, full, named, named, ""},
		"no upstream":         {refusing(outcome.ReasonNoUpstream, "0.7"), nil, outcome.ReasonOverloaded, full, named, named, ""},
		"no place":            {refusing(outcome.ReasonNoRoom, "0.7"), nil, outcome.ReasonOverloaded, full, named, named, ""},
		"a third of the time": {refusing(outcome.ReasonOverloaded, "5"), nil, outcome.ReasonOverloaded, full, 100 * time.Millisecond, usual, "900"},
		"silent upstreams":    {refusing(outcome.ReasonUnresponsive, "0.2"), nil, outcome.ReasonUnresponsive, "the upstreams of the permitted regions are silent", 100 * time.Millisecond, usual, "1000"},
		"no live instance":    {closed, func(k *peer.Known) { k.ReportedAt = time.Time{} }, outcome.ReasonNoUpstream, unreached, usual, usual, ""},
		"no connection":       {closed, nil, outcome.ReasonNoUpstream, unreached, usual, usual, ""},
		"not ready":           {closed, func(k *peer.Known) { k.Ready = false }, outcome.ReasonNoUpstream, unusable, usual, usual, ""},
		"reaches no upstream": {closed, func(k *peer.Known) { k.Unreachable = testService }, outcome.ReasonNoUpstream, unusable, usual, usual, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newBoundHarness(t, c.instance)
			if known := h.edge.gossip.View().Load().Others[0]; c.change != nil {
				c.change(&known)
				h.edge.gossip.View().Store(peer.NewView([]peer.Known{known}, nil, time.Now()))
			}
			h.checkRefused(c.reason, c.detail, c.least, c.most, testDeadline, c.deadline)
			if c.reason == outcome.ReasonOverloaded {
				// Now few are sent there: the region gets the share that it accepts, a tenth at least, or
				// the instance backs off.
				for range 60 {
					h.checkRefused(c.reason, c.detail, min(c.least, usual), c.most, testDeadline, c.deadline)
				}
				h.is.True(c.instance.arrivals.Load() < 25)
				// Less urgent requests that are served here need not yield.
				h.is.True(!h.edge.overload.Contended(testService, 1, time.Now()))
			}
		})
	}
	t.Run("the remaining backoff", func(t *testing.T) {
		instance := refusing(outcome.ReasonOverloaded, "0")
		h := newRemoteHarness(t, instance)
		h.eventually("the region backs off for longer than usual", func() bool {
			h.askAt(h.caller.URL, http.MethodPost, "/r/", "x")
			return instance.arrivals.Load() == 4
		})
		h.checkRefused(outcome.ReasonOverloaded, full, 600*time.Millisecond, 800*time.Millisecond)
	})
	t.Run("no upstream in the own region", func(t *testing.T) {
		newRemoteHarness(t, refusing(outcome.ReasonOverloaded, "0.7")).checkRefused(outcome.ReasonOverloaded, full, named, named)
	})
}
