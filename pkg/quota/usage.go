package quota

import (
	"slices"
	"strings"
	"time"
)

// Usage is one caller's usage counted by a source since its start, in units of the caller's
// limit. Asked only grows; Used falls when a request did not run.
type Usage struct {
	Caller      string
	Asked, Used int64
	// Fresh is true while the source has counted the caller for less than idleAfter.
	Fresh bool
}

// idleAfter is the time for which a caller without requests is still listed. It exceeds the
// delay of reports, so that receivers get the last of the caller's usage.
const idleAfter = 3 * time.Second

// counter adds up one caller's usage.
type counter struct {
	asked, used     int64
	startedAt, last time.Time
}

func (c *counter) add(asked, used int64, now time.Time) {
	c.asked += asked
	c.used += used
	c.last = now
}

// counters holds a counter for each caller. They are never reset.
type counters map[string]*counter

func (c counters) of(caller string, now time.Time) *counter {
	if c[caller] == nil {
		c[caller] = &counter{startedAt: now}
	}
	return c[caller]
}

// list returns all that are not idle, sorted by caller.
func (c counters) list(now time.Time) []Usage {
	listed := make([]Usage, 0, len(c))
	for caller, counter := range c {
		if now.Sub(counter.last) <= idleAfter {
			fresh := now.Sub(counter.startedAt) < idleAfter
			listed = append(listed, Usage{Caller: caller, Asked: counter.asked, Used: counter.used, Fresh: fresh})
		}
	}
	slices.SortFunc(listed, func(a, b Usage) int { return strings.Compare(a.Caller, b.Caller) })
	return listed
}

// source is the last report of an instance or domain that reports usage.
type source struct {
	// start changes whenever the source starts counting.
	start    uint64
	reported map[string]Usage
	at       time.Time
}

// ledger converts cumulative lists to increments.
type ledger map[string]*source

// added returns the increments of a source's list since its previous report. The first list of a
// source adds nothing, because the time of that usage is unknown, and neither does an older list
// that arrives late.
func (l ledger) added(name string, start uint64, list []Usage, now time.Time) []Usage {
	known := l[name]
	seen := known != nil
	if !seen || known.start != start {
		known = &source{start: start, reported: make(map[string]Usage, len(list))}
		l[name] = known
	}
	known.at = now
	var added []Usage
	for _, usage := range list {
		last, counted := known.reported[usage.Caller]
		if usage.Asked < last.Asked {
			continue
		}
		known.reported[usage.Caller] = usage
		if !counted && !(seen && usage.Fresh) {
			continue
		}
		usage.Asked -= last.Asked
		usage.Used -= last.Used
		if usage.Asked != 0 || usage.Used != 0 {
			added = append(added, usage)
		}
	}
	return added
}

// forget drops sources without recent reports. What they use until they are back is not charged.
func (l ledger) forget(now time.Time, silence time.Duration) {
	for name, known := range l {
		if now.Sub(known.at) > silence {
			delete(l, name)
		}
	}
}

// Sums sums the usage of a failure domain at the instance that reports it to others. It is not
// safe for concurrent use.
type Sums struct {
	ledger ledger
	all    counters
	// contributions holds the usage of each instance.
	contributions map[string]*contribution
}

// contribution is the usage of one instance and the time of its last report.
type contribution struct {
	counters
	at time.Time
}

// contributionTimeout is the time after which the contribution of an unreachable instance is
// dropped: long after the instance has dropped this source, so that it is not charged its own
// usage.
const contributionTimeout = 10 * sourceTimeout

// NewSums returns empty Sums.
func NewSums() *Sums {
	return &Sums{ledger: make(ledger), all: make(counters), contributions: make(map[string]*contribution)}
}

// Record adds an instance's list.
func (s *Sums) Record(instance string, start uint64, list []Usage, now time.Time) {
	s.forget(now)
	known := s.contributions[instance]
	if known == nil {
		known = &contribution{counters: make(counters)}
		s.contributions[instance] = known
	}
	known.at = now
	for _, added := range s.ledger.added(instance, start, list, now) {
		known.of(added.Caller, now).add(added.Asked, added.Used, now)
		s.all.of(added.Caller, now).add(added.Asked, added.Used, now)
	}
}

func (s *Sums) forget(now time.Time) {
	s.ledger.forget(now, sourceTimeout)
	for instance, known := range s.contributions {
		if now.Sub(known.at) > contributionTimeout {
			delete(s.contributions, instance)
		}
	}
}

// Totals returns the domain's usage without that of one instance; of all if it is empty.
func (s *Sums) Totals(without string, now time.Time) []Usage {
	list := s.all.list(now)
	known := s.contributions[without]
	if known == nil {
		return list
	}
	for i := range list {
		if own := known.counters[list[i].Caller]; own != nil {
			list[i].Asked -= own.asked
			list[i].Used -= own.used
		}
	}
	return list
}
