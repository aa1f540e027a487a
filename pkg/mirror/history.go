package mirror

import (
	"context"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// A listing says what there is, not what came and went since the copy's position. Where that matters, for
// the prefixes whose removals are told, the store's history is read as well; where the store has lost it, the
// copy has a gap.

const (
	// lookBackFar is how many revisions before its first listing a copy reads: others that copy
	// from it are behind it by no more, unless they were out of reach.
	historyDepth = 200
	// lookBackWait is what the store is asked to wait for history: it has it, or has not.
	historyWait = time.Millisecond
)

// beginHistory returns from where on the history is read at the first listing.
func (m *Mirror) beginHistory(first Position) Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gap = Position{Era: first.Era, Revision: min(first.Revision, max(1, first.Revision-historyDepth))}
	return m.gap
}

// lookBack reads what came and went between two positions.
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

// tellAll takes the removals among changes of an era.
func (m *Mirror) recordRemovals(changes platform.Changes, epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	news := false
	for i := range changes.Entries {
		if change := &changes.Entries[i]; change.Removed {
			news = m.recordRemoval(change.Key, Position{Era: epoch, Revision: change.ModRevision}) || news
		}
	}
	if news {
		m.republish()
	}
}

// noteGap notes that the history up to a position is lost.
func (m *Mirror) recordGap(to Position, err error) {
	m.options.Log.Warn().Err(err).Uint64(event.KeyEra, to.Era).Int64(event.KeyRevision, to.Revision).Msg(string(event.StoreHistoryMissed))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gap.Before(to) {
		m.gap = to
		m.republish()
	}
}

// republish stores the present copy with what was learned of its history. The caller holds m.mu.
func (m *Mirror) republish() {
	if present := m.snapshot.Load(); present != nil {
		next := *present
		next.Removals, next.Gap = m.removals, m.gap
		m.snapshot.Store(&next)
	}
}

// adoptGap takes over what another copy does not know of the history, unless the own one has followed
// that itself. The caller holds m.mu.
func (m *Mirror) mergeGap(present *Snapshot, delta *Delta) {
	gap := delta.Gap
	if present != nil && present.Era < delta.Era && gap.Era < delta.Era {
		gap = delta.position()
	}
	if present.Position().Before(gap) && m.gap.Before(gap) {
		m.gap = gap
	}
}
