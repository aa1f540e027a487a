package steer

import (
	"math"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/peer"
)

// Calls of plain services last some tens of milliseconds, less than what is told of the
// others' work is old. So an upstream's load as it was told says little of what a call
// meets there: hundreds of instances that all believe it send to the same upstream. What
// does hold for seconds is how much a region as a whole has in hand. Inside a region calls
// are spread by what is left of the news; a region that has more in hand than its slots
// serve well sends a share of its calls, by plan, to where there is room, before upstreams
// queue and reject.

// Parameters of the spreading of plain calls. A load is requests in hand by slots.
const (
	// spillThreshold is the load from which on a region sends calls away whose instances know
	// nothing of each other's present work: with Poisson arrivals one call in six finds all
	// six slots of an upstream taken at a load of 0.8, one in four at 0.9 (Erlang's loss
	// formula).
	spillThreshold = 0.8
	// spillKnownBonus is how much higher that load is where all is known: calls can be placed
	// evenly then, and one that waits for the end of another waits less than the way takes.
	spillKnownBonus = 0.5
	// spillRange is over how much more load the share of calls that are sent away grows to
	// all: a region that is offered 1.5 times its slots settles at a load of about 1.
	spillRange = 0.5
	// remoteLoadMargin is how much lower the load far away must be at least. What is known of it is
	// half a second old, and the way costs 0.11 s of the target.
	remoteLoadMargin = 0.2
)

// expectedLoad is the load of other instances at an upstream by now: as it was told, as far as
// calls of that age still run, and the region's mean otherwise.
func expectedLoad(reported, mean float64, age, meanTime time.Duration) float64 {
	valid := stillRunning(age, meanTime)
	return valid*reported + (1-valid)*mean
}

// stillRunning is the part of the calls in hand that still run after a time.
func stillRunning(age, meanTime time.Duration) float64 {
	return math.Exp(-float64(age) / float64(max(meanTime, time.Millisecond)))
}

// meanInFlight is the mean work of the others at the upstreams.
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

// spill returns the region to which a plain call goes by plan; nil when it stays.
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
	// More than what makes both equal would come back.
	share = min(share, (load-there)/load)
	if w.fraction(req.Service.Name) >= share {
		return nil
	}
	return remote
}

// knownFraction is the part of a plain service's calls in hand in the own region of which this
// instance knows where they are: its own, and those of others that still run as told. With
// one upstream there is nothing to know.
func (w *Snapshot) knownFraction(service string, here *Survey) float64 {
	if here.Usable <= 1 {
		return 1
	}
	others, age := w.Peers.Near(w.Now)
	own := 1 / float64(1+others)
	return own + (1-own)*stillRunning(age, w.CallTimes.Of(service))
}

// roundTripFits says whether a call that goes to another region can still be in time.
func (w *Snapshot) roundTripFits(req *Request) bool {
	took := regionRoundTrip + w.CallTimes.Of(req.Service.Name)
	return float64(took) <= targetShare*float64(req.Route.TargetLatency)
}

// drawRegion draws one of the regions with a lower load, each by its free slots: if all
// instances chose the emptiest, it would be full before they hear of it.
func (w *Snapshot) drawRegion(load float64, regions []RemoteRegion) *RemoteRegion {
	room := make([]float64, len(regions))
	total := 0.0
	for i := range regions {
		room[i] = max(0, (load-remoteLoadMargin-regions[i].load())*float64(regions[i].Slots))
		total += room[i]
	}
	if total == 0 {
		return nil
	}
	drawn := w.fraction("region") * total
	for i := range regions {
		if drawn < room[i] {
			return &regions[i]
		}
		drawn -= room[i]
	}
	return &regions[slices.Index(room, slices.Max(room))]
}

// load is the region's requests in hand by its slots.
func (a *RemoteRegion) load() float64 { return float64(a.InFlight) / float64(max(1, a.Slots)) }
