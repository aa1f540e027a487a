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
	// heardAfter is how much later the others hear of what one instance saw.
	reportDelay = time.Second
	// reachTime is how long after the third end instances have to know it, and sendsAllowed how often
	// all of them together may send the request after that.
	propagationTime = 5 * time.Second
	sendsAllowed    = 3
)

// group is the tables of several instances that hear each other late.
type cluster struct {
	tables []*quarantine.Table
	// told is what the others have not heard yet.
	pending []delayedObservation
	// apart is the instance that is cut off; -1: none is.
	partitioned int
}

type delayedObservation struct {
	at   time.Time
	from int
	seen quarantine.Observation
}

// tell has the others hear what is due. Who is cut off neither tells nor hears.
func (g *cluster) deliver(now time.Time) {
	var later []delayedObservation
	for _, delayed := range g.pending {
		if now.Before(delayed.at) || delayed.from == g.partitioned || g.partitioned >= 0 {
			later = append(later, delayed)
			continue
		}
		for n, table := range g.tables {
			if n != delayed.from {
				table.Observe(delayed.seen)
			}
		}
	}
	g.pending = later
}

// TestAllInstancesTryAQuarantinedRequestNoMoreThanAllowed guards against a request that ends its
// upstreams and is tried again by each instance for itself whenever its term is over there.
func TestAllInstancesTogetherRarelySendAQuarantinedRequest(t *testing.T) {
	for _, instances := range []int{7, 60} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runForHours(t, instances) })
		})
	}
}

// tryForHours asks one of the instances, 25 times in five seconds of each half minute, for the request
// that ends its upstreams, while instances restart, and are cut off for minutes.
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
			seen := quarantine.Observation{Request: content, Ended: quarantine.UpstreamOf(fmt.Sprint(crashes))}
			g.tables[n].ObserveLocally(seen)
			g.pending = append(g.pending, delayedObservation{at: now.Add(reportDelay), from: n, seen: seen})
		}
		g.injectFault(random, content)
	}
	if late > sendsAllowed {
		t.Errorf("%d instances together sent the request %d times later than %v after the third end, allowed %d", instances, late, propagationTime, sendsAllowed)
	}
}

// disturb restarts an instance, which reads the store's quarantines at its start, or cuts one off, or
// ends that.
func (g *cluster) injectFault(random *rand.Rand, content quarantine.Fingerprint) {
	n := random.IntN(len(g.tables))
	switch random.IntN(12) {
	case 0:
		held := g.tables[n].Held(content)
		g.tables[n] = quarantine.NewTable(clock.System{})
		if held {
			g.tables[n].Hold(content, 0)
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
