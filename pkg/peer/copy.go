package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/freshness"
	"github.com/lilacweir/lilacweir/pkg/mirror"
)

// startCatchUp runs catchUp in the background, one at a time. Its goroutine is added to running. asked is true if
// those instances were asked that may tell more of the store's entries than it does.
func (g *Gossip) startCatchUp(ctx context.Context, running *sync.WaitGroup, asked bool) {
	if !g.copying.CompareAndSwap(false, true) {
		return
	}
	running.Go(func() {
		defer g.copying.Store(false)
		if asked && g.options.Store.Unreplayed() {
			g.introduce(ctx)
		}
		g.catchUp(ctx)
	})
}

// catchUp fetches a peer's newer snapshot of the store if this instance does not follow the
// store itself or cannot reach it. It also fetches the entries of which a peer knows a newer state
// than the store has, which an instance that started since cannot know.
func (g *Gossip) catchUp(ctx context.Context) {
	store := g.options.Store
	since := store.Position()
	var from *fleet.Instance
	if !store.Current() {
		from = g.newestSource(since)
	}
	if from == nil {
		from = g.retainedSource(store.RetainedSum())
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

// introduce compares this instance's snapshot with another one's whole snapshot: the store does not tell
// what its entries were before. If none that answers has one, there is nothing to wait for.
func (g *Gossip) introduce(ctx context.Context) {
	from := g.introducer()
	if from == nil {
		g.options.Store.Introduce(&mirror.Delta{})
		return
	}
	whole, err := g.copy(ctx, from, mirror.Position{})
	if err != nil {
		g.copyFailed(from, err)
		return
	}
	g.options.Store.Introduce(&whole)
}

// hasSourceNear reports whether another instance of the own domain has a snapshot.
func (g *Gossip) hasSourceNear() bool {
	return g.newestInDomain(mirror.Position{}, g.registered(), g.options.Clock.Now()) != nil
}

// introducer returns a live instance with a snapshot, preferring the own domain; nil if none is known.
func (g *Gossip) introducer() *fleet.Instance {
	now := g.options.Clock.Now()
	others := g.registered()
	if near := g.newestInDomain(mirror.Position{}, others, now); near != nil {
		return near
	}
	if domain := g.newestDomain(mirror.Position{}, now); domain != "" {
		return g.copySourceIn(domain, others, now)
	}
	return nil
}

// copyFailed makes the instance follow the store itself for a while, and ask another one for the
// next copy.
func (g *Gossip) copyFailed(from *fleet.Instance, err error) {
	g.options.Log.Warn().Err(err).Str(event.KeyPeer, from.Name).Msg(string(event.CopyFailed))
	now := g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.followUntil = now.Add(followAfterFailure)
	g.noCopyUntil[from.Name] = now.Add(avoidDuration)
}

// givesNoCopy reports whether an instance is not asked for a copy now: it did not answer, or its
// last copy failed. The caller holds g.mu.
func (g *Gossip) givesNoCopy(name string, now time.Time) bool {
	return now.Before(g.avoidedUntil[name]) || now.Before(g.noCopyUntil[name])
}

// copy fetches the changes in an instance's snapshot of the store since a position.
func (g *Gossip) copy(ctx context.Context, from *fleet.Instance, since mirror.Position) (mirror.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var reply CopyReply
	if err := g.copies.Call(ctx, from.Gossip, methodCopy, CopyArgs{Revision: since.Revision, Era: since.Era}, &reply); err != nil {
		return mirror.Delta{}, err
	}
	return unpack(reply.Packed)
}

const (
	// currentReportAge is the age up to which a report tells whether a replica is current.
	currentReportAge = 5 * roundInterval
	// currentAge is the age up to which knowledge of the store counts as current: no stream begins at a
	// new software version sooner.
	currentAge = fleet.SettleTime - roundInterval
)

// ReplicaCurrent reports whether the replica of the store is current, as far as can be known: no
// other instance has reported a newer one, and it is complete until currentAge ago at least, by an
// answer of the store to this instance or to one of its domain.
func (g *Gossip) ReplicaCurrent() bool {
	store := g.options.Store
	own, position, now := freshness.Knowledge{AsOf: store.AsOf()}, store.Position(), g.options.Clock.Now()
	current := own.Within(currentAge, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspension.Since(g.options.Suspended()) {
		return false
	}
	for _, report := range g.reports {
		age := now.Sub(report.at)
		if age <= SilentAfter && position.Before(report.value.position()) {
			return false
		}
		current = current || (report.value.Current && age <= currentReportAge && age+report.value.StoreAge <= currentAge)
	}
	for _, digest := range g.digests {
		if now.Sub(digest.at) <= SilentAfter && position.Before(digest.value.position()) {
			return false
		}
	}
	return current
}

// retainedSource returns a live instance that retains entries, newer than the store's, which differ
// from those of this instance, and which was not asked for them yet. It returns nil if there is
// none.
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
		if advertised != held && g.requestedRetained[name] != advertised && !g.givesNoCopy(name, now) {
			g.requestedRetained[name] = advertised
			return &others[i]
		}
	}
	return nil
}

// retainedBy returns the fingerprint of an instance's retained entries as last reported, or zero
// if the report is stale. For another domain the hub reports it. The caller holds g.mu.
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

// newestSource returns the live instance with the newest snapshot above a position, preferring
// the own domain. It returns nil if there is none.
func (g *Gossip) newestSource(above mirror.Position) *fleet.Instance {
	now := g.options.Clock.Now()
	others := g.registered()
	if best := g.newestInDomain(above, others, now); best != nil {
		return best
	}
	if domain := g.newestDomain(above, now); domain != "" {
		// The hub reported the position; another instance of the domain may be behind.
		if hub := g.copySourceIn(domain, others, now); hub != nil {
			return hub
		}
	}
	return g.newestOffer(above, now)
}

// copySourceIn returns the first instance in the order of another domain's hubs that gives copies; nil
// if there is none.
func (g *Gossip) copySourceIn(domain string, others []fleet.Instance, now time.Time) *fleet.Instance {
	ranked := g.ranked(jobHub, domain, others)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range ranked {
		i := slices.IndexFunc(others, func(o fleet.Instance) bool { return o.Name == name })
		if i >= 0 && !g.givesNoCopy(name, now) {
			return &others[i]
		}
	}
	return nil
}

// newestInDomain is newestSource for the own domain.
func (g *Gossip) newestInDomain(above mirror.Position, others []fleet.Instance, now time.Time) (best *fleet.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range others {
		report := g.reports[others[i].Name]
		if report != nil && above.Before(report.value.position()) && now.Sub(report.at) <= SilentAfter && !g.givesNoCopy(others[i].Name, now) {
			above, best = report.value.position(), &others[i]
		}
	}
	return best
}

// newestDomain returns the other domain that reports the newest snapshot above a position; empty if
// there is none.
func (g *Gossip) newestDomain(above mirror.Position, now time.Time) (newest string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for domain, digest := range g.digests {
		if above.Before(digest.value.position()) && now.Sub(digest.at) <= SilentAfter {
			above, newest = digest.value.position(), domain
		}
	}
	return newest
}

// newestOffer returns the instance that offered the newest snapshot above a position to this one
// while it had none; nil if there is none.
func (g *Gossip) newestOffer(above mirror.Position, now time.Time) (best *fleet.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, offered := range g.replicaOffers {
		if offer := &offered.value; above.Before(offer.store) && now.Sub(offered.at) <= SilentAfter && !g.givesNoCopy(offer.instance.Name, now) {
			above, best = offer.store, &offer.instance
		}
	}
	return best
}

// hasReplica reports whether an instance, or one of its domain, is known to have a snapshot of
// the store.
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

// recordReplicaOffer records a peer that offers a snapshot while this instance has none. The
// caller holds g.mu.
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
