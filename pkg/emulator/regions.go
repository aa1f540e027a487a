package emulator

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/steer"
	"github.com/lilacweir/lilacweir/pkg/timeline"
)

// Region is one region: its engines and instances.
type Region struct {
	Name               string
	Engines, Instances int
	// CutOffAt is the time since the start from which nothing passes between this region and the others;
	// zero if that does not happen.
	CutOffAt time.Duration
}

// Placement is a request that was sent to an engine, or forwarded in vain.
type Placement struct {
	Kind *Kind
	// From is the region of the caller, To that of the engine.
	From, To string
	// Yielded is true if the request left its region's slots to bound ones, Lost if the region that it was
	// forwarded to was cut off before the answer.
	Yielded, Lost bool
	Since         time.Duration
}

// region is the state of an emulated region.
type region struct {
	Region
	// suffix is that of the region's keys in the results.
	suffix    string
	engines   []string
	instances []*instance
	// remote holds the last report of each other region.
	remote map[string]regionReport
}

// regionReport is the work of a region's instances, and when it was received.
type regionReport struct {
	load peer.Load
	at   time.Time
}

const (
	// maxHops is the number of other instances that are asked to serve a request, as in pkg/edge.
	maxHops = 2
	// capacityWaitPart is the part of its target for which a request waits for capacity before it is
	// refused, and capacityPollInterval the time between checks, as in pkg/edge.
	capacityWaitPart     = 8
	capacityPollInterval = 20 * time.Millisecond
	// cutDetection is the time until an instance gives up a request that it sent to a region that is cut
	// off: the round trip twice.
	cutDetection = 4 * interRegionDelay
)

// hop is a request's way to another region. begun and ended record how that region treats it.
type hop struct {
	origin  *instance
	to      *region
	yielded bool
	// startedAt is when the origin received the request.
	startedAt time.Time
	begun     func()
	ended     func(limit.Result)
}

// forward sends a request to an instance of another region. The trial of the region is that of
// pkg/edge/region_trial.go: requests that are bound to some regions reduce the share that the region gets, for
// others it backs off.
func (m *emulation) forward(i *instance, r *request, remote *steer.RemoteRegion) {
	key := steer.RegionKey(remote.Region, &r.Request)
	at := slices.IndexFunc(m.regions, func(r *region) bool { return r.Name == remote.Region })
	next := &hop{origin: i, to: m.regions[at], yielded: remote.Yielded, startedAt: r.startedAt}
	r.hops++
	if r.Route.Bound() {
		next.begun = func() { i.acceptance.Record(key, true, m.Now()) }
		next.ended = func(result limit.Result) {
			if result == limit.Rejected {
				i.acceptance.Record(key, false, m.Now())
			}
		}
	} else {
		flight, ok := i.tracker.Start(key, 0, 0)
		if !ok {
			m.decide(i, r)
			return
		}
		next.begun, next.ended = flight.FirstByte, flight.Done
	}
	i.recent.Sent(r.Segments, remote.Region, m.Now())
	r.hop = next
	m.After(interRegionDelay, func() {
		if m.cut(i.region, next.to) {
			m.returnHop(r, limit.Abandoned)
			return
		}
		r.startedAt = m.Now()
		m.decide(m.pickInstance(next.to), r)
	})
}

// returnHop hands a request back to the instance that forwarded it, which decides again.
func (m *emulation) returnHop(r *request, result limit.Result) {
	failed, delay := r.hop, interRegionDelay
	if m.cut(failed.origin.region, failed.to) {
		result, delay = limit.Abandoned, cutDetection
		m.notePlacement(failed.to, r, true)
	}
	m.After(delay, func() {
		failed.ended(result)
		r.hop, r.startedAt = nil, failed.startedAt
		m.decide(failed.origin, r)
	})
}

// begin passes the first token of an answer on to the caller. If it was forwarded and its region has been cut
// off since, the instance that forwarded it decides again.
func (m *emulation) begin(r *request, now time.Time) {
	switch present := r.hop; {
	case present == nil:
		m.recordFirstToken(r, now)
	case m.cut(present.origin.region, present.to):
		m.returnHop(r, limit.Abandoned)
	default:
		m.After(interRegionDelay, func() {
			present.begun()
			m.recordFirstToken(r, m.Now())
		})
	}
}

func (m *emulation) notePlacement(to *region, r *request, lost bool) {
	if note := m.options.OnPlacement; note != nil {
		note(Placement{Kind: r.kind, From: r.from.Name, To: to.Name, Yielded: r.hop != nil && r.hop.yielded, Lost: lost, Since: m.since()})
	}
}

func (m *emulation) since() time.Duration { return m.Now().Sub(timeline.Epoch) }

// cut reports whether nothing passes between two regions.
func (m *emulation) cut(a, b *region) bool {
	off := func(r *region) bool { return r.CutOffAt > 0 && m.since() >= r.CutOffAt }
	return a != b && (off(a) || off(b))
}

// reportRegions sends the work of each region to the others, which receive it with an age.
func (m *emulation) reportRegions(age time.Duration) {
	for _, from := range m.regions {
		sum := peer.Load{Name: serviceName}
		for _, load := range m.loads(from) {
			sum.InFlight += load.InFlight
			sum.Prefill += load.Prefill
		}
		for _, to := range m.regions {
			if to != from && !m.cut(from, to) {
				m.After(age, func() { to.remote[from.Name] = regionReport{sum, m.Now()} })
			}
		}
	}
}

// knownPeers returns as many instances as a region has others, one of them in each other region that has
// reported.
func (m *emulation) knownPeers(r *region) []peer.Known {
	var known []peer.Known
	for _, other := range m.regions {
		if report, ok := r.remote[other.Name]; ok {
			known = append(known, peer.Known{Instance: fleet.Instance{Name: other.Name, Region: other.Name}, Ready: true, ReportedAt: report.at})
		}
	}
	for len(known) < len(r.instances)-1 {
		known = append(known, peer.Known{Instance: fleet.Instance{Region: r.Name}})
	}
	return known
}
