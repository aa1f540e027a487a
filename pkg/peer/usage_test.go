package peer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/quota"
)

// limited is an instance without a network, with a limiter.
type limited struct {
	*Gossip
	limiter  *quota.Limiter
	sequence uint64
}

func newLimited(name, domain, region string, limits map[string]quota.Limit) *limited {
	l := &limited{Gossip: newHub(domain, region), limiter: quota.NewLimiter(clock.System{}, quota.Tolerance{})}
	l.limiter.SetLimits(limits)
	l.options.Self.Name = name
	l.options.Usage = l.limiter
	l.options.Report = func() Report {
		l.sequence++
		return Report{Name: name, Incarnation: 1, Sequence: l.sequence, Ready: true, Used: l.limiter.LocalUsage()}
	}
	return l
}

func (l *limited) balance() float64 { return l.limiter.States()[0].Balance }

// TestUsageIsChargedOnceEverywhere checks that, when an instance of a large domain admits a
// request, its hub, another instance of the domain, the hub of another region and an instance there
// charge the same, however often the sums are sent.
func TestUsageIsChargedOnceEverywhere(t *testing.T) {
	is := is.New(t)
	// The limit refills so slowly that refilling does not matter here.
	limit := quota.Limit{Rate: 1e-3, Burst: 1e6}
	limits := map[string]quota.Limit{"mill": limit}
	user, other := newLimited("north-a-1", "north-a", "north", limits), newLimited("north-a-2", "north-a", "north", limits)
	hub, remoteHub := newLimited("north-a-0", "north-a", "north", limits), newLimited("south-a-0", "south-a", "south", limits)
	remoteMember := newLimited("south-a-1", "south-a", "south", limits)
	hub.receivesAllReports.Store(true)
	remoteHub.receivesAllReports.Store(true)
	round := func() {
		exchange(is, user.Gossip, hub.Gossip, user.sequence+1)
		exchange(is, other.Gossip, hub.Gossip, other.sequence+1)
		exchange(is, remoteHub.Gossip, hub.Gossip, remoteHub.sequence+1)
		exchange(is, remoteMember.Gossip, remoteHub.Gossip, remoteMember.sequence+1)
	}
	round()
	round()
	const used = 1000
	_, err := user.limiter.Admit("mill", limit, used)
	is.NoErr(err)
	for range 5 {
		round()
	}
	for _, l := range []*limited{user, other, hub, remoteHub, remoteMember} {
		got := l.balance()
		if got < -used-1 || got > 1-used {
			t.Errorf("%s has a balance of %.0f after a use of %d", l.options.Self.Name, got, used)
		}
	}
}
