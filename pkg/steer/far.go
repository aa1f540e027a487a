package steer

import (
	"math"
	"time"

	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/peer"
)

// Away is another region with what a request would meet there.
type Away struct {
	Region string
	// Peers are the live instances there, at least one.
	Peers []*peer.Known
	// PerSlot is the requests in hand for each slot, Backlog the prompt tokens to be
	// read for each upstream.
	PerSlot, Backlog float64
}

// Regions returns the other regions in which the request may be processed and where
// a live instance and a usable upstream are known, in no order.
func (w *World) Regions(req *Request) []Away {
	byRegion := make(map[string]*Away)
	for i := range w.peers() {
		known := &w.Peers.Others[i]
		region := known.Instance.Region
		if region == w.Region || !req.Route.PermittedIn(region) {
			continue
		}
		if known.Leaving || !known.Live(w.Now) || known.Configuration == 0 {
			continue
		}
		away := byRegion[region]
		if away == nil {
			away = &Away{Region: region}
			byRegion[region] = away
		}
		away.Peers = append(away.Peers, known)
	}
	var regions []Away
	for _, away := range byRegion {
		if w.measure(away, req.Service) {
			regions = append(regions, *away)
		}
	}
	return regions
}

func (w *World) peers() []peer.Known {
	if w.Peers == nil {
		return nil
	}
	return w.Peers.Others
}

// measure fills in a region's load; false when nothing there may get work.
func (w *World) measure(away *Away, service *httproute.Service) bool {
	slots, upstreams := 0, 0
	for _, upstream := range w.Fleet.Service(service.Name) {
		if upstream.Region == away.Region && w.Fleet.Usable(upstream) && !upstream.Cold(w.Now) {
			slots += upstream.Slots
			upstreams++
		}
	}
	if upstreams == 0 || slots == 0 {
		return false
	}
	inFlight, prefill := 0, 0
	for _, known := range away.Peers {
		for _, load := range known.Services {
			if load.Name == service.Name {
				inFlight += load.InFlight
				prefill += load.Prefill
			}
		}
	}
	away.PerSlot = float64(inFlight) / float64(slots)
	away.Backlog = float64(prefill) / float64(upstreams)
	return true
}

// Parameters of sending away.
const (
	// farMargin is by how much the load for each slot must be lower far away: the
	// way there and back costs time, bytes, and prompts that are read anew.
	farMargin = 0.25
	// farBusy is the load for each slot below which a plain service sends nothing away.
	farBusy = 0.8
	// farBacklog is the prompt tokens to be read for each upstream below which
	// engines send nothing away; at 60 tokens a millisecond, about twice the way.
	farBacklog = 15000
)

// Choose returns the least loaded of regions that is worth the way from a region
// with the given survey; nil when none is. With nothing usable here any region is.
func (w *World) Choose(req *Request, here Survey, regions []Away) *Away {
	var best *Away
	lowest := math.Inf(1)
	for i := range regions {
		if load := regions[i].load(req.Service); load < lowest {
			best, lowest = &regions[i], load
		}
	}
	if best == nil || here.Best.Upstream == nil || !req.Route.PermittedIn(w.Region) {
		return best
	}
	local := Away{PerSlot: perSlot(here), Backlog: float64(here.Prefill) / float64(max(1, here.Usable))}
	if local.load(req.Service) < lowest+farMargin {
		return nil
	}
	busy := local.PerSlot >= farBusy
	if req.Service.Engine != nil {
		busy = busy || local.Backlog >= farBacklog
	}
	if !busy {
		return nil
	}
	return best
}

func perSlot(s Survey) float64 { return float64(s.InFlight) / float64(max(1, s.Slots)) }

// load is a region's load in shares of its slots; for engines, prompts to be read
// count as well.
func (a *Away) load(service *httproute.Service) float64 {
	if service.Engine == nil {
		return a.PerSlot
	}
	return max(a.PerSlot, a.Backlog/(2*farBacklog))
}

// RetryAfter is when a request that found no place should come back.
func RetryAfter(now, deadline time.Time) time.Duration {
	const usual = 300 * time.Millisecond
	if left := deadline.Sub(now) / 3; left > 0 && left < usual {
		return left
	}
	return usual
}
