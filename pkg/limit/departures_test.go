package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDepartureIsNewOnce guards against an announcement that is logged and published again
// with every answer.
func TestDepartureIsNewOnce(t *testing.T) {
	is := is.New(t)
	departures := NewDepartures(time.Now)
	is.True(!departures.Leaving("a"))
	is.True(departures.Learn("a"))
	is.True(!departures.Learn("a"))
	is.True(departures.Leaving("a"))
	is.True(!departures.Leaving("b"))
}

// TestDeparturesAreBounded guards against memory that grows with every server that has
// left.
func TestDeparturesAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	departures := NewDepartures(func() time.Time { now = now.Add(time.Second); return now })
	for i := range maxDepartures + 10 {
		departures.Learn(fmt.Sprint(i))
	}
	is.Equal(len(*departures.byID.Load()), maxDepartures)
	is.True(!departures.Leaving("9"))
	is.True(departures.Leaving("10"))
}

// TestDeparturesOfDeletedUpstreamsExpire guards against messages that grow with every
// upstream that has left, and against expiry while an old copy of the store may still bring
// the entry back.
func TestDeparturesOfDeletedUpstreamsExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	departures := NewDepartures(func() time.Time { return now })
	gone := map[string]bool{}
	exists := func(upstream string) bool { return !gone[upstream] }
	departures.Learn("a")
	departures.Learn("b")
	for range 300 {
		now = now.Add(time.Second)
		departures.Sweep(exists)
	}
	is.True(departures.Leaving("a") && departures.Leaving("b"))
	gone["a"] = true
	for range 59 {
		now = now.Add(time.Second)
		departures.Sweep(exists)
	}
	is.True(departures.Leaving("a"))
	now = now.Add(2 * time.Second)
	departures.Sweep(exists)
	is.True(!departures.Leaving("a"))
	is.True(departures.Leaving("b"))
}
