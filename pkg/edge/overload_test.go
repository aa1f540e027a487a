package edge

import (
	"net/http"
	"testing"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// TestRegionIsOverloadedOnlyWhenReportedByItsInstance guards against taking a leaving instance
// for an overloaded region.
func TestRegionIsOverloadedOnlyWhenReportedByItsInstance(t *testing.T) {
	h := newHarness(t, safeRoute)
	c := &call{job: &job{Edge: h.edge}}
	c.regionOverloaded = true
	h.is.Equal(c.regionResult(notRun).String(), "rejected")
	c.regionOverloaded = false
	h.is.Equal(c.regionResult(notRun).String(), "abandoned")
	h.is.Equal(c.regionResult(done).String(), "succeeded")
}

func TestRefusalOfAForwardedRequestNamesItsReason(t *testing.T) {
	h := newHarness(t, safeRoute)
	reply := h.askAt(h.peers.URL, http.MethodGet, "/r/", "")
	h.is.Equal(reply.header.Get("X-Lilacweir-Reason"), string(outcome.ReasonNoUpstream))
	h.is.Equal(h.ask(http.MethodGet, "/r/", "").header.Get("X-Lilacweir-Reason"), "")
}
