package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// Parameters of a Table.
const (
	// CrashesToQuarantine is the number of upstream crashes after which a request is
	// quarantined. One crash leaves all requests there suspect, and two may still be chance for
	// a request that is retried when its upstream crashes.
	CrashesToQuarantine = 3
	// crashesBesideSegment is the same number for a request that ran, each time, beside others with
	// a segment that may be the cause.
	crashesBesideSegment = 2 * CrashesToQuarantine
	// RetryAfter is the retry time given to the caller of a quarantined request: only an
	// operator's action ends the quarantine, which takes minutes at least.
	RetryAfter = 10 * time.Minute
	// suspectTTL is the time for which a crash counts against a request that does not come
	// again.
	suspectTTL = time.Hour
	// clearGrace is the time after a completion or an operator's action for which crashes do not
	// count, because earlier observations of other instances may arrive late.
	clearGrace = 10 * time.Second
	// releaseTTL is the time for which the release of a request is remembered, for a store
	// restored from a backup or an instance that was partitioned.
	releaseTTL = 24 * time.Hour
	// maxRequests and maxAttributed bound the table; full, it takes about 1 MB.
	maxRequests   = 4096
	maxAttributed = 1024
)

// Upstream identifies one incarnation of an upstream by a hash of its ID.
type Upstream uint64

// UpstreamOf returns the Upstream with an ID.
func UpstreamOf(id string) Upstream { return Upstream(xxhash.Sum64String(id)) }

// Observation is what an instance reports of a request or of prompt segments.
type Observation struct {
	// Request is the request, or the segment whose quarantine is reported. It is zero in a report of
	// completions.
	Request Fingerprint
	// Ended is the upstream that crashed with the request in flight; zero if the request
	// completed.
	Ended Upstream
	// Segments are those of the request's prompt that other requests may share.
	Segments Segments
	// Organisation is the owner of the request, empty if it is anonymous. A quarantine without it
	// concerns all.
	Organisation string
	// Completed is the number of requests with the segments that completed at an instance since the
	// first crash under them, and Reporter identifies that instance's process.
	Completed int
	Reporter  uint64
}

// ReporterOf returns the Reporter of one incarnation of an instance.
func ReporterOf(instance string, incarnation uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %d", instance, incarnation))
}

// Effect is the effect of an observation.
type Effect struct {
	// Request is the effect on the request.
	Request Change
	// Segments are those that it quarantined, or quarantined for one more organisation.
	Segments []Segment
	// New is true if the observation is to be reported to other instances.
	New bool
}

// Change is the effect of an observation on a request.
type Change int

// Changes of a request.
const (
	// Unchanged: the observation has no effect.
	Unchanged Change = iota
	// Suspected: one more upstream has crashed with it in flight.
	Suspected
	// Quarantined: it is refused until an operator clears it or an attempt that was in flight
	// completes.
	Quarantined
	// Cleared: it is no longer suspected or quarantined.
	Cleared
)

// Table holds the requests that were in flight when upstreams crashed. It is safe for concurrent
// use.
type Table struct {
	clock clock.Clock
	// size is the number of entries, read without the lock.
	size    atomic.Int64
	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// lengths counts the entries by body length: for other lengths no fingerprint needs to be
	// computed.
	lengths map[int]int
	// segments holds the prompt segments of requests that were in flight at crashes. The number of
	// entries, and of those that are quarantined, are read without the lock.
	segments                   map[Segment]*segmentEntry
	segmentCount, heldSegments atomic.Int64
	// crashTimes holds the time at which this instance learnt of each crash.
	crashTimes map[Upstream]time.Time
	// attributed holds the upstreams that quarantined requests or segments crashed.
	attributed map[Upstream]attribution
	// marked is true if the common crashes are marked by the present crashTimes and attributed.
	marked bool
}

// attribution is the request or segment that crashed an upstream, and when that was known.
type attribution struct {
	by Fingerprint
	at time.Time
}

// verdict is the state of a request or segment.
type verdict struct {
	// last is the time of the last observation.
	last time.Time
	held bool
	// retryAfter is the retry time given to callers; zero for RetryAfter.
	retryAfter time.Duration
	// cleared is the time of its last completion or release by an operator, released the last
	// time that this ended a quarantine.
	cleared, released time.Time
	// observedLocally is true once this instance itself made one of the observations.
	observedLocally bool
}

type entry struct {
	verdict
	crashes []Upstream
}

// NewTable returns an empty table.
func NewTable(c clock.Clock) *Table {
	return &Table{
		clock: c, entries: make(map[Fingerprint]*entry), lengths: make(map[int]int),
		segments: make(map[Segment]*segmentEntry), crashTimes: make(map[Upstream]time.Time), attributed: make(map[Upstream]attribution),
	}
}

// MayContain reports whether a request with a body of a length may be in the table. It needs no
// lock while the table is empty.
func (t *Table) MayContain(length int) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lengths[length] > 0
}

// IsSuspect reports whether an upstream has crashed with a request in flight.
func (t *Table) IsSuspect(request Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[request]
	return e != nil && len(e.crashes) > 0
}

// Refuses reports whether a request must not run, and when its caller should retry. An instance
// never tries one on its own: each attempt may crash an upstream, and all instances would do the
// same.
func (t *Table) Refuses(request Fingerprint) (retryAfter time.Duration, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[request]
	if e == nil || !e.held {
		return 0, false
	}
	return cmp.Or(e.retryAfter, RetryAfter), true
}

// verdictOf returns the state of a request or segment, nil if it is not in the table. The caller
// holds t.mu.
func (t *Table) verdictOf(f Fingerprint) *verdict {
	if segment, ok := f.Segment(); ok {
		if e := t.segments[segment]; e != nil {
			return &e.verdict
		}
		return nil
	}
	if e := t.entries[f]; e != nil {
		return &e.verdict
	}
	return nil
}

// ObserveLocally records an observation of this instance.
func (t *Table) ObserveLocally(observation Observation) Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	effect := t.apply(&observation, true)
	if e := t.entries[observation.Request]; e != nil && effect.Request != Unchanged {
		e.observedLocally = true
	}
	return effect
}

// ObservedLocally reports whether this instance itself made an observation of a request or segment.
func (t *Table) ObservedLocally(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.verdictOf(f)
	return v != nil && v.observedLocally
}

// IsQuarantined reports whether a request or segment is quarantined.
func (t *Table) IsQuarantined(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.verdictOf(f)
	return v != nil && v.held
}

// AllQuarantined returns the quarantined requests and segments.
func (t *Table) AllQuarantined() []Fingerprint {
	return t.collect(func(v *verdict) bool { return v.held })
}

// AllCleared returns the requests and segments that were quarantined and recently cleared.
func (t *Table) AllCleared() []Fingerprint {
	return t.collect(func(v *verdict) bool { return !v.held && t.isReleased(v) })
}

// RecentlyCleared reports whether a request or segment is one of AllCleared.
func (t *Table) RecentlyCleared(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.verdictOf(f)
	return v != nil && !v.held && t.isReleased(v)
}

func (t *Table) isReleased(v *verdict) bool {
	return !v.released.IsZero() && t.clock.Now().Sub(v.released) < releaseTTL
}

func (t *Table) collect(match func(*verdict) bool) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen []Fingerprint
	for request, e := range t.entries {
		if match(&e.verdict) {
			chosen = append(chosen, request)
		}
	}
	for segment, e := range t.segments {
		if match(&e.verdict) {
			chosen = append(chosen, segment.Fingerprint())
		}
	}
	return chosen
}

// Observe records an observation of another instance.
func (t *Table) Observe(observation Observation) Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(&observation, false)
}

// apply implements Observe. The caller holds t.mu.
func (t *Table) apply(observation *Observation, local bool) Effect {
	if observation.Completed > 0 {
		t.completeReported(observation)
		return Effect{New: true}
	}
	if segment, ok := observation.Request.Segment(); ok {
		if t.quarantineSegment(segment, observation.Organisation, 0) == Quarantined {
			return Effect{Segments: []Segment{segment}, New: true}
		}
		return Effect{}
	}
	effect := Effect{}
	if observation.Ended != 0 {
		now := t.clock.Now()
		at := t.crashTime(observation.Ended, now)
		effect.Segments, effect.New = t.crashSegments(observation, local, at, now)
	}
	effect.Request = t.observe(observation)
	effect.New = effect.New || effect.Request != Unchanged
	return effect
}

// observe applies an observation to its request.
func (t *Table) observe(observation *Observation) Change {
	now := t.clock.Now()
	e := t.entries[observation.Request]
	if observation.Ended == 0 {
		return clearEntry(e, now)
	}
	if _, attributed := t.attributed[observation.Ended]; attributed && (e == nil || !e.held) {
		return Unchanged
	}
	if e == nil {
		e = t.add(observation.Request, now)
	}
	if slices.Contains(e.crashes, observation.Ended) || now.Sub(e.cleared) < clearGrace {
		return Unchanged
	}
	e.last = now
	if e.held {
		t.attribute(observation.Request, observation.Ended, now)
		return Unchanged
	}
	e.crashes = append(e.crashes, observation.Ended)
	count := t.countCrashes(e.crashes)
	if count < CrashesToQuarantine || (count < crashesBesideSegment && t.explainedBySegment(e.crashes, observation.Segments)) {
		return Suspected
	}
	e.held, e.retryAfter = true, 0
	for _, crash := range e.crashes {
		t.attribute(observation.Request, crash, now)
	}
	return Quarantined
}

// clearEntry applies the completion of a request that is in the table.
func clearEntry(e *entry, now time.Time) Change {
	if e == nil || (len(e.crashes) == 0 && !e.held) {
		return Unchanged
	}
	released := e.released
	if e.held {
		released = now
	}
	*e = entry{verdict: verdict{cleared: now, released: released, last: now}}
	return Cleared
}

// Clear clears a request or segment that the store reports as cleared. Earlier observations no
// longer count.
func (t *Table) Clear(request Fingerprint) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if segment, ok := request.Segment(); ok {
		return t.clearSegment(segment, now)
	}
	e := t.entries[request]
	if e == nil {
		e = t.add(request, now)
	}
	change := clearEntry(e, now)
	e.cleared, e.released, e.last = now, now, now
	return change
}

// attribute removes a crash from all requests and segments but those that caused it.
func (t *Table) attribute(cause Fingerprint, crash Upstream, now time.Time) {
	if len(t.attributed) >= maxAttributed {
		t.expireAttributed(now)
	}
	t.attributed[crash] = attribution{by: cause, at: now}
	t.marked = false
	t.attributeSegments(cause, crash)
	for request, e := range t.entries {
		if request != cause && !e.held {
			e.crashes = slices.DeleteFunc(e.crashes, func(known Upstream) bool { return known == crash })
		}
	}
}

func (t *Table) expireAttributed(now time.Time) {
	oldest := now
	for _, cause := range t.attributed {
		if cause.at.Before(oldest) {
			oldest = cause.at
		}
	}
	limit := oldest.Add(now.Sub(oldest) / 2)
	for crash, cause := range t.attributed {
		if !cause.at.After(limit) {
			delete(t.attributed, crash)
		}
	}
}

// Quarantine quarantines a request, or a segment for all organisations, on the report of another
// instance or the store; retryAfter is the retry time given to callers, zero for RetryAfter.
func (t *Table) Quarantine(request Fingerprint, retryAfter time.Duration) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if segment, ok := request.Segment(); ok {
		return t.quarantineSegment(segment, "", retryAfter)
	}
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

// add adds an entry, making space if the table is full. The caller holds t.mu.
func (t *Table) add(request Fingerprint, now time.Time) *entry {
	if len(t.entries) >= maxRequests {
		t.shrink(now)
	}
	e := &entry{verdict: verdict{last: now}}
	t.entries[request] = e
	t.lengths[request.Length]++
	t.size.Store(int64(len(t.entries)))
	return e
}

// shrink drops expired entries, or else the older half of those that are not quarantined, or
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

// Sweep drops expired entries. It should be called about once a minute.
func (t *Table) Sweep() {
	if t.size.Load() == 0 && !t.HasSegments() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.sweepSegments(now)
	t.forget(func(e *entry) bool {
		if e.held || t.isReleased(&e.verdict) {
			return false
		}
		return now.Sub(e.last) > suspectTTL || (len(e.crashes) == 0 && now.Sub(e.cleared) > clearGrace)
	})
}

// Counts returns the numbers of suspected and of quarantined requests.
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
