package decide

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDayFollowsItsLoadCurveAndOutage(t *testing.T) {
	is := is.New(t)
	o := small()
	o.Day = Day{Hour: 10 * time.Second, Peak: 0.5, PeakToTrough: 5, Offset: 8, Lose: true}
	is.True(math.Abs(o.Day.level(0, 12*o.Day.Hour)-0.5) < 1e-9)
	is.True(math.Abs(o.Day.level(1, 20*o.Day.Hour)-0.5) < 1e-9) // its peak is 8 hours later
	is.True(math.Abs(o.Day.level(0, 0)-0.1) < 1e-9)
	days, _, err := measureDays(&o)
	is.NoErr(err)
	stay := days[0].runs[0].first.phases
	is.Equal(stay[outageFrom-1].refused, 0)
	is.Equal(stay[outageFrom+1].refused, stay[outageFrom+1].offered) // the variant does not spill
	is.True(math.IsNaN(stay[outageFrom+1].quantile(99)))             // no answers, so no latency
	is.Equal(stay[outageTo+1].refused, 0)
	sent := days[len(days)-1].runs[0].first.phases[outageFrom+1]
	is.True(sent.spilled > 0)
	is.True(sent.inTime > 0) // other regions serve the requests that may leave
}
