package agent

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/control"
)

// PrefixInterval is the shortest time between two publications of the prefixes that
// one engine has cached: they are hints, and the largest part of a report.
const PrefixInterval = 4 * time.Second

// hint is the last publication of an engine's cached prefixes.
type hint struct {
	prefixes []uint64
	at       time.Time
}

// publishPrefixes publishes an engine's cached prefixes if they have changed and
// PrefixInterval has passed; otherwise a later poll does.
func (m *mesh) publishPrefixes(load *board.UpstreamLoad) {
	last := m.hints[load.Name]
	if slices.Equal(last.prefixes, load.Prefixes) || load.ReportedAt.Sub(last.at) < PrefixInterval {
		return
	}
	m.hints[load.Name] = hint{prefixes: load.Prefixes, at: load.ReportedAt}
	fact := control.PrefixFact{Upstream: load.Name, Prefixes: load.Prefixes}
	m.own.set("prefixes/"+load.Name, func(f *control.Facts) { f.Prefixes = append(f.Prefixes, fact) })
}

// withdrawPrefixes withdraws an engine's prefixes when another instance owns its
// poll.
func (m *mesh) withdrawPrefixes(upstream string) {
	delete(m.hints, upstream)
	m.own.remove("prefixes/" + upstream)
}

// applyReport applies a peer's report of an upstream; its prefixes arrive
// separately.
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
