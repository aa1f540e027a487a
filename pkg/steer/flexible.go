package steer

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/member"
)

// Some routes may be processed in few regions only, while others of the same service may run anywhere.
// Once the slots of a region are nearly used up, each request there that could run elsewhere in time
// takes one from a request that cannot: the latter waits or is refused beside idle upstreams that it may
// not use. So flexible requests leave first, before their own region would be late for them.

// Parameters of yielding. A load is the requests in flight per slot of a region's engines.
const (
	// yieldLoad is the load from which flexible requests leave: with half of the slots taken, an engine
	// among several that is free for the next request is still certain to be found.
	yieldLoad = 0.5
	// yieldRange is the range of load above yieldLoad over which the share of flexible requests that leave
	// grows to all. Reports are half a second old; without the ramp all instances would start and stop at
	// the same moment.
	yieldRange = 0.25
	// yieldMargin is how much lower the load of the other region must be: flexible requests hold their
	// slots longer there, as their shared segments are read anew.
	yieldMargin = 0.2
)

// yield returns the region to which a flexible request is forwarded so that its slot here is left to
// requests that may not leave; nil if it stays.
func (w *Snapshot) yield(req *Request, here *Survey, regions []RemoteRegion) *RemoteRegion {
	if req.Service.Engine == nil || here.Slots == 0 || !req.Service.Yields(req.Route, w.Region) {
		return nil
	}
	load := float64(here.InFlight) / float64(here.Slots)
	late := w.Lateness.ShareOfBound(req.Service.Name, req.Route.Priority, w.Now)
	share := min(1, (load-yieldLoad)/yieldRange) * min(1, late/toleratedLate)
	if w.yieldDraw(req) >= share {
		return nil
	}
	inTime := time.Duration(targetShare * float64(req.Route.TargetLatency))
	forecast := w.Estimates.Forecast(req.Service.Name, w.Now)
	room := make([]float64, len(regions))
	for i := range regions {
		remote := &regions[i]
		there := w.remoteWait(req, remote, &forecast)
		if there.total()+milliseconds(forecast.meanError) > inTime || req.Service.Yields(req.Route, remote.Region) {
			continue
		}
		room[i] = max(0, (load-yieldMargin-remote.load())*float64(remote.Slots))
	}
	remote := w.draw(regions, room)
	if remote != nil {
		remote.Yielded = true
	}
	return remote
}

// yieldDraw returns a number from 0 to 1 that decides whether a request is part of a share. Requests with a
// shared segment get that of the segment, which all instances agree on: the segments that leave are then
// cached in one region, and those that stay in the other.
func (w *Snapshot) yieldDraw(req *Request) float64 {
	if shared := sharedSegment(req); shared != nil {
		return float64(member.Key("yield", shared.ID)>>11) / (1 << 53)
	}
	return w.fraction("yield")
}

// contendedIn reports whether more urgent requests that find no capacity in time may be processed in a
// region.
func (r *Request) contendedIn(region string) bool {
	return r.Contended && r.Service.Contested(r.Route, region)
}
