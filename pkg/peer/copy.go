package peer

import (
	"context"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/mirror"
)

// startCatchUp copies beside the rounds, one copy at a time. Its goroutine is added to
// running.
func (g *Gossip) startCatchUp(ctx context.Context, running *sync.WaitGroup) {
	if !g.copying.CompareAndSwap(false, true) {
		return
	}
	running.Go(func() {
		defer g.copying.Store(false)
		g.catchUp(ctx)
	})
}

// catchUp takes a peer's newer copy of the store, when this instance does not follow
// the store itself or does not hear it, and what a peer holds over from before the store's last
// return, which an instance cannot know that began since.
func (g *Gossip) catchUp(ctx context.Context) {
	store := g.options.Store
	since := store.Position()
	var from *fleet.Instance
	if !store.Current() {
		from = g.newestSource(since)
	}
	if from == nil && since.Era > 0 {
		from = g.retainedSource(store.Held())
	}
	if from == nil {
		return
	}
	delta, err := g.copy(ctx, from, since)
	if err != nil {
		g.copyFailed(from, err)
		return
	}
	if store.Adopt(&delta) {
		g.options.Log.Debug().Uint64(event.KeyEra, delta.Era).Int64(event.KeyRevision, delta.Revision).Str(event.KeyPeer, from.Name).Msg(string(event.CopyAdopted))
	}
}

// copyFailed has the store followed for a while.
func (g *Gossip) copyFailed(from *fleet.Instance, err error) {
	g.options.Log.Warn().Err(err).Str(event.KeyPeer, from.Name).Msg(string(event.CopyFailed))
	g.followUntil.Store(g.options.Clock.Now().Add(followAfterFailure).UnixNano())
}

// copy asks an instance for what changed in its copy of the store since a position.
func (g *Gossip) copy(ctx context.Context, from *fleet.Instance, since mirror.Position) (mirror.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var reply CopyReply
	if err := g.copies.Call(ctx, from.Gossip, methodCopy, CopyArgs{Revision: since.Revision, Era: since.Era}, &reply); err != nil {
		return mirror.Delta{}, err
	}
	return unpack(reply.Packed)
}

// holder returns a live instance that holds something over from before the store's last return
// which this one does not know, and was not asked for it yet; nil when there is none.
func (g *Gossip) retainedSource(held uint64) *fleet.Instance {
	now := g.options.Clock.Now()
	others := g.registered()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range others {
		name := others[i].Name
		advertised := g.retainedBy(&others[i], now)
		if advertised == 0 {
			delete(g.requestedRetained, name)
			continue
		}
		if advertised != held && g.requestedRetained[name] != advertised && !now.Before(g.avoidedUntil[name]) {
			g.requestedRetained[name] = advertised
			return &others[i]
		}
	}
	return nil
}

// heldBy is the fingerprint of what an instance holds over, as far as it was heard lately. Of
// another domain its hub tells it. The caller holds g.mu.
func (g *Gossip) retainedBy(instance *fleet.Instance, now time.Time) uint64 {
	if instance.Domain == g.options.Self.Domain {
		if report := g.reports[instance.Name]; report != nil && now.Sub(report.at) <= SilentAfter {
			return report.value.Held
		}
		return 0
	}
	if digest := g.digests[instance.Domain]; digest != nil && now.Sub(digest.at) <= SilentAfter {
		return digest.value.Held
	}
	return 0
}

// newest returns the live instance with the newest copy above a position, of the own
// domain if there is one; nil when there is none.
func (g *Gossip) newestSource(above mirror.Position) *fleet.Instance {
	now := g.options.Clock.Now()
	others := g.registered()
	g.mu.Lock()
	defer g.mu.Unlock()
	var best *fleet.Instance
	for i := range others {
		report := g.reports[others[i].Name]
		if report != nil && above.Before(report.value.position()) && now.Sub(report.at) <= SilentAfter && !now.Before(g.avoidedUntil[others[i].Name]) {
			above, best = report.value.position(), &others[i]
		}
	}
	if best != nil {
		return best
	}
	for domain, digest := range g.digests {
		if !above.Before(digest.value.position()) || now.Sub(digest.at) > SilentAfter {
			continue
		}
		for i := range others {
			if others[i].Domain == domain && !now.Before(g.avoidedUntil[others[i].Name]) {
				above, best = digest.value.position(), &others[i]
			}
		}
	}
	if best != nil {
		return best
	}
	for _, offered := range g.replicaOffers {
		if offer := &offered.value; above.Before(offer.store) && now.Sub(offered.at) <= SilentAfter && !now.Before(g.avoidedUntil[offer.instance.Name]) {
			above, best = offer.store, &offer.instance
		}
	}
	return best
}

// hasCopy says whether an instance, or one of its domain, is known to have a copy of the
// store.
func (g *Gossip) hasReplica(instance *fleet.Instance) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if instance.Domain != g.options.Self.Domain {
		digest := g.digests[instance.Domain]
		return digest != nil && digest.value.Store > 0
	}
	report := g.reports[instance.Name]
	return report != nil && report.value.Store > 0
}

// noteAsker remembers who offers a copy, as long as this instance has none. The caller
// holds g.mu.
func (g *Gossip) recordReplicaOffer(ask *Ask, own *Report, now time.Time) {
	if own.Store > 0 {
		clear(g.replicaOffers)
		return
	}
	if ask.Gossip == "" || ask.Report.Store == 0 {
		return
	}
	offer := replicaOffer{
		instance: fleet.Instance{Name: ask.Report.Name, Domain: ask.Domain, Region: ask.Region, Gossip: ask.Gossip},
		store:    ask.Report.position(),
	}
	g.replicaOffers[ask.Report.Name] = &received[replicaOffer]{value: offer, at: now}
}
