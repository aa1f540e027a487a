package edge

import (
	"net/http"
	"testing"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// TestARegionIsFullOnlyByTheWordOfItsInstance: one that leaves says nothing of the region.
func TestARegionIsFullOnlyByTheWordOfItsInstance(t *testing.T) {
	b := newBed(t, safe)
	c := &call{job: &job{Edge: b.edge}}
	c.regionOverloaded = true
	b.is.Equal(c.regionResult(notRun).String(), "rejected")
	c.regionOverloaded = false
	b.is.Equal(c.regionResult(notRun).String(), "abandoned")
	b.is.Equal(c.regionResult(done).String(), "succeeded")
}

// TestAForwardedRequestThatIsRefusedSaysWhy, so that its sender can tell.
func TestAForwardedRequestThatIsRefusedSaysWhy(t *testing.T) {
	b := newBed(t, safe)
	reply := b.askAt(b.peers.URL, http.MethodGet, "/r/", "")
	b.is.Equal(reply.header.Get("X-Lilacweir-Reason"), string(outcome.ReasonNoUpstream))
	b.is.Equal(b.ask(http.MethodGet, "/r/", "").header.Get("X-Lilacweir-Reason"), "")
}
