package agent

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/control"
)

// PrefixInterval is the shortest time between two tellings of the prefixes that
// one engine has cached: they are hints, and most of what a report weighs.
const PrefixInterval = 4 * time.Second

// hint is what the domain was told last of an engine's cached prefixes.
type hint struct {
	prefixes []uint64
	at       time.Time
}

// publishPrefixes tells the domain an engine's cached prefixes when they have changed
// and the last telling is not too recent; the polls that follow look again.
func (m *mesh) publishPrefixes(load *board.UpstreamLoad) {
	last := m.hints[load.Name]
	if slices.Equal(last.prefixes, load.Prefixes) || load.ReportedAt.Sub(last.at) < PrefixInterval {
		return
	}
	m.hints[load.Name] = hint{prefixes: load.Prefixes, at: load.ReportedAt}
	fact := control.PrefixFact{Upstream: load.Name, Prefixes: load.Prefixes}
	m.own.set("prefixes/"+load.Name, func(f *control.Facts) { f.Prefixes = append(f.Prefixes, fact) })
}

// withdrawPrefixes takes back what was told of an engine that is another's now.
func (m *mesh) withdrawPrefixes(upstream string) {
	delete(m.hints, upstream)
	m.own.remove("prefixes/" + upstream)
}

// applyReport takes a peer's report of an upstream; its prefixes come apart.
func (m *mesh) applyReport(from string, fact *control.UpstreamFact, now time.Time) {
	load := fact.Load
	load.ReportedAt = now.Add(-fact.Age)
	if before, ok := m.upstreams[load.Name]; ok && load.Prefixes == nil {
		load.Prefixes = before.load.Prefixes
	}
	m.upstreams[load.Name] = &upstreamEntry{from: from, load: load}
}

func (m *mesh) applyPrefixes(fact *control.PrefixFact) {
	if entry, ok := m.upstreams[fact.Upstream]; ok {
		entry.load.Prefixes = fact.Prefixes
	}
}
