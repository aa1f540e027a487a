package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

func testMesh(name string, epoch uint64, now time.Time) *mesh {
	return newMesh(member.Identity{
		Name: name, Domain: "larisa-hall", Epoch: epoch, Addresses: board.Addresses{Mesh: name + ":8090"},
	}, now)
}

func incarnation(m *mesh, name string, now time.Time) uint64 {
	members, _, _ := m.snapshot(now, nil)
	for i := range members.Instances {
		if members.Instances[i].Name == name {
			return members.Instances[i].Incarnation
		}
	}
	return 0
}

// A reply that was composed before a call of the other direction may arrive after
// it; its older content must be ignored.
func TestReorderedHeartbeatsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	one, two := testMesh("lar-1", 1, now), testMesh("lar-2", 2, now)
	older := one.compose("lar-2", now)
	one.setGateway(77, false, now)
	one.setRevisions(5, 5, now)
	newer := one.compose("lar-2", now)
	is.True(two.receive(&newer, now))
	is.Equal(incarnation(two, "lar-1", now), uint64(77))
	is.True(two.receive(&older, now))
	is.Equal(incarnation(two, "lar-1", now), uint64(77))
	is.Equal(len(two.ahead(4, now)), 1) // the revision does not fall either

	// From here on only changes are sent.
	answer := two.compose("lar-1", now)
	is.True(one.receive(&answer, now))
	is.True(one.compose("lar-2", now).Facts.Identity == nil)
	one.setMark("nurse-1", true)
	again := one.compose("lar-2", now)
	is.Equal(len(again.Facts.Marks), 1)

	// A restarted receiver has nothing and reports that.
	restarted := testMesh("lar-2", 3, now)
	is.True(restarted.receive(&again, now)) // without an identity the sender is not known yet
	answer = restarted.compose("lar-1", now)
	is.True(one.receive(&answer, now))
	whole := one.compose("lar-2", now)
	is.True(whole.Facts.Identity != nil)
	is.True(restarted.receive(&whole, now))
	is.Equal(incarnation(restarted, "lar-1", now), uint64(77))
}

// A peer's new revision is published at once, and not only at the next
// reconciliation.
func TestPeerRevisionChangeIsPublishedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	one, two := testMesh("lar-1", 1, now), testMesh("lar-2", 2, now)
	exchangeBeats(t, one, two, now)
	changes := 0
	two.changed = func() { changes++ }
	exchangeBeats(t, one, two, now)
	is.Equal(changes, 0)
	one.setRevisions(5, 5, now)
	exchangeBeats(t, one, two, now)
	is.Equal(changes, 1)
}

// exchangeBeats delivers a heartbeat from one instance to another, and the reply
// back.
func exchangeBeats(t *testing.T, from, to *mesh, now time.Time) {
	is := is.New(t)
	beat := from.compose(to.self.Name, now)
	is.True(to.receive(&beat, now))
	answer := to.compose(from.self.Name, now)
	is.True(from.receive(&answer, now))
}

func upstreamState(m *mesh, now time.Time) board.UpstreamState {
	_, upstreams, _ := m.snapshot(now, []string{"nurse-1"})
	return upstreams.ByName["nurse-1"].State
}

// A leaving mark from any source overrides a live report until all of its sources have withdrawn
// it.
func TestLeavingMarkOverridesLiveReport(t *testing.T) {
	start := time.Now()
	report := func(state board.UpstreamState) board.UpstreamLoad {
		return board.UpstreamLoad{Name: "nurse-1", State: state, ReportedAt: start}
	}
	line := func(leaving bool) []platform.ListedInstance {
		return []platform.ListedInstance{{Name: "nurse-1", Domain: "larisa-hall", Leaving: leaving}}
	}
	cases := []struct {
		name string
		do   func(one, two *mesh)
		want board.UpstreamState
	}{
		{"its own report", func(one, _ *mesh) { one.setUpstream(report(board.UpstreamLeaving)) }, board.UpstreamLeaving},
		{"silence", func(one, _ *mesh) { one.setUpstream(report(board.UpstreamSilent)) }, board.UpstreamSilent},
		{"the platform's list", func(one, _ *mesh) { one.setList(line(true), start) }, board.UpstreamLeaving},
		{"the list takes it back", func(one, _ *mesh) {
			one.setList(line(true), start)
			one.setList(line(false), start)
		}, board.UpstreamLive},
		{"another instance's gateway", func(one, _ *mesh) { one.setMark("nurse-1", true) }, board.UpstreamLeaving},
		{"a live report after the mark", func(one, two *mesh) {
			one.setMark("nurse-1", true)
			two.setUpstream(report(board.UpstreamLive))
		}, board.UpstreamLeaving},
		{"one of two takes it back", func(one, two *mesh) {
			one.setMark("nurse-1", true)
			two.setMark("nurse-1", true)
			one.setMark("nurse-1", false)
		}, board.UpstreamLeaving},
		{"all take it back", func(one, _ *mesh) {
			one.setMark("nurse-1", true)
			one.setMark("nurse-1", false)
		}, board.UpstreamLive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			one, two := testMesh("lar-1", 1, start), testMesh("lar-2", 2, start)
			one.setUpstream(report(board.UpstreamLive))
			exchangeBeats(t, one, two, start)
			c.do(one, two)
			exchangeBeats(t, one, two, start)
			is.Equal(upstreamState(one, start), c.want)
			is.Equal(upstreamState(two, start), c.want)
		})
	}
}

func TestMarkExpiresAfterItsSourceIsLost(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	one, two := testMesh("lar-1", 1, start), testMesh("lar-2", 2, start)
	two.setUpstream(board.UpstreamLoad{Name: "nurse-1", State: board.UpstreamLive, ReportedAt: start})
	one.setMark("nurse-1", true)
	exchangeBeats(t, one, two, start)
	is.Equal(upstreamState(two, start.Add(MarkTTL)), board.UpstreamLeaving)
	is.Equal(upstreamState(two, start.Add(MarkTTL+1)), board.UpstreamLive)
}

// Reports that a former owner withdrew do not reach an instance that joins later.
func TestFormerOwnerWithdrawsItsReports(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	one, two := testMesh("lar-1", 1, now), testMesh("lar-2", 2, now)
	one.setUpstream(board.UpstreamLoad{Name: "nurse-1", State: board.UpstreamSilent, ReportedAt: now})
	exchangeBeats(t, one, two, now)
	one.withdrawUpstream("nurse-1")
	two.setUpstream(board.UpstreamLoad{Name: "nurse-1", State: board.UpstreamLive, ReportedAt: now})
	exchangeBeats(t, two, one, now)
	joined := testMesh("lar-3", 3, now)
	exchangeBeats(t, two, joined, now)
	exchangeBeats(t, one, joined, now)
	is.Equal(upstreamState(joined, now), board.UpstreamLive)
}

// FuzzBeat checks that no heartbeat makes this instance fail, changes its own
// state, or sets a digest of its own domain.
func FuzzBeat(f *testing.F) {
	f.Add("lar-2", "larisa-hall", uint64(2), uint64(1), uint64(9), "lar-1", true)
	f.Add("lar-1", "larisa-hall", uint64(9), uint64(1), uint64(9), "nurse-1", false)
	f.Add("per-1", "peristeri-hall", uint64(2), uint64(0), uint64(0), "", true)
	f.Fuzz(func(t *testing.T, from, domain string, epoch, sequence, change uint64, name string, flag bool) {
		now := time.Now()
		m := testMesh("lar-1", 1, now)
		beat := control.Beat{
			From: from, Epoch: epoch, Sequence: sequence, UpTo: change, Have: change, HaveEpoch: 1,
			Peers: []member.Peer{{Name: name, Mesh: "x", Epoch: epoch}},
			Facts: control.Facts{
				Identity:  &member.Identity{Name: from, Domain: domain, Epoch: epoch, Leaving: flag},
				Upstreams: []control.UpstreamFact{{Load: board.UpstreamLoad{Name: name}, Age: time.Duration(change)}},
				Marks:     []control.MarkFact{{Upstream: name, Leaving: flag}},
				Digests:   []control.DigestFact{{Digest: board.DomainDigest{Domain: domain}, Reachable: flag}},
				List:      &control.ListFact{Lines: []platform.ListedInstance{{Name: name, Mesh: "x", Domain: domain}}},
			},
		}
		m.receive(&beat, now)
		m.compose(from, now)
		if state := m.state("lar-1", now); state != board.InstanceLive {
			t.Fatalf("this instance became %s", state)
		}
		if _, ok := m.digest("larisa-hall"); ok {
			t.Fatal("a digest of the own domain was accepted")
		}
	})
}

// The gateway that marked an upstream as leaving clears the mark by the upstream's
// own report, which the mark must not hide.
func TestMarkDoesNotHideTheUpstreamsOwnReport(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := testMesh("lar-1", 1, now)
	m.setUpstream(board.UpstreamLoad{Name: "nurse-1", State: board.UpstreamLive, ReportedAt: now})
	m.setMark("nurse-1", true)
	_, upstreams, _ := m.snapshot(now, []string{"nurse-1"})
	is.Equal(upstreams.ByName["nurse-1"].State, board.UpstreamLeaving)
	is.True(upstreams.ByName["nurse-1"].Marked)
	m.setUpstream(board.UpstreamLoad{Name: "nurse-1", State: board.UpstreamLeaving, ReportedAt: now})
	_, upstreams, _ = m.snapshot(now, []string{"nurse-1"})
	is.True(!upstreams.ByName["nurse-1"].Marked) // the upstream reports it itself
}

// Loads identify upstreams by numbers, and the names are sent once. A peer that
// restarted or lost a heartbeat must still resolve them.
func TestNumberedLoadsResolveAfterRestartOrLoss(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	one, two := testMesh("lar-1", 1, now), testMesh("lar-2", 2, now)
	first := board.GatewayLoad{InFlight: map[string]int{"nurse-1": 3, "nurse-2": 1}, Requests: 9}
	second := board.GatewayLoad{InFlight: map[string]int{"nurse-2": 4, "nurse-3": 2}, Requests: 11}
	received := func(by *mesh) board.GatewayLoad {
		members, _, _ := by.snapshot(now, nil)
		return members.Instances[0].Load
	}
	exchangeBeats(t, one, two, now)
	one.setLoad(first, nil)
	exchangeBeats(t, one, two, now)
	is.Equal(received(two), first)
	one.setLoad(second, &first)
	one.compose("lar-2", now) // lost in transit
	exchangeBeats(t, one, two, now)
	is.Equal(received(two), second)
	exchangeBeats(t, one, two, now)
	is.Equal(len(one.own.since(one.link("lar-2").acknowledged).Names), 0) // nothing is sent twice

	restarted := testMesh("lar-2", 3, now)
	exchangeBeats(t, one, restarted, now)
	exchangeBeats(t, one, restarted, now)
	is.Equal(received(restarted), second)
}

// Cached prefixes are published separately from the load, at most once in
// PrefixInterval; a report in between does not remove them.
func TestPrefixesArePublishedAtIntervals(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	one, two := testMesh("lar-1", 1, now), testMesh("lar-2", 2, now)
	report := func(running int, after time.Duration, prefixes ...uint64) {
		load := board.UpstreamLoad{Name: "nurse-1", State: board.UpstreamLive, Running: running, ReportedAt: now.Add(after), Prefixes: prefixes}
		one.setUpstream(load)
		exchangeBeats(t, one, two, now.Add(after))
	}
	received := func() board.UpstreamLoad {
		_, upstreams, _ := two.snapshot(now, []string{"nurse-1"})
		return upstreams.ByName["nurse-1"]
	}
	exchangeBeats(t, one, two, now)
	report(1, 0, 7, 8)
	is.Equal(received().Prefixes, []uint64{7, 8})
	report(2, PrefixInterval/2, 9)
	is.Equal(received().Running, 2)
	is.Equal(received().Prefixes, []uint64{7, 8}) // too soon to be published
	report(2, PrefixInterval, 9)
	is.Equal(received().Prefixes, []uint64{9})
	report(3, 2*PrefixInterval)
	is.Equal(len(received().Prefixes), 0) // the engine has evicted them
}
