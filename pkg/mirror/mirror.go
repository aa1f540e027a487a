// Package mirror keeps a local replica of some prefixes of the platform's key-value store and
// follows their changes, so that the request path reads only memory.
//
// Guarantees: a replica's position never goes back. Leased entries that are missing after the store
// was unavailable are retained for a while, since their owners may be about to write them again.
// When the store is restored from a backup, its new revisions are followed from there, and entries
// with newer content than the backup's stay valid until they are written again.
package mirror

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/freshness"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Snapshot is an immutable copy of the store's entries.
type Snapshot struct {
	// Epoch and Revision are the epoch and revision of the store that the snapshot reflects.
	Epoch    uint64
	Revision int64
	// Entries of an epoch below Epoch are retained: the store has received no write of them since.
	Entries map[string]platform.Entry
	// Expiring holds the entries that are missing in the store and still valid, with their expiry
	// by this process's clock.
	Expiring map[string]time.Time
	// hidden holds the entries that are in the store and not valid yet.
	hidden map[string]hidden
	// removed holds the entries that were deleted recently and of which earlier states may be written
	// late.
	removed []platform.Entry
	// RetainedSum is the fingerprint of the retained entries; zero if there are none.
	RetainedSum uint64
	// Removals holds the position of the last deletion of each key below the prefixes with
	// tracked deletions. It must not be changed.
	Removals map[string]Position
	// Gap is the position up to which the history of those prefixes is unknown: earlier writes
	// that were deleted again are in neither Entries nor Removals.
	Gap Position
	// Unreplayed is Mirror.Unreplayed at the time of the snapshot: what is decided by both must not
	// see the entries of one time and the state of another.
	Unreplayed bool
}

// Position returns the position up to which the replica has followed the store.
func (s *Snapshot) Position() Position {
	if s == nil {
		return Position{}
	}
	return Position{Era: s.Epoch, Revision: s.Revision}
}

// HasTemporary reports whether the snapshot holds retained entries that will expire, or hidden
// ones.
func (s *Snapshot) HasTemporary() bool { return len(s.Expiring) > 0 || len(s.hidden) > 0 }

// Options of a Mirror.
type Options struct {
	Source platform.PrefixReader
	// Prefix selects the replicated entries; empty for all.
	Prefix string
	// Leased are the prefixes below it with entries that are bound to their owners' leases.
	Leased []string
	// TrackedRemovals are the prefixes below it for which deletions are recorded, including
	// those of entries that were written and deleted between two reads.
	TrackedRemovals []string
	// Replayed are the prefixes below it of which a listing does not tell enough, since a late write may
	// have replaced a newer state: the changes since the replica's position are read as well.
	Replayed []string
	// UrgentPrefix is the prefix below it with changes that are read at once, however many
	// others there are; empty for none.
	UrgentPrefix string
	// Order decides which entries of a former epoch stay valid; nil if only the store's state
	// counts.
	Order Order
	Clock clock.Clock
	Log   zerolog.Logger
	// Active reports whether the store should be followed; while it is false, snapshots arrive
	// by Adopt. Nil means always.
	Active func() bool
}

// Times of a Mirror.
const (
	// watchWait is the wait of one call for changes. It bounds the time until a stalled
	// connection is noticed: keep-alive probes detect that no sooner.
	watchWait = 3 * time.Second
	// watchSettle is the time within which the store answers a call that need not wait, since it has
	// changes already: a round trip between regions, and some processing.
	watchSettle = 250 * time.Millisecond
	// minPause follows changes, so that one call reads several that are close together. It
	// doubles, up to maxPause, while each call returns some: while a deployment of hundreds
	// starts or is replaced, its instances and servers write hundreds of entries, and a call for
	// each few of them was a third of all calls to the store. A configuration then takes effect
	// that much later, of the 3 s allowed.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// callTimeout is the time that a call may take beyond its wait: half a megabyte of
	// configuration over a shared link of 10 Mbit/s. The store's client aborts calls without
	// progress sooner.
	callTimeout = 5 * time.Second
	// firstRetryPause and maxRetryPause bound the pause after a failed call.
	firstRetryPause = 50 * time.Millisecond
	maxRetryPause   = 400 * time.Millisecond
	// leaseGrace is the time after the store is available again for which a missing leased entry
	// stays valid: its owner writes it again within about two seconds.
	leaseGrace = 2300 * time.Millisecond
	// restoredPause is the pause before listing a restored store: the store's server that
	// revealed the restore may be another than the one that is asked.
	restoredPause = 100 * time.Millisecond
	// idlePause is the interval at which an inactive Mirror checks whether it is active again.
	// All but two instances of a domain are inactive, and each check wakes a process.
	idlePause = 250 * time.Millisecond
)

// errRestored means that the store was restored from a backup, so that the answer of the present
// call does not show what changed.
var errRestored = errors.New("the store was restored from a backup")

// Mirror replicates a prefix. Only Run and Adopt write to it.
type Mirror struct {
	options  Options
	snapshot board.Section[Snapshot]
	epochs   board.Section[uint64]
	contact  freshness.Contact

	mu sync.Mutex
	// lost is true while the store does not answer; recoveredAt is the time at which it last
	// answered again, zero if it was never lost.
	lost        bool
	recoveredAt time.Time
	// answeredAt is the time of the store's last answer; following is true while changes are waited
	// for or were just applied. waitingSince is the time since which they are waited for; zero if they
	// are not.
	answeredAt   time.Time
	following    bool
	waitingSince time.Time
	// epoch is the highest observed, observedAny reports whether any was.
	epoch       uint64
	observedAny bool
	// expiring holds the entries that are missing and still valid, with their expiry.
	expiring map[string]time.Time
	// expiryFromPeer is true while expiring was set by another instance's snapshot.
	expiryFromPeer bool
	// removed holds the recently deleted entries, hidden those that are in the store and count
	// as deleted.
	removed map[string]removal
	hidden  map[string]hidden
	// removals is Snapshot.Removals; it is replaced, not changed. gap is Snapshot.Gap.
	removals map[string]Position
	gap      Position
	// unreplayed is true if the store had discarded changes before the last listing that a late write
	// may have undone.
	unreplayed bool
	// interrupt cancels the call that waits for changes; nil if none waits.
	interrupt context.CancelFunc
	// pause follows the next call that returns changes. Only Run uses it.
	pause time.Duration
	// urgent receives the revision of each change below Options.UrgentPrefix.
	urgent chan int64
	// wake holds one value while an inactive Mirror should check whether it is active.
	wake chan struct{}
}

// New returns an empty Mirror.
func New(options Options) *Mirror {
	if options.Order == nil {
		options.Order = noOrder{}
	}
	return &Mirror{
		options: options, pause: minPause, urgent: make(chan int64, 1), wake: make(chan struct{}, 1),
		expiring: make(map[string]time.Time), removed: make(map[string]removal), hidden: make(map[string]hidden),
	}
}

// Snapshot returns the section that holds the newest snapshot.
func (m *Mirror) Snapshot() *board.Section[Snapshot] { return &m.snapshot }

// Current reports whether the store is followed and answers this process, so that a peer's snapshot
// can be only marginally newer.
func (m *Mirror) Current() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.following && !m.lost && m.epoch == m.Position().Era && !m.answeredAt.IsZero() && m.contact.Reaches(m.options.Clock.Now())
}

// RecordCall records the end of any call of this process to the store; answered is false if the
// store did not serve it.
func (m *Mirror) RecordCall(answered bool) { m.contact.Record(answered, m.options.Clock.Now()) }

// Contact returns the age of the store's last answer to any call of this process, and whether the
// store still answers it.
func (m *Mirror) Contact() (age time.Duration, reaches bool) {
	now := m.options.Clock.Now()
	age, _ = m.contact.Age(now)
	return age, m.contact.Reaches(now)
}

// LastAnswer returns the age of the store's last answer to any call of this process; ok is false if
// there was none.
func (m *Mirror) LastAnswer() (age time.Duration, ok bool) {
	return m.contact.Age(m.options.Clock.Now())
}

// Following reports whether this process follows the store itself, answered or not.
func (m *Mirror) Following() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.following
}

// AsOf returns the time until which everything that the store confirmed is in the replica, by this
// process's own calls: while changes are waited for, that of the last answer to any call. It is zero
// unless the store is followed and answers.
func (m *Mirror) AsOf() time.Time {
	if !m.Current() {
		return time.Time{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	if m.waitingSince.IsZero() || now.Sub(m.waitingSince) < watchSettle {
		return m.answeredAt
	}
	age, _ := m.contact.Age(now)
	return now.Add(-age)
}

// LastCallFailed reports whether the store's last call failed.
func (m *Mirror) LastCallFailed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

// LastAnswerAt returns the time of the store's last answer to this instance; zero if there was
// none.
func (m *Mirror) LastAnswerAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answeredAt
}

// Position returns the position up to which the replica has followed the store; zero if it is
// empty.
func (m *Mirror) Position() Position { return m.snapshot.Load().Position() }

// RetainedSum returns the fingerprint of the entries retained from former epochs; zero if there are
// none.
func (m *Mirror) RetainedSum() uint64 {
	if present := m.snapshot.Load(); present != nil {
		return present.RetainedSum
	}
	return 0
}

// Revision returns the store's revision that the replica reflects; zero if it is empty.
func (m *Mirror) Revision() int64 { return m.revision() }

// Epoch returns the highest observed epoch of the store; zero if none was observed or the store
// does not report it.
func (m *Mirror) Epoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

// Epochs returns the section that holds the highest observed epoch of the store.
func (m *Mirror) Epochs() *board.Section[uint64] { return &m.epochs }

// ObserveEpoch records the epoch in an answer of the store to this or another instance. A higher
// one cancels the call that waits for changes, because the awaited revision may never come.
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

// observeAnswer records the epoch of an answer, and returns the epoch in which it was given. An
// answer without one shows no restore.
func (m *Mirror) observeAnswer(epoch uint64) uint64 {
	if epoch == 0 {
		return m.Epoch()
	}
	m.ObserveEpoch(epoch)
	return epoch
}

// logIgnored logs that entries of the store are ignored.
func (m *Mirror) logIgnored(entries int, revision int64) {
	m.options.Log.Warn().Int(event.KeyEntries, entries).Uint64(event.KeyEra, m.epoch).
		Int64(event.KeyRevision, revision).Int64(event.KeyKnownRevision, m.revision()).Msg(string(event.EntriesLeftOut))
}

// active reports whether the store should be followed now. A Mirror without a snapshot always
// reads one.
func (m *Mirror) active() bool {
	return m.options.Active == nil || m.revision() == 0 || m.options.Active()
}

// Run replicates until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := firstRetryPause
	for ctx.Err() == nil {
		if !m.active() {
			m.sweep()
			m.idle(ctx)
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

// Wake makes an inactive Mirror check at once whether it is active. It never blocks.
func (m *Mirror) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// idle waits for idlePause or for Wake.
func (m *Mirror) idle(ctx context.Context) {
	timer := time.NewTimer(idlePause)
	defer timer.Stop()
	select {
	case <-m.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordFailure records a failed call and returns the pause before the next.
func (m *Mirror) recordFailure(err error, pause time.Duration) time.Duration {
	m.RecordCall(false)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lost {
		m.lost = true
		m.options.Log.Warn().Err(err).Msg(string(event.StoreLost))
		return firstRetryPause
	}
	return min(maxRetryPause, 2*pause)
}

// recordAnswer records that the store answered.
func (m *Mirror) recordAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	m.contact.Record(true, now)
	first := m.answeredAt.IsZero()
	m.answeredAt = now
	if m.lost {
		m.lost = false
		m.recoveredAt = now
		m.options.Log.Info().Msg(string(event.StoreRegained))
	} else if first {
		m.options.Log.Info().Msg(string(event.StoreReached))
	}
}

// follow lists everything and then follows the changes, until a call fails or the Mirror is no
// longer active.
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

// list reads everything and returns the position from which changes are to be followed.
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
		if epoch != first.Era || epoch < m.Epoch() {
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
		// Nobody uses the first listing before it is replayed, or another instance has told what that
		// would show: Unreplayed tells.
		before = m.beginHistory(first)
		m.setUnreplayed(true)
		m.replace(first, entries, nil)
		from := Position{Era: first.Era, Revision: max(1, first.Revision-replayDepth)}
		m.applyReplay(m.replay(ctx, make(map[string]platform.Entry), from, first))
	} else {
		known, complete := m.replay(ctx, maps.Clone(m.snapshot.Load().Entries), before, first)
		m.setUnreplayed(!complete)
		m.replace(first, entries, known)
	}
	m.readHistory(ctx, before, first)
	return first, nil
}

func (m *Mirror) page(ctx context.Context, after string) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.options.Source.List(ctx, m.options.Prefix, after)
}

// changes waits for changes after a position, and returns the position from which to continue.
func (m *Mirror) changes(ctx context.Context, after Position) (Position, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	if !m.beginWait(after, cancel) {
		return Position{}, errRestored
	}
	defer m.endWait()
	changes, err := m.options.Source.Changes(ctx, m.options.Prefix, after.Revision, min(watchWait, m.untilSweep()))
	m.setWaitingSince(time.Time{})
	if err == nil {
		m.recordAnswer()
		changes.Era = m.observeAnswer(changes.Era)
	}
	if after.Era != m.Epoch() {
		// This holds even if the replica has caught up meanwhile: the revision belongs to a
		// former epoch.
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

// beginWait registers the cancel function of the call that is about to wait; false if it would
// wait for a revision of a former epoch.
func (m *Mirror) beginWait(after Position, interrupt context.CancelFunc) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interrupt, m.waitingSince = interrupt, m.options.Clock.Now()
	return after.Era == m.epoch
}

func (m *Mirror) endWait() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interrupt = nil
}

func (m *Mirror) setWaitingSince(since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waitingSince = since
}

// pauseAfterChanges waits after a call that returned changes, longer each time, unless an urgent
// change has to be read.
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
