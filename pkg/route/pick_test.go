package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/route"
)

// Whatever the load, declarations and digests are, a request stays in the regions that its
// caller and its model permit, and a forwarded one is never forwarded again.
func TestPickRespectsRegionsAndClass(t *testing.T) {
	regions := []string{"ra", "rb", "rc"}
	rapid.Check(t, func(t *rapid.T) {
		w := newHarness(rapid.IntRange(0, 3).Draw(t, "upstreams"))
		w.fill(rapid.IntRange(0, 40).Draw(t, "in flight"))
		some := rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 1, 3, rapid.ID[string])
		w.declaration.Models[0].Regions = some.Draw(t, "placement")
		w.input.Domains.Remote[0].Pools[0].Busy = rapid.IntRange(0, 40).Draw(t, "busy there")
		age := time.Duration(rapid.IntRange(0, 8).Draw(t, "digest age")) * time.Second
		w.input.Now = epoch.Add(age)
		req := request(some.Draw(t, "caller's regions")...)
		req.Class = route.Class(rapid.IntRange(0, 1).Draw(t, "class"))
		req.SplitRandom = rapid.Uint64().Draw(t, "roll")
		decision, refusal := w.pick(w.table(), req)
		if refusal != nil {
			if refusal.Outcome != outcome.NotRun || decision.Upstream != nil || decision.Domain != nil {
				t.Fatal("a refusal by Pick must be not run")
			}
			return
		}
		where := "ra"
		if decision.Domain != nil {
			where = decision.Domain.Region
			if req.Class != route.ClassEntry {
				t.Fatal("a forwarded request was sent on")
			}
			if age > route.DigestTTL {
				t.Fatal("forwarded on a stale digest")
			}
		}
		if (decision.Upstream == nil) == (decision.Domain == nil) {
			t.Fatal("not exactly one destination")
		}
		if !slices.Contains(req.Caller.Regions, where) || !slices.Contains(w.declaration.Models[0].Regions, where) {
			t.Fatalf("sent to %s", where)
		}
	})
}

func TestRequestBoundToItsRegionIsNotForwarded(t *testing.T) {
	is := is.New(t)
	w := newHarness(2)
	w.fill(100)
	decision, refusal := w.pick(w.table(), request("ra"))
	is.True(refusal == nil)
	is.True(decision.Upstream != nil) // full, but not forwarded
	for i := range w.declaration.Upstreams {
		w.declaration.Upstreams[i].Drained = true
	}
	_, refusal = w.pick(w.table(), request("ra"))
	is.Equal(refusal.Reason, outcome.ReasonNoUpstream)
	is.True(refusal.RetryAfter > 0)
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		change func(*harness, *route.Request)
		reason outcome.Reason
		retry  bool
	}{
		"no region in common": {func(w *harness, _ *route.Request) { w.declaration.Models[0].Regions = []string{"rz"} },
			outcome.ReasonForbiddenRegion, false},
		"forwarded to a forbidden region": {func(_ *harness, r *route.Request) {
			r.Class = route.ClassDomain
			r.Caller = callerIn("rb")
		}, outcome.ReasonForbiddenRegion, false},
		"unknown model": {func(_ *harness, r *route.Request) { r.Serves = "nonesuch" },
			outcome.ReasonUnknownModel, false},
		"model not granted": {func(_ *harness, r *route.Request) { r.Caller.Models = []string{"other"} },
			outcome.ReasonForbiddenModel, false},
		"deadline too short for any place": {func(w *harness, r *route.Request) {
			r.Deadline = w.input.Now.Add(time.Second)
		}, outcome.ReasonDeadline, false},
		"deadline too short for the load": {func(w *harness, r *route.Request) {
			w.fill(40)
			r.Caller = callerIn("ra")
			r.Deadline = w.input.Now.Add(10 * time.Second)
		}, outcome.ReasonDeadline, true},
		"limit reached after admission": {func(w *harness, r *route.Request) {
			w.declaration.Spill = nil
			r.Admitted = true
			for _, upstream := range w.declaration.Upstreams {
				w.load[upstream.Name] = limit.Load{InFlight: 2, Limit: 2}
			}
		}, outcome.ReasonOverloaded, true},
		"all backing off": {func(w *harness, r *route.Request) {
			r.Caller = callerIn("ra")
			for _, upstream := range w.declaration.Upstreams {
				w.load[upstream.Name] = limit.Load{Limit: 2, Backoff: time.Second}
			}
		}, outcome.ReasonOverloaded, true},
		"all tried": {func(w *harness, r *route.Request) { r.Tried = []string{"u-0", "u-1", "b", "c"} },
			outcome.ReasonNoUpstream, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(2)
			req := request("ra", "rb", "rc")
			c.change(w, req)
			_, refusal := w.pick(w.table(), req)
			is.True(refusal != nil)
			is.Equal(refusal.Reason, c.reason)
			is.Equal(refusal.Outcome, outcome.NotRun)
			is.Equal(refusal.RetryAfter > 0, c.retry) // set only if a retry can succeed
		})
	}
	t.Run("no configuration", func(t *testing.T) {
		is := is.New(t)
		_, refusal := newHarness(1).pick(route.Compile(route.Input{Now: epoch}), request("ra"))
		is.Equal(refusal.Reason, outcome.ReasonNoConfiguration)
	})
}

// An upstream that any source reports as leaving is not picked, nor is one with failures or
// rejections that this gateway observed itself.
func TestUnusableUpstreamsAreNotPicked(t *testing.T) {
	cases := map[string]func(*harness){
		"leaving": func(w *harness) { w.setState("u-0", board.UpstreamLeaving) },
		"silent":  func(w *harness) { w.setState("u-0", board.UpstreamSilent) },
		"drained": func(w *harness) { w.declaration.Upstreams[0].Drained = true },
		"ejected": func(w *harness) { w.load["u-0"] = limit.Load{Limit: limit.Unlimited, Ejected: true} },
		"resting": func(w *harness) { w.load["u-0"] = limit.Load{Limit: limit.Unlimited, Backoff: time.Second} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(2)
			change(w)
			table := w.table()
			for range 50 {
				decision, refusal := w.pick(table, request("ra"))
				is.True(refusal == nil)
				is.Equal(decision.Upstream.Name, "u-1")
			}
		})
	}
}

func (w *harness) setState(upstream string, state board.UpstreamState) {
	report := w.input.Upstreams.ByName[upstream]
	report.State = state
	w.input.Upstreams.ByName[upstream] = report
}

func TestVersionsFollowTheDeclaredSplit(t *testing.T) {
	is := is.New(t)
	w := newHarness(2)
	w.input.Domains = nil
	w.declaration.Upstreams[1].Version = "v2"
	w.declaration.Models[0].Versions = []config.ModelVersion{
		{Name: "v1", Percent: 60}, {Name: "v2", Percent: 10}, {Name: "v3", Percent: 30},
	}
	table := w.table()
	counts := map[string]int{}
	for roll := range uint64(700) {
		req := request("ra")
		req.SplitRandom = roll
		decision, refusal := w.pick(table, req)
		is.True(refusal == nil)
		counts[decision.Version]++
	}
	// v3 is loaded nowhere: its share goes to the others in proportion.
	is.Equal(counts, map[string]int{"v1": 600, "v2": 100})
}

// Two gateways with the same old report do not both send everything to the upstream that it
// showed as idle.
func TestOwnAndPeersInFlightAreAddedToTheReport(t *testing.T) {
	is := is.New(t)
	w := newHarness(2)
	report := w.input.Upstreams.ByName["u-1"]
	report.Running = 3
	w.input.Upstreams.ByName["u-1"] = report
	req := request("ra")
	req.Prefixes = nil
	decision, _ := w.pick(w.table(), req)
	is.Equal(decision.Upstream.Name, "u-0") // as reported
	w.input.Members = &board.Members{Self: "gw-1", Instances: []board.Instance{{
		Name: "gw-2", State: board.InstanceLive, Incarnation: 1,
		Load: board.GatewayLoad{InFlight: map[string]int{"u-0": 6}},
	}}}
	decision, _ = w.pick(w.table(), req)
	is.Equal(decision.Upstream.Name, "u-1") // a peer has sent six since
	w.input.Members = nil
	w.load["u-0"] = limit.Load{InFlight: 6, Limit: limit.Unlimited}
	decision, _ = w.pick(w.table(), req)
	is.Equal(decision.Upstream.Name, "u-1") // so has this gateway
}

// The own queue counts towards the deadline once, not again in admission.
func TestRunExcludesTheOwnQueue(t *testing.T) {
	is := is.New(t)
	w := newHarness(1)
	table := w.table()
	first, _ := w.pick(table, request("ra"))
	waiting := request("ra")
	waiting.Waiting = 5 * time.Second
	second, _ := w.pick(table, waiting)
	is.Equal(second.Run, first.Run)
	is.Equal(second.Predicted, first.Predicted+waiting.Waiting)
}

// Gateways that decide alike on the same old report do not all send to the upstream that it
// showed as idle.
func TestGatewaysWithOneReportDoNotHerd(t *testing.T) {
	is := is.New(t)
	const gateways, there = 5, 8
	w := newHarness(2)
	report := w.input.Upstreams.ByName["u-1"]
	report.Running = there
	w.input.Upstreams.ByName["u-1"] = report
	w.input.Members = &board.Members{}
	for i := range gateways {
		w.input.Members.Instances = append(w.input.Members.Instances, board.Instance{
			Name: fmt.Sprintf("gw-%d", i), State: board.InstanceLive, Incarnation: 1,
		})
	}
	sent := map[string]int{}
	for i := range gateways {
		w.input.Self = fmt.Sprintf("gw-%d", i)
		table := w.table()
		w.load = fakeLoad{}
		for range 6 {
			req := request("ra")
			req.Prefixes = nil
			decision, _ := w.pick(table, req)
			name := decision.Upstream.Name
			sent[name]++
			w.load[name] = limit.Load{InFlight: w.load[name].InFlight + 1, Limit: limit.Unlimited}
		}
	}
	apart := sent["u-0"] - (there + sent["u-1"])
	is.True(max(apart, -apart) <= gateways) // in the end both are equally busy
}
