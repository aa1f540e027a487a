package edge

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
)

// BenchmarkReport makes the report of an instance that has work at ten of 1,000 upstreams.
func BenchmarkReport(b *testing.B) {
	e, err := New(Options{Settings: &Settings{Instance: "n-1"}})
	is.New(b).NoErr(err)
	view := &fleet.View{}
	for i := range 1000 {
		view.Upstreams = append(view.Upstreams, fleet.Upstream{ID: fmt.Sprintf("u-%d@1764712345678", i), Service: testService})
	}
	view.Index()
	e.board.Fleet.Store(view)
	e.board.Routes.Store(&httproute.Configuration{})
	for i := range 1000 {
		flight, ok := e.tracker.Start(view.Upstreams[i].ID, 100, 0)
		is.New(b).True(ok)
		if i%100 != 0 {
			flight.Done(limit.Succeeded)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		e.loads()
	}
}
