package order

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

// settleTime is longer than any takeover: the expiry of a lease, a new lease, the wait
// for orders of the old holder, and the rounds between.
const settleTime = 3*LeaseTTL + 2*checkInterval + 10*interval

func declared(version string, checks bool, engines ...string) *config.Declaration {
	declaration := &config.Declaration{}
	for _, name := range engines {
		declaration.Upstreams = append(declaration.Upstreams, config.Upstream{
			Name: name, Kind: config.KindEngine, Serves: "lilac-nurse", Version: version,
			Domain: "larisa-hall", ChecksFencing: checks,
		})
	}
	return declaration
}

// harness is two candidates and one engine with the declared version v1; the first
// candidate holds the lease.
type harness struct {
	service       *platformtest.Service
	engine        *fakeEngine
	source        *fakeSource
	first, second *process
	checks        bool
}

func newHarness(t *testing.T, checks bool) *harness {
	s := &harness{service: platformtest.New(clock.System{}), engine: &fakeEngine{checks: checks, state: State{Version: "v1"}}, checks: checks}
	engines := map[string]*fakeEngine{"nurse-1": s.engine}
	s.source = &fakeSource{engines: engines, declaration: declared("v1", checks, "nurse-1")}
	s.first = startProcess(t.Context(), "lar-1", s.service, engines, s.source)
	time.Sleep(settleTime + interval/2) // between two checks of the first
	s.second = startProcess(t.Context(), "lar-2", s.service, engines, s.source)
	return s
}

func (s *harness) close() {
	s.first.stop()
	s.second.stop()
}

func (s *harness) declare(version string) { s.source.declare(declared(version, s.checks, "nurse-1")) }

// took reports whether the engine executed an order for a version.
func (s *harness) took(version string) bool {
	return slices.ContainsFunc(s.engine.taken, func(load Load) bool { return load.Version == version })
}

func TestPausedOrDelayedHolder(t *testing.T) {
	const long = 10 * LeaseTTL
	for name, test := range map[string]struct {
		checks bool
		faults callFaults
		// took means that the paused or delayed order is executed, outOfOrder that a
		// newer one was executed before it.
		took, outOfOrder bool
	}{
		"checking, paused before the permit": {checks: true, faults: callFaults{pauseAfterRead: long}},
		"ignoring, paused before the permit": {checks: false, faults: callFaults{pauseAfterRead: long}},
		"checking, paused after the permit":  {checks: true, faults: callFaults{pauseAfterPermit: long}},
		"ignoring, paused past the lease":    {checks: false, faults: callFaults{pauseAfterPermit: LeaseTTL + 5*time.Second}, took: true},
		"checking, delayed by the network":   {checks: true, faults: callFaults{late: long}, took: true}, // sent again at once
		"ignoring, paused past the lease and the wait": {
			// This order cannot be prevented; the next reading of the engine corrects it.
			checks: false, faults: callFaults{pauseAfterPermit: long}, took: true, outOfOrder: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newHarness(t, test.checks)
				defer s.close()
				s.first.engines.set(func(f *callFaults) { *f = test.faults })
				s.declare("v2")
				time.Sleep(2 * interval) // the fault has occurred
				s.declare("v3")
				time.Sleep(long + settleTime)
				is.Equal(s.engine.read().Version, "v3")
				is.Equal(s.took("v2"), test.took)
				is.Equal(s.engine.outOfOrder() != nil, test.outOfOrder)
			})
		})
	}
}

func TestNoOrderWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newHarness(t, true)
		defer s.close()
		is.True(s.first.controller.Holding())
		s.service.SetDown(true)
		time.Sleep(settleTime)
		is.True(!s.first.controller.Holding())
		s.declare("v2")
		time.Sleep(settleTime)
		is.Equal(s.engine.read().Version, "v1")
		s.service.SetDown(false)
		time.Sleep(settleTime)
		is.Equal(s.engine.read().Version, "v2")
	})
}

func TestHolderRecoversItsLeaseAfterALostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := platformtest.New(clock.System{})
		service.FailWrites(platformtest.LoseAnswer)
		only := startProcess(t.Context(), "lar-1", service, nil, &fakeSource{})
		defer only.stop()
		time.Sleep(2*checkInterval + interval)
		is.True(only.controller.Holding())
		is.Equal(service.Counts().Grants, 1)
	})
}

// busyStore is a weight store that is busy until a time.
type busyStore struct {
	until time.Time
	asked []time.Time
}

// Reserve implements platform.WeightStore.
func (s *busyStore) Reserve(context.Context, string, string) (time.Duration, error) {
	s.asked = append(s.asked, time.Now())
	return max(0, time.Until(s.until)), nil
}

// A holder retries at the time when the store stated that it would be free, not at its
// next regular round, when other domains may have taken the slot.
func TestBusyWeightStoreIsRetriedWhenFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		store := &busyStore{until: start.Add(2*interval + interval/3)}
		c := New(Dependencies{Weights: store, Clock: clock.System{}})
		ctx, cancel := context.WithCancel(t.Context())
		every(ctx, func() {
			if c.reserve(ctx, config.Upstream{}) {
				cancel()
			}
		}, c.sendPause)
		is.Equal(store.asked, []time.Time{start, store.until}) // once while busy, then when free
	})
}

func TestLoadsAreStaggered(t *testing.T) {
	names := []string{"nurse-1", "nurse-2", "nurse-3", "nurse-4"}
	engines := declared("v2", true, names...).Upstreams
	old := State{Version: "v1"}
	for name, test := range map[string]struct {
		states     map[string]State
		unverified map[string]bool
		loads      int
		want       []string
	}{
		"one at a time by default": {states: map[string]State{"nurse-1": old, "nurse-2": old}, want: []string{"nurse-1"}},
		"two":                      {states: map[string]State{"nurse-1": old, "nurse-2": old, "nurse-3": old}, loads: 2, want: []string{"nurse-1", "nurse-2"}},
		"one loads already":        {states: map[string]State{"nurse-1": {Version: "v1", Loading: "v2"}, "nurse-2": old}},
		"the wrong one is loading": {states: map[string]State{"nurse-1": old, "nurse-2": {Loading: "v0"}}, want: []string{"nurse-2"}},
		"unverified counts":        {states: map[string]State{"nurse-2": old}, unverified: map[string]bool{"nurse-1": true}},
		"unread engine is skipped": {states: map[string]State{}},
		"as declared":              {states: map[string]State{"nurse-1": {Version: "v2"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, engine := range plan(engines, test.states, test.unverified, test.loads) {
				got = append(got, engine.Name)
			}
			is.Equal(got, test.want)
		})
	}
}

// TestOldOrdersNeverFollowNewerOnes injects random faults into two candidates and the
// key-value service while the declaration changes. Engines that check fencing numbers
// never execute an older order after a newer one. Engines that ignore them do not either
// if no pause after a permit outlasts the new holder's wait and the network delivers
// within FlightMargin. All engines end as declared.
func TestOldOrdersNeverFollowNewerOnes(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		checks := rapid.Bool().Draw(draw, "checks")
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 12).Draw(draw, "steps")
		lengths := rapid.SliceOfN(rapid.Int64Range(0, int64(20*LeaseTTL)), len(steps), len(steps)).Draw(draw, "lengths")
		var failure error
		synctest.Test(t, func(t *testing.T) { failure = runDisturbances(t, checks, steps, lengths) })
		if failure != nil {
			draw.Fatal(failure)
		}
	})
}

func runDisturbances(t *testing.T, checks bool, steps []int, lengths []int64) error {
	s := newHarness(t, checks)
	version := ""
	for i, step := range steps {
		length := time.Duration(lengths[i])
		target := []*process{s.first, s.second}[i%2]
		bounded, late := length, length
		if !checks {
			bounded, late = length%LeaseTTL, 0
		}
		switch step {
		case 0:
			target.pause.begin(length)
		case 1:
			target.engines.set(func(f *callFaults) { f.pauseAfterRead = length })
		case 2:
			target.engines.set(func(f *callFaults) { f.pauseAfterPermit = bounded })
		case 3:
			target.engines.set(func(f *callFaults) { f.late = late })
		case 4:
			s.service.SetDown(true)
		case 5:
			s.service.FailWrites(platformtest.LoseAnswer)
		}
		version = fmt.Sprintf("v%d", i+2)
		s.declare(version)
		time.Sleep(length/2 + interval)
		s.service.SetDown(false)
	}
	time.Sleep(20*LeaseTTL + 2*settleTime)
	s.close()
	if got := s.engine.read().Version; got != version {
		return fmt.Errorf("engine has %s, declared is %s: %w", got, version, ErrNoLease)
	}
	return s.engine.outOfOrder()
}
