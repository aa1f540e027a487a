package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/limit"
)

// manualClock is a clock that a test advances.
type manualClock struct{ at time.Time }

func newManualClock() *manualClock { return &manualClock{at: time.Unix(1_000_000, 0)} }

func (h *manualClock) now() time.Time { return h.at }

// TestColdSharesStayWithinTheTotal sends requests through several instances in any order
// and at any rate: in no second does the upstream get more than its limit.
func TestColdSharesStayWithinTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 5).Draw(t, "instances")
		perSecond := rapid.Float64Range(1, 40).Draw(t, "per second")
		clock := newManualClock()
		shares := make([]*limit.ColdShares, instances)
		for i := range shares {
			shares[i] = limit.NewColdShares(clock.now)
		}
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "tries") {
			clock.at = clock.at.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			share := shares[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if share.Available("u", perSecond, instances) {
				share.RecordSent("u")
				sent = append(sent, clock.at)
			}
		}
		for i := range sent {
			within := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					within++
				}
			}
			if float64(within) > perSecond {
				t.Fatalf("%d requests in a second, %.1f allowed", within, perSecond)
			}
		}
	})
}

// TestRetrySharesStayWithinTheTotal does the same for retries over their window.
func TestRetrySharesStayWithinTheTotal(t *testing.T) {
	const ratio, slack, window = 0.2, 54.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 8).Draw(t, "instances")
		clock := newManualClock()
		shares := make([]*limit.RetryShares, instances)
		for i := range shares {
			shares[i] = limit.NewRetryShares(ratio, slack, window, clock.now)
		}
		var requests, retries []time.Time
		for range rapid.IntRange(1, 1500).Draw(t, "events") {
			clock.at = clock.at.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			share := shares[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				share.RecordRequest("s")
				requests = append(requests, clock.at)
			}
			if share.Take("s", instances) {
				retries = append(retries, clock.at)
			}
		}
		for i, start := range retries {
			within := 0
			for _, at := range retries[i:] {
				if at.Sub(start) < window {
					within++
				}
			}
			// The requests of the window, or of the one half a window before it.
			most := max(countIn(requests, start, window), countIn(requests, start.Add(-window/2), window))
			if float64(within) > ratio*float64(most)+slack {
				t.Fatalf("%d retries for %d requests", within, most)
			}
		}
	})
}

func countIn(times []time.Time, start time.Time, length time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(start) && at.Sub(start) < length {
			n++
		}
	}
	return n
}

func TestSingleInstanceHasTheWholeShare(t *testing.T) {
	is := is.New(t)
	shares := limit.NewColdShares(newManualClock().now)
	for range 17 {
		is.True(shares.Available("u", 17.5, 1))
		shares.RecordSent("u")
	}
	is.True(!shares.Available("u", 17.5, 1))
	is.True(shares.Available("v", 17.5, 1))
}
