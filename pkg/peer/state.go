// Package peer tells the instances of a deployment what the others have in hand:
// requests at each upstream, whether they leave, and how new their copy of the
// platform's store is.
//
// Inside a failure domain each instance reports to one of them, the hub, which the
// others find by rendezvous hashing, and learns from it of all; in a small domain it
// reports to every other. The hubs of different domains ask each other for digests.
// So bytes and calls of an instance do not grow with the deployment, and those between
// domains grow with domains. Clocks of different machines are never compared: ages
// travel instead of times.
package peer

import (
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/quota"
)

// Load is the work in hand at one upstream or service.
type Load struct {
	// Name is the upstream's ID or the service's name.
	Name string
	// InFlight counts requests, Prefill the prompt tokens not yet read of those whose
	// answer has not begun.
	InFlight, Prefill int
	// Flowing counts streams of which something came lately, Silent those that have begun
	// and of which nothing did.
	Flowing, Silent int
}

// Report is what one instance says of itself. Where it can be reached stands in the
// store under its name.
type Report struct {
	Name string
	// Incarnation is drawn anew at each start; Sequence grows with each report.
	Incarnation, Sequence uint64
	// Leaving is true once the instance takes no new callers, Ready once it has a
	// configuration.
	Leaving, Ready bool
	// Store and Era are the revision of its copy of the store and the store's era, Held is the
	// fingerprint of what the copy holds over from former eras; zero: nothing.
	Store     int64
	Era, Held uint64
	// Upstreams is the work that it has at each upstream.
	Upstreams []Load
	// Placed is where it sent large prompt parts in the last seconds.
	Placed []Placement
	// Used is what the limited callers have used at it.
	Used []quota.Usage
}

// position is that of the instance's copy of the store.
func (r *Report) position() mirror.Position { return mirror.Position{Era: r.Era, Revision: r.Store} }

// position is the newest of the domain's copies of the store.
func (d *Digest) position() mirror.Position { return mirror.Position{Era: d.Era, Revision: d.Store} }

// Placement is a prompt part that was sent to an upstream.
type Placement struct{ Part, Upstream string }

// newer says whether r was said after other.
func (r *Report) newer(other *Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Mark is what a digest says of one instance.
type Mark struct {
	Name           string
	Incarnation    uint64
	Leaving, Ready bool
	// Quiet is true when its domain's hub has not heard it for some rounds.
	Quiet bool
}

// Digest is what a failure domain tells the others.
type Digest struct {
	Domain, Region string
	// Age is how old the digest is where it is told.
	Age time.Duration
	// Marks holds the domain's live instances, sorted by name; none to who said that it
	// holds them under this Roster.
	Marks []Mark
	// Roster is the fingerprint of Marks.
	Roster uint64
	// Store and Era are the newest of their copies of the store, Held is that of the instance that
	// tells it, see Report.
	Store     int64
	Era, Held uint64
	// Upstreams adds up their work by upstream, for the own region alone; Services by
	// service.
	Upstreams, Services []Load
	// Placed is where large prompt parts were sent in the last seconds.
	Placed []Placement
	// Used is what the limited callers have used in the domain, as the instance with the
	// incarnation Counter has counted it.
	Used    []quota.Usage
	Counter uint64
}

// Known is what is known of another instance.
type Known struct {
	Instance       fleet.Instance
	Leaving, Ready bool
	// Heard is when it was last heard of, directly or through its domain's hub, by this
	// process's clock; zero when its hub no longer hears it.
	Heard time.Time
}

// SilentAfter is for how long an instance that was heard of once may say nothing
// before it counts as gone: several rounds, and well below the time after which
// callers must not be sent to it.
const SilentAfter = 2500 * time.Millisecond

// Live says whether an instance was heard of lately.
func (k *Known) Live(now time.Time) bool { return now.Sub(k.Heard) <= SilentAfter }

// View is what is known of the other instances at one moment.
type View struct {
	// Others is sorted by name.
	Others []Known
	// upstreams adds up the others' work in the own region by upstream; services all
	// work by region and service.
	upstreams map[string]Load
	// abroad is when another region was last heard of.
	otherRegionAt time.Time
	services      map[regionService]Load
	// near counts the live others of the own region; age is how old their news was on the
	// average at the time at.
	regionPeers int
	reportAge   time.Duration
	at          time.Time
}

// RegionPeers returns how many other instances the own region has, and how old on the average
// what they told of their work is by now.
func (v *View) RegionPeers(now time.Time) (others int, reportAge time.Duration) {
	if v == nil {
		return 0, 0
	}
	return v.regionPeers, v.reportAge + max(0, now.Sub(v.at))
}

// NewView is a view of the others' work at the upstreams of the own region as it was at a
// time, for who emulates a deployment.
func NewView(others []Known, upstreams []Load, at time.Time) *View {
	view := &View{Others: others, upstreams: make(map[string]Load), services: make(map[regionService]Load), regionPeers: len(others), at: at}
	addLoads(view.upstreams, upstreams)
	return view
}

// AddService adds work of another region's instances at a service, for who emulates a
// deployment.
func (v *View) AddService(region string, load Load) {
	sum := v.services[regionService{region, load.Name}]
	sum.InFlight += load.InFlight
	sum.Prefill += load.Prefill
	v.services[regionService{region, load.Name}] = sum
}

type regionService struct{ region, service string }

// Upstream returns the others' work at an upstream of the own region.
func (v *View) Upstream(id string) Load {
	if v == nil {
		return Load{}
	}
	return v.upstreams[id]
}

// Service returns the work of another region's instances at a service.
func (v *View) Service(region, service string) Load {
	if v == nil {
		return Load{}
	}
	return v.services[regionService{region, service}]
}

// Find returns what is known of an instance, or nil.
func (v *View) Find(name string) *Known {
	if v == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(v.Others, name, func(k Known, name string) int {
		return strings.Compare(k.Instance.Name, name)
	})
	if !ok {
		return nil
	}
	return &v.Others[i]
}

// addLoads adds loads to sums by name.
func addLoads(sums map[string]Load, loads []Load) {
	for _, load := range loads {
		sum := sums[load.Name]
		sum.Name = load.Name
		sum.InFlight += load.InFlight
		sum.Prefill += load.Prefill
		sum.Flowing += load.Flowing
		sum.Silent += load.Silent
		sums[load.Name] = sum
	}
}

// sorted returns the sums by name.
func sorted(sums map[string]Load) []Load {
	loads := make([]Load, 0, len(sums))
	for _, load := range sums {
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Name, b.Name) })
	return loads
}

// OtherRegionHeardAt is when another region was last heard of, directly or through a hub, by this process's
// clock; zero: never.
func (v *View) OtherRegionHeardAt() time.Time {
	if v == nil {
		return time.Time{}
	}
	return v.otherRegionAt
}
