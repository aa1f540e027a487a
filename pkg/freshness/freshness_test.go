package freshness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/clock/clocktest"
	"github.com/lilacweir/lilacweir/pkg/freshness"
)

func TestContactEndsWithAFailedCallAndWithTime(t *testing.T) {
	is := is.New(t)
	clock := clocktest.NewClock()
	var contact freshness.Contact
	is.True(!contact.Reaches(clock.Now()))
	contact.Record(true, clock.Now())
	clock.Seconds = -3600
	clock.Advance(freshness.MaxAge)
	is.True(contact.Reaches(clock.Now()))
	clock.Seconds = 3600
	is.True(contact.Reaches(clock.Now()))
	clock.Advance(time.Millisecond)
	is.True(!contact.Reaches(clock.Now()))
	contact.Record(true, clock.Now())
	contact.Record(false, clock.Now())
	is.True(!contact.Reaches(clock.Now()))
}

// TestContactEndsWithASuspension guards against knowledge that counts as new after a machine was suspended, as the
// monotonic clock stood still.
func TestContactEndsWithASuspension(t *testing.T) {
	is := is.New(t)
	now, suspended := time.Now(), time.Hour
	contact := freshness.Contact{Suspended: func() time.Duration { return suspended }}
	contact.Record(true, now)
	is.True(contact.Reaches(now))
	suspended += time.Second
	is.True(!contact.Reaches(now))
	contact.Record(true, now)
	is.True(contact.Reaches(now))
}

// TestTrackerClaimsNoMoreThanWasConfirmed lets instances report positions of a store that moves on, late and in any
// order, to a replica that lags behind: what it is said to contain until a time, it contains.
func TestTrackerClaimsNoMoreThanWasConfirmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		// at[n] is the time at which the store reached revision n.
		at := []time.Time{start}
		now, local := start, int64(0)
		var tracker freshness.Tracker
		claimed := time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				at = append(at, now)
			case 1:
				revision := rapid.Int64Range(0, int64(len(at)-1)).Draw(t, "reported")
				asOf := now
				if int(revision)+1 < len(at) {
					asOf = at[revision+1]
				}
				late := time.Duration(rapid.IntRange(0, 500).Draw(t, "age")) * time.Millisecond
				tracker.Confirm("other", freshness.Position{Revision: revision}, asOf.Add(-late))
			default:
				local = max(local, rapid.Int64Range(0, int64(len(at)-1)).Draw(t, "copied"))
			}
			tracker.Reach(freshness.Position{Revision: local})
			known := tracker.Knowledge()
			if int(local)+1 < len(at) && known.AsOf.After(at[local+1]) {
				t.Fatalf("complete until %v, but revision %d of %v is missing", known.AsOf.Sub(start), local+1, at[local+1].Sub(start))
			}
			if known.AsOf.Before(claimed) {
				t.Fatalf("complete until %v, and before until %v", known.AsOf.Sub(start), claimed.Sub(start))
			}
			claimed = known.AsOf
		}
	})
}

// TestTrackerKeepsUpWithAReplicaThatLags guards against knowledge that never counts as current since each report is of
// a position just ahead of the replica.
func TestTrackerKeepsUpWithAReplicaThatLags(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var tracker freshness.Tracker
	for n := range int64(100) {
		now = now.Add(100 * time.Millisecond)
		tracker.Confirm("other", freshness.Position{Revision: 10 + n}, now)
		tracker.Reach(freshness.Position{Revision: 10 + n - 3})
	}
	is.Equal(now.Sub(tracker.Knowledge().AsOf), 300*time.Millisecond)
}
