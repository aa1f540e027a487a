package quota

import (
	"slices"
	"strings"
	"time"
)

// Usage is what a teller has counted of one caller since its start, in units of the
// caller's limit. Asked only grows; Used falls when a request did not run.
type Usage struct {
	Caller      string
	Asked, Used int64
	// Fresh is true while the teller has counted the caller for less than idleAfter.
	Fresh bool
}

// idleAfter is for how long a caller that asks for nothing is still listed: longer than
// news is late, so that whoever reads the lists sees the last of its use.
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

// counters are a caller's each. They never go back to zero.
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

// teller is what was last heard of somebody who tells usage.
type source struct {
	// start is drawn anew when the teller begins to count.
	start    uint64
	reported map[string]Usage
	at       time.Time
}

// ledger turns lists of sums into what was added to them.
type ledger map[string]*source

// added returns what a teller's list adds to what it told before. The first list of a
// teller adds nothing: when it was used is not known. Nor does older news that comes late.
func (l ledger) added(name string, start uint64, list []Usage, now time.Time) []Usage {
	known := l[name]
	met := known != nil
	if !met || known.start != start {
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
		if !counted && !(met && usage.Fresh) {
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

// forget drops tellers that were silent for some time: what they used meanwhile is not
// charged when they are back.
func (l ledger) forget(now time.Time, silence time.Duration) {
	for name, known := range l {
		if now.Sub(known.at) > silence {
			delete(l, name)
		}
	}
}

// Sums adds up, at an instance that tells others of its failure domain, what the
// domain's instances use. It is not safe for concurrent use.
type Sums struct {
	ledger ledger
	all    counters
	// parts is what each instance has of it.
	contributions map[string]*contribution
}

// part is what one instance has used, and when it was last heard.
type contribution struct {
	counters
	at time.Time
}

// partSilence is when the part of an instance that is not heard is dropped: long after the
// instance itself has forgotten what it was told, so that it is not charged its own use.
const contributionTimeout = 10 * sourceTimeout

// NewSums returns Sums of nothing.
func NewSums() *Sums {
	return &Sums{ledger: make(ledger), all: make(counters), contributions: make(map[string]*contribution)}
}

// Take notes an instance's list.
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

// Tell returns the domain's usage without that of one instance; empty: of all.
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
