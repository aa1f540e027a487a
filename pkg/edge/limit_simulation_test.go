package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// Bounds of the requests to an upstream with a limit, once it has named the limit for
// propagationTime, from instances that received it at least limitSettleTime before.
const (
	limitWindow     = 4 * time.Second
	limitOverage    = 1.5
	limitSlack      = 5
	limitSettleTime = 500 * time.Millisecond
)

// maxInWindow returns the largest number of requests that an engine got in a window from
// instances that knew its limit, within a time.
func (e *simEngine) maxInWindow(from, until time.Time) int {
	var times []time.Time
	for _, a := range e.sent("", from) {
		since, knew := e.limitReportedAt[a.from]
		if a.engine == e.id && a.at.Before(until) && knew && a.at.Sub(since) >= limitSettleTime {
			times = append(times, a.at)
		}
	}
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func allowedOf(perSecond float64) int {
	return int(limitOverage*perSecond*limitWindow.Seconds() + limitSlack)
}

func (s *simulation) sendLoad(perSecond int, length time.Duration) {
	n := 0
	s.every(time.Second/time.Duration(perSecond), length, func() {
		n++
		s.ask(fmt.Sprintf("question %d at %s", n, time.Now()))
	})
}

// TestUpstreamLimitIsEnforced guards against full load for an overloaded upstream that names a
// limit for all instances together.
func TestUpstreamLimitIsEnforced(t *testing.T) {
	runSimulation(t, 1, chatRoute, threeRegions, func(s *simulation) {
		limits := map[int]float64{0: 2.5, 5: 4.1, 6: 0.5} // one of north, two of middle
		s.sendLoad(100, 3*time.Second)
		for engine, perSecond := range limits {
			s.engines[engine].setLimit(fmt.Sprint(perSecond))
		}
		named := time.Now()
		s.sendLoad(100, 20*time.Second)
		s.running.Wait()
		for engine, perSecond := range limits {
			if most := s.engines[engine].maxInWindow(named.Add(propagationTime), time.Now()); most > allowedOf(perSecond) {
				t.Errorf("%s, with a limit of %v a second, got %d in %v; allowed %d", s.engines[engine].id, perSecond, most, limitWindow, allowedOf(perSecond))
			}
		}
	})
}

// TestUpstreamLimitIsEnforcedInAllDeploymentShapes guards against the same with shares of a limit
// far below one request a second, with limits that spread through hubs, and with several limits
// at once.
func TestUpstreamLimitIsEnforcedInAllDeploymentShapes(t *testing.T) {
	hubs := []simRegion{{"north", 30, 6}, {"south", 4, 2}}
	for name, c := range map[string]struct {
		regions []simRegion
		limits  []string
		rates   []float64
	}{
		"less than one for each instance":      {hubs, []string{"2.5", "0.4"}, []float64{2.5, 0.4}},
		"more than one for each instance":      {threeRegions, []string{"30", "12.5"}, []float64{30, 12.5}},
		"nothing at all":                       {threeRegions, []string{"0", "0.0"}, []float64{0, 0}},
		"all engines of a region name a limit": {threeRegions, []string{"3", "3", "3", "3", "3"}, []float64{3, 3, 3, 3, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 2, chatRoute, c.regions, func(s *simulation) {
				s.sendLoad(120, 2*time.Second)
				for n, text := range c.limits {
					s.engines[n].setLimit(text)
				}
				named := time.Now()
				s.sendLoad(120, 15*time.Second)
				s.running.Wait()
				for n, rate := range c.rates {
					most := s.engines[n].maxInWindow(named.Add(propagationTime), time.Now())
					if most > allowedOf(rate) {
						t.Errorf("at %v a second got %d in %v; allowed %d", rate, most, limitWindow, allowedOf(rate))
					}
					if got := len(s.gotAt(s.engines[n], named.Add(propagationTime))); rate > 0 && float64(got) < 0.25*rate*10 {
						t.Errorf("at %v a second got %d in 10 s: the limit is not used", rate, got)
					}
				}
				s.checkAnswered(t, 0.1)
			})
		})
	}
}

// gotAt returns the requests that an engine's running process got after a time.
func (s *simulation) gotAt(e *simEngine, after time.Time) []arrival {
	var got []arrival
	for _, a := range s.sent("", after) {
		if a.engine == e.id {
			got = append(got, a)
		}
	}
	return got
}

func (s *simulation) checkAnswered(t *testing.T, unserved float64) {
	t.Helper()
	failed := 0
	for _, answer := range s.answers {
		if answer.err != nil || answer.status != http.StatusOK {
			failed++
		}
	}
	t.Logf("%d of %d callers not served", failed, len(s.answers))
	if float64(failed) > unserved*float64(len(s.answers)) {
		t.Errorf("%d of %d callers not served", failed, len(s.answers))
	}
}

// TestChangesOfAnUpstreamLimitAreFollowed guards against applying an old limit when the upstream
// accepts more or everything again, and against learning too late that it accepts less.
func TestChangesOfAnUpstreamLimitAreFollowed(t *testing.T) {
	runSimulation(t, 3, chatRoute, threeRegions, func(s *simulation) {
		engine := s.engines[0]
		for _, limit := range []struct {
			text string
			rate float64
		}{{"8", 8}, {"2", 2}, {"6", 6}} {
			engine.setLimit(limit.text)
			changed := time.Now()
			s.sendLoad(100, 10*time.Second)
			if most := engine.maxInWindow(changed.Add(propagationTime), time.Now()); most > allowedOf(limit.rate) {
				t.Errorf("at %v a second got %d in %v; allowed %d", limit.rate, most, limitWindow, allowedOf(limit.rate))
			}
		}
		engine.setLimit("")
		s.sendLoad(100, 8*time.Second)
		ended := time.Now()
		s.sendLoad(100, 4*time.Second)
		s.running.Wait()
		s.is.True(len(s.gotAt(engine, ended)) > 20) // full load again
		s.checkAnswered(t, 0.01)
	})
}

// TestRestartedInstanceLearnsUpstreamLimits guards against full load from a restarted instance,
// and against losing a limit that only one instance knew.
func TestRestartedInstanceLearnsUpstreamLimits(t *testing.T) {
	runSimulation(t, 4, chatRoute, []simRegion{{"north", 7, 4}}, func(s *simulation) {
		s.engines[0].setLimit("2.5")
		s.sendLoad(100, 5*time.Second)
		for _, i := range s.instances[:3] {
			s.restart(i)
			restarted := time.Now()
			s.sendLoad(100, 4*time.Second)
			if got := len(s.gotAt(s.engines[0], restarted)); got > allowedOf(2.5) {
				t.Errorf("got %d in 4 s after a restart; allowed %d", got, allowedOf(2.5))
			}
		}
		s.running.Wait()
	})
}

// TestRestartedUpstreamAtTheSameAddressIsNotLimited guards against applying a limit to an
// address: the next process there names none.
func TestRestartedUpstreamAtTheSameAddressIsNotLimited(t *testing.T) {
	runSimulation(t, 5, chatRoute, []simRegion{{"north", 3, 3}}, func(s *simulation) {
		s.engines[0].setLimit("1")
		s.sendLoad(60, 5*time.Second)
		s.engines[0].setLimit("")
		s.engines[0].crash(s.engines[0].id, "")
		s.sendLoad(60, 6*time.Second)
		after := time.Now()
		s.sendLoad(60, 4*time.Second)
		s.running.Wait()
		s.is.True(len(s.gotAt(s.engines[0], after)) > 30)
	})
}

// TestRequestsAboveUpstreamLimitsAreRefusedAtOnce guards against holding requests until their
// deadline, and against a Retry-After at which they are refused again.
func TestRequestsAboveUpstreamLimitsAreRefusedAtOnce(t *testing.T) {
	runSimulation(t, 6, chatRoute, []simRegion{{"north", 3, 2}}, func(s *simulation) {
		s.engines[0].setLimit("3")
		s.engines[1].setLimit("3")
		s.sendLoad(60, 3*time.Second)
		s.running.Wait()
		named := time.Now()
		for n := range 100 {
			asked := time.Now()
			got := s.exchange(s.instances[n%3], fmt.Sprint("id-", n), "question")
			if got.status == http.StatusServiceUnavailable {
				s.is.True(time.Since(asked) < 10*time.Millisecond)
				seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				s.is.NoErr(err)
				s.is.True(seconds > 0 && seconds <= 2) // each instance has a share of 2 a second
			}
			clock.Sleep(s.Context(), 20*time.Millisecond)
		}
		s.is.True(len(s.sent("", named)) >= 6)
	})
}
