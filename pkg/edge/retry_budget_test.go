package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/httproute"
)

// retryLimits is a retry budget of a fifth of the requests and some more in any ten seconds.
var retryLimits = Limits{RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second}

// retryRoute is a route whose requests may be repeated.
var retryRoute = httproute.Route{Kind: httproute.Safe, Timeout: 4 * time.Second, TargetLatency: time.Second, MaxAttempts: 2}

// sendTimes sends requests to random instances, also to those that are down, while another
// function runs, and returns the times of the requests.
func (s *simulation) sendTimes(perSecond int, meanwhile func()) []time.Time {
	var times []time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		meanwhile()
	}()
	for {
		select {
		case <-done:
			return times
		default:
		}
		times = append(times, time.Now())
		s.askAt(s.instances[s.random.IntN(len(s.instances))], fmt.Sprintf("question %d", len(times)))
		clock.Sleep(s.Context(), time.Second/time.Duration(perSecond))
	}
}

// checkRetryBudget checks that in no window more requests were sent again than a share of the
// callers' requests in the window, in the one before or half a window before, and the slack.
func (s *simulation) checkRetryBudget(t *testing.T, requests []time.Time) {
	t.Helper()
	seen := make(map[string]bool)
	var retries []time.Time
	for _, a := range s.sent("question", time.Time{}) {
		if seen[a.id] {
			retries = append(retries, a.at)
		}
		seen[a.id] = true
	}
	length := retryLimits.RetryWindow
	worst, worstAllowed := 0, 0.0
	for _, start := range retries {
		most := 0
		for _, back := range []time.Duration{0, length / 2, length} {
			most = max(most, countWithin(requests, start.Add(-back), length))
		}
		within, allowed := countWithin(retries, start, length), retryLimits.RetryRatio*float64(most)+retryLimits.RetrySlack
		if float64(within)-allowed > float64(worst)-worstAllowed || worst == 0 {
			worst, worstAllowed = within, allowed
		}
	}
	t.Logf("%d retries of %d requests; %d in the worst window, allowed %.0f", len(retries), len(requests), worst, worstAllowed)
	if float64(worst) > worstAllowed {
		t.Errorf("%d retries in %v, allowed %.0f", worst, length, worstAllowed)
	}
	if len(retries) == 0 {
		t.Error("nothing was sent again")
	}
}

func countWithin(times []time.Time, start time.Time, length time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(start) && at.Sub(start) < length {
			n++
		}
	}
	return n
}

// failEngines makes all engines answer a share of their requests with an error.
func (s *simulation) failEngines(share float64) {
	for _, e := range s.engines {
		e.setFailedShare(share)
	}
}

// TestRetriesOfInstancesKilledInSeriesStayWithinTheBudget guards against a retry budget that
// every start of an instance grants anew.
func TestRetriesOfInstancesKilledInSeriesStayWithinTheBudget(t *testing.T) {
	for name, pause := range map[string]time.Duration{"1.2 s alive": 1200 * time.Millisecond, "0.5 s alive": 500 * time.Millisecond, "4 s alive": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runLimitedSimulation(t, 21, 0, retryLimits, retryRoute, threeRegions, func(s *simulation) {
				requests := s.sendTimes(150, func() {
					clock.Sleep(s.Context(), 8*time.Second)
					s.failEngines(0.8)
					for range 7 {
						clock.Sleep(s.Context(), pause)
						s.killAll(500 * time.Millisecond)
					}
					clock.Sleep(s.Context(), 5*time.Second)
				})
				s.running.Wait()
				s.checkRetryBudget(t, requests)
			})
		})
	}
}

// TestRetriesOfSeparatedRegionsStayWithinTheBudget guards against instances that take the shares
// of those that they no longer know, or do not know yet.
func TestRetriesOfSeparatedRegionsStayWithinTheBudget(t *testing.T) {
	for name, restart := range map[string]bool{"instances that knew the others": false, "instances that started since": true} {
		t.Run(name, func(t *testing.T) {
			runLimitedSimulation(t, 22, 0, retryLimits, retryRoute, threeRegions, func(s *simulation) {
				requests := s.sendTimes(20, func() {
					s.separateRegions()
					clock.Sleep(s.Context(), 6*time.Second)
					if restart {
						s.killAll(500 * time.Millisecond)
					}
					clock.Sleep(s.Context(), 20*time.Second)
					s.failEngines(1)
					clock.Sleep(s.Context(), 12*time.Second)
				})
				s.running.Wait()
				s.checkRetryBudget(t, requests)
			})
		})
	}
}
