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
// the store itself or does not hear it.
func (g *Gossip) catchUp(ctx context.Context) {
	store := g.options.Store
	revision := store.Revision()
	if store.Current() {
		return
	}
	newest := g.newest(revision)
	if newest == nil {
		return
	}
	delta, err := g.copy(ctx, newest, revision)
	if err != nil {
		g.copyFailed(newest, err)
		return
	}
	if store.Adopt(&delta) {
		g.options.Log.Debug().Int64(event.KeyRevision, delta.Revision).Str(event.KeyPeer, newest.Name).Msg(string(event.CopyAdopted))
	}
}

// copyFailed has the store followed for a while.
func (g *Gossip) copyFailed(from *fleet.Instance, err error) {
	g.options.Log.Warn().Err(err).Str(event.KeyPeer, from.Name).Msg(string(event.CopyFailed))
	g.followUntil.Store(g.options.Clock.Now().Add(followAfter).UnixNano())
}

// copy asks an instance for what changed in its copy of the store since a revision.
func (g *Gossip) copy(ctx context.Context, from *fleet.Instance, since int64) (mirror.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var reply CopyReply
	if err := g.copies.Call(ctx, from.Gossip, methodCopy, CopyArgs{Revision: since}, &reply); err != nil {
		return mirror.Delta{}, err
	}
	return unpack(reply.Packed)
}

// newest returns the live instance with the newest copy above a revision, of the own
// domain if there is one; nil when there is none.
func (g *Gossip) newest(above int64) *fleet.Instance {
	now := g.options.Clock.Now()
	others := g.registered()
	g.mu.Lock()
	defer g.mu.Unlock()
	var best *fleet.Instance
	for i := range others {
		report := g.reports[others[i].Name]
		if report != nil && report.value.Store > above && now.Sub(report.at) <= SilentAfter && !now.Before(g.avoided[others[i].Name]) {
			above, best = report.value.Store, &others[i]
		}
	}
	if best != nil {
		return best
	}
	for domain, digest := range g.digests {
		if digest.value.Store <= above || now.Sub(digest.at) > SilentAfter {
			continue
		}
		for i := range others {
			if others[i].Domain == domain && !now.Before(g.avoided[others[i].Name]) {
				above, best = digest.value.Store, &others[i]
			}
		}
	}
	if best != nil {
		return best
	}
	for _, offered := range g.askers {
		if offer := &offered.value; offer.store > above && now.Sub(offered.at) <= SilentAfter && !now.Before(g.avoided[offer.instance.Name]) {
			above, best = offer.store, &offer.instance
		}
	}
	return best
}

// hasCopy says whether an instance, or one of its domain, is known to have a copy of the
// store.
func (g *Gossip) hasCopy(instance *fleet.Instance) bool {
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
func (g *Gossip) noteAsker(ask *Ask, own *Report, now time.Time) {
	if own.Store > 0 {
		clear(g.askers)
		return
	}
	if ask.Gossip == "" || ask.Report.Store == 0 {
		return
	}
	offers := asker{
		instance: fleet.Instance{Name: ask.Report.Name, Domain: ask.Domain, Region: ask.Region, Gossip: ask.Gossip},
		store:    ask.Report.Store,
	}
	g.askers[ask.Report.Name] = &heard[asker]{value: offers, at: now}
}
