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
	heardAfter = time.Second
	// reachTime is how long after the third end instances have to know it, and sendsAllowed how often
	// all of them together may send the request after that.
	reachTime    = 5 * time.Second
	sendsAllowed = 3
)

// group is the tables of several instances that hear each other late.
type group struct {
	tables []*quarantine.Table
	// told is what the others have not heard yet.
	told []heardLater
	// apart is the instance that is cut off; -1: none is.
	apart int
}

type heardLater struct {
	at   time.Time
	from int
	seen quarantine.Observation
}

// tell has the others hear what is due. Who is cut off neither tells nor hears.
func (g *group) tell(now time.Time) {
	var later []heardLater
	for _, news := range g.told {
		if now.Before(news.at) || news.from == g.apart || g.apart >= 0 {
			later = append(later, news)
			continue
		}
		for n, table := range g.tables {
			if n != news.from {
				table.Observe(news.seen)
			}
		}
	}
	g.told = later
}

// TestAllInstancesTryAQuarantinedRequestNoMoreThanAllowed guards against a request that ends its
// upstreams and is tried again by each instance for itself whenever its term is over there.
func TestAllInstancesTryAQuarantinedRequestNoMoreThanAllowed(t *testing.T) {
	for _, instances := range []int{7, 60} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tryForHours(t, instances) })
		})
	}
}

// tryForHours asks one of the instances, 25 times in five seconds of each half minute, for the request
// that ends its upstreams, while instances restart, and are cut off for minutes.
func tryForHours(t *testing.T, instances int) {
	random := rand.New(rand.NewPCG(11, uint64(instances)))
	g := &group{apart: -1}
	for range instances {
		g.tables = append(g.tables, quarantine.NewTable(clock.System{}))
	}
	content := request("lethal")
	ends, late := 0, 0
	var third time.Time
	for begun := time.Now(); time.Since(begun) < 6*time.Hour; clock.Sleep(t.Context(), 25*time.Second) {
		for range 25 {
			clock.Sleep(t.Context(), 200*time.Millisecond)
			now := time.Now()
			g.tell(now)
			n := random.IntN(instances)
			if _, refused := g.tables[n].Refuses(content); refused {
				continue
			}
			ends++
			if ends > quarantine.EndsToQuarantine && now.Sub(third) > reachTime {
				late++
			}
			if ends == quarantine.EndsToQuarantine {
				third = now
			}
			seen := quarantine.Observation{Request: content, Ended: quarantine.UpstreamOf(fmt.Sprint(ends))}
			g.tables[n].ObserveLocally(seen)
			g.told = append(g.told, heardLater{at: now.Add(heardAfter), from: n, seen: seen})
		}
		g.disturb(random, content)
	}
	if late > sendsAllowed {
		t.Errorf("%d instances together sent the request %d times later than %v after the third end, allowed %d", instances, late, reachTime, sendsAllowed)
	}
}

// disturb restarts an instance, which reads the store's quarantines at its start, or cuts one off, or
// ends that.
func (g *group) disturb(random *rand.Rand, content quarantine.Fingerprint) {
	n := random.IntN(len(g.tables))
	switch random.IntN(12) {
	case 0:
		held := g.tables[n].Held(content)
		g.tables[n] = quarantine.NewTable(clock.System{})
		if held {
			g.tables[n].Hold(content, 0)
		}
	case 1:
		g.apart = n
	case 2, 3, 4:
		g.apart = -1
	}
	for _, table := range g.tables {
		table.Sweep()
	}
}
