package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/route"
)

// overloaded returns a harness with long queues at the local upstreams, while domain b has
// spare capacity.
func overloaded(spare int) *harness {
	w := newHarness(2)
	w.fill(40)
	w.input.Domains.Remote = []board.DomainDigest{digestOf("b", "rb", spare)}
	w.input.Spill = route.NewSpillState()
	return w
}

// decide sends one request and reports whether it was forwarded.
func (w *harness) decide(t interface{ Fatal(...any) }, table *route.Table, roll uint64) bool {
	req := request("ra", "rb")
	req.SplitRandom = roll
	decision, refusal := w.pick(table, req)
	if refusal != nil {
		t.Fatal(refusal)
	}
	return decision.Domain != nil
}

// advance advances the time by a step and brings a new digest.
func (w *harness) advance(step time.Duration) *route.Table {
	w.input.Now = w.input.Now.Add(step)
	digest := &w.input.Domains.Remote[0]
	digest.HeardAt = w.input.Now
	digest.Sequence++
	return w.table()
}

func TestSpillNeedsMarginRuleAndFreshDigest(t *testing.T) {
	cases := map[string]struct {
		change func(*harness)
		leaves bool
	}{
		"much sooner there":  {func(*harness) {}, true},
		"not worth the trip": {func(w *harness) { w.fill(1) }, false},
		"just as busy there": {func(w *harness) { w.input.Domains.Remote[0].Pools[0].Waiting = 300 }, false},
		"no rule":            {func(w *harness) { w.declaration.Spill = nil }, false},
		"rule of 0 percent":  {func(w *harness) { w.declaration.Spill[0].Percent = 0 }, false},
		"no spare":           {func(w *harness) { w.input.Domains.Remote[0].Pools[0].Spare = 0 }, false},
		"stale digest":       {func(w *harness) { w.input.Now = epoch.Add(route.DigestTTL + time.Second) }, false},
		"margin not reached": {func(w *harness) { w.declaration.Policy.SpillMargin = config.Duration(time.Hour) }, false},
		"model not there":    {func(w *harness) { w.declaration.Models[0].Regions = []string{"ra"} }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := overloaded(8)
			c.change(w)
			is.Equal(w.decide(t, w.table(), 1), c.leaves)
		})
	}
}

// However many gateways of however many domains decide on the same digest, they send no
// more than its spare capacity, until the next one.
func TestDigestCreditIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spare := rapid.IntRange(0, 20).Draw(t, "spare")
		gateways := rapid.IntRange(1, 4).Draw(t, "gateways a domain")
		sent := 0
		for _, domain := range []string{"a", "c"} {
			for i := range gateways {
				w := overloaded(spare)
				if domain == "c" {
					w.input.Domain, w.input.Region = "c", "rc"
					w.declaration.Spill[0].From = "rc"
					w.declaration.Spill[1].To = "ra"
					for u := range w.declaration.Upstreams {
						w.declaration.Upstreams[u].Domain = "c"
					}
				}
				w.input.Self = fmt.Sprint(domain, i)
				w.input.Members = &board.Members{}
				for other := range gateways {
					w.input.Members.Instances = append(w.input.Members.Instances, board.Instance{
						Name: fmt.Sprint(domain, other), State: board.InstanceLive, Incarnation: 1,
					})
				}
				table := w.table()
				for roll := range uint64(30) {
					req := request("ra", "rb", "rc")
					req.SplitRandom = roll
					if decision, _ := w.pick(table, req); decision.Domain != nil {
						sent++
					}
				}
			}
		}
		if sent > spare {
			t.Fatalf("%d sent with a spare capacity of %d", sent, spare)
		}
	})
}

// A digest that is confirmed without change renews its credit.
func TestConfirmedDigestRenewsCredit(t *testing.T) {
	is := is.New(t)
	w := overloaded(4)
	sent := func() (count int) {
		table := w.table()
		for roll := range uint64(10) {
			if w.decide(t, table, roll) {
				count++
			}
		}
		return count
	}
	is.Equal(sent(), 2) // half of the spare capacity: domain c may send as well
	is.Equal(sent(), 0)
	w.input.Now = w.input.Now.Add(time.Second)
	is.Equal(sent(), 0) // the same digest, only later
	w.input.Now = w.input.Now.Add(time.Second)
	w.input.Domains.Remote[0].HeardAt = w.input.Now
	is.Equal(sent(), 2)
}

// A rule's percent applies to the requests that arrive, however often a request is decided
// on.
func TestSpillRespectsThePercent(t *testing.T) {
	is := is.New(t)
	w := overloaded(1000)
	w.declaration.Spill[0].Percent = 20
	sent, arrived := 0, 0
	for range 100 {
		table := w.advance(100 * time.Millisecond)
		for roll := range uint64(10) {
			arrived++
			req := request("ra", "rb")
			req.SplitRandom = roll
			for _, waiting := range []time.Duration{0, time.Second} {
				req.Waiting = waiting
				if decision, _ := w.pick(table, req); decision.Domain != nil {
					sent++
					break
				}
			}
		}
	}
	is.True(sent*100 <= 20*arrived)
	is.True(sent*100 >= 15*arrived) // the rule is used
}

// Decisions do not flap around the margin: forwarding starts above it, and ends gradually
// below.
func TestSpillHysteresisAndRamp(t *testing.T) {
	is := is.New(t)
	w := overloaded(1000)
	w.input.Domains.Remote[0].Pools[0].Slots = 1000
	share := func(inFlight int) int {
		w.fill(inFlight)
		table := w.advance(time.Second)
		left := 0
		for roll := range uint64(100) {
			if w.decide(t, table, roll) {
				left++
			}
		}
		return left
	}
	strong, band := inFlightFor(w, 1.2), inFlightFor(w, 0.75)
	is.Equal(share(band), 0) // not started yet
	is.Equal(share(strong), 100)
	last := 100
	falls := 0
	for range 12 {
		now := share(band)
		is.True(now <= last) // no flapping
		if now < last {
			falls++
		}
		last = now
	}
	is.Equal(last, 0)
	is.True(falls >= 5) // gradually
}

// inFlightFor sets the margin to the gain at 20 local requests, and returns the least
// number of local requests with a gain of at least that share of the margin.
func inFlightFor(w *harness, share float64) int {
	const atMargin = 20
	gain := func(inFlight int) time.Duration {
		w.fill(inFlight)
		here, _ := w.pick(w.table(), request("ra"))
		there := overloaded(1000)
		there.input.Domains.Remote[0].Pools[0].Slots = 1000
		remote, _ := there.pick(there.table(), request("ra", "rb"))
		return here.Predicted - remote.Predicted
	}
	w.declaration.Policy.SpillMargin = config.Duration(gain(atMargin))
	for inFlight := 1; ; inFlight++ {
		if gain(inFlight).Seconds() >= share*gain(atMargin).Seconds() {
			return inFlight
		}
	}
}

// An upstream that became usable again gets less than its declared concurrency, until its
// cache has had time to fill.
func TestReturningUpstreamIsRampedUp(t *testing.T) {
	is := is.New(t)
	w := newHarness(2)
	w.setState("u-0", board.UpstreamSilent)
	w.input.Previous = w.table()
	w.setState("u-0", board.UpstreamLive)
	back := w.table()
	for _, upstream := range []string{"u-0", "u-1"} {
		w.load[upstream] = limit.Load{InFlight: 2, Limit: limit.Unlimited, Holding: 5 * time.Second}
	}
	req := request("ra")
	req.Prefixes = nil
	for range 20 {
		decision, _ := w.pick(back, req)
		is.Equal(decision.Upstream.Name, "u-1")
	}
	w.input.Now = epoch.Add(time.Minute)
	used := map[string]bool{}
	for range 50 {
		decision, _ := w.pick(back, req)
		used[decision.Upstream.Name] = true
	}
	is.Equal(len(used), 2)
}
