package peer

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/freshness"
	"github.com/lilacweir/lilacweir/pkg/mirror"
)

// watchReason is the reason for which an instance follows the store itself; empty if it leaves
// that to others.
type watchReason string

const (
	// watchAsWatcher: it is one of the domain's watchers.
	watchAsWatcher watchReason = "watcher"
	// watchUnheard: it receives reports from none of them.
	watchUnheard watchReason = "watchers-unheard"
	// watchStale: none of the others shows that the own knowledge is current, and the store answers
	// this instance.
	watchStale watchReason = "stale"
	// watchAfterFailure: a copy from another instance failed.
	watchAfterFailure watchReason = "copy-failed"
)

// Watches reports whether this instance should follow the store itself.
func (g *Gossip) Watches() bool { return g.watchReason() != "" }

func (g *Gossip) watchReason() watchReason {
	ranked := g.ranked(jobHub, g.options.Self.Domain, g.registered())
	rank := slices.Index(ranked, g.options.Self.Name)
	switch {
	case rank < watchers:
		return watchAsWatcher
	case g.hasCopyFailed():
		return watchAfterFailure
	case !g.hearsAny(ranked[:watchers]):
		return watchUnheard
	case g.isStale(rank - watchers):
		return watchStale
	default:
		return ""
	}
}

// hasCopyFailed reports whether a copy from another instance failed lately.
func (g *Gossip) hasCopyFailed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.options.Clock.Now().Before(g.followUntil)
}

// hearsAny reports whether one of the named instances of the own domain has reported lately.
func (g *Gossip) hearsAny(names []string) bool {
	now := g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(names, func(name string) bool {
		report := g.reports[name]
		return report != nil && now.Sub(report.at) <= SilentAfter
	})
}

// maxStandInDelay bounds the additional age of knowledge at which instances of a lower rank follow the
// store in place of the watchers.
const maxStandInDelay = 5 * roundInterval

// isStale reports whether the store answers this instance and may have confirmed something that no other
// instance has shown it, so that it should follow the store itself. before is the number of instances
// that should do so first: the report of one that does is in time for the others.
func (g *Gossip) isStale(before int) bool {
	_, reaches := g.options.Store.Contact()
	delay := min(maxStandInDelay, time.Duration(before)*roundInterval)
	return reaches && !g.knowledgeOfOthers().Current(g.options.Clock.Now().Add(-delay))
}

// Knowledge returns up to which time this instance knows what the store has confirmed, and from
// whom it knows that: from the store itself, or from another instance or domain.
func (g *Gossip) Knowledge() freshness.Knowledge {
	others := g.knowledgeOfOthers()
	if own := g.options.Store.AsOf(); own.After(others.AsOf) {
		return freshness.Knowledge{AsOf: own, From: g.options.Self.Name}
	}
	return others
}

// knowledgeOfOthers is Knowledge as far as other instances show it.
func (g *Gossip) knowledgeOfOthers() freshness.Knowledge {
	position := g.options.Store.Position()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspension.Since(g.options.Suspended()) {
		return freshness.Knowledge{}
	}
	g.confirmed.Reach(position)
	return g.confirmed.Knowledge()
}

// confirm records that the replica of another instance contained at a position what the store had
// confirmed until asOf. The caller holds g.mu.
func (g *Gossip) confirm(from string, position mirror.Position, asOf time.Time) {
	g.confirmed.Confirm(from, position, asOf)
	g.lag.Hear(asOf)
}

// isBehind reports whether the store answers others and not this instance. The caller holds g.mu.
func (g *Gossip) isBehind(now time.Time) bool {
	var answered time.Time
	if age, ok := g.options.Store.LastAnswer(); ok {
		answered = now.Add(-age)
	}
	return g.lag.Behind(answered, now)
}

// report returns the own report.
func (g *Gossip) report() Report {
	report := g.options.Report()
	now := g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	report.Behind = g.isBehind(now)
	return report
}

// logWatching logs when this instance begins or ceases to follow the store, or to be behind, with the
// age of what it knows. Only Run calls it.
func (g *Gossip) logWatching() {
	reason, now := g.watchReason(), g.options.Clock.Now()
	g.mu.Lock()
	behind := g.isBehind(now)
	g.mu.Unlock()
	if reason == g.watching && behind == g.wasBehind {
		return
	}
	g.watching, g.wasBehind = reason, behind
	if reason != "" {
		g.options.Store.Wake()
	}
	known := g.Knowledge()
	age := int64(-1)
	if !known.AsOf.IsZero() {
		age = now.Sub(known.AsOf).Milliseconds()
	}
	_, reaches := g.options.Store.Contact()
	g.options.Log.Info().Str(event.KeyReason, string(reason)).Int64(event.KeyKnownAgeMS, age).Str(event.KeySource, known.From).
		Bool(event.KeyReaches, reaches).Bool(event.KeyBehind, behind).Msg(string(event.StoreWatching))
}
