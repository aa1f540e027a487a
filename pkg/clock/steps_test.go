package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/clock/clocktest"
)

// TestStepsOfTheTimeOfDayChangeNoNumber guards against windows that forget, or hold on to, what they have counted
// when the time of day is set.
func TestStepsOfTheTimeOfDayChangeNoNumber(t *testing.T) {
	is := is.New(t)
	now := clocktest.NewClock()
	var steps clock.Steps
	is.Equal(steps.At(now.Now(), time.Second), int64(0))
	for n := range 20 {
		now.Seconds = []int{0, 3600, -3600, 2}[n%4]
		is.Equal(steps.At(now.Now(), time.Second), int64(n))
		now.Advance(time.Second)
	}
}

func TestStepDetectorMeasuresStepsAlone(t *testing.T) {
	is := is.New(t)
	now := clocktest.NewClock()
	var detector clock.StepDetector
	is.Equal(detector.Observe(now.Now()), time.Duration(0))
	now.Advance(5 * time.Second)
	is.Equal(detector.Observe(now.Now()), time.Duration(0))
	now.Seconds = 7
	is.Equal(detector.Observe(now.Now()), 7*time.Second)
	now.Seconds = 4
	now.Advance(time.Second)
	is.Equal(detector.Observe(now.Now()), -3*time.Second)
}
