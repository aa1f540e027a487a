package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAcceptanceFollowsTheDestination guards against a destination that is given up after one refusal, or
// that is never asked again.
func TestAcceptanceFollowsTheDestination(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	a := NewAcceptance()
	is.Equal(a.Share("south", now), 1.0)
	a.Record("south", false, now)
	is.Equal(a.Share("south", now), 0.5)
	for range 50 {
		a.Record("south", false, now)
	}
	is.Equal(a.Share("south", now), minAcceptance)
	is.Equal(a.Share("west", now), 1.0)
	for range 50 {
		a.Record("south", true, now)
	}
	is.True(a.Share("south", now) > 0.45 && a.Share("south", now) < 0.55)
	is.Equal(a.Share("south", now.Add(2*time.Second)), 1.0)
}
