package peer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/warmth"
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

// exchangeWithinDomain reports to the hub, or to every instance in a small domain.
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
	// exchange logs and records failures.
	_ = all.Wait()
}

// exchangeWithDomains asks the hubs of other domains; those of other regions only if regions is
// true.
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

// ReportNow reports to every instance of the own domain at once, so that a leaving mark does not
// wait for the next round.
func (g *Gossip) ReportNow(ctx context.Context) {
	var all errgroup.Group
	for _, instance := range g.domain() {
		all.Go(func() error { g.exchange(ctx, instance, sameRegionTimeout); return nil })
	}
	_ = all.Wait()
}

// AnnounceWarmth tells all instances of the region at once which upstreams are cold by their own answers, which would
// take two rounds or more by way of hubs. It returns when they have answered. Those that it does not reach hear of it in
// a round.
func (g *Gossip) AnnounceWarmth(ctx context.Context) {
	if g.options.Warmth == nil {
		return
	}
	args := AnnounceArgs{Region: g.options.Self.Region, Warmth: warmth.Pack(g.options.Warmth(false))}
	ctx, cancel := context.WithTimeout(ctx, sameRegionTimeout)
	defer cancel()
	var all errgroup.Group
	for _, instance := range g.registered() {
		if instance.Region != args.Region {
			continue
		}
		all.Go(func() error {
			return g.options.Client.CallOnce(ctx, instance.Gossip, methodAnnounce, args, &AnnounceReply{})
		})
	}
	// An instance of an earlier version does not know the method.
	_ = all.Wait()
}

func (g *Gossip) exchange(ctx context.Context, instance fleet.Instance, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply Reply
	dict := g.dictionary()
	ask := g.ask(&instance, dict)
	asked := g.options.Clock.Now()
	err := g.options.Client.Call(ctx, instance.Gossip, methodExchange, ask, &reply)
	if ctx.Err() != nil && err == nil {
		return
	}
	if err != nil {
		g.recordFailure(instance, err)
		return
	}
	g.applyReply(&instance, &reply, dict)
	g.learnWarmth(reply.Warmth, asked)
}

// ask builds the request to an instance. Instances of another domain receive this one's load
// through the digests that they request: at 1,000 upstreams the load of a busy instance takes 25
// KB, too much to send to the hubs of all domains.
func (g *Gossip) ask(instance *fleet.Instance, dict *dictionary) Ask {
	ask := Ask{
		Domain: g.options.Self.Domain, Region: g.options.Self.Region, Report: g.report(),
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
		ask.Warmth = g.warmth()
	}
	return ask
}

// recordFailure records that an instance did not answer.
func (g *Gossip) recordFailure(instance fleet.Instance, err error) {
	now := g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, before := g.avoidedUntil[instance.Name]; !before {
		g.options.Log.Info().Err(err).Str(event.KeyPeer, instance.Name).Msg(string(event.PeerLost))
	}
	g.avoidedUntil[instance.Name] = now.Add(avoidDuration)
}
