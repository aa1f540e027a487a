package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// pending asks while the instance cannot serve yet, and returns where the reply comes.
func (b *bed) pending() chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- b.ask(http.MethodGet, "/r/", "") }()
	return replies
}

// TestWhatComesWhileAnInstanceBeginsIsServedOnceItIsConfigured: after a restart of
// everything all callers come back in the first half second, each with its last try.
func TestWhatComesWhileAnInstanceBeginsIsServedOnceItIsConfigured(t *testing.T) {
	b := newBed(t, safe, newUpstream(t, say(http.StatusOK, "ok")))
	config := b.edge.board.Routes.Load()
	b.edge.board.Routes.Store(nil)
	replies := b.pending()
	b.eventually("it waits", func() bool { return b.edge.active.Load() == 1 })
	b.edge.board.Routes.Store(config)
	b.is.Equal((<-replies).status, http.StatusOK)
}

// TestAnInstanceThatIsNeverConfiguredRefusesWithinItsPatience.
func TestAnInstanceThatIsNeverConfiguredRefusesWithinItsPatience(t *testing.T) {
	b := newBed(t, safe)
	b.edge.board.Routes.Store(nil)
	b.edge.startedAt = time.Now().Add(maxStartWait/4 - startWindow)
	b.is.Equal(b.ask(http.MethodGet, "/r/", "").status, http.StatusServiceUnavailable)
	b.is.True(time.Since(b.edge.startedAt) >= startWindow)
	b.is.Equal(b.ask(http.MethodGet, "/r/", "").status, http.StatusServiceUnavailable)
}

// TestOnceAllAreHeardNothingIsHeld: what has no upstream anywhere is refused at once.
func TestOnceAllAreHeardNothingIsHeld(t *testing.T) {
	b := newBed(t, safe)
	view := &fleet.View{Instances: []fleet.Instance{{Name: "s-1", Domain: "s-a", Region: "south"}}}
	view.Index()
	b.edge.board.Fleet.Store(view)
	b.is.True(b.edge.gossip.Unheard())
	replies := b.pending()
	b.eventually("it waits for the other region", func() bool { return b.edge.active.Load() == 1 })
	empty := &fleet.View{}
	empty.Index()
	b.edge.board.Fleet.Store(empty)
	b.is.Equal((<-replies).status, http.StatusServiceUnavailable)
	b.is.True(time.Since(b.edge.startedAt) < startWindow)
}
