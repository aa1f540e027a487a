package edge

import (
	"testing"
	"time"
)

const (
	// bearsCold is how many requests a second an engine bears while it is cold, coldAllowed how many
	// it may get from all instances together in any second of that.
	coldCapacity = 14.0
	coldAllowed  = 24
	// coldTime is for how long an engine is cold.
	coldTime = 3 * time.Second
)

// checkCold judges what the engines of the first region got in any second of the time in which
// they were cold.
func (s *simulation) checkCold(t *testing.T, from time.Time) {
	t.Helper()
	for _, e := range s.engines[:5] {
		var got []time.Time
		for _, a := range s.gotAt(e, from) {
			if a.at.Before(e.coldUntil) {
				got = append(got, a.at)
			}
		}
		if most := maxInASecond(got); most > coldAllowed {
			t.Errorf("%s got %d requests in a second while it was cold, allowed %d", e.id, most, coldAllowed)
		}
	}
}

// askNorth asks 180 questions a second at the instances of the first region: 36 for each engine.
func (s *simulation) askNorth(length time.Duration) {
	s.every(time.Second/180, length, func() { s.askAt(s.instances[s.random.IntN(3)], "question") })
}

// TestEnginesOfADomainThatIsTakenBackMayBeCold guards against a full load for engines that an
// evacuation has made cold, from instances that hear that it is over before they hear of the cold.
func TestEnginesAreTreatedAsColdAfterAnEvacuationEnds(t *testing.T) {
	runColdSimulation(t, 1, coldCapacity, chatRoute, threeRegions, func(s *simulation) {
		s.askNorth(2 * time.Second)
		s.evacuate("north", true)
		s.askNorth(2 * time.Second)
		for _, e := range s.engines[:5] {
			e.setCold(coldTime)
		}
		cold := time.Now()
		s.evacuate("north", false)
		s.askNorth(2 * coldTime)
		s.running.Wait()
		s.checkCold(t, cold)
		s.checkWarmAgain(t)
	})
}

// TestAnEngineMayBeColdForLongerThanWasHeard guards against a full load for engines that were told
// to be cold, and turned cold anew before an end of that of which nothing more was heard.
func TestEngineMayBeColdForLongerThanReported(t *testing.T) {
	runColdSimulation(t, 2, coldCapacity, chatRoute, threeRegions, func(s *simulation) {
		for _, e := range s.engines[:5] {
			e.setCold(coldTime)
			e.writeEntry()
		}
		cold := time.Now()
		s.discover()
		s.askNorth(coldTime - 500*time.Millisecond)
		for _, e := range s.engines[:5] {
			e.setCold(coldTime)
		}
		s.askNorth(2 * coldTime)
		s.running.Wait()
		s.checkCold(t, cold)
		s.checkWarmAgain(t)
	})
}

// checkWarmAgain judges whether the engines of the first region got what they bear once they were
// warm again, of 36 requests a second each.
func (s *simulation) checkWarmAgain(t *testing.T) {
	t.Helper()
	warm := s.engines[0].coldUntil.Add(time.Second)
	got := 0
	for _, a := range s.sent("question", warm) {
		if a.at.Sub(warm) < time.Second {
			got++
		}
	}
	if got < 160 {
		t.Errorf("the engines got %d requests in a second after they were warm again, of 180 that were asked", got)
	}
}

// TestEnginesMayHaveTurnedColdInALostHistory guards against a full load for engines that an evacuation has made cold
// that came and went in a part of the store's history that is lost.
func TestEnginesAreTreatedAsColdAfterALostHistory(t *testing.T) {
	runColdSimulation(t, 7, coldCapacity, chatRoute, threeRegions, func(s *simulation) {
		s.askNorth(2 * time.Second)
		for _, e := range s.engines[:5] {
			e.setCold(coldTime)
		}
		cold := time.Now()
		s.loseHistory()
		s.askNorth(coldTime + 2200*time.Millisecond)
		s.running.Wait()
		s.checkCold(t, cold)
		s.checkWarmAgain(t)
	})
}

// mostInASecond is how many of some moments, in order, lie in one second at most.
func maxInASecond(at []time.Time) int {
	most, first := 0, 0
	for last := range at {
		for at[last].Sub(at[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
