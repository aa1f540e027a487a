package peer

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// Evidence is what instances saw of requests that may end upstreams. Each piece is told once
// along each way, and told again until the other side has said that it has it: a piece that
// is lost may cost another upstream.

// Bounds of the evidence that is kept for telling.
const (
	// evidenceFor is for how long a piece is told to those who do not have it; what it led to
	// is in the platform's store by then.
	evidenceTTL = 10 * time.Minute
	// evidenceAgain is for how long the same piece is no news.
	evidenceDedupWindow = 10 * time.Second
	// mostEvidence bounds the pieces that are kept, mostTold those of one message, which is
	// then about 40 KB (BenchmarkEvidence).
	maxEvidence           = 4096
	maxEvidencePerMessage = 1024
)

// Cursor is a place in what one start of an instance tells.
type Cursor struct{ Incarnation, Number uint64 }

// origin is how far from here a piece was seen.
type origin uint8

const (
	// seenHere, by this instance; seenNear, by one of its failure domain; seenFar.
	seenLocally origin = iota
	seenInDomain
	seenRemotely
)

// evidence holds the pieces that are told. The Gossip's lock guards it.
type evidence struct {
	pieces []piece
	// last numbers the newest piece.
	last uint64
	// known holds when each piece was last added.
	known map[quarantine.Observation]time.Time
	// taken is up to where this instance has each other's pieces, by name; given up to which
	// of its own pieces each other has them.
	receivedUpTo map[string]Cursor
	ackedUpTo    map[string]Cursor
}

type piece struct {
	quarantine.Observation
	number uint64
	at     time.Time
	origin origin
	// teller told it; zero: this instance saw it.
	sender sender
}

// teller is one start of an instance.
type sender struct {
	name        string
	incarnation uint64
}

func newEvidence() *evidence {
	return &evidence{known: make(map[quarantine.Observation]time.Time), receivedUpTo: make(map[string]Cursor), ackedUpTo: make(map[string]Cursor)}
}

// add takes a piece, and says whether it is news.
func (v *evidence) add(seen quarantine.Observation, from origin, by sender, now time.Time) bool {
	if at, ok := v.known[seen]; ok && now.Sub(at) < evidenceDedupWindow {
		return false
	}
	v.expire(now)
	v.last++
	v.known[seen] = now
	v.pieces = append(v.pieces, piece{seen, v.last, now, from, by})
	return true
}

// shrink forgets what is old, or the oldest.
func (v *evidence) expire(now time.Time) {
	old := 0
	for old < len(v.pieces) && (now.Sub(v.pieces[old].at) > evidenceTTL || len(v.pieces)-old >= maxEvidence) {
		if seen := v.pieces[old].Observation; v.known[seen].Equal(v.pieces[old].at) {
			delete(v.known, seen)
		}
		old++
	}
	v.pieces = append(v.pieces[:0], v.pieces[old:]...)
}

// since returns the pieces after a number that were seen no farther away than told and that
// the other side did not tell itself, and the number up to which that is all.
func (v *evidence) since(number uint64, farthest origin, other sender) (observations []quarantine.Observation, last uint64) {
	for i := range v.pieces {
		if v.pieces[i].number <= number || v.pieces[i].origin > farthest || v.pieces[i].sender == other {
			continue
		}
		if len(observations) == maxEvidencePerMessage {
			return observations, v.pieces[i].number - 1
		}
		observations = append(observations, v.pieces[i].Observation)
	}
	return observations, v.last
}

// Observe tells the other instances what this one saw of a request.
func (g *Gossip) Observe(seen quarantine.Observation) {
	g.mu.Lock()
	isNew := g.evidence.add(seen, seenLocally, sender{}, g.options.Clock.Now())
	g.mu.Unlock()
	if isNew {
		g.RequestRound()
	}
}

// askEvidence adds to an ask what the asked instance does not have of what this one saw. The
// caller does not hold g.mu.
func (g *Gossip) attachEvidence(ask *Ask, instance *fleet.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ask.Have = g.evidence.receivedUpTo[instance.Name]
	if instance.Domain == g.options.Self.Domain {
		ask.Evidence, ask.Last = g.evidence.since(g.evidence.ackedUpTo[instance.Name].Number, seenLocally, sender{name: instance.Name})
	}
}

// tellEvidence takes the asking instance's evidence, and tells it what it does not have: all
// to the own domain, what the own domain saw to others. The caller holds g.mu.
func (g *Gossip) answerEvidence(ask *Ask, own *Report, reply *Reply, now time.Time) {
	farthest, from := seenInDomain, sender{ask.Report.Name, ask.Report.Incarnation}
	if ask.Domain == g.options.Self.Domain {
		farthest = seenRemotely
		g.mergeEvidence(ask.Evidence, seenInDomain, from, now)
		reply.Given = ask.Last
	}
	after := ask.Have.Number
	if ask.Have.Incarnation != own.Incarnation {
		after = 0
	}
	reply.Evidence, reply.Told.Number = g.evidence.since(after, farthest, from)
	reply.Told.Incarnation = own.Incarnation
}

// takeEvidence learns from a reply of an instance. The caller holds g.mu.
func (g *Gossip) applyEvidence(instance *fleet.Instance, reply *Reply, now time.Time) {
	from := seenRemotely
	if instance.Domain == g.options.Self.Domain {
		from = seenInDomain
		// One that has started again has nothing of what was given to its former start.
		if ackedUpTo := g.evidence.ackedUpTo[instance.Name]; ackedUpTo.Incarnation != 0 && ackedUpTo.Incarnation != reply.Told.Incarnation {
			reply.Given = 0
		}
		g.evidence.ackedUpTo[instance.Name] = Cursor{reply.Told.Incarnation, reply.Given}
	}
	g.mergeEvidence(reply.Evidence, from, sender{instance.Name, reply.Told.Incarnation}, now)
	g.evidence.receivedUpTo[instance.Name] = reply.Told
}

// learn passes pieces on that are news. The caller holds g.mu.
func (g *Gossip) mergeEvidence(observations []quarantine.Observation, from origin, by sender, now time.Time) {
	var fresh []quarantine.Observation
	for _, seen := range observations {
		if g.evidence.add(seen, from, by, now) {
			fresh = append(fresh, seen)
		}
	}
	if len(fresh) > 0 && g.options.Evidence != nil {
		g.options.Evidence(fresh)
	}
}

// forgetEvidence drops the places of instances that are gone. The caller holds g.mu.
func (g *Gossip) forgetEvidence(instances []fleet.Instance) {
	if len(g.evidence.receivedUpTo) <= 2*len(instances)+2 {
		return
	}
	present := make(map[string]bool, len(instances))
	for i := range instances {
		present[instances[i].Name] = true
	}
	for _, cursors := range [...]map[string]Cursor{g.evidence.receivedUpTo, g.evidence.ackedUpTo} {
		for name := range cursors {
			if !present[name] {
				delete(cursors, name)
			}
		}
	}
}
