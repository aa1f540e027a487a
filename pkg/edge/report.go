package edge

import (
	"context"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/peer"
)

// report returns the instance's report to the others.
func (e *Edge) report() peer.Report {
	position := e.store.Position()
	var storeAge time.Duration
	if asOf := e.store.AsOf(); !asOf.IsZero() {
		storeAge = e.now().Sub(asOf).Truncate(time.Millisecond)
	}
	return peer.Report{
		Name:        e.self.Name,
		Incarnation: e.self.Incarnation,
		Sequence:    e.sequence.Add(1),
		Leaving:     e.Leaving(),
		Ready:       e.board.Routes.Load() != nil,
		Unreachable: peer.JoinServices(e.unreachableServices()),
		Store:       position.Revision,
		Era:         position.Era,
		Held:        e.store.RetainedSum(),
		Current:     e.store.Current(),
		StoreAge:    storeAge,
		Upstreams:   e.loads(),
		Placed:      e.recent.ToPublish(e.now()),
		Used:        e.limiter.LocalUsage(),
	}
}

// loads returns the requests in flight by upstream, without idle upstreams.
func (e *Edge) loads() []peer.Load {
	view := e.board.Fleet.Load()
	if view == nil {
		return nil
	}
	var loads []peer.Load
	for i := range view.Upstreams {
		id := view.Upstreams[i].ID
		if own := e.tracker.Load(id); own.InFlight > 0 {
			flowing, stalled := e.streams.count(id, e.now())
			loads = append(loads, peer.Load{Name: id, InFlight: own.InFlight, Prefill: own.Prefill, Flowing: flowing, Silent: stalled})
		}
	}
	return loads
}

// Watches reports whether the instance should watch the store itself.
func (e *Edge) Watches() bool { return e.gossip.Watches() }

// followFleet keeps the ejector's pools of interchangeable upstreams up to date, until ctx ends.
func (e *Edge) followFleet(ctx context.Context) {
	known := make(map[string]bool)
	var last *fleet.View
	for {
		changed := e.board.Fleet.Changed()
		if view := e.board.Fleet.Load(); view != nil {
			e.setPools(view, known)
			e.forgetRemoved(last, view)
			e.noteColdEntries(last, view)
			if last == nil {
				e.noteReplaced(view)
			}
			last = view
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// forgetRemoved deletes the metrics and records of upstreams that were removed.
func (e *Edge) forgetRemoved(last, view *fleet.View) {
	if last == nil {
		return
	}
	for i := range last.Upstreams {
		if id := last.Upstreams[i].ID; view.RegionOf(id) == "" {
			e.counts.series.Remove(label(labelTarget, id))
			e.warmth.Forget(id)
			e.streams.forget(id)
			e.paths.forget(id)
			e.upstreamLimits.Forget(id)
			e.invalidLimits.Delete(id)
			e.places.Forget(id)
		}
	}
}

// setPools makes a pool of each service's upstreams in the own region. known holds the services
// of earlier views, which may have lost all their upstreams.
func (e *Edge) setPools(view *fleet.View, known map[string]bool) {
	pools := make(map[string][]string)
	for i := range view.Upstreams {
		if upstream := &view.Upstreams[i]; upstream.Region == e.settings.Region {
			pools[upstream.Service] = append(pools[upstream.Service], upstream.ID)
			known[upstream.Service] = true
		}
	}
	for service := range known {
		e.ejector.SetPool(service, pools[service])
	}
}
