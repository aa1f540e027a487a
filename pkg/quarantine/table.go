package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// Parameters of a Table.
const (
	// EndsToQuarantine is under how many ended upstreams a request is quarantined. One end
	// leaves all that ran there suspect, two may still be chance for a request that is sent
	// again when its upstream ends.
	CrashesToQuarantine = 3
	// RetryAfter is when the caller of a quarantined request is asked to come back: nothing but
	// an operator's act ends the refusal, which takes minutes at least.
	RetryAfter = 10 * time.Minute
	// suspectedFor is for how long an end counts against a request that never comes again.
	suspectTTL = time.Hour
	// clearedFor is for how long after a good end, or an operator's act, no upstream's end
	// counts: what others saw before may be told later.
	clearGrace = 10 * time.Second
	// releasedFor is for how long it is remembered that a quarantined request was cleared, for
	// those that come back and have not heard of it: a store from a copy, an instance from a cut.
	releaseTTL = 24 * time.Hour
	// mostRequests and mostEnds bound the table; full, it takes about 1 MB.
	maxRequests   = 4096
	maxAttributed = 1024
)

// Upstream names one start of an upstream, by a hash of its ID.
type Upstream uint64

// UpstreamOf returns the name of the start with an ID.
func UpstreamOf(id string) Upstream { return Upstream(xxhash.Sum64String(id)) }

// Observation is what an instance saw of a request.
type Observation struct {
	Request Fingerprint
	// Ended is the upstream that ended with the request in work; zero: the request ran to a
	// good end.
	Ended Upstream
}

// Change is what became of a request by an observation.
type Change int

// Changes of a request.
const (
	// Unchanged: nothing new.
	Unchanged Change = iota
	// Suspected: one more upstream has ended under it.
	Suspected
	// Quarantined: it is refused until an operator clears it, or a send that was under way runs
	// to a good end.
	Quarantined
	// Cleared: it is no longer suspected or quarantined.
	Cleared
)

// Table holds the requests under which upstreams ended. It is safe for concurrent use.
type Table struct {
	clock clock.Clock
	// size is the number of entries, read without the lock.
	size    atomic.Int64
	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// lengths counts the entries by the length of their bodies: for other lengths no
	// fingerprint needs to be worked out.
	lengths map[int]int
	// explained holds the upstreams that ended under quarantined requests, and when.
	attributed map[Upstream]time.Time
}

type entry struct {
	crashes []Upstream
	// last is when something was last learned of the request.
	last time.Time
	held bool
	// retryAfter is when callers are asked to come back; zero: RetryAfter.
	retryAfter time.Duration
	// cleared is when it last ran to a good end or was cleared by an operator, released when
	// that last ended a quarantine.
	cleared, released time.Time
	// witnessed is true once this instance itself saw what is known of it, or a part.
	observedLocally bool
}

// NewTable returns an empty table.
func NewTable(c clock.Clock) *Table {
	return &Table{clock: c, entries: make(map[Fingerprint]*entry), lengths: make(map[int]int), attributed: make(map[Upstream]time.Time)}
}

// MayContain says whether a request with a body of a length may be in the table. It costs
// nothing while the table is empty.
func (t *Table) MayContain(length int) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lengths[length] > 0
}

// Suspect says whether an upstream has ended under a request.
func (t *Table) Suspect(request Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[request]
	return e != nil && len(e.crashes) > 0
}

// Refuses says whether a request must not be run, and when its caller should come back. An
// instance never tries one by itself: each try may end an upstream, and what one instance may
// do all of them may do.
func (t *Table) Refuses(request Fingerprint) (retryAfter time.Duration, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[request]
	if e == nil || !e.held {
		return 0, false
	}
	return cmp.Or(e.retryAfter, RetryAfter), true
}

// ObserveLocally takes what this instance itself saw.
func (t *Table) ObserveLocally(seen Observation) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	change := t.observe(seen)
	if e := t.entries[seen.Request]; e != nil && change != Unchanged {
		e.observedLocally = true
	}
	return change
}

// ObservedLocally says whether this instance itself saw something of what is known of a request.
func (t *Table) ObservedLocally(request Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[request]
	return e != nil && e.observedLocally
}

// Held says whether a request is quarantined.
func (t *Table) Held(request Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[request]
	return e != nil && e.held
}

// AllHeld returns the requests that are quarantined.
func (t *Table) AllHeld() []Fingerprint {
	return t.collect(func(e *entry) bool { return e.held })
}

// AllReleased returns those that were quarantined and have been cleared lately.
func (t *Table) AllReleased() []Fingerprint {
	return t.collect(func(e *entry) bool { return !e.held && t.isReleased(e) })
}

// Released says whether a request is one of AllReleased.
func (t *Table) Released(request Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[request]
	return e != nil && !e.held && t.isReleased(e)
}

func (t *Table) isReleased(e *entry) bool {
	return !e.released.IsZero() && t.clock.Now().Sub(e.released) < releaseTTL
}

func (t *Table) collect(match func(*entry) bool) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen []Fingerprint
	for request, e := range t.entries {
		if match(e) {
			chosen = append(chosen, request)
		}
	}
	return chosen
}

// Observe takes what another instance saw.
func (t *Table) Observe(seen Observation) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.observe(seen)
}

// observe is Observe. The caller holds t.mu.
func (t *Table) observe(seen Observation) Change {
	now := t.clock.Now()
	e := t.entries[seen.Request]
	if seen.Ended == 0 {
		return clearEntry(e, now)
	}
	if _, attributed := t.attributed[seen.Ended]; attributed && (e == nil || !e.held) {
		return Unchanged
	}
	if e == nil {
		e = t.add(seen.Request, now)
	}
	if slices.Contains(e.crashes, seen.Ended) || now.Sub(e.cleared) < clearGrace {
		return Unchanged
	}
	e.last = now
	if e.held {
		t.attribute(seen.Request, seen.Ended, now)
		return Unchanged
	}
	e.crashes = append(e.crashes, seen.Ended)
	if len(e.crashes) < CrashesToQuarantine {
		return Suspected
	}
	e.held, e.retryAfter = true, 0
	for _, crash := range e.crashes {
		t.attribute(seen.Request, crash, now)
	}
	return Quarantined
}

// clearEntry takes a good end of a request that is in the table.
func clearEntry(e *entry, now time.Time) Change {
	if e == nil || (len(e.crashes) == 0 && !e.held) {
		return Unchanged
	}
	released := e.released
	if e.held {
		released = now
	}
	*e = entry{cleared: now, released: released, last: now}
	return Cleared
}

// Release takes the store's word that a request was cleared. What was seen of it before no longer
// counts.
func (t *Table) Release(request Fingerprint) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e := t.entries[request]
	if e == nil {
		e = t.add(request, now)
	}
	change := clearEntry(e, now)
	e.cleared, e.released, e.last = now, now, now
	return change
}

// explain takes an end off all requests but the one that caused it.
func (t *Table) attribute(cause Fingerprint, crash Upstream, now time.Time) {
	if len(t.attributed) >= maxAttributed {
		t.expireAttributed(now)
	}
	t.attributed[crash] = now
	for request, e := range t.entries {
		if request != cause && !e.held {
			e.crashes = slices.DeleteFunc(e.crashes, func(known Upstream) bool { return known == crash })
		}
	}
}

func (t *Table) expireAttributed(now time.Time) {
	oldest := now
	for _, at := range t.attributed {
		if at.Before(oldest) {
			oldest = at
		}
	}
	limit := oldest.Add(now.Sub(oldest) / 2)
	for crash, at := range t.attributed {
		if !at.After(limit) {
			delete(t.attributed, crash)
		}
	}
}

// Hold quarantines a request for what an instance that knows more has told, or the store;
// retryAfter is when callers are asked to come back, zero: RetryAfter.
func (t *Table) Hold(request Fingerprint, retryAfter time.Duration) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e := t.entries[request]
	if e == nil {
		e = t.add(request, now)
	}
	if e.held || now.Sub(e.cleared) < clearGrace {
		return Unchanged
	}
	e.last, e.held, e.retryAfter = now, true, retryAfter
	return Quarantined
}

// add makes room for a request. The caller holds t.mu.
func (t *Table) add(request Fingerprint, now time.Time) *entry {
	if len(t.entries) >= maxRequests {
		t.shrink(now)
	}
	e := &entry{last: now}
	t.entries[request] = e
	t.lengths[request.Length]++
	t.size.Store(int64(len(t.entries)))
	return e
}

// shrink forgets what is over, or else the older half of those that are not quarantined, or
// else the older half of all.
func (t *Table) shrink(now time.Time) {
	t.forget(func(e *entry) bool { return !e.held && now.Sub(e.last) > suspectTTL })
	for _, eligible := range [...]func(*entry) bool{
		func(e *entry) bool { return !e.held },
		func(*entry) bool { return true },
	} {
		if len(t.entries) < maxRequests {
			return
		}
		var times []time.Time
		for _, e := range t.entries {
			if eligible(e) {
				times = append(times, e.last)
			}
		}
		if len(times) == 0 {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		median := times[len(times)/2]
		t.forget(func(e *entry) bool { return eligible(e) && !e.last.After(median) })
	}
}

func (t *Table) forget(expired func(*entry) bool) {
	for request, e := range t.entries {
		if !expired(e) {
			continue
		}
		delete(t.entries, request)
		if t.lengths[request.Length]--; t.lengths[request.Length] == 0 {
			delete(t.lengths, request.Length)
		}
	}
	t.size.Store(int64(len(t.entries)))
}

// Sweep forgets what is over. Call it every minute or so.
func (t *Table) Sweep() {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.forget(func(e *entry) bool {
		if e.held || t.isReleased(e) {
			return false
		}
		return now.Sub(e.last) > suspectTTL || (len(e.crashes) == 0 && now.Sub(e.cleared) > clearGrace)
	})
}

// Counts returns how many requests are suspected and how many quarantined.
func (t *Table) Counts() (suspected, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		switch {
		case e.held:
			quarantined++
		case len(e.crashes) > 0:
			suspected++
		}
	}
	return suspected, quarantined
}
