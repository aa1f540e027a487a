package peer

import (
	"encoding/gob"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// TestColumnsOmitIDsWhenUpstreamListsMatch also covers loads at upstreams that have left the
// list while requests run there.
func TestColumnsOmitIDsWhenUpstreamListsMatch(t *testing.T) {
	is := is.New(t)
	loads := sampleLoads(30, sampleUpstream)
	hub, member := newHub("north-a", "region"), newHub("north-a", "region")
	member.options.Self.Name = "north-a-member"
	hub.options.Report = func() Report { return Report{Name: "north-a-self", Incarnation: 1, Upstreams: loads} }
	hub.options.Fleet.Store(sampleFleet(24))
	member.options.Fleet.Store(sampleFleet(24))

	reply := exchange(is, member, hub, 1)
	is.Equal(len(reply.Sums), 6)
	is.Equal(len(reply.Columns.InFlight), 24)
	is.Equal(member.sums.value, loads)

	member.options.Fleet.Store(sampleFleet(23))
	reply = exchange(is, member, hub, 2)
	is.Equal(reply.Columns, Columns{})
	is.Equal(reply.Sums, loads)
}

func TestColumnsWithoutValuesAreOmitted(t *testing.T) {
	is := is.New(t)
	l := newDictionary(sampleFleet(3), "region")
	c, rest := l.columns([]Load{{Name: l.ids[1], InFlight: 2}})
	is.Equal(c, Columns{Dictionary: l.fingerprint, InFlight: []int{0, 2, 0}})
	is.Equal(len(rest), 0)
	loads, err := l.loads(&c)
	is.NoErr(err)
	is.Equal(loads, []Load{{Name: l.ids[1], InFlight: 2}})
}

func TestDictionaryHoldsOneRegion(t *testing.T) {
	is := is.New(t)
	view := sampleFleet(2)
	view.Upstreams = append(view.Upstreams, fleet.Upstream{ID: "z", Region: "other"})
	is.Equal(newDictionary(view, "region").ids, newDictionary(sampleFleet(2), "region").ids)
	is.Equal(newDictionary(view, "other").ids, []string{"z"})
	is.Equal(newDictionary(view, "nowhere").fingerprint, uint64(0))
}

// TestMismatchedColumnsAreRejected also checks that the sums received before stay valid.
func TestMismatchedColumnsAreRejected(t *testing.T) {
	is := is.New(t)
	l := newDictionary(sampleFleet(3), "region")
	var wrong *DictionaryError
	_, err := l.loads(&Columns{Dictionary: l.fingerprint, Silent: []int{1}})
	is.True(errors.As(err, &wrong))
	_, err = l.loads(&Columns{Dictionary: l.fingerprint + 1})
	is.True(errors.As(err, &wrong))

	g := newHub("north-a", "region")
	g.sums = &received[[]Load]{value: sampleLoads(1, sampleUpstream)}
	g.applyReply(&fleet.Instance{}, &Reply{Summed: true, Columns: Columns{Dictionary: 7, InFlight: []int{1}}}, l)
	is.Equal(g.sums.value, sampleLoads(1, sampleUpstream))
}

// TestReplySizePerUpstreamIsBounded guards against large replies: 1,000 upstreams in 14 regions
// are 71 in one, and an instance receives their loads ten times a second.
func TestReplySizePerUpstreamIsBounded(t *testing.T) {
	is := is.New(t)
	replySize := func(upstreams int) int {
		hub := newSampleHub(sample{9, 2, 38, upstreams})
		sink := &counter{}
		encoder := gob.NewEncoder(sink)
		is.NoErr(encoder.Encode(hub.nextReply()))
		sink.n = 0
		is.NoErr(encoder.Encode(hub.nextReply()))
		return sink.n
	}
	few, many := replySize(24), replySize(71)
	t.Logf("%d bytes with 24 upstreams, %d with 71", few, many)
	is.True(many-few <= 8*(71-24))
}

func TestAsksToOtherDomainsOmitLoads(t *testing.T) {
	is := is.New(t)
	g := newHub("north-a", "north")
	report := sampleReport(0)
	g.options.Report = func() Report { return report }
	sameDomain := g.ask(&fleet.Instance{Name: "n", Domain: "north-a"}, g.dictionary())
	is.True(slices.Equal(sameDomain.Report.Upstreams, report.Upstreams))
	is.True(slices.Equal(sameDomain.Report.Placed, report.Placed))
	otherDomain := g.ask(&fleet.Instance{Name: "s", Domain: "south-a"}, g.dictionary())
	is.Equal(len(otherDomain.Report.Upstreams)+len(otherDomain.Report.Placed), 0)
	is.Equal(otherDomain.Report.Name, report.Name)
}

// TestHubCachesTotalsBetweenAsks also checks that each reply excludes the asking instance's own
// load.
func TestHubCachesTotalsBetweenAsks(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	hub := newHub("north-a", "north")
	hub.options.Clock = clock.Func(func() time.Time { return now })
	made := 0
	hub.options.Report = func() Report {
		made++
		return Report{Name: "north-a-self", Incarnation: 1, Upstreams: []Load{{Name: "u-1", InFlight: 1}}}
	}
	ask := func(i int) []Load {
		reply := &Reply{}
		report := Report{Name: fmt.Sprint("n-", i), Incarnation: 1, Sequence: uint64(made + 1), Upstreams: []Load{{Name: fmt.Sprint("u-", i%2), InFlight: 10, Prefill: i, Silent: 1}}}
		is.NoErr((&Service{gossip: hub}).Exchange(Ask{Domain: "north-a", Region: "north", Report: report, Sums: true}, reply))
		return reply.Sums
	}
	for i := range 50 {
		ask(i)
	}
	now = now.Add(roundInterval)
	before := made
	for i := range 50 {
		ask(i)
	}
	is.Equal(made, before+1)
	is.Equal(ask(0), []Load{{Name: "u-0", InFlight: 240, Prefill: 24 * 25, Silent: 24}, {Name: "u-1", InFlight: 251, Prefill: 25 * 25, Silent: 25}})
	now = now.Add(totalsTTL)
	ask(0)
	is.Equal(made, before+2)
}

func TestTotalsExcludeTheAskingInstance(t *testing.T) {
	is := is.New(t)
	load := Load{Name: "u", InFlight: 3, Prefill: 100, Flowing: 2, Silent: 1}
	all := totals{sums: []Load{load}, byInstance: map[string][]Load{"n": {load}}}
	is.Equal(len(all.without("n")), 0)
	is.Equal(all.without("m"), []Load{load})
	is.Equal(all.sums, []Load{load})
}
