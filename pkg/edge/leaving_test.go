package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// onTheWay is how long after an upstream's word that it leaves a request may still arrive that
// was sent before.
const inFlightTime = 250 * time.Millisecond

// late are the requests that an engine got from instances to which it had said that it leaves.
func (e *simEngine) sentAfterLeaving() []arrival {
	var late []arrival
	for _, a := range e.sent("", time.Time{}) {
		if told, leaves := e.leavingReportedAt[a.from]; leaves && a.engine == e.id && a.at.Sub(told) > inFlightTime {
			late = append(late, a)
		}
	}
	return late
}

// checkLate judges what engines got after they had said that they leave.
func (s *simulation) checkSentAfterLeaving(t *testing.T, engines ...*simEngine) {
	t.Helper()
	for _, e := range engines {
		if late := e.sentAfterLeaving(); len(late) > 0 {
			t.Errorf("%s got %d requests from instances to which it had said that it leaves, the last one from %s %v after that",
				e.id, len(late), late[len(late)-1].from, late[len(late)-1].at.Sub(e.leavingReportedAt[late[len(late)-1].from]))
		}
	}
}

// TestAnUpstreamThatSaysThatItLeavesGetsNothing guards against an upstream that leaves, says so
// in its answers while the store says that it is ready, and gets requests as before.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	runSimulation(t, 1, chatRoute, threeRegions, func(s *simulation) {
		s.sendLoad(100, 3*time.Second)
		s.engines[0].setLeaving()
		s.engines[5].setLeaving()
		s.sendLoad(100, 10*time.Second)
		s.running.Wait()
		s.is.True(len(s.engines[0].leavingReportedAt) > 0)
		s.checkSentAfterLeaving(t, s.engines[0], s.engines[5])
		s.checkAnswered(t, 0.01)
	})
}

// TestAWordThatOneInstanceHearsIsKnownToAll guards against an upstream that tells one instance
// that it leaves, and is cut off with the requests that the others went on sending: through each
// other, through hubs, and from an instance that itself ends a moment later.
func TestLeavingReportSpreadsToAllInstances(t *testing.T) {
	for name, c := range map[string]struct {
		regions []simRegion
		ends    bool
	}{
		"small domains":            {regions: threeRegions},
		"a hub":                    {regions: []simRegion{{"north", 30, 6}, {"south", 2, 2}}},
		"the instance itself ends": {regions: threeRegions, ends: true},
	} {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 2, chatRoute, c.regions, func(s *simulation) {
				engine, hears := s.engines[1], s.instances[1]
				engine.setLeaving(hears.Name)
				for engine.firstLeavingReport(hears.Name).IsZero() {
					s.askAt(hears, "question")
					clock.Sleep(s.Context(), 20*time.Millisecond)
				}
				if c.ends {
					s.restart(hears)
				}
				clock.Sleep(s.Context(), time.Second)
				known := time.Now()
				s.sendLoad(100, 4*time.Second)
				s.running.Wait()
				if got := len(s.gotAt(engine, known)); got > 0 {
					t.Errorf("%d requests reached an engine a second after it had told one instance that it leaves", got)
				}
				s.checkAnswered(t, 0.01)
			})
		})
	}
}

// TestAnInstanceThatIsCutOffKeepsToAnUpstreamsWord guards against a word that counts only where
// somebody else confirms it, and against one that is lost for those who were cut off.
func TestPartitionedInstanceHonoursALeavingReport(t *testing.T) {
	runSimulation(t, 3, chatRoute, threeRegions, func(s *simulation) {
		engine, apart := s.engines[0], s.instances[0]
		s.network.setPartitioned(apart.Name, true)
		clock.Sleep(s.Context(), 3*time.Second)
		engine.setLeaving(apart.Name)
		s.every(10*time.Millisecond, 4*time.Second, func() { s.askAt(apart, "question") })
		s.checkSentAfterLeaving(t, engine)
		s.network.setPartitioned(apart.Name, false)
		clock.Sleep(s.Context(), 5*time.Second)
		healed := time.Now()
		s.sendLoad(100, 3*time.Second)
		s.running.Wait()
		s.is.Equal(len(s.gotAt(engine, healed)), 0)
	})
}

// TestWhenAllUpstreamsOfARegionLeaveOthersServe guards against callers who are refused, or held,
// while another region has room.
func TestOtherRegionsServeWhenAllUpstreamsOfARegionLeave(t *testing.T) {
	runSimulation(t, 4, chatRoute, threeRegions, func(s *simulation) {
		s.sendLoad(60, 2*time.Second)
		for _, e := range s.engines[:5] {
			e.setLeaving()
			clock.Sleep(s.Context(), 100*time.Millisecond)
		}
		s.sendLoad(60, 5*time.Second)
		s.running.Wait()
		s.checkSentAfterLeaving(t, s.engines[:5]...)
		s.checkAnswered(t, 0.01)
	})
}

// TestWhenAllUpstreamsLeaveCallersAreRefusedAtOnce guards against callers that are held until
// their time is over.
func TestCallersAreRefusedAtOnceWhenAllUpstreamsLeave(t *testing.T) {
	runSimulation(t, 5, chatRoute, []simRegion{{"north", 3, 2}}, func(s *simulation) {
		s.engines[0].setLeaving()
		s.engines[1].setLeaving()
		s.sendLoad(60, 2*time.Second)
		s.running.Wait()
		asked := time.Now()
		told := s.exchange(s.instances[0], "id", "question")
		s.is.Equal(told.status, http.StatusServiceUnavailable)
		s.is.True(time.Since(asked) < 10*time.Millisecond)
		s.is.True(told.header.Get("Retry-After") != "")
		s.checkSentAfterLeaving(t, s.engines...)
	})
}

// TestAnotherUpstreamAtTheAddressDoesNotLeave guards against holding the word against an address.
func TestRestartedUpstreamAtTheSameAddressIsNotLeaving(t *testing.T) {
	runSimulation(t, 6, chatRoute, []simRegion{{"north", 3, 3}}, func(s *simulation) {
		s.engines[0].setLeaving()
		s.sendLoad(60, 2*time.Second)
		s.engines[0].crash(s.engines[0].id, "")
		s.sendLoad(60, 6*time.Second)
		after := time.Now()
		s.sendLoad(60, 4*time.Second)
		s.running.Wait()
		s.is.True(len(s.gotAt(s.engines[0], after)) > 30)
	})
}
