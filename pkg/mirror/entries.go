package mirror

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// leased reports whether a key's entry is bound to its owner's lease.
func (m *Mirror) leased(key string) bool {
	for _, prefix := range m.options.Leased {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// graceEnd returns the time until which a leased entry that is found missing now stays valid,
// and whether there is any.
func (m *Mirror) graceEnd(now time.Time) (time.Time, bool) {
	end := m.recoveredAt.Add(leaseGrace)
	return end, !m.recoveredAt.IsZero() && now.Before(end)
}

// replace applies a complete listing. known holds the entries that were known before, and what a replay
// has shown of them.
func (m *Mirror) replace(position Position, entries, known map[string]platform.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, present := m.options.Clock.Now(), m.snapshot.Load()
	if present != nil && position.Before(present.Position()) {
		m.logIgnored(len(entries), position.Revision)
		return
	}
	maps.DeleteFunc(m.expiring, func(key string, _ time.Time) bool {
		_, listed := entries[key]
		return listed
	})
	m.overruleListed(known, entries, now)
	if present != nil {
		if present.Epoch < position.Era {
			m.beginEpoch(position, now)
		}
		m.carryOver(present, position, entries, now)
		m.retainMissing(present, position, entries, now)
	}
	m.publish(position, entries, now)
}

// overruleListed hides the entries of a listing that are older than the known ones, and drops the
// entries that were hidden before. The caller holds m.mu.
func (m *Mirror) overruleListed(known, entries map[string]platform.Entry, now time.Time) {
	maps.DeleteFunc(m.hidden, func(key string, before hidden) bool {
		listed, exists := entries[key]
		return !exists || listed.Era != before.entry.Era || m.options.Order.OverruleFor(&before.entry) == 0
	})
	for key, listed := range entries {
		latest := m.latest(known, key, now)
		if latest != nil && positionOf(latest).Before(positionOf(&listed)) && m.overrule(&listed, latest, now) {
			m.restoreLatest(known, entries, key)
		}
	}
}

// restoreLatest puts the known state of a key into entries in place of a hidden one. The caller holds
// m.mu.
func (m *Mirror) restoreLatest(known, entries map[string]platform.Entry, key string) {
	if latest, exists := known[key]; exists {
		entries[key] = latest
	} else {
		delete(entries, key)
	}
}

// retainMissing retains the entries of the present epoch that are missing in a listing and that
// their owners may be about to write again. The caller holds m.mu.
func (m *Mirror) retainMissing(present *Snapshot, position Position, entries map[string]platform.Entry, now time.Time) {
	end, grace := m.graceEnd(now)
	for key, entry := range present.Entries {
		if _, listed := entries[key]; listed || entry.Era != position.Era {
			continue
		}
		if grace && m.leased(key) {
			entries[key] = entry
			m.retainUntil(key, end)
			continue
		}
		m.recordRemoved(entry, now)
	}
}

// retainUntil retains a missing entry until end, or until the time that was set before.
func (m *Mirror) retainUntil(key string, end time.Time) {
	if _, ok := m.expiring[key]; !ok {
		m.expiring[key], m.expiryFromPeer = end, false
		m.options.Log.Info().Str(event.KeyKey, key).Msg(string(event.EntryLapsed))
	}
}

// apply applies changes in order.
func (m *Mirror) apply(changes platform.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := m.snapshot.Load()
	now := m.options.Clock.Now()
	if present == nil || present.Epoch != changes.Era || (len(changes.Entries) == 0 && !m.anyDue(now)) {
		return
	}
	entries := maps.Clone(present.Entries)
	old := 0
	for _, change := range changes.Entries {
		change.Era = changes.Era
		if known, ok := entries[change.Key]; ok && !positionOf(&known).Before(positionOf(&change.Entry)) {
			old++
			continue
		}
		m.change(entries, change, now)
	}
	if old > 0 && changes.Revision < present.Revision {
		m.logIgnored(old, changes.Revision)
	}
	m.publish(Position{Era: present.Epoch, Revision: max(present.Revision, changes.Revision)}, entries, now)
}

func (m *Mirror) change(entries map[string]platform.Entry, change platform.Change, now time.Time) {
	before, known := entries[change.Key]
	if change.Removed {
		delete(m.hidden, change.Key)
		m.recordRemoval(change.Key, positionOf(&change.Entry))
	}
	if !change.Removed {
		if known && before.Era != change.Era && m.options.Order.Older(&change.Entry, &before) {
			delete(m.hidden, change.Key)
			return
		}
		if m.overrule(&change.Entry, m.latest(entries, change.Key, now), now) {
			return
		}
		delete(m.hidden, change.Key)
		entries[change.Key] = change.Entry
		delete(m.expiring, change.Key)
		return
	}
	if !known {
		return
	}
	if end, grace := m.graceEnd(now); grace && m.leased(change.Key) {
		m.retainUntil(change.Key, end)
		return
	}
	m.remove(entries, change.Key, now)
}

// recordRemoval records the position at which a key was deleted, if deletions of such keys are
// tracked, and reports whether that is new. The caller holds m.mu.
func (m *Mirror) recordRemoval(key string, removed Position) bool {
	tracked := slices.ContainsFunc(m.options.TrackedRemovals, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
	if before, known := m.removals[key]; !tracked || (known && !before.Before(removed)) {
		return false
	}
	next := make(map[string]Position, len(m.removals)+1)
	maps.Copy(next, m.removals)
	next[key] = removed
	m.removals = next
	return true
}

// publish stores a snapshot without the retained entries that have expired.
func (m *Mirror) publish(position Position, entries map[string]platform.Entry, now time.Time) {
	m.unhideExpired(entries, now)
	for key, end := range m.expiring {
		if !now.Before(end) {
			m.remove(entries, key, now)
			delete(m.expiring, key)
			m.options.Log.Info().Str(event.KeyKey, key).Msg(string(event.EntryGone))
		}
	}
	snapshot := &Snapshot{
		Epoch: position.Era, Revision: position.Revision, Entries: entries,
		Expiring: maps.Clone(m.expiring), hidden: maps.Clone(m.hidden), Removals: m.removals, Gap: m.gap,
		removed: m.recentlyRemoved(now), Unreplayed: m.unreplayed,
	}
	snapshot.RetainedSum = snapshot.fingerprint()
	m.snapshot.Store(snapshot)
}

// sweep drops the retained entries that have expired when no answer of the store leads to a new
// snapshot. While the store does not answer, the local knowledge that an entry was missing may be
// out of date, and only that of an instance that reaches the store is used.
func (m *Mirror) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	present, now := m.snapshot.Load(), m.options.Clock.Now()
	if present == nil || !m.anyDue(now) || (m.lost && !m.expiryFromPeer) {
		return
	}
	m.publish(present.Position(), maps.Clone(present.Entries), now)
}

func (m *Mirror) anyDue(now time.Time) bool {
	for _, end := range m.expiring {
		if !now.Before(end) {
			return true
		}
	}
	for _, suppressed := range m.hidden {
		if !now.Before(suppressed.until) {
			return true
		}
	}
	return false
}

// untilSweep returns the time until the first retained or hidden entry is due.
func (m *Mirror) untilSweep() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := watchWait
	now := m.options.Clock.Now()
	for _, end := range m.expiring {
		left = min(left, max(minWait, end.Sub(now)))
	}
	for _, suppressed := range m.hidden {
		left = min(left, max(minWait, suppressed.until.Sub(now)))
	}
	return left
}

// minWait is the minimum wait of a call, which keeps calls apart while an entry is about to expire.
const minWait = 50 * time.Millisecond
