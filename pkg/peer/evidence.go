package peer

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// Evidence consists of observations of requests that may crash upstreams. Each observation is
// sent once along each path and sent again until the receiver acknowledges it, because a lost
// one may cost another upstream.

// Bounds of the retained evidence.
const (
	// evidenceTTL is the time for which an observation is sent to instances that lack it. By
	// then its consequences are in the platform's store.
	evidenceTTL = 10 * time.Minute
	// evidenceDedupWindow is the time within which a repeated observation is ignored.
	evidenceDedupWindow = 10 * time.Second
	// maxEvidence bounds the retained observations, maxEvidencePerMessage those of one message,
	// which then takes about 65 KB with three segments each (BenchmarkEvidence).
	maxEvidence           = 4096
	maxEvidencePerMessage = 1024
)

// Cursor is a position in the sequence of observations of one incarnation of an instance.
type Cursor struct{ Incarnation, Number uint64 }

// origin is the distance at which an observation was made.
type origin uint8

const (
	// seenLocally is by this instance, seenInDomain by another of its failure domain,
	// seenRemotely by one of another domain.
	seenLocally origin = iota
	seenInDomain
	seenRemotely
)

// evidence holds the observations that are sent to others. The Gossip's lock guards it.
type evidence struct {
	pieces []piece
	// last is the number of the newest piece.
	last uint64
	// known maps each observation to the time at which it was last added.
	known map[quarantine.Observation]time.Time
	// receivedUpTo holds, by instance name, the position up to which this instance has received
	// the other's pieces; ackedUpTo the position up to which the other has acknowledged its
	// pieces.
	receivedUpTo map[string]Cursor
	ackedUpTo    map[string]Cursor
}

type piece struct {
	quarantine.Observation
	number uint64
	at     time.Time
	origin origin
	// sender reported it; zero if this instance made the observation.
	sender sender
}

// sender is one incarnation of an instance.
type sender struct {
	name        string
	incarnation uint64
}

func newEvidence() *evidence {
	return &evidence{known: make(map[quarantine.Observation]time.Time), receivedUpTo: make(map[string]Cursor), ackedUpTo: make(map[string]Cursor)}
}

// add records an observation and reports whether it is new.
func (v *evidence) add(observation quarantine.Observation, from origin, by sender, now time.Time) bool {
	if at, ok := v.known[observation]; ok && now.Sub(at) < evidenceDedupWindow {
		return false
	}
	v.expire(now)
	v.last++
	v.known[observation] = now
	v.pieces = append(v.pieces, piece{observation, v.last, now, from, by})
	return true
}

// expire drops pieces that are too old, and the oldest ones if there are too many.
func (v *evidence) expire(now time.Time) {
	old := 0
	for old < len(v.pieces) && (now.Sub(v.pieces[old].at) > evidenceTTL || len(v.pieces)-old >= maxEvidence) {
		if observation := v.pieces[old].Observation; v.known[observation].Equal(v.pieces[old].at) {
			delete(v.known, observation)
		}
		old++
	}
	v.pieces = append(v.pieces[:0], v.pieces[old:]...)
}

// since returns the observations after a number that were made no farther away than farthest and
// were not received from other, and the number up to which the result is complete.
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

// Observe reports an observation of this instance to the others.
func (g *Gossip) Observe(observation quarantine.Observation) {
	g.mu.Lock()
	isNew := g.evidence.add(observation, seenLocally, sender{}, g.options.Clock.Now())
	g.mu.Unlock()
	if isNew {
		g.RequestRound()
	}
}

// attachEvidence adds the local observations that the asked instance has not acknowledged. The
// caller does not hold g.mu.
func (g *Gossip) attachEvidence(ask *Ask, instance *fleet.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ask.Have = g.evidence.receivedUpTo[instance.Name]
	if instance.Domain == g.options.Self.Domain {
		ask.Evidence, ask.Last = g.evidence.since(g.evidence.ackedUpTo[instance.Name].Number, seenLocally, sender{name: instance.Name})
	}
}

// answerEvidence merges the evidence of the asking instance and replies with what it lacks:
// everything within the own domain, observations of the own domain to other domains. The caller
// holds g.mu.
func (g *Gossip) answerEvidence(ask *Ask, own *Report, reply *Reply, now time.Time) {
	farthest, asker := seenInDomain, sender{ask.Report.Name, ask.Report.Incarnation}
	if ask.Domain == g.options.Self.Domain {
		farthest = seenRemotely
		g.mergeEvidence(ask.Evidence, seenInDomain, asker, now)
		reply.Given = ask.Last
	}
	after := ask.Have.Number
	if ask.Have.Incarnation != own.Incarnation {
		after = 0
	}
	reply.Evidence, reply.Told.Number = g.evidence.since(after, farthest, asker)
	reply.Told.Incarnation = own.Incarnation
}

// applyEvidence merges the evidence of an instance's reply. The caller holds g.mu.
func (g *Gossip) applyEvidence(instance *fleet.Instance, reply *Reply, now time.Time) {
	from := seenRemotely
	if instance.Domain == g.options.Self.Domain {
		from = seenInDomain
		// A restarted instance has lost what its former incarnation acknowledged.
		if ackedUpTo := g.evidence.ackedUpTo[instance.Name]; ackedUpTo.Incarnation != 0 && ackedUpTo.Incarnation != reply.Told.Incarnation {
			reply.Given = 0
		}
		g.evidence.ackedUpTo[instance.Name] = Cursor{reply.Told.Incarnation, reply.Given}
	}
	g.mergeEvidence(reply.Evidence, from, sender{instance.Name, reply.Told.Incarnation}, now)
	g.evidence.receivedUpTo[instance.Name] = reply.Told
}

// mergeEvidence records observations and passes the new ones on. The caller holds g.mu.
func (g *Gossip) mergeEvidence(observations []quarantine.Observation, from origin, by sender, now time.Time) {
	var fresh []quarantine.Observation
	for _, observation := range observations {
		if g.evidence.add(observation, from, by, now) {
			fresh = append(fresh, observation)
		}
	}
	if len(fresh) > 0 && g.options.Evidence != nil {
		g.options.Evidence(fresh)
	}
}

// forgetEvidence drops the cursors of removed instances. The caller holds g.mu.
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
