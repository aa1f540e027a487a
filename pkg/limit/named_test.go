package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/limit"
)

// TestALimitLastsUntilALaterAnswerHasNone guards against an answer that was under way when
// its upstream named a limit, and ends it.
func TestALimitLastsUntilALaterAnswerHasNone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	named := limit.NewNamedLimits(func() time.Time { return now })
	before := now.Add(-time.Second)
	is.True(!named.Answered("u", limit.Named{}, before)) // nothing to end
	is.True(named.Answered("u", limit.Named{PerSecond: 2.5, Limited: true}, before))
	is.True(!named.Answered("u", limit.Named{PerSecond: 2.5, Limited: true}, before))
	is.True(!named.Answered("u", limit.Named{}, before))
	is.Equal(named.Of("u"), limit.Named{PerSecond: 2.5, Limited: true})
	is.Equal(named.Of("v"), limit.Named{})
	is.True(named.Answered("u", limit.Named{PerSecond: 4, Limited: true}, before)) // raised
	now = now.Add(time.Second)
	is.True(named.Answered("u", limit.Named{}, now))
	is.Equal(named.Of("u"), limit.Named{})
	named.Answered("u", limit.Named{PerSecond: 1, Limited: true}, now)
	named.Forget("u")
	is.Equal(named.Of("u"), limit.Named{})
}
