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

// witness is an instance that tells evidence and learns it.
type witness struct {
	*Gossip
	learned []quarantine.Observation
}

func newWitness(name, domain string, incarnation uint64) *witness {
	w := &witness{}
	w.Gossip = New(Options{
		Self:     fleet.Instance{Name: name, Domain: domain, Region: "north"},
		Report:   func() Report { return Report{Name: name, Incarnation: incarnation} },
		Evidence: func(seen []quarantine.Observation) { w.learned = append(w.learned, seen...) },
		Fleet:    &board.Section[fleet.View]{},
		Store:    mirror.New(mirror.Options{Clock: clock.System{}, Log: zerolog.Nop()}),
		Clock:    clock.System{}, Log: zerolog.Nop(),
	})
	w.options.Fleet.Store(&fleet.View{})
	return w
}

// asks has one instance ask another, and returns how many pieces were told; the reply may be
// lost.
func (w *witness) asks(is *is.I, other *witness, lost bool) (told int) {
	dict := w.dictionary()
	ask := w.ask(&other.options.Self, dict)
	reply := &Reply{}
	is.NoErr((&Service{gossip: other.Gossip}).Exchange(ask, reply))
	if !lost {
		w.take(&other.options.Self, reply, dict)
	}
	return len(ask.Evidence) + len(reply.Evidence)
}

func (w *witness) knows(seen quarantine.Observation) bool {
	return slices.Contains(w.learned, seen)
}

func seen(n uint64) quarantine.Observation {
	return quarantine.Observation{Request: quarantine.Fingerprint{Low: n, Length: 5}, Ended: quarantine.Upstream(n)}
}

// TestEvidenceReachesAllThroughHubs guards against an instance that goes on sending what others
// have seen end upstreams: a member tells its hub, the hub its members and other hubs.
func TestEvidenceReachesAllThroughHubs(t *testing.T) {
	is := is.New(t)
	hub, member, third := newWitness("a-0", "a", 1), newWitness("a-1", "a", 2), newWitness("a-2", "a", 3)
	far, farMember := newWitness("b-0", "b", 4), newWitness("b-1", "b", 5)
	member.Observe(seen(1))
	member.asks(is, hub, false)
	third.asks(is, hub, false)
	far.asks(is, hub, false)
	farMember.asks(is, far, false)
	for _, w := range []*witness{hub, third, far, farMember} {
		is.True(w.knows(seen(1)))
	}
	// Nothing is told twice, nor back to where it came from.
	is.Equal(member.asks(is, hub, false)+third.asks(is, hub, false)+far.asks(is, hub, false)+hub.asks(is, far, false), 0)
	is.Equal(len(hub.learned), 1)
}

// TestLostEvidenceIsToldAgain guards against a piece that is lost with a reply, or that an
// instance forgot when it began anew.
func TestLostEvidenceIsToldAgain(t *testing.T) {
	is := is.New(t)
	hub, member := newWitness("a-0", "a", 1), newWitness("a-1", "a", 2)
	hub.Observe(seen(1))
	member.Observe(seen(2))
	member.asks(is, hub, true)
	is.True(hub.knows(seen(2)))
	is.True(!member.knows(seen(1)))
	member.asks(is, hub, false)
	is.True(member.knows(seen(1)))
	is.Equal(len(hub.learned), 1)

	hub = newWitness("a-0", "a", 3)
	member.asks(is, hub, false) // shows that it began anew
	member.asks(is, hub, false)
	is.True(hub.knows(seen(2)))

	member = newWitness("a-1", "a", 4)
	member.asks(is, hub, false)
	is.True(member.knows(seen(2)))
}

// TestEvidenceIsBounded guards against messages and memory that grow with what callers send.
func TestEvidenceIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hub, member := newWitness("a-0", "a", 1), newWitness("a-1", "a", 2)
		for n := range uint64(10_000) {
			hub.Observe(seen(n + 1))
		}
		is.True(len(hub.evidence.pieces) <= mostEvidence)
		is.True(len(hub.evidence.known) <= mostEvidence)
		for range 10 {
			is.True(member.asks(is, hub, false) <= mostTold)
		}
		is.Equal(len(member.learned), mostEvidence) // all that was kept, over several messages
		clock.Sleep(t.Context(), evidenceFor+time.Second)
		hub.Observe(seen(20_000))
		is.Equal(len(hub.evidence.pieces), 1)
	})
}

// TestPlacesOfInstancesThatAreGoneAreForgotten guards against memory that grows with each
// instance that ever was.
func TestPlacesOfInstancesThatAreGoneAreForgotten(t *testing.T) {
	is := is.New(t)
	hub := newWitness("a-0", "a", 1)
	for n := range 50 {
		other := newWitness(fmt.Sprint("a-", n+1), "a", 2)
		hub.asks(is, other, false)
	}
	hub.publish()
	is.True(len(hub.evidence.taken) <= 2)
}
