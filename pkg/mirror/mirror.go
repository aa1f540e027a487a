// Package mirror keeps a copy of some prefixes of the platform's key-value store and
// follows their changes, so that whatever waits for a request reads memory alone.
//
// Guarantees: a copy's revision never goes back; entries that hang on a lease, and
// are missing after the store was out of reach, are kept for a while, since their
// owners may be about to write them again.
package mirror

import (
	"context"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Snapshot is an immutable copy of the store's entries.
type Snapshot struct {
	// Revision is the store's revision that the copy reflects.
	Revision int64
	Entries  map[string]platform.Entry
	// Lapsed holds the entries that are missing in the store and still counted, and until
	// when, by this process's clock.
	Lapsed map[string]time.Time
}

// Options of a Mirror.
type Options struct {
	Source platform.PrefixReader
	// Prefix is what is copied; empty: everything.
	Prefix string
	// Leased are the prefixes below it whose entries vanish with their owners.
	Leased []string
	Clock  clock.Clock
	Log    zerolog.Logger
	// Active says whether the store should be followed; while it is false, copies
	// come by Adopt. Nil: always.
	Active func() bool
}

// Times of a Mirror.
const (
	// watchWait is how long one call waits for changes. It bounds how long a connection
	// that fell silent goes unnoticed: keep-alive probes find that out no sooner.
	watchWait = 3 * time.Second
	// leastPause follows changes, so that those that come close together are read by one
	// call. It doubles, up to mostPause, as long as each call brings some: while a
	// deployment of hundreds starts or is replaced, its instances and servers write
	// hundreds of entries, and a call for each few of them was a third of all calls to
	// the store. A configuration is in force that much later then, of the 3 s that it may
	// take.
	leastPause = 100 * time.Millisecond
	mostPause  = 800 * time.Millisecond
	// longestCall is what a call may take beyond its waiting: a configuration of half a
	// megabyte over a link of 10 Mbit/s that others use as well. The store's client ends
	// calls sooner that make no progress.
	longestCall = 5 * time.Second
	// firstRetry and longestRetry bound the pause after a failed call.
	firstRetry   = 50 * time.Millisecond
	longestRetry = 400 * time.Millisecond
	// lapseGrace is for how long after the store's return a missing leased entry
	// still counts: its owner writes it again within about two seconds.
	lapseGrace = 2300 * time.Millisecond
	// idlePause is how often an inactive Mirror looks whether it is active again: all but
	// two instances of a domain do, and each look wakes a process.
	idlePause = 250 * time.Millisecond
	// currentFor is for how long after an answer of the store the copy counts as
	// current: a little more than a waiting call that was told nothing.
	currentFor = watchWait + 200*time.Millisecond
)

// Mirror copies a prefix. Its Run is the only writer, but for Adopt.
type Mirror struct {
	options  Options
	snapshot board.Section[Snapshot]

	mu sync.Mutex
	// lost is true while the store does not answer; returned is when it last came
	// back, zero when it was never lost.
	lost     bool
	returned time.Time
	// reached is when the store last answered.
	reached time.Time
	// lapsed holds the entries that are missing and still counted, and until when.
	lapsed map[string]time.Time
	// told is true while lapsed is as another instance told it.
	told bool
	// pause follows the next call that brings changes. Run alone uses it.
	pause time.Duration
}

// New returns a Mirror that holds nothing yet.
func New(options Options) *Mirror {
	return &Mirror{options: options, lapsed: make(map[string]time.Time), pause: leastPause}
}

// Snapshot returns the section that holds the newest copy.
func (m *Mirror) Snapshot() *board.Section[Snapshot] { return &m.snapshot }

// Current says whether the store answered lately, so that a peer's copy can be newer
// by moments only.
func (m *Mirror) Current() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lost && !m.reached.IsZero() && m.options.Clock.Now().Sub(m.reached) < currentFor
}

// Lost says whether the store's last call failed.
func (m *Mirror) Lost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

// Reached returns when the store last answered this instance; zero: never.
func (m *Mirror) Reached() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reached
}

// Revision is the store's revision that the copy reflects; zero: there is none.
func (m *Mirror) Revision() int64 { return m.revision() }

// active says whether the store should be followed now. A Mirror without a copy
// always reads one.
func (m *Mirror) active() bool {
	return m.options.Active == nil || m.revision() == 0 || m.options.Active()
}

// Run copies until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := firstRetry
	for ctx.Err() == nil {
		if !m.active() {
			m.sweep()
			clock.Sleep(ctx, idlePause)
			continue
		}
		err := m.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pause = firstRetry
			continue
		}
		if errors.Is(err, platform.ErrCompacted) {
			m.options.Log.Warn().Int64(event.KeyRevision, m.revision()).Msg(string(event.StoreHistoryGone))
			continue
		}
		pause = m.failed(err, pause)
		m.sweep()
		clock.Sleep(ctx, pause)
	}
}

// failed notes an unanswered call and returns the pause before the next.
func (m *Mirror) failed(err error, pause time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lost {
		m.lost = true
		m.options.Log.Warn().Err(err).Msg(string(event.StoreLost))
		return firstRetry
	}
	return min(longestRetry, 2*pause)
}

// answered notes that the store answered.
func (m *Mirror) answered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	first := m.reached.IsZero()
	m.reached = now
	if m.lost {
		m.lost = false
		m.returned = now
		m.options.Log.Info().Msg(string(event.StoreRegained))
	} else if first {
		m.options.Log.Info().Msg(string(event.StoreReached))
	}
}

// follow lists everything and then follows the changes, until a call fails or the
// Mirror is no longer active.
func (m *Mirror) follow(ctx context.Context) error {
	revision, err := m.list(ctx)
	for err == nil && m.active() {
		revision, err = m.changes(ctx, revision)
	}
	return err
}

func (m *Mirror) list(ctx context.Context) (int64, error) {
	entries := make(map[string]platform.Entry)
	first, after := int64(0), ""
	for {
		page, err := m.page(ctx, after)
		if err != nil {
			return 0, err
		}
		m.answered()
		if first == 0 {
			first = page.Revision
		}
		for _, entry := range page.Entries {
			entries[entry.Key] = entry
			after = entry.Key
		}
		if !page.More || len(page.Entries) == 0 {
			break
		}
	}
	m.replace(first, entries)
	return first, nil
}

func (m *Mirror) page(ctx context.Context, after string) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, longestCall)
	defer cancel()
	return m.options.Source.List(ctx, m.options.Prefix, after)
}

func (m *Mirror) changes(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+longestCall)
	defer cancel()
	wait := min(watchWait, m.untilSweep())
	changes, err := m.options.Source.Changes(ctx, m.options.Prefix, after, wait)
	if err != nil {
		return 0, err
	}
	m.answered()
	m.apply(changes)
	m.rest(ctx, len(changes.Entries) > 0)
	return max(after, changes.Revision), nil
}

// rest waits after a call that brought changes, longer each time.
func (m *Mirror) rest(ctx context.Context, changed bool) {
	if !changed {
		m.pause = leastPause
		return
	}
	clock.Sleep(ctx, m.pause)
	m.pause = min(mostPause, 2*m.pause)
}

// leased says whether a key's entry vanishes with its owner.
func (m *Mirror) leased(key string) bool {
	for _, prefix := range m.options.Leased {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// graceEnd is until when a leased entry that is found missing now still counts.
func (m *Mirror) graceEnd(now time.Time) (time.Time, bool) {
	end := m.returned.Add(lapseGrace)
	return end, !m.returned.IsZero() && now.Before(end)
}

// replace takes a whole listing.
func (m *Mirror) replace(revision int64, entries map[string]platform.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	if present := m.snapshot.Load(); present != nil {
		if revision < present.Revision {
			return
		}
		end, grace := m.graceEnd(now)
		for key, entry := range present.Entries {
			if _, listed := entries[key]; listed || !grace || !m.leased(key) {
				continue
			}
			entries[key] = entry
			m.lapse(key, end)
		}
	}
	m.publish(revision, entries, now)
}

// lapse keeps a missing entry until end, or as long as was said before.
func (m *Mirror) lapse(key string, end time.Time) {
	if _, ok := m.lapsed[key]; !ok {
		m.lapsed[key], m.told = end, false
		m.options.Log.Info().Str(event.KeyKey, key).Msg(string(event.EntryLapsed))
	}
}

// apply takes changes in order.
func (m *Mirror) apply(changes platform.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := m.snapshot.Load()
	now := m.options.Clock.Now()
	if present == nil || (len(changes.Entries) == 0 && !m.due(now)) {
		return
	}
	entries := maps.Clone(present.Entries)
	for _, change := range changes.Entries {
		m.change(entries, change, now)
	}
	m.publish(max(present.Revision, changes.Revision), entries, now)
}

func (m *Mirror) change(entries map[string]platform.Entry, change platform.Change, now time.Time) {
	before, known := entries[change.Key]
	if known && change.ModRevision <= before.ModRevision {
		return
	}
	if !change.Removed {
		entries[change.Key] = change.Entry
		delete(m.lapsed, change.Key)
		return
	}
	if !known {
		return
	}
	if end, grace := m.graceEnd(now); grace && m.leased(change.Key) {
		m.lapse(change.Key, end)
		return
	}
	delete(entries, change.Key)
}

// publish stores a copy without the lapsed entries whose time is over.
func (m *Mirror) publish(revision int64, entries map[string]platform.Entry, now time.Time) {
	for key, end := range m.lapsed {
		if !now.Before(end) {
			delete(entries, key)
			delete(m.lapsed, key)
			m.options.Log.Info().Str(event.KeyKey, key).Msg(string(event.EntryGone))
		}
	}
	m.snapshot.Store(&Snapshot{Revision: revision, Entries: entries, Lapsed: maps.Clone(m.lapsed)})
}

// sweep drops the lapsed entries whose time is over while no answer of the store does. As
// long as the store does not answer, the own word that one was missing may be out of
// date; that of an instance that hears the store counts.
func (m *Mirror) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	present, now := m.snapshot.Load(), m.options.Clock.Now()
	if present == nil || !m.due(now) || (m.lost && !m.told) {
		return
	}
	m.publish(present.Revision, maps.Clone(present.Entries), now)
}

func (m *Mirror) due(now time.Time) bool {
	for _, end := range m.lapsed {
		if !now.Before(end) {
			return true
		}
	}
	return false
}

// untilSweep is how long until the first lapsed entry's time is over.
func (m *Mirror) untilSweep() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := watchWait
	now := m.options.Clock.Now()
	for _, end := range m.lapsed {
		left = min(left, max(leastWait, end.Sub(now)))
	}
	return left
}

// leastWait keeps calls apart while an entry's time runs out.
const leastWait = 50 * time.Millisecond

func (m *Mirror) revision() int64 {
	if present := m.snapshot.Load(); present != nil {
		return present.Revision
	}
	return 0
}

// Delta is what has changed in a copy since a revision.
type Delta struct {
	// Revision is the copy's; zero: it has nothing newer.
	Revision int64
	// Changed holds the entries that were written since, Keys all keys that there are.
	Changed []platform.Entry
	Keys    []string
	// Lapsed holds those of the keys that are missing in the store and still counted.
	Lapsed []Lapse
}

// Lapse is a key that counts for a while longer.
type Lapse struct {
	Key  string
	Left time.Duration
}

// Since returns what has changed in the copy since a revision.
func (s *Snapshot) Since(revision int64, now time.Time) Delta {
	if s.Revision <= revision {
		return Delta{}
	}
	delta := Delta{Revision: s.Revision, Keys: make([]string, 0, len(s.Entries))}
	for key, entry := range s.Entries {
		delta.Keys = append(delta.Keys, key)
		if entry.ModRevision > revision {
			delta.Changed = append(delta.Changed, entry)
		}
	}
	for key, end := range s.Lapsed {
		delta.Lapsed = append(delta.Lapsed, Lapse{Key: key, Left: end.Sub(now)})
	}
	return delta
}

// Adopt brings the copy to what another instance's copy is, when that is newer than
// the own one, and says whether it was. The delta must be since the own revision.
func (m *Mirror) Adopt(delta *Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := m.snapshot.Load()
	if delta.Revision <= m.revision() {
		return false
	}
	entries := make(map[string]platform.Entry, len(delta.Keys))
	for i := range delta.Changed {
		entries[delta.Changed[i].Key] = delta.Changed[i]
	}
	for _, key := range delta.Keys {
		if _, changed := entries[key]; changed {
			continue
		}
		if present == nil {
			return false
		}
		entry, ok := present.Entries[key]
		if !ok {
			return false
		}
		entries[key] = entry
	}
	now := m.options.Clock.Now()
	m.lapsed, m.told = make(map[string]time.Time, len(delta.Lapsed)), true
	for _, lapse := range delta.Lapsed {
		m.lapsed[lapse.Key] = now.Add(min(lapse.Left, lapseGrace))
	}
	m.publish(delta.Revision, entries, now)
	return true
}
