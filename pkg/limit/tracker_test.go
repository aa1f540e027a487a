package limit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/limit"
)

func TestTrackerEnforcesTheShare(t *testing.T) {
	is := is.New(t)
	tracker := limit.NewTracker(clock.System{}, nil)
	tracker.SetShares(map[string]int{"u": 2})
	first, ok := tracker.Start("u", 100, 0)
	is.True(ok)
	second, ok := tracker.Start("u", 50, 0)
	is.True(ok)
	_, ok = tracker.Start("u", 1, 0)
	is.True(!ok) // the share is used up
	second.FirstByte()
	is.Equal(tracker.Load("u").Prefill, 100)
	second.Done(limit.Succeeded)
	second.Done(limit.Succeeded) // only the first call counts
	first.Done(limit.Abandoned)
	is.Equal(len(tracker.Snapshot()), 0)
	is.Equal(tracker.Load("u").Prefill, 0)
}

func TestAdaptiveBoundFallsAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := limit.NewTracker(clock.System{}, nil)
		tracker.SetShares(map[string]int{"u": 10})
		finish := func(result limit.Result) {
			time.Sleep(tracker.Load("u").Backoff)
			flight, ok := tracker.Start("u", 0, 0)
			is.True(ok)
			flight.Done(result)
		}
		for range 20 {
			finish(limit.Rejected)
			is.True(tracker.Load("u").Limit >= 1) // it continues to get requests
		}
		is.Equal(tracker.Load("u").Limit, 1)
		for range 100 {
			finish(limit.Succeeded)
		}
		is.Equal(tracker.Load("u").Limit, 10)
	})
}

func TestLateAnswersLowerTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := limit.NewTracker(clock.System{}, nil)
		tracker.SetShares(map[string]int{"u": 10})
		for range 30 {
			flight, ok := tracker.Start("u", 0, 100*time.Millisecond)
			is.True(ok)
			time.Sleep(time.Second)
			flight.FirstByte()
			flight.Done(limit.Abandoned)
		}
		is.True(tracker.Load("u").Limit < 10)
	})
}

func fail(tracker *limit.Tracker, upstream string, times int) {
	for range times {
		if flight, ok := tracker.Start(upstream, 0, 0); ok {
			flight.Done(limit.Failed)
		}
	}
}

func TestEjectionProbesWithOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ejector := limit.NewEjector(clock.System{})
		ejector.SetPool("p", []string{"a", "b", "c"})
		tracker := limit.NewTracker(clock.System{}, ejector)
		fail(tracker, "a", 3)
		is.True(tracker.Load("a").Ejected)
		_, ok := tracker.Start("a", 0, 0)
		is.True(!ok)
		time.Sleep(3 * time.Second)
		probe, ok := tracker.Start("a", 0, 0)
		is.True(ok) // half open: one probe
		_, ok = tracker.Start("a", 0, 0)
		is.True(!ok)
		is.True(tracker.Load("a").Ejected)
		probe.Done(limit.Failed)
		time.Sleep(3 * time.Second)
		is.True(tracker.Load("a").Ejected) // the second ejection lasts longer
		time.Sleep(3 * time.Second)
		probe, ok = tracker.Start("a", 0, 0)
		is.True(ok)
		probe.Done(limit.Succeeded)
		is.True(!tracker.Load("a").Ejected)
	})
}

// An upstream backs off after a rejection, longer after each in a row, with one probe after
// each backoff; rejections of requests that were in flight together count once.
func TestRejectedUpstreamBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := limit.NewTracker(clock.System{}, nil)
		start := func(want bool) *limit.Flight {
			t.Helper()
			flight, ok := tracker.Start("u", 0, 0)
			is.Equal(ok, want)
			return flight
		}
		first, second := start(true), start(true)
		time.Sleep(time.Millisecond)
		first.Reject(time.Second) // whole seconds, rounded up: may mean at once
		second.Reject(0)
		is.Equal(tracker.Load("u").Backoff, limit.MinBackoff)
		for _, backoff := range []time.Duration{1, 2, 4, 8, 16, 20, 20} {
			backoff *= limit.MinBackoff
			is.Equal(tracker.Load("u").Backoff, backoff)
			start(false)
			time.Sleep(backoff)
			is.Equal(tracker.Load("u").Backoff, time.Duration(0))
			probe := start(true)
			is.Equal(tracker.Load("u").Backoff, limit.MinBackoff) // only one probe
			start(false)
			probe.Reject(0)
		}
		time.Sleep(limit.MaxBackoff)
		start(true).Done(limit.Abandoned) // no evidence: the next one probes
		start(true).FirstByte()
		start(true).Reject(time.Minute)
		is.Equal(tracker.Load("u").Backoff, 59*time.Second) // whole seconds, rounded up
		time.Sleep(time.Minute)
		start(true).Reject(24 * time.Hour)
		is.Equal(tracker.Load("u").Backoff, limit.MaxRequestedBackoff)
	})
}

func TestLateOutlierIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ejector := limit.NewEjector(clock.System{})
		ejector.SetPool("p", []string{"a", "b", "c"})
		tracker := limit.NewTracker(clock.System{}, ejector)
		answer := func(upstream string, after time.Duration) {
			if flight, ok := tracker.Start(upstream, 0, 100*time.Millisecond); ok {
				time.Sleep(after)
				flight.FirstByte()
				flight.Done(limit.Succeeded)
			}
		}
		for range 15 {
			answer("a", 2*time.Second)
			answer("b", 100*time.Millisecond)
			answer("c", 120*time.Millisecond)
		}
		is.True(tracker.Load("a").Ejected)
		is.True(!tracker.Load("b").Ejected && !tracker.Load("c").Ejected)
	})
}

// Whatever fails, part of each pool stays in use.
func TestLastUpstreamsAreNeverAllEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		ticking := clock.Func(func() time.Time { return now })
		ejector := limit.NewEjector(ticking)
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "size")]
		ejector.SetPool("p", names)
		tracker := limit.NewTracker(ticking, ejector)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			fail(tracker, rapid.SampledFrom(names).Draw(t, "upstream"), 1)
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			usable := 0
			for _, name := range names {
				if !tracker.Load(name).Ejected {
					usable++
				}
			}
			if 2*usable < len(names) || usable == 0 {
				t.Fatalf("%d of %d usable", usable, len(names))
			}
		}
	})
}

// Retries stay below a tenth of the requests however many fail.
func TestRetryBudgetLimitsAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budget limit.RetryBudget
		failing := rapid.IntRange(0, 100).Draw(t, "percent failing")
		const requests = 2000
		retries := 0
		for i := range requests {
			if i*37%100 >= failing {
				budget.Success()
			} else if budget.Take() {
				retries++
			}
		}
		if amplification := float64(requests+retries) / requests; amplification >= 1.1 {
			t.Fatalf("amplification %.3f", amplification)
		}
		if failing == 5 && retries == 0 {
			t.Fatal("no retry was permitted although most requests succeed")
		}
	})
}

// TestRequestedBackoffIsHonoured guards against a backoff that ends with the success of a
// request in flight, with a later answer that requests less, or early.
func TestRequestedBackoffIsHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := limit.NewTracker(clock.System{}, nil)
		good, _ := tracker.Start("u", 0, 0)
		rejected, _ := tracker.Start("u", 0, 0)
		time.Sleep(time.Millisecond)
		tracker.RequestBackoff("u", time.Minute)
		rejected.Done(limit.Rejected)
		tracker.RequestBackoff("u", time.Second)
		good.FirstByte()
		good.Done(limit.Succeeded)
		for range 59 {
			time.Sleep(time.Second)
			is.True(tracker.Load("u").Backoff > 0)
			_, ok := tracker.Start("u", 0, 0)
			is.True(!ok)
		}
		time.Sleep(time.Second)
		is.Equal(tracker.Load("u").Backoff, time.Duration(0))
		probe, ok := tracker.Start("u", 0, 0)
		is.True(ok)
		_, ok = tracker.Start("u", 0, 0)
		is.True(!ok) // only one probe
		probe.FirstByte()
		_, ok = tracker.Start("u", 0, 0)
		is.True(ok)
	})
}
