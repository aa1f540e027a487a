// Package peer exchanges state between the instances of a deployment: the requests in flight at
// each upstream, whether an instance is leaving, and the position of its replica of the
// platform's store.
//
// Inside a failure domain each instance reports to one of them, the hub, which the others find
// by rendezvous hashing, and receives the state of all from it; in a small domain it reports to
// every other. The hubs of different domains request digests from each other. So the bytes and
// calls of an instance do not grow with the deployment, and those between domains grow only with
// the number of domains. Clocks of different machines are never compared: messages carry ages
// instead of times.
package peer

import (
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/quota"
)

// Load is the load at one upstream or service.
type Load struct {
	// Name is the upstream's ID or the service's name.
	Name string
	// InFlight counts requests; Prefill counts the prompt tokens not yet processed of requests
	// without a first token.
	InFlight, Prefill int
	// Flowing counts streams that produced output recently, Silent started streams that did not.
	Flowing, Silent int
}

// Report is the state that one instance reports of itself. Its addresses are in the store under
// its name.
type Report struct {
	Name string
	// Incarnation changes at each start; Sequence grows with each report.
	Incarnation, Sequence uint64
	// Leaving is true once the instance accepts no new callers, Ready once it has a
	// configuration.
	Leaving, Ready bool
	// Unreachable names the services of which the instance reaches no upstream of its region,
	// see JoinServices.
	Unreachable string
	// Store and Era are the revision and epoch of its replica of the store. Held is the
	// fingerprint of the entries that the replica retains from former epochs; zero if there are
	// none.
	Store     int64
	Era, Held uint64
	// Current is true while the instance follows the store itself and the store answers it; its replica is
	// then complete until StoreAge ago. Behind is true while the store answers others and not this
	// instance, see freshness.Lag.
	Current, Behind bool
	StoreAge        time.Duration
	// Upstreams is its load at each upstream.
	Upstreams []Load
	// Placed holds where it sent large prompt segments in the last seconds.
	Placed []Placement
	// Used is the usage of the limited callers at this instance.
	Used []quota.Usage
}

// position returns the position of the instance's replica of the store.
func (r *Report) position() mirror.Position { return mirror.Position{Era: r.Era, Revision: r.Store} }

// position returns the newest position of the domain's replicas of the store.
func (d *Digest) position() mirror.Position { return mirror.Position{Era: d.Era, Revision: d.Store} }

// Placement is a prompt segment that was sent to an upstream.
type Placement struct{ Part, Upstream string }

// newer reports whether r was made after other.
func (r *Report) newer(other *Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Mark is the state of one instance in a digest.
type Mark struct {
	Name           string
	Incarnation    uint64
	Leaving, Ready bool
	// Unreachable is that of the instance's report.
	Unreachable string
	// Behind is that of the instance's report.
	Behind bool
	// Quiet is true if its domain's hub has received no report for some rounds.
	Quiet bool
}

// Digest is the state that a failure domain sends to the others.
type Digest struct {
	Domain, Region string
	// Age is the age of the digest at the time of sending.
	Age time.Duration
	// Marks holds the domain's live instances, sorted by name; empty if the receiver already
	// holds them under this Roster.
	Marks []Mark
	// Roster is the fingerprint of Marks.
	Roster uint64
	// Store and Era are the newest position of the domain's replicas of the store. Held is that
	// of the sending instance, see Report.
	Store     int64
	Era, Held uint64
	// Current is true if that of an instance of the domain is; StoreAge is then the least of theirs when
	// the digest was made.
	Current  bool
	StoreAge time.Duration
	// Upstreams sums their loads by upstream, only within the own region; Services by service.
	Upstreams, Services []Load
	// Placed holds where large prompt segments were sent in the last seconds.
	Placed []Placement
	// Used is the usage of the limited callers in the domain, counted by the instance with the
	// incarnation Counter.
	Used    []quota.Usage
	Counter uint64
}

// Known is the known state of another instance.
type Known struct {
	Instance       fleet.Instance
	Leaving, Ready bool
	// Unreachable is that of its last report.
	Unreachable string
	// ReportedAt is the time of its last report, directly or through its domain's hub, by this
	// process's clock; zero if its hub has no current report.
	ReportedAt time.Time
}

// serviceSeparator separates the names of services; no name contains it.
const serviceSeparator = ","

// JoinServices returns the names of services as one comparable value.
func JoinServices(names []string) string { return strings.Join(names, serviceSeparator) }

// Reaches reports whether the instance reaches an upstream of a service in its region, as far as
// it has reported otherwise.
func (k *Known) Reaches(service string) bool {
	if k.Unreachable == "" {
		return true
	}
	for name := range strings.SplitSeq(k.Unreachable, serviceSeparator) {
		if name == service {
			return false
		}
	}
	return true
}

// SilentAfter is the time without reports after which an instance counts as unreachable: several
// rounds, and well below the time after which callers must not be sent to it.
const SilentAfter = 2500 * time.Millisecond

// Live reports whether the last report of an instance is recent.
func (k *Known) Live(now time.Time) bool { return now.Sub(k.ReportedAt) <= SilentAfter }

// View is the state of the other instances at one moment.
type View struct {
	// Others is sorted by name.
	Others []Known
	// upstreams sums the others' loads in the own region by upstream; services sums all loads by
	// region and service.
	upstreams map[string]Load
	// otherRegionAt is the time of the last digest from another region.
	otherRegionAt time.Time
	services      map[regionService]Load
	// regionPeers counts the live others of the own region. reportAge is the average age of
	// their reports at the time at.
	regionPeers int
	reportAge   time.Duration
	at          time.Time
}

// RegionPeers returns the number of other live instances of the own region and the current
// average age of their reports.
func (v *View) RegionPeers(now time.Time) (others int, reportAge time.Duration) {
	if v == nil {
		return 0, 0
	}
	return v.regionPeers, v.reportAge + max(0, now.Sub(v.at))
}

// NewView returns a view of the others' loads at the upstreams of the own region at a time, for
// emulators of a deployment.
func NewView(others []Known, upstreams []Load, at time.Time) *View {
	view := &View{Others: others, upstreams: make(map[string]Load), services: make(map[regionService]Load), regionPeers: len(others), at: at}
	addLoads(view.upstreams, upstreams)
	return view
}

// AddService adds a load of another region's instances at a service, for emulators of a
// deployment.
func (v *View) AddService(region string, load Load) {
	sum := v.services[regionService{region, load.Name}]
	sum.InFlight += load.InFlight
	sum.Prefill += load.Prefill
	v.services[regionService{region, load.Name}] = sum
}

type regionService struct{ region, service string }

// Upstream returns the others' load at an upstream of the own region.
func (v *View) Upstream(id string) Load {
	if v == nil {
		return Load{}
	}
	return v.upstreams[id]
}

// Service returns the load of another region's instances at a service.
func (v *View) Service(region, service string) Load {
	if v == nil {
		return Load{}
	}
	return v.services[regionService{region, service}]
}

// Find returns the state of an instance, or nil.
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

// sorted returns the sums, sorted by name.
func sorted(sums map[string]Load) []Load {
	loads := make([]Load, 0, len(sums))
	for _, load := range sums {
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Name, b.Name) })
	return loads
}

// OtherRegionReportedAt returns the time of the last digest from another region, directly or
// through a hub, by this process's clock; zero if there was none.
func (v *View) OtherRegionReportedAt() time.Time {
	if v == nil {
		return time.Time{}
	}
	return v.otherRegionAt
}
