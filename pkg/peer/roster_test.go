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

// newHub returns an instance without a network.
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

// exchange makes one instance report to another and apply the reply.
func exchange(is *is.I, from, to *Gossip, sequence uint64) *Reply {
	report := from.options.Report()
	report.Sequence = sequence
	reply := &Reply{}
	ask := Ask{Domain: from.options.Self.Domain, Region: from.options.Self.Region, Report: report, Sums: true, Rosters: from.rosters(), Dictionary: from.dictionary().fingerprint}
	is.NoErr((&Service{gossip: to}).Exchange(ask, reply))
	from.applyReply(&fleet.Instance{}, reply, from.dictionary())
	return reply
}

// TestReplySizeDoesNotGrowWithTheDomain guards against full links. Hundreds of instances, most of
// them behind 20 Mbit/s, learn of each other through their domains' hubs. Without changes a reply
// holds only the loads at engines, which are as many in a small domain as in a large one.
func TestReplySizeDoesNotGrowWithTheDomain(t *testing.T) {
	is := is.New(t)
	replySize := func(instances int) int {
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
	few, many := replySize(10), replySize(80)
	t.Logf("%d bytes in a domain of 10, %d in one of 80", few, many)
	is.True(10*many < 11*few)
	// A hub replies to 80 others ten times a second: less than half of its link.
	is.True(80*10*many < 20_000_000/8/2)
}

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
	// The roster contains the member's own mark now.
	is.Equal(len(exchange(is, member, hub, 2).Digests[0].Marks), 0)
	is.True(member.reports["n-3"].value.Ready)
	hub.applyReport(Report{Name: "n-3", Incarnation: 1, Sequence: 2, Ready: true, Leaving: true}, now)
	is.Equal(len(exchange(is, member, hub, 3).Digests[0].Marks), 12)
	is.True(member.reports["n-3"].value.Leaving)
	is.Equal(len(exchange(is, member, hub, 4).Digests[0].Marks), 0)
	// An older mark never reverts what an instance reported itself.
	member.reports["n-5"].value.Leaving = true
	exchange(is, member, hub, 5)
	is.True(member.reports["n-5"].value.Leaving)
}

// TestRosterDoesNotKeepASilentInstanceLive checks that a member considers an instance unreachable
// soon after its hub does, though the roster was not sent again.
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

// TestRestartedInstanceWithAnEarlierClockIsHeard guards against an instance that counts as unreachable for half a
// minute after a restart, since the time of day was ahead when its former process started.
func TestRestartedInstanceWithAnEarlierClockIsHeard(t *testing.T) {
	is := is.New(t)
	g, now := newHub("north-a", "north"), time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyReport(Report{Name: "north-a-1", Incarnation: 9, Sequence: 70}, now)
	g.applyReport(Report{Name: "north-a-1", Incarnation: 5, Sequence: 1}, now.Add(time.Second))
	is.Equal(g.reports["north-a-1"].value.Incarnation, uint64(9)) // it may be late
	g.applyReport(Report{Name: "north-a-1", Incarnation: 5, Sequence: 2}, now.Add(SilentAfter+time.Second))
	is.Equal(g.reports["north-a-1"].value.Incarnation, uint64(5))
	g.applyReport(Report{Name: "north-a-2", Incarnation: 9, Sequence: 70}, now)
	g.applyMark(Mark{Name: "north-a-2", Incarnation: 5}, now.Add(time.Second))
	is.Equal(g.reports["north-a-2"].value.Incarnation, uint64(9))
	g.applyMark(Mark{Name: "north-a-2", Incarnation: 5}, now.Add(SilentAfter+time.Second))
	is.Equal(g.reports["north-a-2"].value.Incarnation, uint64(5))
}
