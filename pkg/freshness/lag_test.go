package freshness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/freshness"
)

// TestLagNeedsOthersThatTheStoreAnswers guards against a process that takes an outage of the store, or the time
// until its own next call after one, for a state of its own.
func TestLagNeedsOthersThatTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	var lag freshness.Lag
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	is.True(!lag.Behind(time.Time{}, start))
	lag.Hear(at(1))
	is.True(!lag.Behind(at(0), at(60)))
	lag.Hear(at(60))
	is.True(!lag.Behind(at(0), at(60)))
	is.True(!lag.Behind(at(0), at(61)))
	is.True(!lag.Behind(at(61), at(61)))
	lag.Hear(at(64))
	is.True(!lag.Behind(at(61), at(64)))
	is.True(lag.Behind(at(61), at(65.5)))
	is.True(!lag.Behind(at(65), at(65.5)))
}
