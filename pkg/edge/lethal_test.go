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
	endsBorne = 3
	reachTime = 5 * time.Second
)

// question is a stream that may not be resumed.
var question = httproute.Route{Kind: httproute.Streaming, Timeout: 4 * time.Second, TargetLatency: time.Second, MaxAttempts: 1}

// sendsAfterBorne counts how often a body was sent later than the instances had to know it.
func (w *world) sendsAfterBorne(body string) int {
	w.mu.Lock()
	borne := len(w.ends) >= endsBorne
	w.mu.Unlock()
	if !borne {
		return 0
	}
	return len(w.sent(body, w.ends[endsBorne-1].Add(reachTime)))
}

// play asks 20 innocent questions a second, each of its own, and with every so many of them
// the request that ends its engines, until a time has passed and all are answered.
func (w *world) play(length time.Duration, lethalEvery int) {
	n := 0
	w.every(50*time.Millisecond, length, func() {
		n++
		w.ask(fmt.Sprintf("innocent %d of %s", n, time.Now()))
		if n%lethalEvery == 0 {
			w.ask(lethal)
		}
	})
	w.running.Wait()
}

// checkLethal judges what became of the request that ends its engines, and of the innocent.
func (w *world) checkLethal(t *testing.T) {
	t.Helper()
	if sends := w.sendsAfterBorne(lethal); sends > endsBorne {
		t.Errorf("sent %d times later than %v after the third end; %d engines ended", sends, reachTime, len(w.ends))
	}
	if refused := w.refusedInnocents(); refused > 0 {
		t.Errorf("%d innocent requests quarantined", refused)
	}
	asked, unserved := w.innocents()
	t.Logf("%d engines ended; %d of %d innocent requests not served", len(w.ends), unserved, asked)
}

// innocents counts the innocent requests, and those that were not served.
func (w *world) innocents() (asked, unserved int) {
	for _, told := range w.answers {
		if strings.HasPrefix(told.body, lethal) {
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
func (w *world) refusedInnocents() int {
	refused := 0
	for _, told := range w.answers {
		if told.reason == string(outcome.ReasonQuarantined) && !strings.HasPrefix(told.body, lethal) {
			refused++
		}
	}
	return refused
}

// TestARequestThatEndsItsUpstreamsIsNotSentAgain guards against a request that ends each
// engine that runs it, and comes again at any instance under a new ID: it went on to end all
// engines of the regions that may process it, one after the other.
func TestARequestThatEndsItsUpstreamsIsNotSentAgain(t *testing.T) {
	inWorld(t, 1, question, threeRegions, func(w *world) {
		w.play(30*time.Second, 8)
		w.checkLethal(t)
	})
}

// TestNoDeploymentSendsALethalRequestAgain guards against the same in deployments and under
// loads in which news travels other ways, or comes too late for what is sent at once.
func TestNoDeploymentSendsALethalRequestAgain(t *testing.T) {
	repeated := httproute.Route{Kind: httproute.Safe, Timeout: 4 * time.Second, TargetLatency: time.Second, MaxAttempts: 4}
	resumed := httproute.Route{Kind: httproute.Streaming, Resumable: true, Timeout: 4 * time.Second, TargetLatency: time.Second, MaxAttempts: 3}
	bound := question
	bound.Homes = []string{"north"}
	for name, c := range map[string]struct {
		route   httproute.Route
		regions []worldRegion
	}{
		"it may be repeated":             {repeated, threeRegions},
		"it may be resumed":              {resumed, threeRegions},
		"it is bound to a region":        {bound, threeRegions},
		"the region learns through hubs": {question, []worldRegion{{"north", 14, 9}, {"south", 8, 6}}},
		"one instance serves all":        {question, []worldRegion{{"north", 1, 5}}},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 2, c.route, c.regions, func(w *world) {
				w.play(15*time.Second, 3)
				w.checkLethal(t)
			})
		})
	}
}

// TestManyLethalRequestsAtOnceEndTheirEnginesOnce guards against what comes after: a burst is
// at work on all engines before anybody has seen one end.
func TestManyLethalRequestsAtOnceEndTheirEnginesOnce(t *testing.T) {
	inWorld(t, 3, question, threeRegions, func(w *world) {
		for range 40 {
			w.ask(lethal)
		}
		w.play(20*time.Second, 4)
		w.checkLethal(t)
		w.is.True(len(w.ends) <= 12) // each engine once at most
	})
}

// TestTheLargestLethalBodyIsKnownAgain guards against a fingerprint of a part of the body, or
// of how it came: callers send it in chunks.
func TestTheLargestLethalBodyIsKnownAgain(t *testing.T) {
	inWorld(t, 4, question, threeRegions, func(w *world) {
		body := lethal + strings.Repeat("x", 4<<20-len(lethal))
		w.every(300*time.Millisecond, 12*time.Second, func() {
			w.ask(body)
			w.ask(body[:len(body)-1] + "y")
		})
		w.running.Wait()
		w.is.True(w.sendsAfterBorne(body) <= endsBorne)
		w.is.True(len(w.ends) >= 2*endsBorne) // two requests, each known by its own ends
	})
}

// TestARestartedInstanceLearnsWhichRequestsAreQuarantined guards against an instance that
// begins anew, knows nothing and sends the request on.
func TestARestartedInstanceLearnsWhichRequestsAreQuarantined(t *testing.T) {
	inWorld(t, 5, question, threeRegions, func(w *world) {
		w.play(10*time.Second, 4)
		for _, i := range w.instances {
			w.restart(i)
			w.play(2*time.Second, 4)
		}
		w.checkLethal(t)
	})
}

// TestAnInstanceThatWasCutOffLearnsWhatIsQuarantined guards against one that knows only what it
// saw itself, and sends the request on once it is back.
func TestAnInstanceThatWasCutOffLearnsWhatIsQuarantined(t *testing.T) {
	inWorld(t, 10, question, threeRegions, func(w *world) {
		apart := w.instances[0]
		w.fabric.setApart(apart.Name, true)
		clock.Sleep(w.Context(), 4*time.Second)
		w.play(10*time.Second, 4)
		w.fabric.setApart(apart.Name, false)
		clock.Sleep(w.Context(), reachTime)
		healed := time.Now()
		w.play(10*time.Second, 2)
		w.is.True(len(w.ends) <= 3*endsBorne) // by those together, by the one alone, and under way
		w.is.Equal(len(w.sent(lethal, healed)), 0)
	})
}

// TestACommonRequestIsNotQuarantinedForEndsOfOthers guards against refusing what many callers
// ask in the same words because it is always at work somewhere when an upstream ends.
func TestACommonRequestIsNotQuarantinedForEndsOfOthers(t *testing.T) {
	inWorld(t, 6, question, threeRegions, func(w *world) {
		n := 0
		w.every(25*time.Millisecond, 20*time.Second, func() {
			n++
			w.ask("common")
			if n%40 == 0 {
				w.ask(fmt.Sprintf("%s %d", lethal, n))
			}
		})
		w.running.Wait()
		w.is.True(len(w.ends) > 10)
		w.is.Equal(w.refusedInnocents(), 0)
	})
}

// TestARestartOfAllInstancesForgetsNoQuarantine guards against a request that is run again
// three times over after an upgrade or a loss of power, as no instance is left that knew it.
func TestARestartOfAllInstancesForgetsNoQuarantine(t *testing.T) {
	inWorld(t, 7, question, threeRegions, func(w *world) {
		w.play(10*time.Second, 4)
		w.restartAll()
		w.play(20*time.Second, 2)
		w.checkLethal(t)
	})
}

// TestAQuarantineIsWrittenOnceTheStoreIsBack guards against one that is lost because the store
// was away for some seconds, and against hundreds of instances that all write it.
func TestAQuarantineIsWrittenOnceTheStoreIsBack(t *testing.T) {
	inWorld(t, 8, question, threeRegions, func(w *world) {
		w.store.setAway(true)
		w.play(6*time.Second, 4)
		w.is.Equal(w.store.writes, 0)
		w.store.setAway(false)
		w.play(15*time.Second, 4)
		w.is.True(w.store.writes >= 1 && w.store.writes <= endsBorne)
	})
}

// TestAClearedQuarantineIsTakenBack guards against a request that stays refused in the store
// after it has run to a good end.
func TestAClearedQuarantineIsTakenBack(t *testing.T) {
	inWorld(t, 9, question, threeRegions, func(w *world) {
		w.play(10*time.Second, 4)
		edge := w.instances[0].edge
		stored := edge.board.Quarantined.Load()
		w.is.Equal(stored.Held(), 1)
		request := stored.Records[0].Request
		edge.recordObservation(quarantine.Observation{Request: request})
		clock.Sleep(w.Context(), 5*time.Second)
		w.is.Equal(edge.board.Quarantined.Load().Held(), 0)
		for _, i := range w.instances {
			w.is.True(!i.edge.quarantine.Held(request))
		}
	})
}

// TestAQuarantineIsWrittenAgainAfterTheStoreForgotIt guards against a request that is run again after
// a restart of all instances, since the store has come back from a copy of before its quarantine;
// and against hundreds of instances that all write it.
func TestAQuarantineIsWrittenAgainAfterTheStoreForgotIt(t *testing.T) {
	inWorld(t, 10, question, threeRegions, func(w *world) {
		w.store.comeBack()
		w.play(10*time.Second, 4)
		w.is.Equal(w.instances[0].edge.board.Quarantined.Load().Held(), 1)
		before := w.store.writes
		w.store.comeBack()
		w.is.Equal(w.instances[0].edge.board.Quarantined.Load().Held(), 0)
		clock.Sleep(w.Context(), 5*time.Second)
		w.is.Equal(w.instances[0].edge.board.Quarantined.Load().Held(), 1)
		w.is.True(w.store.writes-before <= endsBorne)
		w.restartAll()
		w.play(20*time.Second, 2)
		w.checkLethal(t)
	})
}

// TestARestartAfterHoursForgetsNoQuarantine guards against a request that is run again because its record
// in the store has lapsed while nobody asked for it.
func TestARestartAfterHoursForgetsNoQuarantine(t *testing.T) {
	inWorld(t, 11, question, threeRegions, func(w *world) {
		w.play(10*time.Second, 4)
		clock.Sleep(w.Context(), leaseTime+time.Minute)
		w.store.publish()
		w.restartAll()
		w.play(20*time.Second, 2)
		w.checkLethal(t)
	})
}

// clearAll clears all quarantines, as an operator does.
func (w *world) clearAll(operator string) (cleared []quarantine.Fingerprint) {
	for _, record := range w.instances[0].edge.board.Quarantined.Load().Records {
		record.ClearedBy = operator
		value, err := record.Encode()
		w.is.NoErr(err)
		key := "quarantine/" + record.Request.Key()
		_, err = w.store.Swap(w.Context(), map[string]int64{key: record.Revision}, []platform.Put{{Key: key, Value: value}})
		w.is.NoErr(err)
		cleared = append(cleared, record.Request)
	}
	return cleared
}

// holding counts the instances that hold a request as quarantined.
func (w *world) holding(request quarantine.Fingerprint) (holding int) {
	for _, i := range w.instances {
		if i.edge.quarantine.Held(request) {
			holding++
		}
	}
	return holding
}

// TestAnOperatorsActIsInForceEverywhere guards against a request that some instances refuse on after an
// operator has cleared it: after a restart of one or of all, and after the store's return from a copy
// of before the act.
func TestAnOperatorsActIsInForceEverywhere(t *testing.T) {
	inWorld(t, 12, question, threeRegions, func(w *world) {
		w.play(10*time.Second, 4)
		image := w.store.image()
		cleared := w.clearAll("ops")
		w.is.Equal(len(cleared), 1)
		clock.Sleep(w.Context(), discovery+100*time.Millisecond)
		w.is.Equal(w.holding(cleared[0]), 0)
		w.restart(w.instances[0])
		clock.Sleep(w.Context(), 5*time.Second)
		w.is.Equal(w.holding(cleared[0]), 0) // the others tell it of the ends
		w.store.comeBackWith(image)
		clock.Sleep(w.Context(), 10*time.Second)
		w.is.Equal(w.holding(cleared[0]), 0)
		w.is.Equal(w.store.clearedBy(cleared[0]), "ops") // in the copy as well
		w.restartAll()
		clock.Sleep(w.Context(), time.Second)
		w.is.Equal(w.holding(cleared[0]), 0)
	})
}

// TestOnlyAnActClearsAQuarantine guards against a request that is run again because its record is gone from
// the store, whoever has removed it.
func TestOnlyAnActClearsAQuarantine(t *testing.T) {
	inWorld(t, 14, question, threeRegions, func(w *world) {
		w.play(10*time.Second, 4)
		w.store.drop()
		w.play(2*time.Minute, 4)
		w.is.Equal(w.instances[0].edge.board.Quarantined.Load().Held(), 1) // written again
		w.restartAll()
		w.play(20*time.Second, 2)
		w.checkLethal(t)
	})
}

// TestARequestThatWasClearedIsQuarantinedAgain guards against one that an operator has cleared in error, and
// that ends any number of engines after that.
func TestARequestThatWasClearedIsQuarantinedAgain(t *testing.T) {
	inWorld(t, 13, question, threeRegions, func(w *world) {
		w.play(10*time.Second, 4)
		w.clearAll("ops")
		clock.Sleep(w.Context(), 15*time.Second)
		before := len(w.ends)
		w.play(20*time.Second, 4)
		w.is.True(len(w.ends)-before >= endsBorne && len(w.ends)-before <= 2*endsBorne)
		w.restartAll()
		again := len(w.ends)
		w.play(10*time.Second, 4)
		w.is.Equal(len(w.ends), again)
	})
}
