package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

const (
	// reportDelay is the delay with which the other instances receive an observation.
	reportDelay = time.Second
	// propagationTime is the time after the third crash within which all instances have to know
	// it. sendsAllowed is the number of times that all of them together may send the request
	// after that.
	propagationTime = 5 * time.Second
	sendsAllowed    = 3
)

// cluster holds the tables of several instances that receive each other's observations late.
type cluster struct {
	tables []*quarantine.Table
	// pending holds observations that the others have not received yet.
	pending []delayedObservation
	// partitioned is the instance without connection to the others; -1 if there is none.
	partitioned int
}

type delayedObservation struct {
	at          time.Time
	from        int
	observation quarantine.Observation
}

// deliver delivers the observations that are due. A partitioned instance neither sends nor
// receives.
func (g *cluster) deliver(now time.Time) {
	var later []delayedObservation
	for _, delayed := range g.pending {
		if now.Before(delayed.at) || delayed.from == g.partitioned || g.partitioned >= 0 {
			later = append(later, delayed)
			continue
		}
		for n, table := range g.tables {
			if n != delayed.from {
				table.Observe(delayed.observation)
			}
		}
	}
	g.pending = later
}

// TestAllInstancesTogetherRarelySendAQuarantinedRequest guards against a poison request that
// each instance tries again on its own after some time.
func TestAllInstancesTogetherRarelySendAQuarantinedRequest(t *testing.T) {
	for _, instances := range []int{7, 60} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runForHours(t, instances) })
		})
	}
}

// runForHours sends the poison request to one of the instances, 25 times in five seconds of each
// half minute, while instances restart and are partitioned for minutes.
func runForHours(t *testing.T, instances int) {
	random := rand.New(rand.NewPCG(11, uint64(instances)))
	g := &cluster{partitioned: -1}
	for range instances {
		g.tables = append(g.tables, quarantine.NewTable(clock.System{}))
	}
	content := request("lethal")
	crashes, late := 0, 0
	var thirdCrash time.Time
	for started := time.Now(); time.Since(started) < 6*time.Hour; clock.Sleep(t.Context(), 25*time.Second) {
		for range 25 {
			clock.Sleep(t.Context(), 200*time.Millisecond)
			now := time.Now()
			g.deliver(now)
			n := random.IntN(instances)
			if _, refused := g.tables[n].Refuses(content); refused {
				continue
			}
			crashes++
			if crashes > quarantine.CrashesToQuarantine && now.Sub(thirdCrash) > propagationTime {
				late++
			}
			if crashes == quarantine.CrashesToQuarantine {
				thirdCrash = now
			}
			observation := quarantine.Observation{Request: content, Ended: quarantine.UpstreamOf(fmt.Sprint(crashes))}
			g.tables[n].ObserveLocally(observation)
			g.pending = append(g.pending, delayedObservation{at: now.Add(reportDelay), from: n, observation: observation})
		}
		g.injectFault(random, content)
	}
	if late > sendsAllowed {
		t.Errorf("%d instances together sent the request %d times later than %v after the third crash, allowed %d", instances, late, propagationTime, sendsAllowed)
	}
}

// injectFault restarts an instance, which reads the store's quarantines at its start, or starts
// or ends a partition.
func (g *cluster) injectFault(random *rand.Rand, content quarantine.Fingerprint) {
	n := random.IntN(len(g.tables))
	switch random.IntN(12) {
	case 0:
		held := g.tables[n].IsQuarantined(content)
		g.tables[n] = quarantine.NewTable(clock.System{})
		if held {
			g.tables[n].Quarantine(content, 0)
		}
	case 1:
		g.partitioned = n
	case 2, 3, 4:
		g.partitioned = -1
	}
	for _, table := range g.tables {
		table.Sweep()
	}
}
