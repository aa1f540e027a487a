package mirror

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// A listing contains the present state, not what was written and deleted since the replica's
// position. For the prefixes with tracked deletions the store's history is read as well; if the
// store has lost it, the replica has a gap.

const (
	// historyDepth is the number of revisions before its first listing that a replica reads.
	// Others that copy from it are no further behind, unless they were partitioned.
	historyDepth = 200
	// replayDepth is that number for the prefixes in Options.Replayed: more revisions than hundreds of
	// servers and instances write while a write may be late, and about as many bytes as a listing.
	// shortReplayDepth is it where the store has discarded so much.
	replayDepth      = 1000
	shortReplayDepth = 50
	// historyWait is the wait of a call for history, which the store either has or has not.
	historyWait = time.Millisecond
)

// beginHistory returns the position from which the history is read at the first listing.
func (m *Mirror) beginHistory(first Position) Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gap = Position{Era: first.Era, Revision: min(first.Revision, max(1, first.Revision-historyDepth))}
	return m.gap
}

// replay applies the changes below Options.Replayed between two positions, in their order, to the entries that
// were known at the first. Where the store has discarded its history complete is false, and only what is left
// of it is applied.
func (m *Mirror) replay(ctx context.Context, known map[string]platform.Entry, from, to Position) (replayed map[string]platform.Entry, complete bool) {
	if from.Era != to.Era {
		return known, false
	}
	if !from.Before(to) {
		return known, true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	complete = true
	for _, prefix := range m.options.Replayed {
		err := m.replayPrefix(ctx, known, prefix, from.Revision, to.Era)
		if errors.Is(err, platform.ErrCompacted) {
			err = errors.Join(err, m.replayPrefix(ctx, known, prefix, to.Revision-shortReplayDepth, to.Era))
		}
		if err != nil {
			m.options.Log.Info().Err(err).Str(event.KeyKey, prefix).Int64(event.KeyRevision, from.Revision).Msg(string(event.StoreNotReplayed))
			complete = false
		}
	}
	return known, complete
}

// applyReplay overrules the entries of the first listing that are older than those of a replay.
func (m *Mirror) applyReplay(known map[string]platform.Entry, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreplayed = m.unreplayed && !complete
	present, now := m.snapshot.Load(), m.options.Clock.Now()
	entries := maps.Clone(present.Entries)
	m.overruleListed(known, entries, now)
	m.publish(present.Position(), entries, now)
}

// replayPrefix applies the changes of a prefix after a revision to entries.
func (m *Mirror) replayPrefix(ctx context.Context, entries map[string]platform.Entry, prefix string, after int64, epoch uint64) error {
	changes, err := m.options.Source.Changes(ctx, prefix, max(1, after), historyWait)
	if err != nil {
		return err
	}
	if m.observeAnswer(changes.Era) != epoch {
		return errRestored
	}
	m.applyReplayed(entries, changes, epoch)
	return nil
}

func (m *Mirror) setUnreplayed(unreplayed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreplayed = unreplayed && len(m.options.Replayed) > 0
}

// Unreplayed reports whether entries may have been put back to an earlier state by a late write while the
// store has discarded the changes that would show it. Another instance's snapshot shows it too: see
// Introduce.
func (m *Mirror) Unreplayed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreplayed
}

// Introduce overrules the entries that are older than those of another instance's whole snapshot, which may
// itself be behind this one. The zero Delta stands for no other instance.
func (m *Mirror) Introduce(delta *Delta) {
	m.ObserveEpoch(delta.Era)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreplayed = false
	present, now := m.snapshot.Load(), m.options.Clock.Now()
	if present == nil {
		return
	}
	entries := maps.Clone(present.Entries)
	if present.Epoch == delta.Era {
		m.overruleOlder(present, delta, entries, now)
	}
	m.publish(present.Position(), entries, now)
}

// overruleOlder hides the entries that are older than those of a whole snapshot. The caller holds m.mu.
func (m *Mirror) overruleOlder(present *Snapshot, delta *Delta, entries map[string]platform.Entry, now time.Time) {
	known := make(map[string]platform.Entry, len(delta.Changed)+len(delta.Held))
	for _, received := range [][]platform.Entry{delta.Changed, delta.Held} {
		for _, entry := range received {
			known[entry.Key] = entry
		}
	}
	m.recordDeleted(delta, now)
	for key, entry := range known {
		if _, exists := present.Entries[key]; !exists && positionOf(&entry).Before(present.Position()) {
			m.recordRemoved(entry, now)
		}
	}
	for key, entry := range present.Entries {
		latest := m.latest(known, key, now)
		if latest != nil && positionOf(latest).Before(positionOf(&entry)) && m.overrule(&entry, latest, now) {
			m.restoreLatest(known, entries, key)
		}
	}
	m.mergeHidden(delta, entries, now)
}

// applyReplayed applies changes of an epoch to entries.
func (m *Mirror) applyReplayed(entries map[string]platform.Entry, changes platform.Changes, epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	for _, change := range changes.Entries {
		change.Era = epoch
		m.change(entries, change, now)
	}
}

// readHistory reads the changes between two positions.
func (m *Mirror) readHistory(ctx context.Context, from, to Position) {
	if len(m.options.TrackedRemovals) == 0 || !from.Before(to) {
		return
	}
	if from.Era != to.Era {
		m.recordGap(to, errRestored)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, prefix := range m.options.TrackedRemovals {
		changes, err := m.options.Source.Changes(ctx, prefix, from.Revision, historyWait)
		if err == nil && m.observeAnswer(changes.Era) != to.Era {
			err = errRestored
		}
		if err != nil {
			m.recordGap(to, err)
			return
		}
		m.recordRemovals(changes, to.Era)
	}
}

// recordRemovals records the deletions among changes of an epoch.
func (m *Mirror) recordRemovals(changes platform.Changes, epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for i := range changes.Entries {
		if change := &changes.Entries[i]; change.Removed {
			changed = m.recordRemoval(change.Key, Position{Era: epoch, Revision: change.ModRevision}) || changed
		}
	}
	if changed {
		m.republish()
	}
}

// recordGap records that the history up to a position is lost.
func (m *Mirror) recordGap(to Position, err error) {
	m.options.Log.Warn().Err(err).Uint64(event.KeyEra, to.Era).Int64(event.KeyRevision, to.Revision).Msg(string(event.StoreHistoryMissed))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gap.Before(to) {
		m.gap = to
		m.republish()
	}
}

// republish stores the present snapshot with the updated history. The caller holds m.mu.
func (m *Mirror) republish() {
	if present := m.snapshot.Load(); present != nil {
		next := *present
		next.Removals, next.Gap = m.removals, m.gap
		m.snapshot.Store(&next)
	}
}

// mergeGap takes over the gap of another snapshot unless the local replica has followed that
// part of the history itself. The caller holds m.mu.
func (m *Mirror) mergeGap(present *Snapshot, delta *Delta) {
	gap := delta.Gap
	if present != nil && present.Epoch < delta.Era && gap.Era < delta.Era {
		gap = delta.position()
	}
	if present.Position().Before(gap) && m.gap.Before(gap) {
		m.gap = gap
	}
}
