package claim

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

// issued returns a new key of an instance.
func (w *simulation) issued(instance string) string {
	prefix, _ := w.processes[instance].coordinator.Prefix()
	return prefix + "." + randomPart
}

func (w *simulation) begin(instance, key string) (*Grant, string) {
	claim := Claim{Key: key, Caller: propertyCaller}
	grant, recorded, refusal := w.processes[instance].coordinator.Begin(context.Background(), claim)
	switch {
	case grant != nil:
		return grant, "granted"
	case recorded != nil:
		return nil, "recorded " + string(recorded.Body)
	default:
		return nil, string(refusal.Outcome) + " " + string(refusal.Reason)
	}
}

func (w *simulation) crash(instance string) {
	w.processes[instance].dead = true
	w.start(instance)
	w.refreshAll()
}

// A key of a1 is first used through one instance and, after an event, repeated
// through another.
func TestRepeatsThroughOtherInstances(t *testing.T) {
	finish := func(g *Grant) { g.Finish(context.Background(), answered) }
	cases := []struct {
		name, first, second string
		between             func(w *simulation, grant *Grant)
		want                string
	}{
		{"running, same domain", "a2", "a3", func(*simulation, *Grant) {}, "unknown idempotency-key-in-progress"},
		{"running, other domain", "a2", "b1", func(*simulation, *Grant) {}, "unknown idempotency-key-in-progress"},
		{"complete, same domain", "a2", "a3", func(_ *simulation, g *Grant) { finish(g) }, "recorded stored"},
		{"complete, other domain", "b2", "b1", func(_ *simulation, g *Grant) { finish(g) }, "recorded stored"},
		{"abandoned", "b2", "a3", func(_ *simulation, g *Grant) { g.Abandon(context.Background()) }, "granted"},
		{"owner crashed while running", "a2", "a3", func(w *simulation, _ *Grant) { w.crash("a1") }, "unknown idempotency-key-owner-lost"},
		{"owner crashed after the end", "a2", "b1", func(w *simulation, g *Grant) { finish(g); w.crash("a1") }, "recorded stored"},
		{"owner crashed before the end", "a2", "b1", func(w *simulation, g *Grant) { w.crash("a1"); finish(g) }, "recorded stored"},
		{"owner crashed before the end, run elsewhere", "b1", "a3", func(w *simulation, g *Grant) { w.crash("a1"); finish(g) }, "recorded stored"},
		{"owner left while running", "a2", "a3", func(w *simulation, _ *Grant) { w.leave("a1") }, "unknown idempotency-key-in-progress"},
		{"owner left before the end", "b2", "b1", func(w *simulation, g *Grant) { w.leave("a1"); finish(g) }, "recorded stored"},
		{"owner frozen before the end", "a2", "a3", func(w *simulation, g *Grant) {
			w.processes["a1"].frozen = true
			finish(g)
		}, "recorded stored"},
		{"owner frozen before the end and thawed", "a2", "a1", func(w *simulation, g *Grant) {
			w.processes["a1"].frozen = true
			finish(g)
			w.processes["a1"].thaw()
		}, "recorded stored"},
		{"holder crashed", "a2", "a3", func(w *simulation, _ *Grant) { w.crash("a2") }, "unknown idempotency-key-unresolved"},
		{"holder of another domain crashed", "b1", "a3", func(w *simulation, _ *Grant) { w.crash("b1") }, "unknown idempotency-key-unresolved"},
		{"holder crashed, and the end came late", "a2", "a3", func(w *simulation, g *Grant) { w.crash("a2"); finish(g) }, "recorded stored"},
		{"left twice", "a2", "a3", func(w *simulation, g *Grant) {
			finish(g)
			w.leave("a1")
			successor := w.processes["a1"].coordinator.Successor()
			w.leave(successor)
		}, "recorded stored"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(1)
			key := w.issued("a1")
			grant, got := w.begin(c.first, key)
			is.Equal(got, "granted")
			c.between(w, grant)
			_, got = w.begin(c.second, key)
			is.Equal(got, c.want)
		})
	}
}

// TestClaimsDuringAHandoverAreDecided guards against answers that nobody decides a key, given while
// its owner hands over and the successor has not adopted it yet.
func TestClaimsDuringAHandoverAreDecided(t *testing.T) {
	for _, through := range []string{"a1", "a2", "a3", "b1"} {
		t.Run(through, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(1)
			key := w.issued("a1")
			leaving, successor := w.processes["a1"].coordinator.owner, w.processes["a2"].coordinator.owner
			transfer, parts, err := leaving.Export("transfer", asDecider(successor))
			is.NoErr(err)
			w.pause = func() { is.Equal(successor.adoptAll(transfer, parts), FaultNone) }
			_, got := w.begin(through, key)
			is.Equal(got, "granted")
		})
	}
}

// TestClaimsDuringAHandoverThatDoesNotEndAreRefused covers a successor that never adopts.
func TestClaimsDuringAHandoverThatDoesNotEndAreRefused(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	key := w.issued("a1")
	_, _, err := w.processes["a1"].coordinator.owner.Export("transfer", asDecider(w.processes["a2"].coordinator.owner))
	is.NoErr(err)
	_, _, refusal := w.processes["a3"].coordinator.Begin(context.Background(), Claim{Key: key, Caller: propertyCaller})
	is.Equal(refusal.Reason, outcome.ReasonKeyOwnerLost)
	is.Equal(refusal.RetryAfter, RetryOwnerLost) // the successor may adopt it later
}

// leave hands over an instance's keys and refreshes all memberships.
func (w *simulation) leave(instance string) {
	p := w.processes[instance]
	p.leaving = true
	_, _ = p.coordinator.Handover(context.Background())
	w.refreshAll()
}

// The refusal of a repeat carries Retry-After only if a retry may help.
func TestRetryAfterIsSetWhileARetryMayHelp(t *testing.T) {
	cases := []struct {
		name, through string
		event         func(w *simulation)
		want          time.Duration
	}{
		{"owner frozen", "a2", func(w *simulation) { w.processes["a1"].frozen = true }, RetryOwnerLost},
		{"owner frozen, from another domain", "b1", func(w *simulation) { w.processes["a1"].frozen = true }, RetryOwnerLost},
		{"owner not listed for now", "a2", func(w *simulation) {
			w.processes["a1"].frozen = true
			w.processes["a2"].members.Instances[0].Incarnation = 0
		}, RetryOwnerLost},
		{"owner replaced", "a2", func(w *simulation) { w.crash("a1") }, 0},
		{"owner replaced, from another domain", "b1", func(w *simulation) { w.crash("a1") }, 0},
		{"owner replaced, a peer that may have its keys frozen", "a2", func(w *simulation) {
			w.crash("a1")
			w.processes["a3"].frozen = true
		}, RetryOwnerLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(1)
			claim := Claim{Key: w.issued("a1"), Caller: propertyCaller}
			c.event(w)
			_, _, refusal := w.processes[c.through].coordinator.Begin(context.Background(), claim)
			is.Equal(refusal.Reason, outcome.ReasonKeyOwnerLost)
			is.Equal(refusal.RetryAfter, c.want)
		})
	}
}

// A decider that missed the report of a result fetches it from the holder on the
// next repeat.
func TestDeciderFetchesALostReport(t *testing.T) {
	for _, result := range []Result{answered, {Outcome: outcome.Complete, Status: 200, Body: make([]byte, MaxStoredBody+1)}} {
		is := is.New(t)
		w := newSimulation(1)
		key := w.issued("a1")
		grant, _ := w.begin("b1", key)
		for _, relay := range []string{"a1", "a2", "a3"} {
			w.nextFaults["b1>"+relay] = []fault{faultRequestLost, faultRequestLost}
		}
		grant.Finish(context.Background(), result)
		_, got := w.begin("a3", key)
		is.Equal(got, "unknown idempotency-key-in-progress")
		claim := Claim{Key: key, Caller: propertyCaller}
		_, recorded, _ := w.processes["a3"].coordinator.Begin(context.Background(), claim)
		is.True(recorded != nil)
		is.Equal(recorded.Status, result.Status)
		is.Equal(recorded.BodyDropped, len(result.Body) > MaxStoredBody)
	}
}

// A grant is withdrawn if the reply was lost, so that the next attempt may run.
func TestLostGrantIsWithdrawn(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	key := w.issued("a1")
	w.nextFaults["a2>a1"] = []fault{faultReplyLost, faultReplyLost} // of both rounds
	_, got := w.begin("a2", key)
	is.Equal(got, "unknown idempotency-key-owner-lost")
	_, got = w.begin("a3", key)
	is.Equal(got, "granted")
}

// A grant is withdrawn where the instance that gave it has left the list meanwhile.
func TestLostGrantOfAnUnlistedInstanceIsWithdrawn(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	key := w.issued("a1")
	w.nextFaults["a2>a1"] = []fault{faultReplyLost, faultReplyLost}
	w.pause = func() { w.processes["a2"].members.Instances[0].Incarnation = 0 }
	_, got := w.begin("a2", key)
	is.Equal(got, "unknown idempotency-key-owner-lost")
	_, got = w.begin("a3", key)
	is.Equal(got, "granted")
}

// A grant whose reply was lost is given again to the same attempt, and to no other.
func TestLostGrantIsRepeated(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	key := w.issued("a1")
	w.nextFaults["a2>a1"] = []fault{faultReplyLost}
	_, got := w.begin("a2", key)
	is.Equal(got, "granted")
	_, got = w.begin("a3", key)
	is.Equal(got, "unknown idempotency-key-in-progress")
}

// A gateway that relays a claim of another domain must not withdraw the attempt,
// since its holder may get the grant through another relay and run.
func TestRelayDoesNotWithdraw(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	key := w.issued("a1")
	holder := w.processes["b1"]
	entries := holder.domains.Remote[0].Entries
	holder.domains.Remote[0].Entries = entries[1:] // does not know a1
	w.nextFaults["a2>a1"] = []fault{faultRequestLost, faultDelayed}
	_, got := w.begin("b1", key) // a2 does not reach a1, but a3 does
	is.Equal(got, "granted")
	for _, deliver := range w.delayed {
		deliver()
	}
	_, got = w.begin("b2", key)
	is.Equal(got, "unknown idempotency-key-in-progress")
}

func TestOpaqueKey(t *testing.T) {
	finish := func(g *Grant) { g.Finish(context.Background(), answered) }
	cases := []struct {
		name    string
		before  func(kv *platformtest.Service)
		first   string
		between func(w *simulation, grant *Grant)
		want    string
	}{
		{"running", func(*platformtest.Service) {}, "granted", func(*simulation, *Grant) {}, "unknown idempotency-key-in-progress"},
		{"complete", func(*platformtest.Service) {}, "granted", func(_ *simulation, g *Grant) { finish(g) }, "recorded stored"},
		{"abandoned", func(*platformtest.Service) {}, "granted", func(_ *simulation, g *Grant) { g.Abandon(context.Background()) }, "granted"},
		{"claim's answer lost", func(kv *platformtest.Service) { kv.FailWrites(platformtest.LoseAnswer) }, "granted",
			func(_ *simulation, g *Grant) { finish(g) }, "recorded stored"},
		{"claim's write lost", func(kv *platformtest.Service) { kv.FailWrites(platformtest.LoseWrite) }, "granted",
			func(_ *simulation, g *Grant) { finish(g) }, "recorded stored"},
		{"end's answer lost", func(*platformtest.Service) {}, "granted",
			func(w *simulation, g *Grant) { w.keyValue.FailWrites(platformtest.LoseAnswer); finish(g) }, "recorded stored"},
		{"end's write lost", func(*platformtest.Service) {}, "granted",
			func(w *simulation, g *Grant) { w.keyValue.FailWrites(platformtest.LoseWrite); finish(g) }, "unknown idempotency-key-in-progress"},
		{"holder crashed", func(*platformtest.Service) {}, "granted", func(w *simulation, _ *Grant) { w.crash("a1") },
			"unknown idempotency-key-unresolved"},
		{"service down at the repeat", func(*platformtest.Service) {}, "granted", func(w *simulation, g *Grant) {
			finish(g)
			w.keyValue.SetDown(true)
		}, "unknown idempotency-key-store-unavailable"},
		{"service down at first", func(kv *platformtest.Service) { kv.SetDown(true) }, "unknown idempotency-key-store-unavailable",
			func(w *simulation, _ *Grant) { w.keyValue.SetDown(false) }, "granted"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(1)
			c.before(w.keyValue)
			grant, got := w.begin("a1", "order-77")
			is.Equal(got, c.first)
			c.between(w, grant)
			_, got = w.begin("b1", "order-77")
			is.Equal(got, c.want)
		})
	}
}

// A claim is released if its write took so long that its lease would expire before
// the end of the retention.
func TestSlowOpaqueClaimIsReleased(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	keyValue := &slowKeyValue{Service: platformtest.New(clock), clock: clock}
	store := NewStore(keyValue, clock, DefaultRetention)
	ticket, decision := store.Begin(context.Background(), Claim{Key: "k", Caller: "desk", Attempt: "a"})
	is.Equal(ticket, nil)
	is.Equal(decision.Refusal.Outcome, outcome.Unknown)
	is.Equal(keyValue.Len(), 0)
}

// slowKeyValue takes ten minutes to write.
type slowKeyValue struct {
	*platformtest.Service
	clock *fakeClock
}

func (s *slowKeyValue) Swap(ctx context.Context, expect map[string]int64, puts []platform.Put) (int64, error) {
	s.clock.advance(10 * time.Minute)
	return s.Service.Swap(ctx, expect, puts)
}

func TestCopiesAreBounded(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	copies := NewCopies(clock, fixedTTL, 2)
	claims := []Claim{{Key: "1"}, {Key: "2"}, {Key: "3"}}
	for _, claim := range claims {
		copies.Put(claim, answered)
	}
	is.True(copies.Get(claims[0]) == nil) // the oldest was evicted
	copies.Put(claims[2], Result{Outcome: outcome.Unknown})
	is.Equal(copies.Get(claims[2]).State, StateComplete) // a complete copy stays
	clock.advance(copyLifetimes * testTTL)
	is.True(copies.Get(claims[2]) == nil)
}

// Without membership data no key of another instance is granted.
func TestNoGrantWithoutMembership(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	key := w.issued("a1")
	w.processes["a2"].members = nil
	w.processes["b1"].domains = &board.Domains{}
	for _, instance := range []string{"a2", "b1"} {
		_, got := w.begin(instance, key)
		is.Equal(got, "unknown idempotency-key-owner-lost")
	}
}
