package member

import (
	"sort"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// Bounds of the state machine.
const (
	// SilentAfter is the time without a heartbeat after which an instance's jobs pass
	// to others: two missed heartbeats and a margin for a busy machine.
	SilentAfter = 2500 * time.Millisecond
	// ForgetAfter is the time that a silent instance missing from the platform's list
	// stays in the view.
	ForgetAfter = 10 * time.Minute
	// TombstoneTTL is the time that a goodbye is kept as a tombstone, so that a late
	// message does not restore the instance.
	TombstoneTTL = 10 * time.Minute
)

// Identity is an instance's description of itself; it rarely changes.
type Identity struct {
	Name, Domain, Region string
	// Epoch identifies a start of the agent and grows from start to start
	// (nanoseconds of its clock).
	Epoch uint64
	// Incarnation is the gateway's; zero if it has none.
	Incarnation uint64
	Addresses   board.Addresses
	// Leaving is the instance's own mark.
	Leaving bool
}

// Peer is an instance's name and the address of its agent.
type Peer struct {
	Name  string
	Mesh  string
	Epoch uint64
	// Quiet is the time since its last heartbeat, so that an instance that was
	// removed is not added again by a peer that has not removed it yet.
	Quiet time.Duration
}

// View is one instance's view of its failure domain. It is not safe for
// concurrent use.
type View struct {
	self    string
	domain  string
	entries map[string]*entry
	// haveList is whether the platform's list was ever received.
	haveList bool
}

type entry struct {
	identity Identity
	// known is whether the instance has described itself in this epoch.
	known bool
	mesh  string
	// lastReceived is the time of the last message, firstSeen the time at which the
	// instance was first named.
	lastReceived, firstSeen time.Time
	revision                config.Revision
	load                    board.GatewayLoad
	// leaving is valid for the incarnation of the gateway for which it was set.
	leaving     bool
	incarnation uint64
	goodbye     time.Time
	// listed is whether the platform's list has the instance, listLeaving whether as
	// leaving.
	listed, listLeaving bool
}

// NewView returns a view that knows only self.
func NewView(self Identity, now time.Time) *View {
	v := &View{self: self.Name, domain: self.Domain, entries: make(map[string]*entry)}
	v.entries[self.Name] = &entry{firstSeen: now}
	v.ApplyIdentity(self, now)
	return v
}

// ApplyIdentity applies an instance's own description and reports whether it
// changed. An older epoch is ignored; a newer one clears the state of the earlier
// one.
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
	// A live report of the same epoch and incarnation never clears a mark.
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

// RecordHeartbeat records a message from an instance in the given epoch, and
// reports whether its revision changed.
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

// SetLoad records the load of an instance's gateway.
func (v *View) SetLoad(name string, epoch uint64, load board.GatewayLoad) {
	e, ok := v.entries[name]
	if ok && e.identity.Epoch == epoch {
		e.load = load
	}
}

// AddPeer adds an instance that a peer or the list named; it counts as silent until
// a heartbeat of its own arrives. It does not undo a goodbye.
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

// Goodbye records that an instance left in the given epoch. It reports whether that
// is new.
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

// ApplyList applies the platform's current list. It adds the listed instances; a
// leaving mark is valid for the epoch in which it appeared: the list lags, so the
// old line does not mark an instance that has restarted.
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

// Forget removes instances that have been missing for long enough.
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

// State returns an instance's state; InstanceLeft if it is not known.
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

// Instances returns the instances in the view, sorted by name, and also those that
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

// Workers returns the names among which shared jobs are ranked: live instances, and
// self also while it is alone. Leaving instances own no jobs.
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

// Peers returns every instance but self that may still be called, sorted by name.
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

// lastSeen returns the time of the instance's last message, or the time at which it
// was first named.
func (e *entry) lastSeen() time.Time {
	if e.lastReceived.IsZero() {
		return e.firstSeen
	}
	return e.lastReceived
}
