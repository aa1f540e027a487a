package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestUpstreamsOfUnknownServicesGetNothing guards against requests and status queries to an upstream whose
// service is not declared, and against harm to those that are.
func TestUpstreamsOfUnknownServicesGetNothing(t *testing.T) {
	foreign := newUpstream(t, respond(http.StatusOK, "foreign"))
	h := newHarness(t, safeRoute, newUpstream(t, respond(http.StatusOK, "own")), foreign)
	h.edge.board.Routes.Load().Service(testService).ColdRate = coldRate
	view := *h.edge.board.Fleet.Load()
	unknown := &view.Upstreams[1]
	unknown.Service, unknown.StartedAt, unknown.Missing, unknown.ColdUntil = "unheard-of", 1000, time.Now(), time.Now().Add(time.Hour)
	view.Index()
	h.edge.board.Fleet.Store(&view)
	go h.edge.followFleet(t.Context())
	go h.edge.watchStreams(t.Context())
	go h.edge.gossip.Run(t.Context())
	h.edge.paths.suspect(unknown.ID, time.Now())
	for range 50 {
		h.is.Equal(h.ask(http.MethodGet, "/r/", "").body, "own")
	}
	page := httptest.NewRecorder()
	h.edge.metricsHandler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	h.is.Equal(page.Code, http.StatusOK)
	h.is.True(!strings.Contains(page.Body.String(), "unheard-of"))
	h.is.Equal(foreign.arrivals.Load(), int32(0))
}
