package edge

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/fairshare"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/peer"
)

// TestOrganisationAboveItsShareIsRefusedFirst guards against an organisation that displaces others,
// against refusals for its share while a slot is free or nobody lacks capacity, and against taking its
// refusal in another region for an overload of that region.
func TestOrganisationAboveItsShareIsRefusedFirst(t *testing.T) {
	u := newUpstream(t, respond(http.StatusOK, "fine"))
	route := httproute.Route{Kind: httproute.Safe, MaxAttempts: 1, Priority: 1, TargetLatency: time.Second}
	h := newHarness(t, route, u)
	h.organisations, h.engine = organisations(), &httproute.Engine{}
	h.declare(2, route)
	class := fairshare.Class{Service: testService, Priority: 1}
	ask := func(base, key string) reply {
		return h.askAt(base, http.MethodGet, "/r/x", "", header.Authorization, bearerOf(key), testID, "id",
			header.Caller, "mill", header.CallerProof, httproute.DigestKey(ownKey).Proof("mill", "id"))
	}
	h.edge.shares.Record(&fairshare.Request{Class: class, Organisation: "mill", Cost: 10_000}, true, h.edge.now())
	h.edge.shares.Record(&fairshare.Request{Class: class, Organisation: "dairy", Cost: 10_000}, false, h.edge.now())
	h.edge.overload.RecordLate(testService, 1, h.edge.now())
	h.is.Equal(ask(h.caller.URL, ownKey).status, http.StatusOK) // a slot is free
	for range 4 {
		_, ok := h.edge.tracker.Start("u-0", 0, 0)
		h.is.True(ok)
	}
	refused := ask(h.caller.URL, ownKey)
	h.is.Equal(refused.status, http.StatusServiceUnavailable)
	h.is.True(strings.Contains(refused.body, "overloaded: the organisation is above its fair share"))
	h.is.True(refused.header.Get("Retry-After") != "0")
	h.is.True(h.lines.Has("share="))
	h.is.True(h.lines.Has("organisation=mill"))
	h.is.Equal(h.edge.counts.series.Counter("fairshare.refused", label(labelOrganisation, "mill")).Count(), int64(1))
	h.is.Equal(ask(h.caller.URL, otherKey).status, http.StatusOK)
	forwarded := ask(h.peers.URL, ownKey)
	h.is.Equal(forwarded.status, http.StatusServiceUnavailable)
	c := &call{job: &job{Edge: h.edge}, peer: true}
	h.is.True(!c.reportsOverload(&exchange.Answer{Status: forwarded.status, Header: forwarded.header}))
	forwarded.header.Del(header.AboveShare)
	h.is.True(c.reportsOverload(&exchange.Answer{Status: forwarded.status, Header: forwarded.header}))
	// Without a place, it does not wait for one.
	h.edge.guards.Begin(testService, h.edge.now())
	h.is.True(strings.Contains(ask(h.caller.URL, ownKey).body, "overloaded: the organisation is above its fair share"))
	h.is.True(strings.Contains(ask(h.caller.URL, otherKey).body, "have no room"))
}

// TestOrganisationAboveItsShareIsMovedToAFreeRegion guards against a refusal while another region can begin
// the answer in time.
func TestOrganisationAboveItsShareIsMovedToAFreeRegion(t *testing.T) {
	h := newHarness(t, safeRoute, newUpstream(t, respond(http.StatusOK, "")))
	view := &fleet.View{Upstreams: append(h.edge.board.Fleet.Load().Upstreams, fleet.Upstream{ID: "s", Service: testService, Region: "south", Slots: 4})}
	view.Index()
	j := &job{Edge: h.edge, service: &httproute.Service{Name: testService, Engine: &httproute.Engine{}}, deadline: h.edge.now().Add(4 * time.Second)}
	j.route = &httproute.Route{Name: "r", TargetLatency: time.Second}
	h.edge.board.Fleet.Store(view)
	world := j.snapshots()
	world.Peers = &peer.View{Others: []peer.Known{{Instance: fleet.Instance{Name: "s-1", Region: "south"}, Ready: true, ReportedAt: world.Now}}}
	here := j.surveyRegion(world, j.query())
	h.is.True(here.Best.Upstream != nil && !here.Best.Late)
	h.is.Equal(j.timelyElsewhere(world, j.query(), &here).Instance.Name, "s-1")
	j.forwarded = true
	h.is.True(j.timelyElsewhere(world, j.query(), &here) == nil)
}
