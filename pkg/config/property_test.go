package config_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

// drawOp draws an operation that can be applied to the declaration.
func drawOp(t *rapid.T, decl *config.Declaration) config.Op {
	pick := func(label string, names []string) string { return rapid.SampledFrom(names).Draw(t, label) }
	regions := []string{"makedonia", "thessalia"}
	upstreams := []string{"api-1", "nurse-1", "nurse-2", "nurse-3"}
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return drainOp(pick("upstream", upstreams), rapid.Bool().Draw(t, "drained"))
	case 1:
		return config.Op{Permit: &config.PermitOp{Caller: pick("caller", []string{"clinic-review", "residents-app"}), Region: pick("region", regions), Allowed: rapid.Bool().Draw(t, "allowed")}}
	case 2:
		return config.Op{SplitVersion: &config.SplitVersion{Model: "lilac-nurse", Version: pick("version", []string{"v1", "v2"}), Percent: rapid.IntRange(0, 100).Draw(t, "percent")}}
	case 3:
		return config.Op{SetSpill: &config.Spill{From: "makedonia", To: "thessalia", Percent: rapid.IntRange(0, 100).Draw(t, "percent")}}
	case 4:
		return config.Op{SetPolicy: &config.Policy{CostWeight: rapid.Float64Range(0, 1).Draw(t, "weight")}}
	case 5:
		upstream, _ := decl.Upstream(pick("upstream", upstreams))
		upstream.Concurrency = rapid.IntRange(1, 64).Draw(t, "concurrency")
		return config.Op{SetUpstream: &upstream}
	case 6:
		name := "extra-" + pick("suffix", []string{"a", "b"})
		return config.Op{SetCaller: &config.Caller{Name: name, KeyHash: config.HashKey(name), Home: "makedonia", Regions: []string{"makedonia"}}}
	case 7:
		name := "extra-" + pick("suffix", []string{"a", "b"})
		if _, ok := decl.Caller(name); ok {
			return config.Op{Remove: &config.Remove{Kind: "caller", Name: name}}
		}
		return config.Op{SetOperator: &config.Operator{Name: name, KeyHash: config.HashKey(name)}}
	case 8:
		if len(decl.Spill) > 0 {
			return config.Op{Remove: &config.Remove{Kind: "spill", Name: decl.Spill[0].Name()}}
		}
		return config.Op{SetSpill: &config.Spill{From: "thessalia", To: "makedonia", Percent: 1}}
	default:
		model := decl.Models[0]
		model.MaxTokens = rapid.IntRange(0, 4096).Draw(t, "tokens")
		return config.Op{SetModel: &model}
	}
}

// drawSteps applies drawn operations and returns them with the result.
func drawSteps(t *rapid.T, decl *config.Declaration) ([]config.Op, *config.Declaration) {
	var ops []config.Op
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		op := drawOp(t, decl)
		after, _, err := config.Apply(decl, []config.Op{op})
		if err != nil {
			t.Fatalf("%s: %v", op, err)
		}
		decl = after
		ops = append(ops, op)
	}
	return ops, decl
}

func TestInverseRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := sample()
		ops, _ := drawSteps(t, before)
		after, inverse, err := config.Apply(before, ops)
		if err != nil {
			t.Fatal(err)
		}
		restored, _, err := config.Apply(after, inverse)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(restored, before) || !reflect.DeepEqual(before, sample()) {
			t.Fatalf("restored %+v, want %+v", restored, before)
		}
	})
}

func TestDiffReachesTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, from := drawSteps(t, sample())
		_, to := drawSteps(t, sample())
		reached, _, err := config.Apply(from, config.Diff(from, to))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(reached, to) {
			t.Fatalf("reached %+v, want %+v", reached, to)
		}
		if ops := config.Diff(to, to); len(ops) != 0 {
			t.Fatalf("difference to itself: %v", ops)
		}
	})
}

// A follower that receives only the changes, encoded with gob, reaches the same
// declaration.
func TestDeltaReachesTheSameDeclaration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newStore(newService())
		store.Change(context.Background(), config.Proposal{ID: "c0-00000000", Operator: "eleni", Line: "apply", Build: config.Fixed(config.Diff(&config.Declaration{}, sample()))})
		first, err := store.Read(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		for i := range rapid.IntRange(1, 10).Draw(t, "changes") {
			stored, _ := store.Read(context.Background())
			proposal := propose(testID(stored.Head.Revision, i), "eleni", stored.Head.Revision, drawOp(t, stored.Head.Declaration))
			proposal.Force = true
			store.Change(context.Background(), proposal)
		}
		last, err := store.Read(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		delta, ok := last.Head.Delta(first.Head.Revision)
		if !ok {
			t.Fatal("no delta")
		}
		reached, err := first.Head.Advance(gobRoundTrip(t, delta))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(reached.Declaration, last.Head.Declaration) || reached.Revision != last.Head.Revision {
			t.Fatalf("reached %+v, want %+v", reached, last.Head)
		}
		if back, ok := last.Head.At(first.Head.Revision); !ok || !reflect.DeepEqual(back, first.Head.Declaration) {
			t.Fatalf("undoing the changes gives %+v", back)
		}
	})
}

func gobRoundTrip(t *rapid.T, delta *config.Delta) *config.Delta {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(delta); err != nil {
		t.Fatal(err)
	}
	received := new(config.Delta)
	if err := gob.NewDecoder(&buffer).Decode(received); err != nil {
		t.Fatal(err)
	}
	return received
}

// Operators on several instances change different entries while writes and
// answers are lost. Every change must be accepted and applied exactly once.
func TestConcurrentChangesAreNeverLost(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		kv := newService()
		store := newStore(kv)
		store.Change(context.Background(), config.Proposal{ID: "c0-00000000", Operator: "eleni", Line: "apply", Build: config.Fixed(config.Diff(&config.Declaration{}, sample()))})
		kv.FailWrites(rapid.SliceOfN(rapid.SampledFrom([]platformtest.Fault{platformtest.NoFault, platformtest.NoFault, platformtest.LoseWrite, platformtest.LoseAnswer, platformtest.DelayWrite}), 0, 30).Draw(t, "faults")...)
		operators := rapid.IntRange(2, 5).Draw(t, "operators")
		decisions := make([]config.Decision, operators)
		runConcurrently(outer, operators, func(i int, group *sync.WaitGroup) {
			group.Go(func() {
				caller := config.Caller{Name: fmt.Sprintf("caller-%d", i), KeyHash: config.HashKey(fmt.Sprint(i)), Home: "makedonia", Regions: []string{"makedonia"}}
				proposal := propose(testID(1, i+1), "eleni", 1, config.Op{SetCaller: &caller})
				own := config.NewStore(kv, clock.Func(func() time.Time { return testTime }), func(context.Context, time.Duration) error { return nil }, func() float64 { return 1 })
				decisions[i] = own.Change(context.Background(), proposal)
			})
		})
		kv.Release()
		stored, err := store.Read(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		for i, decision := range decisions {
			_, there := stored.Head.Declaration.Caller(fmt.Sprintf("caller-%d", i))
			if decision.State != config.Accepted || !there || count(stored.Head.Recent, testID(1, i+1)) != 1 {
				t.Fatalf("change %d: %s, there %v", i, decision.State, there)
			}
		}
		if int(stored.Head.Revision) != operators+1 {
			t.Fatalf("revision %d after %d changes", stored.Head.Revision, operators)
		}
	})
}

// runConcurrently starts count jobs at once on a clock that stands still while any
// of them runs, so that the bounds of changes do not depend on the machine's load.
func runConcurrently(t *testing.T, count int, start func(i int, group *sync.WaitGroup)) {
	synctest.Test(t, func(*testing.T) {
		var group sync.WaitGroup
		for i := range count {
			start(i, &group)
		}
		group.Wait()
	})
}

func TestSplitAddsUp(t *testing.T) {
	is := is.New(t)
	decl := sample()
	decl.Models[0].Versions = []config.ModelVersion{{Name: "v1", Percent: 50}, {Name: "v2", Percent: 25}, {Name: "v3", Percent: 25}}
	after, _, err := config.Apply(decl, []config.Op{{SplitVersion: &config.SplitVersion{Model: "lilac-nurse", Version: "v2", Percent: 10}}})
	is.NoErr(err)
	is.Equal(after.Models[0].Versions, []config.ModelVersion{{Name: "v1", Percent: 60}, {Name: "v2", Percent: 10}, {Name: "v3", Percent: 30}})
	after, _, err = config.Apply(decl, []config.Op{{SplitVersion: &config.SplitVersion{Model: "lilac-nurse", Version: "v1", Percent: 1}}})
	is.NoErr(err)
	is.Equal(after.Models[0].Versions, []config.ModelVersion{{Name: "v1", Percent: 1}, {Name: "v2", Percent: 50}, {Name: "v3", Percent: 49}})
}

// Proposers abort and delayed writes arrive at any point. The decision that Lookup
// returns for a change must never change or contradict the proposer's own.
func TestDecisionsNeverContradict(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		kv := newService()
		store := newStore(kv)
		store.Change(context.Background(), config.Proposal{ID: "c0-00000000", Operator: "eleni", Line: "apply", Build: config.Fixed(config.Diff(&config.Declaration{}, sample()))})
		kv.FailWrites(rapid.SliceOfN(rapid.SampledFrom([]platformtest.Fault{platformtest.NoFault, platformtest.LoseWrite, platformtest.LoseAnswer, platformtest.DelayWrite, platformtest.DelayWrite}), 4, 12).Draw(t, "faults")...)
		maxPauses := rapid.SliceOfN(rapid.IntRange(0, 3), 3, 3).Draw(t, "patience")
		proposed := make([]config.Decision, len(maxPauses))
		lookedUp := make([]config.Decision, len(maxPauses))
		runConcurrently(outer, len(maxPauses), func(i int, group *sync.WaitGroup) {
			id := testID(1, i+1)
			group.Go(func() {
				caller := config.Caller{Name: fmt.Sprintf("caller-%d", i), KeyHash: config.HashKey(fmt.Sprint(i)), Home: "makedonia", Regions: []string{"makedonia"}}
				proposed[i] = limitedStore(kv, maxPauses[i]).Change(context.Background(), propose(id, "eleni", 1, config.Op{SetCaller: &caller}))
			})
			group.Go(func() { lookedUp[i], _ = newStore(kv).Lookup(context.Background(), id) })
			group.Go(kv.Release)
		})
		kv.Release()
		kv.ClearFaults()
		for i := range maxPauses {
			final, err := newStore(kv).Lookup(context.Background(), testID(1, i+1))
			if err != nil {
				t.Fatal(err)
			}
			stored, err := store.Read(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			_, there := stored.Head.Declaration.Caller(fmt.Sprintf("caller-%d", i))
			if there != (final.State == config.Accepted) || count(stored.Head.Recent, testID(1, i+1)) > 1 {
				t.Fatalf("change %d is %s, there %v", i, final.State, there)
			}
			for _, earlier := range []config.Decision{proposed[i], lookedUp[i]} {
				if earlier.State != config.Unknown && (earlier.State != final.State || earlier.Revision != final.Revision) {
					t.Fatalf("change %d: was %s %d, then %s %d", i, earlier.State, earlier.Revision, final.State, final.Revision)
				}
			}
		}
	})
}
