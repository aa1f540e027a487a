package mirror

import (
	"context"
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
