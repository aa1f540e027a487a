package peer

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/mirror"
)

// newHub is an instance without network.
func newHub(domain, region string) *Gossip {
	self := fleet.Instance{Name: domain + "-self", Domain: domain, Region: region, Incarnation: 1}
	g := New(Options{
		Self:   self,
		Report: func() Report { return Report{Name: self.Name, Incarnation: 1, Ready: true} },
		Fleet:  &board.Section[fleet.View]{},
		Store:  mirror.New(mirror.Options{Clock: clock.System{}, Log: zerolog.Nop()}),
		Clock:  clock.System{},
		Log:    zerolog.Nop(),
	})
	g.options.Fleet.Store(&fleet.View{})
	return g
}

// exchange has one instance report to another, and learn from it.
func exchange(is *is.I, from, to *Gossip, sequence uint64) *Reply {
	report := from.options.Report()
	report.Sequence = sequence
	reply := &Reply{}
	ask := Ask{Domain: from.options.Self.Domain, Region: from.options.Self.Region, Report: report, Sums: true, Rosters: from.rosters(), Dictionary: from.dictionary().fingerprint}
	is.NoErr((&Service{gossip: to}).Exchange(ask, reply))
	from.applyReply(&fleet.Instance{}, reply, from.dictionary())
	return reply
}

// TestWhatAnInstanceIsToldDoesNotGrowWithItsDomain: hundreds of instances, most of them
// behind 20 Mbit/s, learn of each other through their domains' hubs. In a quiet round only
// the work at engines is told, whose number does not depend on theirs.
func TestReplySizeDoesNotGrowWithTheDomain(t *testing.T) {
	is := is.New(t)
	told := func(instances int) int {
		hub := newSampleHub(sample{instances, 1, 4, 24})
		sink := &counter{}
		encoder := gob.NewEncoder(sink)
		is.NoErr(encoder.Encode(hub.nextReply()))
		sink.n = 0
		reply := hub.nextReply()
		reply.Placed = nil
		is.NoErr(encoder.Encode(reply))
		return sink.n
	}
	few, many := told(10), told(80)
	t.Logf("%d bytes in a domain of 10, %d in one of 80", few, many)
	is.True(10*many < 11*few)
	// A hub tells 80 others ten times a second: less than half of its link.
	is.True(80*10*many < 20_000_000/8/2)
}

// TestARosterIsToldWhenItChanges.
func TestRosterIsSentOnlyWhenItChanges(t *testing.T) {
	is := is.New(t)
	hub, member := newHub("north-a", "north"), newHub("north-a", "north")
	member.options.Self.Name = "north-a-member"
	member.options.Report = func() Report { return Report{Name: "north-a-member", Incarnation: 1, Ready: true} }
	now := hub.options.Clock.Now()
	for i := range 10 {
		hub.applyReport(Report{Name: fmt.Sprint("n-", i), Incarnation: 1, Sequence: 1, Ready: true}, now)
	}
	is.Equal(len(exchange(is, member, hub, 1).Digests[0].Marks), 12)
	// The member's own mark is in it now.
	is.Equal(len(exchange(is, member, hub, 2).Digests[0].Marks), 0)
	is.True(member.reports["n-3"].value.Ready)
	hub.applyReport(Report{Name: "n-3", Incarnation: 1, Sequence: 2, Ready: true, Leaving: true}, now)
	is.Equal(len(exchange(is, member, hub, 3).Digests[0].Marks), 12)
	is.True(member.reports["n-3"].value.Leaving)
	is.Equal(len(exchange(is, member, hub, 4).Digests[0].Marks), 0)
	// A mark from before never takes back what an instance said itself.
	member.reports["n-5"].value.Leaving = true
	exchange(is, member, hub, 5)
	is.True(member.reports["n-5"].value.Leaving)
}

// TestASilentInstanceIsNotHeldForLiveByItsRoster: a member counts an instance as gone
// soon after its hub stops hearing it, though nothing was told of it.
func TestRosterDoesNotKeepASilentInstanceLive(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	hub, member := newHub("north-a", "north"), newHub("north-a", "north")
	member.options.Self.Name = "north-a-member"
	for _, g := range []*Gossip{hub, member} {
		g.options.Clock = clock.Func(func() time.Time { return now })
	}
	died := now
	hub.applyReport(Report{Name: "n-1", Incarnation: 1, Sequence: 1, Ready: true}, now)
	sequence := uint64(0)
	for now.Sub(died) < 4*time.Second {
		sequence++
		exchange(is, member, hub, sequence)
		live := now.Sub(member.reports["n-1"].at) <= SilentAfter
		if now.Sub(died) > SilentAfter+quietAfter+2*roundInterval {
			is.True(!live)
		}
		if now.Sub(died) < SilentAfter-2*roundInterval {
			is.True(live)
		}
		now = now.Add(roundInterval)
	}
}
