// Package fleet holds the known state of the discovered upstreams, of the other instances and of
// evacuated failure domains, as immutable views.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Upstream is one incarnation of an upstream server.
type Upstream struct {
	// ID identifies this incarnation. All state of an upstream is keyed by it, here and in
	// messages between instances, so that no state outlives the incarnation.
	ID string
	// Name is the upstream's own name, which may stay the same across restarts.
	Name string
	// StartedAt is the start time by the upstream's clock in Unix milliseconds; zero if it does not
	// report it, and then each incarnation has a name of its own.
	StartedAt int64
	Service   string
	// Software is the version of its software, not that of the weights that it serves; empty if it
	// reports none. What two versions of a service write does not fit together in one stream.
	Software string
	// Address is an IP address and a port; another upstream may reuse it after this one has
	// stopped.
	Address string
	Domain  string
	Region  string
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Draining is true once it has announced that it leaves, and DrainingSince the time at which
	// this process read so, zero if that was in its first view.
	Draining      bool
	DrainingSince time.Time
	// Reclaimed is true once it has announced that it ends at a given time, in the middle of its work.
	Reclaimed bool
	// ColdUntil is the end of its cold period, by this process's clock; zero if it is not cold.
	ColdUntil time.Time
	// EntryReadAt is the time at which its present entry in the platform's store was read, by this
	// process's clock.
	EntryReadAt time.Time
	// Missing is the time since which the store lacks its entry, which is retained for a while;
	// zero if it has one.
	Missing time.Time
}

// Cold reports whether the upstream is still cold.
func (u *Upstream) Cold(now time.Time) bool { return now.Before(u.ColdUntil) }

// View is the known state at one moment.
type View struct {
	// Revision is the store's revision that the view reflects.
	Revision uint64
	// Upstreams is sorted by ID.
	Upstreams []Upstream
	// Evacuated holds the failure domains with upstreams that must get no requests.
	Evacuated map[string]bool
	// Readmitted holds recently evacuated failure domains with the time since which they get
	// requests again, by this process's clock.
	Readmitted map[string]time.Time
	// HistoryLost is the time at which a part of the platform's history was last found to be
	// lost, by this process's clock; evacuations may have started and ended in it. It is zero if
	// there was none recently.
	HistoryLost time.Time
	// Instances holds the registered instances, sorted by name.
	Instances []Instance
	// Own holds the addresses at which this process listens.
	Own       []string
	byService map[string][]*Upstream
	// ofInstances holds the addresses of instances, this one included.
	ofInstances map[string]bool
	software    map[string]software
	// introduces is true if a version was introduced within SettleTime.
	introduces bool
}

// Instance is one registered instance of the gateway.
type Instance struct {
	Name   string
	Domain string
	Region string
	// Incarnation grows with each start.
	Incarnation uint64
	// Callers, Peers and Gossip are the addresses that serve callers' HTTP, other instances'
	// requests and their net/rpc calls.
	Callers, Peers, Gossip string
}

// Index prepares the view for lookups; it must be called before the view is shared.
func (v *View) Index() {
	slices.SortFunc(v.Upstreams, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(v.Instances, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	v.byService = make(map[string][]*Upstream)
	for i := range v.Upstreams {
		upstream := &v.Upstreams[i]
		v.byService[upstream.Service] = append(v.byService[upstream.Service], upstream)
	}
	v.ofInstances = make(map[string]bool, len(v.Own)+3*len(v.Instances))
	for _, address := range v.Own {
		v.ofInstances[address] = true
	}
	for i := range v.Instances {
		instance := &v.Instances[i]
		for _, address := range []string{instance.Callers, instance.Peers, instance.Gossip} {
			v.ofInstances[address] = true
		}
	}
}

// IsInstance reports whether an upstream's address is that of an instance: a request that is sent there
// would come back.
func (v *View) IsInstance(u *Upstream) bool { return v.ofInstances[u.Address] }

// RegionOf returns the region of an upstream; empty when it is not known.
func (v *View) RegionOf(id string) string {
	if upstream := v.Find(id); upstream != nil {
		return upstream.Region
	}
	return ""
}

// Find returns an upstream, nil if it is not known.
func (v *View) Find(id string) *Upstream {
	if v == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(v.Upstreams, id, func(u Upstream, id string) int { return strings.Compare(u.ID, id) })
	if !ok {
		return nil
	}
	return &v.Upstreams[i]
}

// Service returns the upstreams of a service, of all regions, sorted by ID.
func (v *View) Service(name string) []*Upstream {
	if v == nil {
		return nil
	}
	return v.byService[name]
}

// Usable reports whether an upstream may get new requests.
func (v *View) Usable(u *Upstream) bool {
	return !u.Draining && !v.Evacuated[u.Domain] && !v.IsInstance(u)
}

// finishTime is the time for which an upstream that drains may get streams that no other one can
// go on with. It ends well before the upstream may stop.
const finishTime = time.Second

// Finishes reports whether an upstream began to drain so recently that it may still get streams
// that no other one can go on with.
func (v *View) Finishes(u *Upstream, now time.Time) bool {
	return u.Draining && !v.Evacuated[u.Domain] && !u.DrainingSince.IsZero() && now.Sub(u.DrainingSince) < finishTime
}
