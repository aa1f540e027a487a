package member

import (
	"sort"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// Bounds of the state machine.
const (
	// SilentAfter is how long an instance may say nothing before its jobs pass
	// to others: two missed heartbeats and a margin for a busy machine.
	SilentAfter = 2500 * time.Millisecond
	// ForgetAfter is how long an instance that the platform's list no longer
	// names stays counted as silent.
	ForgetAfter = 10 * time.Minute
	// TombstoneTTL is how long a goodbye is remembered, so that a late message
	// does not bring the instance back.
	TombstoneTTL = 10 * time.Minute
)

// Identity is what an instance says of itself and what seldom changes.
type Identity struct {
	Name, Domain, Region string
	// Epoch is drawn at the agent's start and grows from start to start
	// (nanoseconds of its clock).
	Epoch uint64
	// Incarnation is the gateway's; zero while it has none.
	Incarnation uint64
	Addresses   board.Addresses
	// Leaving is the instance's own mark.
	Leaving bool
}

// Peer names an instance and where its agent listens.
type Peer struct {
	Name  string
	Mesh  string
	Epoch uint64
	// Quiet is how long ago it was last heard, so that a forgotten instance does
	// not come back as new from one that has not forgotten it yet.
	Quiet time.Duration
}

// View is one instance's view of its failure domain. It is not safe for
// concurrent use.
type View struct {
	self    string
	domain  string
	entries map[string]*entry
	// haveList is whether the platform's list was ever read.
	haveList bool
}

type entry struct {
	identity Identity
	// known is whether the instance has described itself in this epoch.
	known bool
	mesh  string
	// lastReceived is the last message, and first when it was first named.
	lastReceived, firstSeen time.Time
	revision                config.Revision
	load                    board.GatewayLoad
	// leaving holds for the incarnation of the gateway that it was set for.
	leaving     bool
	incarnation uint64
	goodbye     time.Time
	// listed is whether the platform's list names it, listMark whether as leaving.
	listed, listLeaving bool
}

// NewView returns a view that knows only self.
func NewView(self Identity, now time.Time) *View {
	v := &View{self: self.Name, domain: self.Domain, entries: make(map[string]*entry)}
	v.entries[self.Name] = &entry{firstSeen: now}
	v.ApplyIdentity(self, now)
	return v
}

// ApplyIdentity takes an instance's own description. An older epoch is ignored; a
// newer one clears what was known of the instance's former life.
func (v *View) ApplyIdentity(id Identity, now time.Time) bool {
	if id.Domain != v.domain {
		return false
	}
	e := v.entry(id.Name, now)
	if id.Epoch < e.identity.Epoch {
		return false
	}
	if id.Epoch == e.identity.Epoch && !e.goodbye.IsZero() {
		return false
	}
	if id.Epoch > e.identity.Epoch {
		*e = entry{firstSeen: now, listed: e.listed, listLeaving: e.listLeaving}
	}
	if e.incarnation != 0 && id.Incarnation > e.incarnation {
		e.leaving = false
	}
	e.incarnation = max(e.incarnation, id.Incarnation)
	// A mark is never taken back by a live report of the same life.
	e.leaving = e.leaving || id.Leaving
	changed := !e.known || e.identity != id
	e.identity = id
	e.mesh = id.Addresses.Mesh
	e.known = true
	if id.Name == v.self || e.lastReceived.IsZero() {
		e.lastReceived = now
	}
	return changed
}

// RecordHeartbeat notes a message from an instance in its given epoch, and says whether
// its revision is another than before.
func (v *View) RecordHeartbeat(name string, epoch uint64, revision config.Revision, now time.Time) bool {
	e, ok := v.entries[name]
	if !ok || e.identity.Epoch != epoch || !e.goodbye.IsZero() {
		return false
	}
	changed := e.revision != revision
	e.lastReceived = now
	e.revision = revision
	return changed
}

// SetLoad notes what an instance's gateway has in hand.
func (v *View) SetLoad(name string, epoch uint64, load board.GatewayLoad) {
	e, ok := v.entries[name]
	if ok && e.identity.Epoch == epoch {
		e.load = load
	}
}

// AddPeer notes that somebody named an instance; it counts from then on, and is
// silent until it speaks for itself. A proposal does not undo a goodbye.
func (v *View) AddPeer(peer Peer, now time.Time) {
	if peer.Name == "" || peer.Name == v.self || peer.Quiet >= ForgetAfter {
		return
	}
	e := v.entry(peer.Name, now.Add(-peer.Quiet))
	if !e.goodbye.IsZero() && peer.Epoch <= e.identity.Epoch {
		return
	}
	if !e.known {
		e.mesh = peer.Mesh
	}
}

// Goodbye notes that an instance has left in the given epoch.
func (v *View) Goodbye(name string, epoch uint64, now time.Time) bool {
	e, ok := v.entries[name]
	if !ok || epoch < e.identity.Epoch || !e.goodbye.IsZero() {
		return false
	}
	e.identity.Epoch = epoch
	e.goodbye = now
	return true
}

// Listed is one instance of this domain on the platform's lagging list.
type Listed struct {
	Peer    Peer
	Leaving bool
}

// ApplyList takes what the platform's list says now. It proposes instances, and its
// leaving mark holds for the epoch in which it appeared: the list lags, so an
// instance that was started anew is not marked by the old line.
func (v *View) ApplyList(lines []Listed, now time.Time) {
	v.haveList = true
	named := make(map[string]bool, len(lines))
	for _, line := range lines {
		named[line.Peer.Name] = true
		v.AddPeer(line.Peer, now)
		e, ok := v.entries[line.Peer.Name]
		if !ok {
			continue
		}
		e.listed = true
		if line.Leaving && !e.listLeaving {
			e.leaving = true
		}
		e.listLeaving = line.Leaving
	}
	for name, e := range v.entries {
		if !named[name] {
			e.listLeaving = false
			e.listed = false
		}
	}
}

// Forget drops instances that have been gone for long enough.
func (v *View) Forget(now time.Time) {
	for name, e := range v.entries {
		if name == v.self {
			continue
		}
		tombstoneExpired := !e.goodbye.IsZero() && now.Sub(e.goodbye) >= TombstoneTTL
		unlisted := v.haveList && !e.listed
		if tombstoneExpired || (unlisted && now.Sub(e.lastSeen()) >= ForgetAfter) {
			delete(v.entries, name)
		}
	}
}

// State returns an instance's state; left when it is not known.
func (v *View) State(name string, now time.Time) board.InstanceState {
	e, ok := v.entries[name]
	if !ok {
		return board.InstanceLeft
	}
	return v.state(name, e, now)
}

func (v *View) state(name string, e *entry, now time.Time) board.InstanceState {
	switch {
	case !e.goodbye.IsZero():
		return board.InstanceLeft
	case name != v.self && (e.lastReceived.IsZero() || now.Sub(e.lastReceived) > SilentAfter):
		return board.InstanceSilent
	case e.leaving:
		return board.InstanceLeaving
	default:
		return board.InstanceLive
	}
}

// Instances returns the counted instances, sorted by name, and also those that
// left and named a successor for their idempotency keys.
func (v *View) Instances(now time.Time) []board.Instance {
	list := make([]board.Instance, 0, len(v.entries))
	for name, e := range v.entries {
		state := v.state(name, e, now)
		if state == board.InstanceLeft && e.load.Successor == "" {
			continue
		}
		list = append(list, board.Instance{
			Name: name, Domain: v.domain, Region: e.identity.Region,
			Incarnation: e.identity.Incarnation, State: state, Addresses: e.identity.Addresses,
			Revision: e.revision, LastHeard: e.lastSeen(), Load: e.load,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Workers returns the names among which shared jobs are ranked: live instances,
// and self also while it is alone. Leaving instances give their jobs up.
func (v *View) Workers(now time.Time) []string {
	names := make([]string, 0, len(v.entries))
	for name, e := range v.entries {
		if v.state(name, e, now) == board.InstanceLive {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Peers returns every instance but self that may still be spoken to, sorted by name.
func (v *View) Peers(now time.Time) []Peer {
	peers := make([]Peer, 0, len(v.entries))
	for name, e := range v.entries {
		if name == v.self || !e.goodbye.IsZero() || e.mesh == "" {
			continue
		}
		peer := Peer{Name: name, Mesh: e.mesh, Epoch: e.identity.Epoch, Quiet: now.Sub(e.lastSeen())}
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Name < peers[j].Name })
	return peers
}

// Epoch returns the epoch last known of an instance.
func (v *View) Epoch(name string) uint64 {
	if e, ok := v.entries[name]; ok {
		return e.identity.Epoch
	}
	return 0
}

func (v *View) entry(name string, now time.Time) *entry {
	e, ok := v.entries[name]
	if !ok {
		e = &entry{firstSeen: now}
		v.entries[name] = e
	}
	return e
}

// lastSeen is when the instance was last heard, or first named.
func (e *entry) lastSeen() time.Time {
	if e.lastReceived.IsZero() {
		return e.firstSeen
	}
	return e.lastReceived
}
