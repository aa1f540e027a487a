package httproute_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/httproute"
)

// TestFlexibleRoutesYieldToBoundOnes guards against routes that give way without need, or that do not
// where others depend on a region.
func TestFlexibleRoutesYieldToBoundOnes(t *testing.T) {
	is := is.New(t)
	bound, free, urgent, wide := route("bound", "h", "/b/"), route("free", "h", "/f/"), route("urgent", "h", "/u/"), route("wide", "h", "/w/")
	bound.Homes, bound.Priority = []string{"north", "south"}, 1
	free.Priority, wide.Priority = 2, 1
	wide.Homes = []string{"south", "east"}
	config := compile(t, 1, bound, free, urgent, wide)
	llm := config.Service("llm")
	routes := config.Routes
	for _, region := range []string{"north", "south"} {
		is.True(!llm.Yields(&routes[2], region)) // the most urgent keeps its place
		is.True(llm.Yields(&routes[1], region))
	}
	is.True(!llm.Yields(&routes[0], "north"))
	is.True(llm.Yields(&routes[3], "south")) // to the bound route, since it may run in east
	is.True(!llm.Yields(&routes[3], "north"))
	is.True(!llm.Yields(&routes[1], "west"))
	homed := routes[1].For(&httproute.Organisation{Name: "mill", Homes: []string{"north"}})
	is.True(!llm.Yields(homed, "north"))
	is.True(llm.Contested(&routes[1], "north"))
	is.True(!llm.Contested(&routes[2], "north"))
	is.True(!config.Service("api").Yields(&routes[1], "north"))
}

// TestRoutesWithoutHomesNeverYield guards deployments that declare no homes against a change.
func TestRoutesWithoutHomesNeverYield(t *testing.T) {
	config := compile(t, 1, route("a", "h", "/a/"), route("b", "h", "/b/"))
	is.New(t).True(!config.Service("llm").Yields(&config.Routes[1], "north"))
}
