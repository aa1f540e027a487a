package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// Bounds of what a request that ends its upstreams may do: it may end three, and once
// instances have been in touch for reachTime after the third end, be sent to three more.
const (
	crashesAllowed  = 3
	propagationTime = 5 * time.Second
)

// question is a stream that may not be resumed.
var chatRoute = httproute.Route{Kind: httproute.Streaming, Timeout: 4 * time.Second, TargetLatency: time.Second, MaxAttempts: 1}

// sendsAfterBorne counts how often a body was sent later than the instances had to know it.
func (s *simulation) sendsAfterPropagation(body string) int {
	s.mu.Lock()
	borne := len(s.crashes) >= crashesAllowed
	s.mu.Unlock()
	if !borne {
		return 0
	}
	return len(s.sent(body, s.crashes[crashesAllowed-1].Add(propagationTime)))
}

// play asks 20 innocent questions a second, each of its own, and with every so many of them
// the request that ends its engines, until a time has passed and all are answered.
func (s *simulation) runPoisonLoad(length time.Duration, poisonEvery int) {
	n := 0
	s.every(50*time.Millisecond, length, func() {
		n++
		s.ask(fmt.Sprintf("innocent %d of %s", n, time.Now()))
		if n%poisonEvery == 0 {
			s.ask(poison)
		}
	})
	s.running.Wait()
}

// checkLethal judges what became of the request that ends its engines, and of the innocent.
func (s *simulation) checkPoison(t *testing.T) {
	t.Helper()
	if sends := s.sendsAfterPropagation(poison); sends > crashesAllowed {
		t.Errorf("sent %d times later than %v after the third end; %d engines ended", sends, propagationTime, len(s.crashes))
	}
	if refused := s.quarantinedInnocents(); refused > 0 {
		t.Errorf("%d innocent requests quarantined", refused)
	}
	asked, unserved := s.countInnocents()
	t.Logf("%d engines ended; %d of %d innocent requests not served", len(s.crashes), unserved, asked)
}

// innocents counts the innocent requests, and those that were not served.
func (s *simulation) countInnocents() (asked, unserved int) {
	for _, told := range s.answers {
		if strings.HasPrefix(told.body, poison) {
			continue
		}
		asked++
		if told.err != nil || told.status != http.StatusOK {
			unserved++
		}
	}
	return asked, unserved
}

// refusedInnocents counts the innocent requests that were refused for ends of upstreams.
func (s *simulation) quarantinedInnocents() int {
	refused := 0
	for _, told := range s.answers {
		if told.reason == string(outcome.ReasonQuarantined) && !strings.HasPrefix(told.body, poison) {
			refused++
		}
	}
	return refused
}

// TestARequestThatEndsItsUpstreamsIsNotSentAgain guards against a request that ends each
// engine that runs it, and comes again at any instance under a new ID: it went on to end all
// engines of the regions that may process it, one after the other.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	runSimulation(t, 1, chatRoute, threeRegions, func(s *simulation) {
		s.runPoisonLoad(30*time.Second, 8)
		s.checkPoison(t)
	})
}

// TestNoDeploymentSendsALethalRequestAgain guards against the same in deployments and under
// loads in which news travels other ways, or comes too late for what is sent at once.
func TestPoisonRequestIsQuarantinedInAllDeploymentShapes(t *testing.T) {
	repeated := httproute.Route{Kind: httproute.Safe, Timeout: 4 * time.Second, TargetLatency: time.Second, MaxAttempts: 4}
	resumed := httproute.Route{Kind: httproute.Streaming, Resumable: true, Timeout: 4 * time.Second, TargetLatency: time.Second, MaxAttempts: 3}
	bound := chatRoute
	bound.Homes = []string{"north"}
	for name, c := range map[string]struct {
		route   httproute.Route
		regions []simRegion
	}{
		"it may be repeated":             {repeated, threeRegions},
		"it may be resumed":              {resumed, threeRegions},
		"it is bound to a region":        {bound, threeRegions},
		"the region learns through hubs": {chatRoute, []simRegion{{"north", 14, 9}, {"south", 8, 6}}},
		"one instance serves all":        {chatRoute, []simRegion{{"north", 1, 5}}},
	} {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 2, c.route, c.regions, func(s *simulation) {
				s.runPoisonLoad(15*time.Second, 3)
				s.checkPoison(t)
			})
		})
	}
}

// TestManyLethalRequestsAtOnceEndTheirEnginesOnce guards against what comes after: a burst is
// at work on all engines before anybody has seen one end.
func TestBurstOfPoisonRequestsCrashesEachEngineOnce(t *testing.T) {
	runSimulation(t, 3, chatRoute, threeRegions, func(s *simulation) {
		for range 40 {
			s.ask(poison)
		}
		s.runPoisonLoad(20*time.Second, 4)
		s.checkPoison(t)
		s.is.True(len(s.crashes) <= 12) // each engine once at most
	})
}

// TestTheLargestLethalBodyIsKnownAgain guards against a fingerprint of a part of the body, or
// of how it came: callers send it in chunks.
func TestFingerprintCoversTheLargestBody(t *testing.T) {
	runSimulation(t, 4, chatRoute, threeRegions, func(s *simulation) {
		body := poison + strings.Repeat("x", 4<<20-len(poison))
		s.every(300*time.Millisecond, 12*time.Second, func() {
			s.ask(body)
			s.ask(body[:len(body)-1] + "y")
		})
		s.running.Wait()
		s.is.True(s.sendsAfterPropagation(body) <= crashesAllowed)
		s.is.True(len(s.crashes) >= 2*crashesAllowed) // two requests, each known by its own ends
	})
}

// TestARestartedInstanceLearnsWhichRequestsAreQuarantined guards against an instance that
// begins anew, knows nothing and sends the request on.
func TestRestartedInstanceLearnsQuarantines(t *testing.T) {
	runSimulation(t, 5, chatRoute, threeRegions, func(s *simulation) {
		s.runPoisonLoad(10*time.Second, 4)
		for _, i := range s.instances {
			s.restart(i)
			s.runPoisonLoad(2*time.Second, 4)
		}
		s.checkPoison(t)
	})
}

// TestAnInstanceThatWasCutOffLearnsWhatIsQuarantined guards against one that knows only what it
// saw itself, and sends the request on once it is back.
func TestPartitionedInstanceLearnsQuarantinesOnceReconnected(t *testing.T) {
	runSimulation(t, 10, chatRoute, threeRegions, func(s *simulation) {
		apart := s.instances[0]
		s.network.setPartitioned(apart.Name, true)
		clock.Sleep(s.Context(), 4*time.Second)
		s.runPoisonLoad(10*time.Second, 4)
		s.network.setPartitioned(apart.Name, false)
		clock.Sleep(s.Context(), propagationTime)
		healed := time.Now()
		s.runPoisonLoad(10*time.Second, 2)
		s.is.True(len(s.crashes) <= 3*crashesAllowed) // by those together, by the one alone, and under way
		s.is.Equal(len(s.sent(poison, healed)), 0)
	})
}

// TestACommonRequestIsNotQuarantinedForEndsOfOthers guards against refusing what many callers
// ask in the same words because it is always at work somewhere when an upstream ends.
func TestCommonRequestIsNotQuarantinedForCrashesByOthers(t *testing.T) {
	runSimulation(t, 6, chatRoute, threeRegions, func(s *simulation) {
		n := 0
		s.every(25*time.Millisecond, 20*time.Second, func() {
			n++
			s.ask("common")
			if n%40 == 0 {
				s.ask(fmt.Sprintf("%s %d", poison, n))
			}
		})
		s.running.Wait()
		s.is.True(len(s.crashes) > 10)
		s.is.Equal(s.quarantinedInnocents(), 0)
	})
}

// TestARestartOfAllInstancesForgetsNoQuarantine guards against a request that is run again
// three times over after an upgrade or a loss of power, as no instance is left that knew it.
func TestQuarantinesOutliveARestartOfAllInstances(t *testing.T) {
	runSimulation(t, 7, chatRoute, threeRegions, func(s *simulation) {
		s.runPoisonLoad(10*time.Second, 4)
		s.restartAll()
		s.runPoisonLoad(20*time.Second, 2)
		s.checkPoison(t)
	})
}

// TestAQuarantineIsWrittenOnceTheStoreIsBack guards against one that is lost because the store
// was away for some seconds, and against hundreds of instances that all write it.
func TestQuarantineIsWrittenAfterAStoreOutage(t *testing.T) {
	runSimulation(t, 8, chatRoute, threeRegions, func(s *simulation) {
		s.store.setUnavailable(true)
		s.runPoisonLoad(6*time.Second, 4)
		s.is.Equal(s.store.writes, 0)
		s.store.setUnavailable(false)
		s.runPoisonLoad(15*time.Second, 4)
		s.is.True(s.store.writes >= 1 && s.store.writes <= crashesAllowed)
	})
}

// TestAClearedQuarantineIsTakenBack guards against a request that stays refused in the store
// after it has run to a good end.
func TestClearedQuarantineIsRemovedEverywhere(t *testing.T) {
	runSimulation(t, 9, chatRoute, threeRegions, func(s *simulation) {
		s.runPoisonLoad(10*time.Second, 4)
		edge := s.instances[0].edge
		stored := edge.board.Quarantined.Load()
		s.is.Equal(stored.Held(), 1)
		request := stored.Records[0].Request
		edge.recordObservation(quarantine.Observation{Request: request})
		clock.Sleep(s.Context(), 5*time.Second)
		s.is.Equal(edge.board.Quarantined.Load().Held(), 0)
		for _, i := range s.instances {
			s.is.True(!i.edge.quarantine.Held(request))
		}
	})
}

// TestAQuarantineIsWrittenAgainAfterTheStoreForgotIt guards against a request that is run again after
// a restart of all instances, since the store has come back from a copy of before its quarantine;
// and against hundreds of instances that all write it.
func TestQuarantineIsRewrittenAfterTheStoreLostIt(t *testing.T) {
	runSimulation(t, 10, chatRoute, threeRegions, func(s *simulation) {
		s.store.restoreEmpty()
		s.runPoisonLoad(10*time.Second, 4)
		s.is.Equal(s.instances[0].edge.board.Quarantined.Load().Held(), 1)
		before := s.store.writes
		s.store.restoreEmpty()
		s.is.Equal(s.instances[0].edge.board.Quarantined.Load().Held(), 0)
		clock.Sleep(s.Context(), 5*time.Second)
		s.is.Equal(s.instances[0].edge.board.Quarantined.Load().Held(), 1)
		s.is.True(s.store.writes-before <= crashesAllowed)
		s.restartAll()
		s.runPoisonLoad(20*time.Second, 2)
		s.checkPoison(t)
	})
}

// TestARestartAfterHoursForgetsNoQuarantine guards against a request that is run again because its record
// in the store has lapsed while nobody asked for it.
func TestQuarantineRecordsDoNotExpire(t *testing.T) {
	runSimulation(t, 11, chatRoute, threeRegions, func(s *simulation) {
		s.runPoisonLoad(10*time.Second, 4)
		clock.Sleep(s.Context(), leaseTime+time.Minute)
		s.store.publish()
		s.restartAll()
		s.runPoisonLoad(20*time.Second, 2)
		s.checkPoison(t)
	})
}

// clearAll clears all quarantines, as an operator does.
func (s *simulation) clearAll(operator string) (cleared []quarantine.Fingerprint) {
	for _, record := range s.instances[0].edge.board.Quarantined.Load().Records {
		record.ClearedBy = operator
		value, err := record.Encode()
		s.is.NoErr(err)
		key := "quarantine/" + record.Request.Key()
		_, err = s.store.Swap(s.Context(), map[string]int64{key: record.Revision}, []platform.Put{{Key: key, Value: value}})
		s.is.NoErr(err)
		cleared = append(cleared, record.Request)
	}
	return cleared
}

// holding counts the instances that hold a request as quarantined.
func (s *simulation) holding(request quarantine.Fingerprint) (holding int) {
	for _, i := range s.instances {
		if i.edge.quarantine.Held(request) {
			holding++
		}
	}
	return holding
}

// TestAnOperatorsActIsInForceEverywhere guards against a request that some instances refuse on after an
// operator has cleared it: after a restart of one or of all, and after the store's return from a copy
// of before the act.
func TestQuarantineClearedByAnOperatorStaysCleared(t *testing.T) {
	runSimulation(t, 12, chatRoute, threeRegions, func(s *simulation) {
		s.runPoisonLoad(10*time.Second, 4)
		image := s.store.snapshot()
		cleared := s.clearAll("ops")
		s.is.Equal(len(cleared), 1)
		clock.Sleep(s.Context(), discovery+100*time.Millisecond)
		s.is.Equal(s.holding(cleared[0]), 0)
		s.restart(s.instances[0])
		clock.Sleep(s.Context(), 5*time.Second)
		s.is.Equal(s.holding(cleared[0]), 0) // the others tell it of the ends
		s.store.restore(image)
		clock.Sleep(s.Context(), 10*time.Second)
		s.is.Equal(s.holding(cleared[0]), 0)
		s.is.Equal(s.store.clearedBy(cleared[0]), "ops") // in the copy as well
		s.restartAll()
		clock.Sleep(s.Context(), time.Second)
		s.is.Equal(s.holding(cleared[0]), 0)
	})
}

// TestOnlyAnActClearsAQuarantine guards against a request that is run again because its record is gone from
// the store, whoever has removed it.
func TestDeletedRecordDoesNotClearAQuarantine(t *testing.T) {
	runSimulation(t, 14, chatRoute, threeRegions, func(s *simulation) {
		s.runPoisonLoad(10*time.Second, 4)
		s.store.drop()
		s.runPoisonLoad(2*time.Minute, 4)
		s.is.Equal(s.instances[0].edge.board.Quarantined.Load().Held(), 1) // written again
		s.restartAll()
		s.runPoisonLoad(20*time.Second, 2)
		s.checkPoison(t)
	})
}

// TestARequestThatWasClearedIsQuarantinedAgain guards against one that an operator has cleared in error, and
// that ends any number of engines after that.
func TestClearedRequestCanBeQuarantinedAgain(t *testing.T) {
	runSimulation(t, 13, chatRoute, threeRegions, func(s *simulation) {
		s.runPoisonLoad(10*time.Second, 4)
		s.clearAll("ops")
		clock.Sleep(s.Context(), 15*time.Second)
		before := len(s.crashes)
		s.runPoisonLoad(20*time.Second, 4)
		s.is.True(len(s.crashes)-before >= crashesAllowed && len(s.crashes)-before <= 2*crashesAllowed)
		s.restartAll()
		again := len(s.crashes)
		s.runPoisonLoad(10*time.Second, 4)
		s.is.Equal(len(s.crashes), again)
	})
}
