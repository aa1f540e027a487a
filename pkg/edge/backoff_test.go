package edge

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/fleet"
)

const (
	// restSlack is how long after an upstream has asked for rest a request may still arrive that
	// was sent before, and restAllowed how many may within the rest.
	backoffInFlightTime = 500 * time.Millisecond
	allowedInBackoff    = 2
)

// mostInRest returns the most requests that an instance sent to an engine within a rest.
func (s *simulation) maxInBackoff(e *simEngine) int {
	most := 0
	for _, backoff := range e.backoffs {
		most = max(most, len(s.sentInBackoff(backoff)))
	}
	return most
}

// inRest are the requests that an engine got within a rest from the instance that it had asked.
func (s *simulation) sentInBackoff(backoff requestedBackoff) []arrival {
	var got []arrival
	for _, a := range s.sent("", backoff.at.Add(backoffInFlightTime)) {
		if a.engine == backoff.engine && a.from == backoff.instance && a.at.Sub(backoff.at) < backoff.length {
			got = append(got, a)
		}
	}
	return got
}

// TestAnUpstreamThatAsksForRestGetsIt guards against an upstream that turns requests away, names
// how long it wants nothing, and gets a full load again within that time.
func TestRetryAfterOfAnUpstreamIsHonoured(t *testing.T) {
	runSimulation(t, 1, chatRoute, threeRegions, func(s *simulation) {
		s.sendLoad(100, 3*time.Second)
		s.engines[0].rejectRequests(time.Second, 4*time.Second, "")
		s.engines[6].rejectRequests(2*time.Second, 3*time.Second, "")
		s.sendLoad(100, 10*time.Second)
		s.running.Wait()
		s.checkBackoffs(t)
		s.is.True(len(s.engines[0].backoffs) > 0)
		s.checkAnswered(t, 0.01)
	})
}

// checkRests judges whether engines got the rests that they asked for.
func (s *simulation) checkBackoffs(t *testing.T) {
	t.Helper()
	for _, e := range s.engines {
		if got := s.maxInBackoff(e); got > allowedInBackoff {
			t.Errorf("%s got %d requests from an instance in the time for which it had asked it for rest, allowed %d", e.id, got, allowedInBackoff)
		}
	}
}

// TestARestConcernsTheInstanceThatWasAsked guards against an upstream that turns one instance away
// and loses the requests of all.
func TestBackoffConcernsOnlyTheRejectedInstance(t *testing.T) {
	runSimulation(t, 2, chatRoute, threeRegions, func(s *simulation) {
		s.sendLoad(100, 2*time.Second)
		s.engines[0].rejectRequests(500*time.Millisecond, 6*time.Second, s.instances[0].Name)
		asked := time.Now()
		s.sendLoad(100, 8*time.Second)
		s.running.Wait()
		s.checkBackoffs(t)
		s.is.True(len(s.engines[0].backoffs) > 0)
		s.is.True(len(s.gotAt(s.engines[0], asked)) > 40) // of the other two
		s.checkAnswered(t, 0.01)
	})
}

// TestAfterItsRestAnUpstreamIsTriedWithOneRequest guards against all the requests that waited
// for the end of a rest, in a region whose upstreams all rest for a minute.
func TestOneRequestProbesAnUpstreamAfterItsBackoff(t *testing.T) {
	const length = time.Minute
	runSimulation(t, 3, chatRoute, threeRegions, func(s *simulation) {
		for _, e := range s.engines[:5] {
			e.rejectRequests(2*length, length, "")
		}
		s.sendLoad(60, 70*time.Second)
		s.running.Wait()
		s.checkBackoffs(t)
		for _, e := range s.engines[:5] {
			for _, rest := range e.backoffs {
				for _, other := range e.backoffs {
					apart := other.at.Sub(rest.at)
					if rest.instance == other.instance && apart > backoffInFlightTime && apart < length {
						t.Errorf("%s turned %s away again %v after it had asked it for %v", e.id, rest.instance, apart, length)
					}
				}
			}
			s.is.True(len(e.backoffs) >= 4)
		}
		s.checkAnswered(t, 0.01) // by the other regions
	})
}

// TestWhenAllUpstreamsRestCallersAreToldWhenTheyServe guards against callers that are held until
// their time is over, or told to come back while all upstreams still rest.
func TestRetryAfterCoversTheBackoffOfAllUpstreams(t *testing.T) {
	runSimulation(t, 4, chatRoute, []simRegion{{"north", 1, 2}}, func(s *simulation) {
		s.engines[0].rejectRequests(time.Second, 5*time.Second, "")
		s.engines[1].rejectRequests(time.Second, 3*time.Second, "")
		s.sendLoad(60, 500*time.Millisecond)
		s.running.Wait()
		asked := time.Now()
		told := s.exchange(s.instances[0], "id", "question")
		s.is.Equal(told.status, http.StatusServiceUnavailable)
		s.is.True(time.Since(asked) < 10*time.Millisecond)
		seconds, err := strconv.ParseFloat(told.header.Get("Retry-After"), 64)
		s.is.NoErr(err)
		s.is.True(seconds > 2 && seconds < 3)
		clock.Sleep(s.Context(), time.Duration(seconds*float64(time.Second)))
		s.is.Equal(s.exchange(s.instances[0], "id-2", "question").status, http.StatusOK)
		s.checkBackoffs(t)
	})
}

// TestAnotherUpstreamAtTheAddressDoesNotRest guards against holding a rest against an address.
func TestRestartedUpstreamAtTheSameAddressIsNotBackingOff(t *testing.T) {
	runSimulation(t, 5, chatRoute, []simRegion{{"north", 3, 3}}, func(s *simulation) {
		s.engines[0].rejectRequests(500*time.Millisecond, 5*time.Minute, "")
		s.sendLoad(60, 2*time.Second)
		s.engines[0].crash(s.engines[0].id, "")
		s.sendLoad(60, 6*time.Second)
		after := time.Now()
		s.sendLoad(60, 4*time.Second)
		s.running.Wait()
		s.is.True(len(s.gotAt(s.engines[0], after)) > 30)
	})
}

// TestARestingUpstreamIsNotAskedForItsStart guards against questions that reach an upstream which
// wants nothing, whatever they are for.
func TestUpstreamInBackoffGetsNoStatusQuery(t *testing.T) {
	const rest = 300 * time.Millisecond
	for name, doubt := range map[string]func(h *harness, known *fleet.Upstream){
		"it may have started again": func(h *harness, known *fleet.Upstream) { h.edge.suspicions.raise(known.ID, true, time.Now()) },
		"its warmth is in doubt":    func(_ *harness, known *fleet.Upstream) { known.Missing = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, startedAt(1000))
			h := newHarness(t, safeRoute, u)
			known, service := &h.edge.board.Fleet.Load().Upstreams[0], h.edge.board.Routes.Load().Service(testService)
			known.Began, service.ColdRate = 1000, coldRate
			h.edge.tracker.AskRest(known.ID, rest)
			doubt(h, known)
			for end := time.Now().Add(rest / 2); time.Now().Before(end); {
				h.is.True(h.edge.mayBeCold(known, service))
			}
			h.is.Equal(u.arrivals.Load(), int32(0))
			h.eventually("it is asked after its rest", func() bool {
				h.edge.mayBeCold(known, service)
				return u.arrivals.Load() > 0
			})
		})
	}
}
