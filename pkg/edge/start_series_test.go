package edge

import (
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// TestColdEnginesBearInstancesKilledInSeries guards against a share of a cold engine that every
// start of an instance grants anew.
func TestColdEnginesBearInstancesKilledInSeries(t *testing.T) {
	for name, pause := range map[string]time.Duration{"0.3 s alive": 300 * time.Millisecond, "1.4 s alive": 1400 * time.Millisecond, "2.5 s alive": 2500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runColdSimulation(t, 51, coldCapacity, chatRoute, threeRegions, func(s *simulation) {
				s.askNorth(time.Second)
				for _, e := range s.engines[:5] {
					e.setCold(coldTime)
					e.writeEntry()
				}
				s.discover()
				cold := time.Now()
				clock.Sleep(s.Context(), 100*time.Millisecond)
				s.sendTimes(180, func() {
					for time.Since(cold) < coldTime {
						clock.Sleep(s.Context(), pause)
						s.killAll(200 * time.Millisecond)
					}
				})
				s.running.Wait()
				s.checkCold(t, cold)
				got := 0
				for _, e := range s.engines[:5] {
					got += len(s.gotAt(e, cold))
				}
				t.Logf("the cold engines got %d requests", got)
				if pause > time.Second && got == 0 {
					t.Error("the cold engines got nothing")
				}
			})
		})
	}
}

// TestUpstreamLimitIsEnforcedForInstancesKilledInSeries guards against a share of an upstream's
// limit that every start of an instance grants anew.
func TestUpstreamLimitIsEnforcedForInstancesKilledInSeries(t *testing.T) {
	runSimulation(t, 52, chatRoute, []simRegion{{"north", 7, 4}}, func(s *simulation) {
		const perSecond = 8
		s.engines[0].setLimit("8")
		s.sendLoad(100, 3*time.Second)
		named := time.Now()
		s.sendTimes(100, func() {
			for range 6 {
				clock.Sleep(s.Context(), 1200*time.Millisecond)
				s.killAll(200 * time.Millisecond)
			}
		})
		s.running.Wait()
		if most := s.engines[0].maxInWindow(named, time.Now()); most > allowedOf(perSecond) {
			t.Errorf("got %d in %v; allowed %d", most, limitWindow, allowedOf(perSecond))
		}
	})
}
