package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock/clocktest"
)

// TestWindowsKeepTheirSpanWhileClocksStep guards against a limit whose extreme of the last seconds is forgotten
// when the time of day jumps ahead, or held until the time comes again when it jumps back.
func TestWindowsKeepTheirSpanWhileClocksStep(t *testing.T) {
	const span = 4 * time.Second
	for name, seconds := range map[string]int{"ahead": 3600, "back": -3600} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := clocktest.NewClock()
			var w window
			is.Equal(w.add(clock.Now(), span, 9, maximum), 9.0)
			clock.Advance(span / windowSlots)
			is.Equal(w.add(clock.Now(), span, 1, maximum), 9.0)
			clock.Seconds = seconds
			clock.Advance(span / windowSlots)
			is.Equal(w.add(clock.Now(), span, 1, maximum), 9.0)
			clock.Advance(span + span/windowSlots)
			is.Equal(w.add(clock.Now(), span, 1, maximum), 1.0)
		})
	}
}
