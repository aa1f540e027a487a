package quota

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

// formerWait is the retry time without reservations, for comparison.
func formerWait(s *deployment, over *OverLimitError) time.Duration {
	limit := over.Limit * over.Reachable
	seconds := max(0, -over.Balance)/limit + s.random.Float64()*max(0, over.Demand/limit-1)*demandTimeConstant.Seconds()
	return min(maxRetryWait, max(minRetryWait, time.Duration(seconds*float64(time.Second))))
}

// retried counts the requests that were refused, those that came back once at the time told, those of them
// that were admitted then, the large ones, and all admitted tokens.
type retried struct {
	refused, returned, served int
	large, largeAdmitted      int
	tokens                    float64
}

// withRetries sends demand of three times the limit to 20 instances from the fourth second until another.
// Callers with four seconds come back once if they are told a time that they honour.
func withRetries(seed uint64, former bool, until time.Duration, count *retried) {
	type retry struct {
		at    time.Time
		units int
	}
	s, load := newDeployment(20, 6, seed, tolerated, "shared"), rand.New(rand.NewPCG(seed, 2))
	limit, left := Limit{Rate: 300_000, Burst: 300_000}, 4*time.Second
	limits := map[string]Limit{"hot": limit}
	for range int(settleTime / emulatedStep) {
		s.tick(limits)
	}
	started, waiting := s.now, []retry(nil)
	ask := func(units int, first bool) {
		_, err := s.limiters[s.random.IntN(20)].AdmitWithin("hot", limit, units, left)
		if units > 10_000 {
			count.large++
		}
		var over *OverLimitError
		switch {
		case err == nil:
			count.tokens += float64(units)
			if units > 10_000 {
				count.largeAdmitted++
			}
			if !first {
				count.served++
			}
		case first && errors.As(err, &over):
			count.refused++
			wait := over.Wait
			if former {
				wait = formerWait(s, over)
			}
			if wait <= left/honouredDivisor {
				waiting = append(waiting, retry{s.now.Add(wait), units})
			}
		}
	}
	for since := time.Duration(0); since < 20*time.Second; since = s.now.Sub(started) {
		s.tick(limits)
		kept := waiting[:0]
		for _, r := range waiting {
			if r.at.After(s.now) {
				kept = append(kept, r)
				continue
			}
			count.returned++
			ask(r.units, false)
		}
		waiting = kept
		demand := limit.Rate / 2
		if since >= 4*time.Second && since < until {
			demand = 3 * limit.Rate
		}
		for range poisson(load, demand*emulatedStep.Seconds()/meanSize) {
			ask(size(load), true)
		}
	}
}

// TestRetriesAtTheTimeToldAreServed guards against retry times at which callers are refused again: of an
// organisation with three times its limit, always or in bursts, more of those who come back are admitted
// than with the former times. Long requests are not starved, and no less is admitted.
func TestRetriesAtTheTimeToldAreServed(t *testing.T) {
	for name, until := range map[string]time.Duration{"always": 20 * time.Second, "for two seconds": 6 * time.Second} {
		var sums [2]retried
		for seed := range uint64(6) {
			for i, former := range []bool{true, false} {
				withRetries(seed, former, until, &sums[i])
			}
		}
		served := func(c retried) float64 { return float64(c.served) / float64(c.returned) }
		for i, label := range []string{"former", "reserved"} {
			c := sums[i]
			t.Logf("%s, %s: %d refused, %d came back, %.3f of them admitted; %.3f of the large requests admitted; %.2f million tokens", name, label, c.refused, c.returned, served(c), float64(c.largeAdmitted)/float64(c.large), c.tokens/1e6)
		}
		if served(sums[1]) < 1.1*served(sums[0]) || sums[1].tokens < 0.98*sums[0].tokens || 2*sums[1].largeAdmitted*sums[0].large < sums[0].largeAdmitted*sums[1].large {
			t.Errorf("%s: %+v, formerly %+v", name, sums[1], sums[0])
		}
	}
}
