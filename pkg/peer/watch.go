package peer

import (
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/freshness"
)

// watchReason is the reason for which an instance follows the store itself; empty if it leaves
// that to others.
type watchReason string

const (
	// watchAsWatcher: it is one of the domain's watchers.
	watchAsWatcher watchReason = "watcher"
	// watchUnheard: it receives reports from none of them.
	watchUnheard watchReason = "watchers-unheard"
	// watchAfterFailure: a copy from another instance failed.
	watchAfterFailure watchReason = "copy-failed"
)

// Watches reports whether this instance should follow the store itself.
func (g *Gossip) Watches() bool { return g.watchReason() != "" }

func (g *Gossip) watchReason() watchReason {
	if g.options.Clock.Now().UnixNano() < g.followUntil.Load() {
		return watchAfterFailure
	}
	ranked := g.ranked(jobHub, g.options.Self.Domain, g.registered())
	for _, name := range ranked[:min(watchers, len(ranked))] {
		if name == g.options.Self.Name {
			return watchAsWatcher
		}
	}
	now := g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range ranked[:min(watchers, len(ranked))] {
		if report := g.reports[name]; report != nil && now.Sub(report.at) <= SilentAfter {
			return ""
		}
	}
	return watchUnheard
}

// Knowledge returns up to which time this instance knows what the store has confirmed, and from
// whom it knows that: from the store itself, or from another instance or domain.
func (g *Gossip) Knowledge() freshness.Knowledge {
	others := g.knowledgeOfOthers()
	if age, _ := g.options.Store.Contact(); g.options.Store.Current() {
		if own := g.options.Clock.Now().Add(-age); own.After(others.AsOf) {
			return freshness.Knowledge{AsOf: own, From: g.options.Self.Name}
		}
	}
	return others
}

// knowledgeOfOthers is Knowledge as far as other instances show it.
func (g *Gossip) knowledgeOfOthers() freshness.Knowledge {
	position := g.options.Store.Position()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmed.Reach(position)
	return g.confirmed.Knowledge()
}

// logWatching logs when this instance begins or ceases to follow the store, with the age of what
// it knows. Only Run calls it.
func (g *Gossip) logWatching() {
	reason := g.watchReason()
	if reason == g.watching {
		return
	}
	g.watching = reason
	known, now := g.Knowledge(), g.options.Clock.Now()
	age := int64(-1)
	if !known.AsOf.IsZero() {
		age = now.Sub(known.AsOf).Milliseconds()
	}
	_, reaches := g.options.Store.Contact()
	g.options.Log.Info().Str(event.KeyReason, string(reason)).Int64(event.KeyKnownAgeMS, age).Str(event.KeySource, known.From).
		Bool(event.KeyReaches, reaches).Msg(string(event.StoreWatching))
}
