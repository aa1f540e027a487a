package quarantine

import (
	"slices"
	"time"
)

// Upstreams that share a machine, a rack or a power supply crash together, whatever they run. Of their
// requests each segment and each request is held by a few only. So crashes at one time count against
// what explains a good part of them.

// explainedShare is the least share of the crashes at one time, as its inverse, under a segment or a
// request that may be their cause. Several causes may crash upstreams at the same time.
const explainedShare = 4

// crashHistory holds the times of crashes that no quarantined request or segment explains, in order.
type crashHistory []time.Time

// history returns the crashes that are not explained.
func (t *Table) history() crashHistory {
	times := make(crashHistory, 0, len(t.crashTimes))
	for upstream, at := range t.crashTimes {
		if _, explained := t.attributed[upstream]; !explained {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// around counts the crashes within half of crashSpacing of a time.
func (h crashHistory) around(at time.Time) int {
	from, _ := slices.BinarySearchFunc(h, at.Add(-crashSpacing/2), time.Time.Compare)
	until, _ := slices.BinarySearchFunc(h, at.Add(crashSpacing/2), time.Time.Compare)
	return until - from
}

// isCommon reports whether a crash at a time is one of many, of which a subject has too few to be their
// cause. own holds the times of the subject's crashes, in order.
func (h crashHistory) isCommon(at time.Time, own crashHistory) bool {
	return explainedShare*own.around(at) < h.around(at)
}

// markCommon marks the crashes of segments that what the upstreams have in common explains. The caller
// holds t.mu.
func (t *Table) markCommon() {
	if t.marked {
		return
	}
	t.marked = true
	all := t.history()
	for _, e := range t.segments {
		own := make(crashHistory, len(e.crashes))
		for i := range e.crashes {
			own[i] = e.crashes[i].at
		}
		for i := range e.crashes {
			e.crashes[i].common = all.isCommon(e.crashes[i].at, own)
		}
	}
}

// countCrashes counts the crashes under a request. Of common ones, those at one time count once: the
// request may have been repeated at several upstreams that crashed together. The caller holds t.mu.
func (t *Table) countCrashes(crashes []Upstream) int {
	if len(crashes) < CrashesToQuarantine {
		return len(crashes)
	}
	all, own := t.history(), make(crashHistory, 0, len(crashes))
	for _, upstream := range crashes {
		own = append(own, t.crashTimes[upstream])
	}
	slices.SortFunc(own, time.Time.Compare)
	count, last := 0, time.Time{}
	for _, at := range own {
		switch {
		case !all.isCommon(at, own):
			count++
		case last.IsZero() || at.Sub(last) >= crashSpacing:
			count, last = count+1, at
		}
	}
	return count
}
