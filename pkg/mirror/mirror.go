// Package mirror keeps a copy of some prefixes of the platform's key-value store and
// follows their changes, so that whatever waits for a request reads memory alone.
//
// Guarantees: a copy's position never goes back; entries that hang on a lease, and
// are missing after the store was out of reach, are kept for a while, since their
// owners may be about to write them again; when the store comes back from a copy of its
// past, its new revisions are followed from there, and what was known and is newer than
// that copy by its content counts until it is written again.
package mirror

import (
	"context"
	"errors"
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
	// Era and Revision are the store's that the copy reflects.
	Era      uint64
	Revision int64
	// Entries of an era below Era are held over: the store has not written them since.
	Entries map[string]platform.Entry
	// Lapsed holds the entries that are missing in the store and still counted, and until
	// when, by this process's clock.
	Lapsed map[string]time.Time
	// hidden holds the entries that are in the store and do not count yet.
	hidden map[string]hidden
	// Held is the fingerprint of the entries that are held over; zero: none is.
	Held uint64
	// Removals holds at which position keys were last removed, below the prefixes whose removals are
	// told. It must not be changed.
	Removals map[string]Position
	// Gap is up to where the history of those prefixes is not known: what came and went before is in
	// neither Entries nor Removals.
	Gap Position
}

// Position is how far the copy has followed the store.
func (s *Snapshot) Position() Position {
	if s == nil {
		return Position{}
	}
	return Position{Era: s.Era, Revision: s.Revision}
}

// Passing says whether the copy holds entries that count, or do not, for a while only.
func (s *Snapshot) HasTemporary() bool { return len(s.Lapsed) > 0 || len(s.hidden) > 0 }

// Options of a Mirror.
type Options struct {
	Source platform.PrefixReader
	// Prefix is what is copied; empty: everything.
	Prefix string
	// Leased are the prefixes below it whose entries vanish with their owners.
	Leased []string
	// TrackedRemovals are the prefixes below it whose removals are told, be it that an entry came and went
	// between two looks.
	TrackedRemovals []string
	// UrgentPrefix is the prefix below it whose changes are read at once, however many others there are;
	// empty: none is.
	UrgentPrefix string
	// Order tells what counts of a former era; nil: the store's word alone does.
	Order Order
	Clock clock.Clock
	Log   zerolog.Logger
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
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// longestCall is what a call may take beyond its waiting: a configuration of half a
	// megabyte over a link of 10 Mbit/s that others use as well. The store's client ends
	// calls sooner that make no progress.
	callTimeout = 5 * time.Second
	// firstRetry and longestRetry bound the pause after a failed call.
	firstRetryPause = 50 * time.Millisecond
	maxRetryPause   = 400 * time.Millisecond
	// lapseGrace is for how long after the store's return a missing leased entry
	// still counts: its owner writes it again within about two seconds.
	leaseGrace = 2300 * time.Millisecond
	// restoredPause passes before the store is listed after its return from a copy: the one that
	// told of it may be another than the one that is asked.
	restoredPause = 100 * time.Millisecond
	// idlePause is how often an inactive Mirror looks whether it is active again: all but
	// two instances of a domain do, and each look wakes a process.
	idlePause = 250 * time.Millisecond
	// currentFor is for how long after an answer of the store the copy counts as
	// current: a little more than a waiting call that was told nothing.
	currentWindow = watchWait + 200*time.Millisecond
)

// errRestored: the store has come back from a copy, so that the present call's answer says nothing
// of what changed.
var errRestored = errors.New("the store has come back from a copy")

// Mirror copies a prefix. Its Run is the only writer, but for Adopt.
type Mirror struct {
	options  Options
	snapshot board.Section[Snapshot]
	epochs   board.Section[uint64]

	mu sync.Mutex
	// lost is true while the store does not answer; returned is when it last came
	// back, zero when it was never lost.
	lost     bool
	returned time.Time
	// reached is when the store last answered; following is true while changes are waited
	// for, or were just taken.
	reached   time.Time
	following bool
	// era is the highest that was heard, heardAny whether any was.
	epoch       uint64
	observedAny bool
	// lapsed holds the entries that are missing and still counted, and until when.
	expiring map[string]time.Time
	// told is true while lapsed is as another instance told it.
	expiryFromPeer bool
	// removed holds the entries that were removed lately, hidden those that the store holds and
	// that count as removed.
	removed map[string]removal
	hidden  map[string]hidden
	// removals is Snapshot.Removals; it is replaced, not changed. gap is Snapshot.Gap.
	removals map[string]Position
	gap      Position
	// interrupt ends the call that waits for changes; nil: none waits.
	interrupt context.CancelFunc
	// pause follows the next call that brings changes. Run alone uses it.
	pause time.Duration
	// prompted receives the revision of each change below Options.Prompt.
	urgent chan int64
}

// New returns a Mirror that holds nothing yet.
func New(options Options) *Mirror {
	if options.Order == nil {
		options.Order = noOrder{}
	}
	return &Mirror{
		options: options, pause: minPause, urgent: make(chan int64, 1),
		expiring: make(map[string]time.Time), removed: make(map[string]removal), hidden: make(map[string]hidden),
	}
}

// Snapshot returns the section that holds the newest copy.
func (m *Mirror) Snapshot() *board.Section[Snapshot] { return &m.snapshot }

// Current says whether the store is followed and answered lately, so that a peer's copy can
// be newer by moments only.
func (m *Mirror) Current() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.following && !m.lost && m.epoch == m.Position().Era && !m.reached.IsZero() && m.options.Clock.Now().Sub(m.reached) < currentWindow
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

// Position is how far the copy has followed the store; zero: there is none.
func (m *Mirror) Position() Position { return m.snapshot.Load().Position() }

// Held is the fingerprint of what the copy holds over from former eras; zero: nothing.
func (m *Mirror) Held() uint64 {
	if present := m.snapshot.Load(); present != nil {
		return present.Held
	}
	return 0
}

// Revision is the store's revision that the copy reflects; zero: there is none.
func (m *Mirror) Revision() int64 { return m.revision() }

// Era is the highest of the store's eras that was heard; zero: none, or it does not say.
func (m *Mirror) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

// Eras returns the section that holds the highest of the store's eras that was heard.
func (m *Mirror) Eras() *board.Section[uint64] { return &m.epochs }

// ObserveEpoch takes the era that an answer of the store tells, to this instance or to another one. A
// further one ends the call that waits for changes: what it waits for may not come any more.
func (m *Mirror) ObserveEpoch(epoch uint64) {
	if epoch == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	first := !m.observedAny
	m.observedAny = true
	if epoch <= m.epoch {
		return
	}
	m.epoch = epoch
	m.epochs.Store(&epoch)
	if m.interrupt != nil {
		m.interrupt()
	}
	if !first {
		m.options.Log.Warn().Uint64(event.KeyEra, epoch).Int64(event.KeyKnownRevision, m.revision()).Msg(string(event.StoreRestored))
	}
}

// heard takes the era that an answer tells, and returns in which it was given: one that tells none
// says nothing of a return.
func (m *Mirror) observeAnswer(epoch uint64) uint64 {
	if epoch == 0 {
		return m.Era()
	}
	m.ObserveEpoch(epoch)
	return epoch
}

// leftOut logs that the store told something that is not taken.
func (m *Mirror) logIgnored(entries int, revision int64) {
	m.options.Log.Warn().Int(event.KeyEntries, entries).Uint64(event.KeyEra, m.epoch).
		Int64(event.KeyRevision, revision).Int64(event.KeyKnownRevision, m.revision()).Msg(string(event.EntriesLeftOut))
}

// active says whether the store should be followed now. A Mirror without a copy
// always reads one.
func (m *Mirror) active() bool {
	return m.options.Active == nil || m.revision() == 0 || m.options.Active()
}

// Run copies until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := firstRetryPause
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
			pause = firstRetryPause
			continue
		}
		if errors.Is(err, errRestored) {
			clock.Sleep(ctx, restoredPause)
			continue
		}
		if errors.Is(err, platform.ErrCompacted) {
			m.options.Log.Warn().Int64(event.KeyRevision, m.revision()).Msg(string(event.StoreHistoryGone))
			continue
		}
		pause = m.recordFailure(err, pause)
		m.sweep()
		clock.Sleep(ctx, pause)
	}
}

// failed notes an unanswered call and returns the pause before the next.
func (m *Mirror) recordFailure(err error, pause time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lost {
		m.lost = true
		m.options.Log.Warn().Err(err).Msg(string(event.StoreLost))
		return firstRetryPause
	}
	return min(maxRetryPause, 2*pause)
}

// answered notes that the store answered.
func (m *Mirror) recordAnswer() {
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
	m.setFollowing(true)
	defer m.setFollowing(false)
	after, err := m.list(ctx)
	if err == nil {
		defer m.watchUrgent(ctx, after)()
	}
	for err == nil && m.active() {
		after, err = m.changes(ctx, after)
	}
	return err
}

func (m *Mirror) setFollowing(following bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.following = following
}

// list reads everything and returns from where on changes are to be followed.
func (m *Mirror) list(ctx context.Context) (Position, error) {
	entries, before := make(map[string]platform.Entry), m.Position()
	var first Position
	for after := ""; ; {
		page, err := m.page(ctx, after)
		if err != nil {
			return Position{}, err
		}
		m.recordAnswer()
		epoch := m.observeAnswer(page.Era)
		if first.Revision == 0 {
			first = Position{Era: epoch, Revision: page.Revision}
		}
		if epoch != first.Era || epoch < m.Era() {
			return Position{}, errRestored
		}
		for _, entry := range page.Entries {
			entry.Era = epoch
			entries[entry.Key] = entry
			after = entry.Key
		}
		if !page.More || len(page.Entries) == 0 {
			break
		}
	}
	if before == (Position{}) {
		before = m.beginHistory(first)
	}
	m.replace(first, entries)
	m.readHistory(ctx, before, first)
	return first, nil
}

func (m *Mirror) page(ctx context.Context, after string) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.options.Source.List(ctx, m.options.Prefix, after)
}

// changes waits for what changed after a position, and returns from where on to go on.
func (m *Mirror) changes(ctx context.Context, after Position) (Position, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	if !m.beginWait(after, cancel) {
		return Position{}, errRestored
	}
	defer m.endWait()
	changes, err := m.options.Source.Changes(ctx, m.options.Prefix, after.Revision, min(watchWait, m.untilSweep()))
	if err == nil {
		m.recordAnswer()
		changes.Era = m.observeAnswer(changes.Era)
	}
	if after.Era != m.Era() {
		// Also where the copy has caught up meanwhile: the revision is one of a former era.
		return Position{}, errRestored
	}
	if err != nil {
		return Position{}, err
	}
	m.apply(changes)
	m.pauseAfterChanges(ctx, len(changes.Entries) > 0)
	after.Revision = max(after.Revision, changes.Revision)
	return after, nil
}

// wait notes how the call that is about to wait can be ended; false: it would wait for a
// revision of a former era.
func (m *Mirror) beginWait(after Position, interrupt context.CancelFunc) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interrupt = interrupt
	return after.Era == m.epoch
}

func (m *Mirror) endWait() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interrupt = nil
}

// rest waits after a call that brought changes, longer each time, unless there is one that is to be
// read at once.
func (m *Mirror) pauseAfterChanges(ctx context.Context, changed bool) {
	if !changed {
		m.pause = minPause
		return
	}
	m.sleepUnlessUrgent(ctx, m.pause)
	m.pause = min(maxPause, 2*m.pause)
}

func (m *Mirror) revision() int64 {
	if present := m.snapshot.Load(); present != nil {
		return present.Revision
	}
	return 0
}
