package mirror

import (
	"maps"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Delta holds the changes in a snapshot since a position.
type Delta struct {
	// Era and Revision are the snapshot's; zero if it has nothing newer and retains nothing.
	Era      uint64
	Revision int64
	// Changed holds the entries that were written since, and Keys all existing keys. Both are
	// empty if the snapshot is no newer than the requested position.
	Changed []platform.Entry
	Keys    []string
	// Held holds the entries of which the store has only an older state, or that a restore of it
	// deleted.
	Held []platform.Entry
	// Lapsed holds the keys that are missing in the store and still valid, Hidden the entries
	// that are in the store and not valid yet.
	Lapsed []Lapse
	Hidden []Hidden
	// Deleted holds recently deleted entries, if the delta is of the whole snapshot.
	Deleted []platform.Entry
	// Removals and Gap are the snapshot's.
	Removals map[string]Position
	Gap      Position
}

func (d *Delta) position() Position { return Position{Era: d.Era, Revision: d.Revision} }

// Hidden is an entry that is ignored for some more time, because of the state By if that has a key.
type Hidden struct {
	Entry, By platform.Entry
	Left      time.Duration
}

// Lapse is a key that stays valid for some more time.
type Lapse struct {
	Key  string
	Left time.Duration
}

// Since returns the changes in the snapshot since a position. Retained entries are included each
// time, because the receiver may have started from the restored store.
func (s *Snapshot) Since(from Position, now time.Time) Delta {
	if s.Position().Before(from) {
		return Delta{}
	}
	delta := Delta{Era: s.Epoch, Revision: s.Revision, Held: s.retained()}
	for key, end := range s.Expiring {
		delta.Lapsed = append(delta.Lapsed, Lapse{Key: key, Left: end.Sub(now)})
	}
	for _, retained := range s.hidden {
		delta.Hidden = append(delta.Hidden, Hidden{Entry: retained.entry, By: retained.by, Left: retained.until.Sub(now)})
	}
	if !from.Before(s.Position()) {
		if len(delta.Held) == 0 && len(delta.Hidden) == 0 {
			return Delta{}
		}
		return delta
	}
	delta.Removals, delta.Gap = s.Removals, s.Gap
	if from == (Position{}) {
		delta.Deleted = s.removed
	}
	delta.Keys = make([]string, 0, len(s.Entries))
	for key, entry := range s.Entries {
		delta.Keys = append(delta.Keys, key)
		if entry.Era == s.Epoch && (from.Era != s.Epoch || entry.ModRevision > from.Revision) {
			delta.Changed = append(delta.Changed, entry)
		}
	}
	return delta
}

// Adopt merges another instance's snapshot if it is newer than the local one, and the entries
// that it retains from former epochs and that are newer than the local ones. It reports whether
// anything changed. The delta must be since the local position.
func (m *Mirror) Adopt(delta *Delta) bool {
	m.ObserveEpoch(delta.Era)
	m.mu.Lock()
	defer m.mu.Unlock()
	present, now := m.snapshot.Load(), m.options.Clock.Now()
	if len(delta.Keys) == 0 || !present.Position().Before(delta.position()) {
		return m.mergeRetained(present, delta, now)
	}
	entries, ok := delta.entries(present)
	if !ok {
		return false
	}
	m.preferNewer(present, delta, entries)
	for key, removed := range delta.Removals {
		m.recordRemoval(key, removed)
	}
	m.recordDeleted(delta, now)
	m.mergeGap(present, delta)
	if present != nil && present.Epoch < delta.Era {
		m.beginEpoch(delta.position(), now)
	}
	m.expiring, m.expiryFromPeer = make(map[string]time.Time, len(delta.Lapsed)), true
	for _, lapse := range delta.Lapsed {
		m.expiring[lapse.Key] = now.Add(min(lapse.Left, max(leaseGrace, m.options.Order.RetainFor(lapse.Key))))
	}
	hiddenBefore := m.hidden
	m.hidden = make(map[string]hidden, len(delta.Hidden))
	for i := range delta.Hidden {
		m.hide(&delta.Hidden[i], now)
	}
	if present != nil {
		m.keepHidden(hiddenBefore, present, delta, entries)
		m.overruleChanged(present, delta, entries, now)
		m.recordMissing(present, entries, now)
		m.carryOver(present, delta.position(), entries, now)
	}
	m.publish(delta.position(), entries, now)
	return true
}

// entries returns the entries of the snapshot that a delta was made of; false if it is not a
// delta since the present one.
func (d *Delta) entries(present *Snapshot) (entries map[string]platform.Entry, ok bool) {
	entries = make(map[string]platform.Entry, len(d.Keys))
	for i := range d.Changed {
		entries[d.Changed[i].Key] = d.Changed[i]
	}
	for i := range d.Held {
		entries[d.Held[i].Key] = d.Held[i]
	}
	for _, key := range d.Keys {
		if _, sent := entries[key]; sent {
			continue
		}
		if present == nil {
			return nil, false
		}
		entry, known := present.Entries[key]
		if !known {
			suppressed, exists := present.hidden[key]
			if entry = suppressed.entry; !exists || entry.Era != d.Era {
				return nil, false
			}
		}
		entries[key] = entry
	}
	return entries, true
}

// preferNewer replaces entries that the other snapshot retains from a former epoch by the local
// state where that is newer, including deletions. The caller holds m.mu.
func (m *Mirror) preferNewer(present *Snapshot, delta *Delta, entries map[string]platform.Entry) {
	if present == nil {
		return
	}
	for i := range delta.Held {
		retained := &delta.Held[i]
		known, exists := present.Entries[retained.Key]
		switch {
		case exists && m.options.Order.Older(retained, &known):
			entries[retained.Key] = known
		case !exists && m.removedSince(retained):
			delete(entries, retained.Key)
		}
	}
}

// recordDeleted records the entries that another instance has recently seen deleted. The caller holds m.mu.
func (m *Mirror) recordDeleted(delta *Delta, now time.Time) {
	for _, deleted := range delta.Deleted {
		if _, known := m.removed[deleted.Key]; !known {
			m.recordRemoved(deleted, now)
		}
	}
}

// hide hides an entry as another instance does. The caller holds m.mu.
func (m *Mirror) hide(received *Hidden, now time.Time) {
	key := received.Entry.Key
	longest := max(m.options.Order.SuppressFor(key), m.options.Order.OverruleFor(&received.Entry))
	m.hidden[key] = hidden{entry: received.Entry, until: now.Add(min(received.Left, longest)), by: received.By}
	if received.By.Key == key {
		m.recordRemoved(received.By, now)
	}
}

// keepHidden goes on hiding entries that a newer snapshot has and does not hide, as long as nothing was
// written since. The caller holds m.mu.
func (m *Mirror) keepHidden(before map[string]hidden, present *Snapshot, delta *Delta, entries map[string]platform.Entry) {
	for key, suppressed := range before {
		current, exists := entries[key]
		_, received := m.hidden[key]
		if !exists || received || suppressed.entry.Era != delta.Era || positionOf(&suppressed.entry).Before(positionOf(&current)) {
			continue
		}
		m.restoreLatest(present.Entries, entries, key)
		if _, missing := m.expiring[key]; missing {
			// The store has deleted it since, and the other instance retains it.
			if _, known := entries[key]; !known {
				delete(m.expiring, key)
			}
			continue
		}
		m.hidden[key] = suppressed
	}
}

// overruleChanged hides the changes of a delta that are older than the local state of their keys. The
// caller holds m.mu.
func (m *Mirror) overruleChanged(present *Snapshot, delta *Delta, entries map[string]platform.Entry, now time.Time) {
	for i := range delta.Changed {
		changed := &delta.Changed[i]
		latest := m.latest(present.Entries, changed.Key, now)
		if latest != nil && positionOf(latest).Before(positionOf(changed)) && m.overrule(changed, latest, now) {
			m.restoreLatest(present.Entries, entries, changed.Key)
		}
	}
}

// removedSince reports whether an entry, or a later state of it, was deleted recently. The
// caller holds m.mu.
func (m *Mirror) removedSince(retained *platform.Entry) bool {
	removed, known := m.removed[retained.Key]
	return known && !m.options.Order.Older(&removed.entry, retained)
}

// recordMissing records the entries that a newer snapshot lacks. The caller holds m.mu.
func (m *Mirror) recordMissing(present *Snapshot, entries map[string]platform.Entry, now time.Time) {
	for key, entry := range present.Entries {
		if _, exists := entries[key]; !exists {
			m.recordRemoved(entry, now)
		}
	}
}

// mergeRetained merges the entries that another instance's snapshot of the same epoch retains
// and that are newer than the local ones. The caller holds m.mu.
func (m *Mirror) mergeRetained(present *Snapshot, delta *Delta, now time.Time) bool {
	if present == nil || present.Epoch != delta.Era {
		return false
	}
	entries, changed := maps.Clone(present.Entries), false
	for i := range delta.Held {
		retained := delta.Held[i]
		known, exists := entries[retained.Key]
		left := delta.left(retained.Key)
		switch {
		case exists && m.options.Order.Older(&known, &retained):
		case !exists && left > 0 && !m.removedSince(&retained):
			m.retainUntil(retained.Key, now.Add(left))
		default:
			continue
		}
		entries[retained.Key], changed = retained, true
	}
	changed = m.mergeHidden(delta, entries, now) || changed
	if changed {
		m.publish(present.Position(), entries, now)
	}
	return changed
}

// mergeHidden hides the entries of the present epoch that another instance hides, unless they were
// written since, and reports whether there are any. The caller holds m.mu.
func (m *Mirror) mergeHidden(delta *Delta, entries map[string]platform.Entry, now time.Time) (changed bool) {
	held := make(map[string]bool, len(delta.Held))
	for i := range delta.Held {
		held[delta.Held[i].Key] = true
	}
	for i := range delta.Hidden {
		late := &delta.Hidden[i]
		key := late.Entry.Key
		current, exists := entries[key]
		_, already := m.hidden[key]
		if already || late.Left <= 0 || !exists || m.options.Order.OverruleFor(&late.Entry) == 0 {
			continue
		}
		switch atLate := positionOf(&current) == positionOf(&late.Entry); {
		case atLate && !held[key]:
			delete(entries, key)
		case atLate || positionOf(&late.Entry).Before(positionOf(&current)):
			continue
		}
		m.hide(late, now)
		changed = true
	}
	return changed
}

// left returns the remaining validity of a key that is missing in the store; zero if it is not
// missing or no longer valid.
func (d *Delta) left(key string) time.Duration {
	for _, lapse := range d.Lapsed {
		if lapse.Key == key {
			return lapse.Left
		}
	}
	return 0
}
