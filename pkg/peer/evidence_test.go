package peer

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// evidenceNode is an instance that sends and receives evidence.
type evidenceNode struct {
	*Gossip
	received []quarantine.Observation
}

func newEvidenceNode(name, domain string, incarnation uint64) *evidenceNode {
	w := &evidenceNode{}
	w.Gossip = New(Options{
		Self:     fleet.Instance{Name: name, Domain: domain, Region: "north"},
		Report:   func() Report { return Report{Name: name, Incarnation: incarnation} },
		Evidence: func(observations []quarantine.Observation) { w.received = append(w.received, observations...) },
		Fleet:    &board.Section[fleet.View]{},
		Store:    mirror.New(mirror.Options{Clock: clock.System{}, Log: zerolog.Nop()}),
		Clock:    clock.System{}, Log: zerolog.Nop(),
	})
	w.options.Fleet.Store(&fleet.View{})
	return w
}

// askPeer makes one instance ask another, and returns the number of observations sent. The reply
// may be lost.
func (w *evidenceNode) askPeer(is *is.I, other *evidenceNode, lost bool) (pieces int) {
	dict := w.dictionary()
	ask := w.ask(&other.options.Self, dict)
	reply := &Reply{}
	is.NoErr((&Service{gossip: other.Gossip}).Exchange(ask, reply))
	if !lost {
		w.applyReply(&other.options.Self, reply, dict)
	}
	return len(ask.Evidence) + len(reply.Evidence)
}

func (w *evidenceNode) knows(observation quarantine.Observation) bool {
	return slices.Contains(w.received, observation)
}

func observationOf(n uint64) quarantine.Observation {
	return quarantine.Observation{Request: quarantine.Fingerprint{Low: n, Length: 5}, Ended: quarantine.Upstream(n)}
}

// TestEvidenceReachesAllInstancesThroughHubs guards against an instance that keeps sending a
// request that crashed upstreams elsewhere: a member reports to its hub, the hub to its members
// and other hubs.
func TestEvidenceReachesAllInstancesThroughHubs(t *testing.T) {
	is := is.New(t)
	hub, member, third := newEvidenceNode("a-0", "a", 1), newEvidenceNode("a-1", "a", 2), newEvidenceNode("a-2", "a", 3)
	remoteHub, remoteMember := newEvidenceNode("b-0", "b", 4), newEvidenceNode("b-1", "b", 5)
	member.Observe(observationOf(1))
	member.askPeer(is, hub, false)
	third.askPeer(is, hub, false)
	remoteHub.askPeer(is, hub, false)
	remoteMember.askPeer(is, remoteHub, false)
	for _, w := range []*evidenceNode{hub, third, remoteHub, remoteMember} {
		is.True(w.knows(observationOf(1)))
	}
	// Nothing is sent twice, nor back to its sender.
	is.Equal(member.askPeer(is, hub, false)+third.askPeer(is, hub, false)+remoteHub.askPeer(is, hub, false)+hub.askPeer(is, remoteHub, false), 0)
	is.Equal(len(hub.received), 1)
}

// TestLostEvidenceIsResent guards against observations that are lost with a reply or by the
// restart of an instance.
func TestLostEvidenceIsResent(t *testing.T) {
	is := is.New(t)
	hub, member := newEvidenceNode("a-0", "a", 1), newEvidenceNode("a-1", "a", 2)
	hub.Observe(observationOf(1))
	member.Observe(observationOf(2))
	member.askPeer(is, hub, true)
	is.True(hub.knows(observationOf(2)))
	is.True(!member.knows(observationOf(1)))
	member.askPeer(is, hub, false)
	is.True(member.knows(observationOf(1)))
	is.Equal(len(hub.received), 1)

	hub = newEvidenceNode("a-0", "a", 3)
	member.askPeer(is, hub, false) // reveals the restart
	member.askPeer(is, hub, false)
	is.True(hub.knows(observationOf(2)))

	member = newEvidenceNode("a-1", "a", 4)
	member.askPeer(is, hub, false)
	is.True(member.knows(observationOf(2)))
}

// TestEvidenceIsBounded guards against messages and memory that grow with callers' requests.
func TestEvidenceIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hub, member := newEvidenceNode("a-0", "a", 1), newEvidenceNode("a-1", "a", 2)
		for n := range uint64(10_000) {
			hub.Observe(observationOf(n + 1))
		}
		is.True(len(hub.evidence.pieces) <= maxEvidence)
		is.True(len(hub.evidence.known) <= maxEvidence)
		for range 10 {
			is.True(member.askPeer(is, hub, false) <= maxEvidencePerMessage)
		}
		is.Equal(len(member.received), maxEvidence) // all retained observations, over several messages
		clock.Sleep(t.Context(), evidenceTTL+time.Second)
		hub.Observe(observationOf(20_000))
		is.Equal(len(hub.evidence.pieces), 1)
	})
}

// TestCursorsOfRemovedInstancesAreDropped guards against memory that grows with each instance
// that ever existed.
func TestCursorsOfRemovedInstancesAreDropped(t *testing.T) {
	is := is.New(t)
	hub := newEvidenceNode("a-0", "a", 1)
	for n := range 50 {
		other := newEvidenceNode(fmt.Sprint("a-", n+1), "a", 2)
		hub.askPeer(is, other, false)
	}
	hub.publish()
	is.True(len(hub.evidence.receivedUpTo) <= 2)
}
