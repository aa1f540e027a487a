package edge

import (
	"net/http"
	"testing"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// TestUpstreamAtAnInstancesAddressGetsNothing guards against a request that goes round until no connection is left,
// since an entry names an instance's address, of this or another one, as that of an upstream.
func TestUpstreamAtAnInstancesAddressGetsNothing(t *testing.T) {
	for name, own := range map[string]bool{"its own": true, "a registered one's": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, unsafeRoute)
			address := h.caller.Listener.Addr().String()
			view := &fleet.View{Upstreams: []fleet.Upstream{{
				ID: "u-9", Name: "u-9", Service: testService, Address: address, Domain: "n-a", Region: testRegion, Slots: 4,
			}}}
			if own {
				view.Own = []string{address}
			} else {
				view.Instances = []fleet.Instance{{Name: "n-2", Domain: "n-a", Region: testRegion, Callers: address}}
			}
			view.Index()
			h.edge.board.Fleet.Store(view)
			h.is.Equal(h.ask(http.MethodPost, "/r/", "x").status, http.StatusServiceUnavailable)
			h.is.Equal(h.edge.upstreams.Dialed(), int64(0))
		})
	}
}
