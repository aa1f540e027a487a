package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/limit"
)

// TestLimitLastsUntilALaterAnswerOmitsIt guards against an answer that was under way when
// its upstream advertised a limit, and that removes the limit.
func TestLimitLastsUntilALaterAnswerOmitsIt(t *testing.T) {
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

// TestSharesOfALimitAddUpToIt guards against bursts of requests accumulated at each
// instance, and against a limit that is not used up.
func TestSharesOfALimitAddUpToIt(t *testing.T) {
	for _, instances := range []int{1, 3, 7, 85, 300} {
		for _, perSecond := range []float64{0, 0.4, 1, 2.5, 40, 700} {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			all := make([]*limit.NamedLimits, instances)
			for i := range all {
				all[i] = limit.NewNamedLimits(func() time.Time { return now })
				all[i].Answered("u", limit.Named{PerSecond: perSecond, Limited: true}, now)
			}
			var sent []time.Time
			for range 1500 { // 15 s in which all instances have requests to send
				now = now.Add(10 * time.Millisecond)
				for i := range all {
					sender := limit.SenderRank{Instances: instances, Place: i}
					all[i].Answered("u", limit.Named{PerSecond: perSecond, Limited: true}, now) // an answer is received
					wait := all[i].Wait("u", sender)
					for all[i].Take("u", sender) {
						is.Equal(wait, time.Duration(0))
						sent = append(sent, now)
					}
				}
			}
			first, most := 0, 0
			for last := range sent {
				for sent[last].Sub(sent[first]) > 4*time.Second {
					first++
				}
				most = max(most, last-first+1)
			}
			if allowed := 1.5*4*perSecond + 5; float64(most) > allowed {
				t.Errorf("%d instances, %v a second: %d in 4 s, allowed %v", instances, perSecond, most, allowed)
			}
			if wanted := 0.9 * 14 * perSecond; float64(len(sent)) < wanted-1 {
				t.Errorf("%d instances, %v a second: only %d in 15 s", instances, perSecond, len(sent))
			}
		}
	}
}

// TestStaleLimitIsProbedByFurtherInstances guards against an upstream that no instance
// sends to any more, because those with a share of its limit have no requests.
func TestStaleLimitIsProbedByFurtherInstances(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	named := limit.NewNamedLimits(func() time.Time { return now })
	named.Answered("u", limit.Named{PerSecond: 2, Limited: true}, now)
	sender := limit.SenderRank{Instances: 10, Place: 9}
	for range 4 {
		now = now.Add(time.Second)
		is.True(!named.Take("u", sender))
	}
	tries := 0
	for range 100 { // two turns of 5 s in 50 s, each with a share of one a second
		now = now.Add(500 * time.Millisecond)
		if named.Take("u", sender) {
			tries++
		}
	}
	is.True(tries >= 4 && tries <= 10)
}

// TestLimitsSpreadByGossip guards against reports that circulate for ever, that are lost,
// or that replace newer ones.
func TestLimitsSpreadByGossip(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	a, b := limit.NewNamedLimits(clock), limit.NewNamedLimits(clock)
	a.Answered("u", limit.Named{PerSecond: 2, Limited: true}, now)
	reports := a.ToPublish()
	is.Equal(len(reports), 1)
	is.True(b.Learn(reports[0]))
	is.True(!b.Learn(reports[0]))
	now = now.Add(2 * time.Second)
	a.Answered("u", limit.Named{PerSecond: 5, Limited: true}, now)
	old := b.ToPublish()
	for _, report := range old {
		is.True(!a.Learn(report)) // older than what it knows
	}
	is.True(b.Learn(a.ToPublish()[0]))
	is.Equal(b.Of("u").PerSecond, 5.0)
	now = now.Add(2 * time.Second)
	a.Answered("u", limit.Named{}, now)
	is.True(b.Learn(a.ToPublish()[0]))
	is.True(!b.Of("u").Limited)

	// Without changes each limit is published once in three seconds, in more than one
	// message.
	a.Answered("u", limit.Named{PerSecond: 1, Limited: true}, now)
	now = now.Add(10 * time.Second)
	rounds := 0
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		rounds += len(a.ToPublish())
	}
	is.Equal(rounds, 15)
	is.True(!b.Learn(limit.ToldLimit{Upstream: "v"})) // the absence of an unknown limit is no change
	is.True(!b.Any() || b.Of("v") == limit.Named{})
}

func BenchmarkNoLimits(b *testing.B) {
	named := limit.NewNamedLimits(time.Now)
	b.ReportAllocs()
	for b.Loop() {
		named.Of("u")
		named.Answered("u", limit.Named{}, time.Time{})
	}
}

// TestAnIdleLimitIsNotOverrunWhenCallersReturn guards against instances that each
// accumulate a request while there is no traffic, and send them all in the same moment.
func TestAnIdleLimitIsNotOverrunWhenCallersReturn(t *testing.T) {
	for _, idle := range []time.Duration{time.Second, 30 * time.Second, 10 * time.Minute} {
		now := time.Unix(1_000_000, 0)
		const instances, perSecond = 300, 2.5
		all := make([]*limit.NamedLimits, instances)
		for i := range all {
			all[i] = limit.NewNamedLimits(func() time.Time { return now })
			all[i].Answered("u", limit.Named{PerSecond: perSecond, Limited: true}, now)
		}
		for end := now.Add(idle); now.Before(end); now = now.Add(500 * time.Millisecond) {
			for i := range all {
				all[i].Wait("u", limit.SenderRank{Instances: instances, Place: i})
			}
		}
		sent := 0
		for range 40 { // 4 s in which the upstream's answers are late
			for i := range all {
				for all[i].Take("u", limit.SenderRank{Instances: instances, Place: i}) {
					sent++
				}
			}
			now = now.Add(100 * time.Millisecond)
		}
		if float64(sent) > 1.5*4*perSecond+5 {
			t.Errorf("%d sent in 4 s after %v without callers", sent, idle)
		}
	}
}
