package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// askPending sends a request while the instance cannot serve yet, and returns the channel for its
// reply.
func (h *harness) askPending() chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- h.ask(http.MethodGet, "/r/", "") }()
	return replies
}

// TestRequestsDuringStartAreServedOnceConfigured guards against refusals after a restart of all
// instances: callers return within half a second with their last retry.
func TestRequestsDuringStartAreServedOnceConfigured(t *testing.T) {
	h := newHarness(t, safeRoute, newUpstream(t, respond(http.StatusOK, "ok")))
	config := h.edge.board.Routes.Load()
	h.edge.board.Routes.Store(nil)
	replies := h.askPending()
	h.eventually("the request waits", func() bool { return h.edge.active.Load() == 1 })
	h.edge.board.Routes.Store(config)
	h.is.Equal((<-replies).status, http.StatusOK)
}

func TestUnconfiguredInstanceRefusesAfterTheStartWait(t *testing.T) {
	h := newHarness(t, safeRoute)
	h.edge.board.Routes.Store(nil)
	h.edge.startedAt = time.Now().Add(maxStartWait/4 - startWindow)
	h.is.Equal(h.ask(http.MethodGet, "/r/", "").status, http.StatusServiceUnavailable)
	h.is.True(time.Since(h.edge.startedAt) >= startWindow)
	h.is.Equal(h.ask(http.MethodGet, "/r/", "").status, http.StatusServiceUnavailable)
}

// TestRequestsDoNotWaitOnceAllInstancesAreKnown guards against delaying the refusal of a request
// without an upstream anywhere.
func TestRequestsDoNotWaitOnceAllInstancesAreKnown(t *testing.T) {
	h := newHarness(t, safeRoute)
	view := &fleet.View{Instances: []fleet.Instance{{Name: "s-1", Domain: "s-a", Region: "south"}}}
	view.Index()
	h.edge.board.Fleet.Store(view)
	h.is.True(h.edge.gossip.HasUnreachableDomain())
	replies := h.askPending()
	h.eventually("the request waits for the other region", func() bool { return h.edge.active.Load() == 1 })
	empty := &fleet.View{}
	empty.Index()
	h.edge.board.Fleet.Store(empty)
	h.is.Equal((<-replies).status, http.StatusServiceUnavailable)
	h.is.True(time.Since(h.edge.startedAt) < startWindow)
}

// TestOwnEntryIsNoFormerProcess guards against an instance that is new, and whose entry is already in the first
// list that it reads, taking itself for one that the others know: they may still use its part of the room of
// upstreams.
func TestOwnEntryIsNoFormerProcess(t *testing.T) {
	h := newHarness(t, safeRoute)
	entry := h.edge.self
	h.edge.noteReplaced(&fleet.View{Instances: []fleet.Instance{entry}})
	h.is.True(!h.edge.joined())
	entry.Incarnation--
	h.edge.noteReplaced(&fleet.View{Instances: []fleet.Instance{entry}})
	h.is.True(h.edge.joined())
}
