package steer

import (
	"math"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/peer"
)

// Calls of plain services last some tens of milliseconds, less than the age of load
// reports. So an upstream's reported load does not predict what a call meets there:
// hundreds of instances that act on the same report send to the same upstream. The load of
// a region as a whole stays valid for seconds. Inside a region calls are spread by the
// valid share of the report; a region with more calls in flight than its slots serve well
// forwards a planned share of them to regions with spare capacity, before upstreams queue
// and reject.

// Parameters of the spreading of plain calls. A load is the requests in flight per slot.
const (
	// spillThreshold is the load above which a region forwards calls if its instances know
	// nothing of each other's present work: with Poisson arrivals one call in six finds all
	// six slots of an upstream taken at a load of 0.8, one in four at 0.9 (Erlang's loss
	// formula).
	spillThreshold = 0.8
	// spillKnownBonus is added to the threshold if the present work is fully known: calls
	// can then be placed evenly, and waiting for another to finish takes less than the
	// round trip.
	spillKnownBonus = 0.5
	// spillRange is the range of load above the threshold over which the forwarded share of
	// calls grows to all: a region that is offered 1.5 times its slots settles at a load of
	// about 1.
	spillRange = 0.5
	// remoteLoadMargin is how much lower the load of a remote region must be. Reports from
	// there are half a second old, and the round trip costs 0.11 s of the target.
	remoteLoadMargin = 0.2
)

// expectedLoad is the present load of others at an upstream: the reported load as far as
// calls of that age still run, and the region's mean for the rest.
func expectedLoad(reported, mean float64, age, meanTime time.Duration) float64 {
	valid := stillRunning(age, meanTime)
	return valid*reported + (1-valid)*mean
}

// stillRunning is the fraction of the calls in flight that still run after age.
func stillRunning(age, meanTime time.Duration) float64 {
	return math.Exp(-float64(age) / float64(max(meanTime, time.Millisecond)))
}

// unseenJitter is the largest random cost relative to the calls that others have sent to an upstream
// unreported, if they spread them evenly.
const unseenJitter = 3.0

// unseenCalls is the largest random cost of an upstream: instances that act on the same reports would
// all choose the same one until the next.
func unseenCalls(mean float64, age, meanTime time.Duration) float64 {
	return unseenJitter * mean * float64(age) / float64(max(meanTime, time.Millisecond))
}

// meanInFlight is the mean requests in flight of the other instances at the upstreams.
func meanInFlight(loads []peer.Load) float64 {
	if len(loads) == 0 {
		return 0
	}
	total := 0
	for i := range loads {
		total += loads[i].InFlight
	}
	return float64(total) / float64(len(loads))
}

// spill returns the region to which a plain call is forwarded as part of the planned share;
// nil if it stays.
func (w *Snapshot) spill(req *Request, here *Survey, regions []RemoteRegion) *RemoteRegion {
	if !w.roundTripFits(req) || here.Slots == 0 {
		return nil
	}
	load := float64(here.InFlight) / float64(here.Slots)
	remote := w.drawRegion(load, regions)
	if remote == nil {
		return nil
	}
	there := remote.load()
	from := spillThreshold + spillKnownBonus*w.knownFraction(req.Service.Name, here)
	share := (load - max(from, there+remoteLoadMargin)) / spillRange
	// Forwarding more than what makes both loads equal would bring the excess back.
	share = min(share, (load-there)/load)
	if w.fraction(req.Service.Name) >= share {
		return nil
	}
	return remote
}

// knownFraction is the fraction of a plain service's calls in the own region with a known
// upstream: own calls, and those of others that still run as reported. With a single
// upstream all are known.
func (w *Snapshot) knownFraction(service string, here *Survey) float64 {
	if here.Usable <= 1 {
		return 1
	}
	others, age := w.Peers.RegionPeers(w.Now)
	own := 1 / float64(1+others)
	return own + (1-own)*stillRunning(age, w.CallTimes.Of(service))
}

// roundTripFits reports whether a call that is forwarded to another region can still be in
// time.
func (w *Snapshot) roundTripFits(req *Request) bool {
	took := regionRoundTrip + w.CallTimes.Of(req.Service.Name)
	return float64(took) <= targetShare*float64(req.Route.TargetLatency)
}

// drawRegion draws one of the regions with a lower load, weighted by free slots: if all
// instances chose the emptiest, it would be full before they receive a report of it.
func (w *Snapshot) drawRegion(load float64, regions []RemoteRegion) *RemoteRegion {
	room := make([]float64, len(regions))
	for i := range regions {
		room[i] = max(0, (load-remoteLoadMargin-regions[i].load())*float64(regions[i].Slots))
	}
	return w.draw(regions, room)
}

// draw draws one of the regions by their weights; nil if all are zero.
func (w *Snapshot) draw(regions []RemoteRegion, weights []float64) *RemoteRegion {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	if total == 0 {
		return nil
	}
	drawn := w.fraction("region") * total
	for i := range regions {
		if drawn < weights[i] {
			return &regions[i]
		}
		drawn -= weights[i]
	}
	return &regions[slices.Index(weights, slices.Max(weights))]
}

// load is the region's requests in flight per slot.
func (a *RemoteRegion) load() float64 { return float64(a.InFlight) / float64(max(1, a.Slots)) }
