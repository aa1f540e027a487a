package route_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/route"
)

// review returns a request that shares its history, but not its question, with others.
func review(history, question uint64) *route.Request {
	req := request("ra")
	req.Prefixes = []uint64{history, question}
	req.PrefixTokens = []int{3900, 4000}
	req.PromptTokens = 4000
	return req
}

// Requests with the same history go to one upstream, from any gateway, whatever their
// questions; different histories spread over the upstreams.
func TestSharedPrefixGoesToOneUpstream(t *testing.T) {
	for _, size := range []int{4, 100} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			w := newHarness(size)
			table := w.table()
			used := map[string]bool{}
			for history := range uint64(40) {
				first, _ := w.pick(table, review(history, 1000+history))
				for question := range uint64(5) {
					again, _ := w.pick(table, review(history, 2000+10*history+question))
					is.Equal(again.Upstream.Name, first.Upstream.Name)
				}
				used[first.Upstream.Name] = true
			}
			is.True(len(used) >= min(size, 20))
		})
	}
}

// A popular prefix does not overload one upstream while others are idle.
func TestAffinityYieldsToLoad(t *testing.T) {
	is := is.New(t)
	w := newHarness(4)
	table := w.table()
	preferred, _ := w.pick(table, review(1, 2))
	w.load[preferred.Upstream.Name] = limit.Load{InFlight: 12, Limit: limit.Unlimited}
	other, _ := w.pick(table, review(1, 3))
	is.True(other.Upstream.Name != preferred.Upstream.Name)
}

// A report that an upstream has cached the prefix takes precedence over hashing.
func TestReportedPrefixOverridesHashing(t *testing.T) {
	is := is.New(t)
	w := newHarness(100)
	preferred, _ := w.pick(w.table(), review(1, 2))
	holder := "u-7"
	is.True(preferred.Upstream.Name != holder)
	report := w.input.Upstreams.ByName[holder]
	report.Prefixes = []uint64{1}
	w.input.Upstreams.ByName[holder] = report
	chosen, _ := w.pick(w.table(), review(1, 3))
	is.Equal(chosen.Upstream.Name, holder)
}
