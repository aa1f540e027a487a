package httproute_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/httproute"
)

func compile(t *testing.T, version uint64, routes ...httproute.Route) *httproute.Configuration {
	t.Helper()
	services := []httproute.Service{{Name: "llm"}, {Name: "api"}}
	config, err := httproute.Compile(version, httproute.Limits{}, routes, services)
	is.New(t).NoErr(err)
	return config
}

func route(name, host, prefix string) httproute.Route {
	return httproute.Route{
		Name: name, Host: host, Prefix: prefix, Kind: httproute.Safe,
		Backends: []httproute.Backend{{Service: "llm", Weight: 1}},
	}
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	config := compile(t, 1, route("all", "a.example", "/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/"))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.example:8080", "/x/y/", "long"},
		{"a.example", "/x/y", "all"},
		{"a.example", "/x/yy/", "all"},
		{"a.example", "*", ""},
		{"b.example", "/x/1/2", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			got := ""
			if match := config.Match(c.host, c.path); match != nil {
				got = match.Name
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

func TestFaultsNameTheirPlace(t *testing.T) {
	for name, bad := range map[string]httproute.Route{
		"prefix":  {Name: "r", Prefix: "/x", Kind: httproute.Safe},
		"kind":    {Name: "r", Prefix: "/x/", Kind: "keyed"},
		"service": {Name: "r", Prefix: "/x/", Kind: httproute.Safe, Backends: []httproute.Backend{{Service: "none"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := httproute.Compile(7, httproute.Limits{}, []httproute.Route{bad}, nil)
			var fault *httproute.Fault
			is.True(errors.As(err, &fault))
			is.Equal(fault.Place, "route r")
			is.Equal(fault.Version, uint64(7))
		})
	}
}

func TestWeightsShareRequests(t *testing.T) {
	is := is.New(t)
	shared := httproute.Route{Backends: []httproute.Backend{{Service: "llm", Weight: 90}, {Service: "api", Weight: 10}}}
	counts := map[string]int{}
	for roll := range uint64(1000) {
		counts[shared.Pick(roll)]++
	}
	is.Equal(counts["llm"], 900)
	is.Equal(counts["api"], 100)
	is.Equal((&httproute.Route{}).Pick(1), "")
}

func TestOnlySafeAndResumableRoutesAreRepeatable(t *testing.T) {
	is := is.New(t)
	is.True((&httproute.Route{Kind: httproute.Safe}).Repeatable())
	is.True((&httproute.Route{Kind: httproute.Streaming, Resumable: true}).Repeatable())
	is.True(!(&httproute.Route{Kind: httproute.Streaming}).Repeatable())
	is.True(!(&httproute.Route{Kind: httproute.Unsafe, Resumable: true}).Repeatable())
}

func TestNewerComparesVersions(t *testing.T) {
	is := is.New(t)
	older, newer := compile(t, 3), compile(t, 5)
	is.True(newer.Newer(older))
	is.True(!older.Newer(newer))
	is.True(!older.Newer(older))
	is.True(older.Newer(nil))
}

// TestPermittedRoutesCountsTheRoutesOfAHost checks that only routes that the region may
// process count, regardless of the port.
func TestPermittedRoutesCountsTheRoutesOfAHost(t *testing.T) {
	is := is.New(t)
	bound, free := route("bound", "a.example", "/x/"), route("free", "a.example", "/y/")
	bound.Homes = []string{"north"}
	config := compile(t, 1, bound, free)
	is.Equal(config.PermittedRoutes("a.example:1", "north"), 2)
	is.Equal(config.PermittedRoutes("a.example", "south"), 1)
	is.Equal(config.PermittedRoutes("b.example", "south"), 0)
}

// TestLessUrgentRoutesYieldToTheShortestMoreUrgentTarget checks that only routes that
// share a service count.
func TestLessUrgentRoutesYieldToTheShortestMoreUrgentTarget(t *testing.T) {
	is := is.New(t)
	ranked := func(name, prefix string, rank int, target time.Duration) httproute.Route {
		r := route(name, "a.example", prefix)
		r.Priority, r.TargetLatency = rank, target
		return r
	}
	config := compile(t, 1, ranked("first", "/1/", 0, 600*time.Millisecond), ranked("also", "/2/", 0, time.Second), ranked("second", "/3/", 1, 800*time.Millisecond), ranked("third", "/4/", 2, 100*time.Millisecond))
	yields := func(path string) time.Duration { return config.Match("a.example", path).UrgentTarget }
	is.Equal(yields("/1/"), time.Duration(0))
	is.Equal(yields("/2/"), time.Duration(0))
	is.Equal(yields("/3/"), 600*time.Millisecond)
	is.Equal(yields("/4/"), 600*time.Millisecond)
}
