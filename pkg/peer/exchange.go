package peer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// domain returns the other registered instances of the own domain.
func (g *Gossip) domain() []fleet.Instance {
	var others []fleet.Instance
	for _, instance := range g.registered() {
		if instance.Domain == g.options.Self.Domain {
			others = append(others, instance)
		}
	}
	return others
}

const jobHub = "hub"

// exchangeNear reports to the hub, or to everyone in a small domain.
func (g *Gossip) exchangeWithinDomain(ctx context.Context) {
	others := g.domain()
	hub := g.hub()
	small := !g.usesHub()
	var all errgroup.Group
	for _, instance := range others {
		if small || instance.Name == hub {
			all.Go(func() error { g.exchange(ctx, instance, sameRegionTimeout); return nil })
		}
	}
	// Failures are logged and remembered by exchange.
	_ = all.Wait()
}

// exchangeFar asks the hubs of other domains.
func (g *Gossip) exchangeWithDomains(ctx context.Context, regions bool) {
	others := g.registered()
	byName := make(map[string]fleet.Instance, len(others))
	domains := make(map[string]bool)
	for _, instance := range others {
		byName[instance.Name] = instance
		sameRegion := instance.Region == g.options.Self.Region
		if instance.Domain != g.options.Self.Domain && (sameRegion || regions) {
			domains[instance.Domain] = true
		}
	}
	var all errgroup.Group
	for domain := range domains {
		ranked := g.ranked(jobHub, domain, others)
		if len(ranked) == 0 {
			continue
		}
		instance := byName[ranked[0]]
		timeout := sameRegionTimeout
		if instance.Region != g.options.Self.Region {
			timeout = crossRegionTimeout
		}
		all.Go(func() error { g.exchange(ctx, instance, timeout); return nil })
	}
	_ = all.Wait()
}

// ReportNow tells everyone of the own domain, and the other domains' hubs, at once: a
// leaving mark must not wait.
func (g *Gossip) ReportNow(ctx context.Context) {
	var all errgroup.Group
	for _, instance := range g.domain() {
		all.Go(func() error { g.exchange(ctx, instance, sameRegionTimeout); return nil })
	}
	_ = all.Wait()
}

func (g *Gossip) exchange(ctx context.Context, instance fleet.Instance, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply Reply
	dict := g.dictionary()
	ask := g.ask(&instance, dict)
	err := g.options.Client.Call(ctx, instance.Gossip, methodExchange, ask, &reply)
	if ctx.Err() != nil && err == nil {
		return
	}
	if err != nil {
		g.recordFailure(instance, err)
		return
	}
	g.applyReply(&instance, &reply, dict)
}

// ask is what an instance is asked. One of another domain hears of this one's work through
// the digests that it asks for itself: at 1,000 upstreams the work of a busy instance is
// 25 KB, and it went to the hubs of all domains.
func (g *Gossip) ask(instance *fleet.Instance, dict *dictionary) Ask {
	ask := Ask{
		Domain: g.options.Self.Domain, Region: g.options.Self.Region, Report: g.options.Report(),
		Sums: g.usesHub(), Rosters: g.rosters(), Dictionary: dict.fingerprint,
	}
	if instance.Domain != g.options.Self.Domain {
		ask.Report.Upstreams, ask.Report.Placed, ask.Report.Used = nil, nil, nil
	}
	if !g.hasReplica(instance) {
		ask.Gossip = g.options.Self.Gossip
	}
	g.attachEvidence(&ask, instance)
	ask.Departures = g.departures()
	if instance.Region == g.options.Self.Region {
		ask.Limits = g.limits()
	}
	return ask
}

// unreached remembers that an instance did not answer.
func (g *Gossip) recordFailure(instance fleet.Instance, err error) {
	now := g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, before := g.avoidedUntil[instance.Name]; !before {
		g.options.Log.Info().Err(err).Str(event.KeyPeer, instance.Name).Msg(string(event.PeerLost))
	}
	g.avoidedUntil[instance.Name] = now.Add(avoidDuration)
}
