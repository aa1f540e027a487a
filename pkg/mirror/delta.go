package mirror

import (
	"maps"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Delta is what has changed in a copy since a position.
type Delta struct {
	// Era and Revision are the copy's; zero: it has nothing newer, and holds nothing over.
	Era      uint64
	Revision int64
	// Changed holds the entries that were written since, and Keys all keys that there are; both
	// are empty where the copy is no newer than what was asked for.
	Changed []platform.Entry
	Keys    []string
	// Held are the entries that the copy holds over from former eras.
	Held []platform.Entry
	// Lapsed holds those of the keys that are missing in the store and still counted, Hidden the
	// entries that are in the store and do not count yet.
	Lapsed []Lapse
	Hidden []Hidden
	// Removals and Gap are the copy's.
	Removals map[string]Position
	Gap      Position
}

func (d *Delta) position() Position { return Position{Era: d.Era, Revision: d.Revision} }

// Hidden is an entry that does not count for a while longer.
type Hidden struct {
	Entry platform.Entry
	Left  time.Duration
}

// Lapse is a key that counts for a while longer.
type Lapse struct {
	Key  string
	Left time.Duration
}

// Since returns what has changed in the copy since a position. Entries that are held over are
// told each time: who asks may have begun with what the store came back with.
func (s *Snapshot) Since(from Position, now time.Time) Delta {
	if s.Position().Before(from) {
		return Delta{}
	}
	delta := Delta{Era: s.Era, Revision: s.Revision, Held: s.retained()}
	for key, end := range s.Lapsed {
		delta.Lapsed = append(delta.Lapsed, Lapse{Key: key, Left: end.Sub(now)})
	}
	if !from.Before(s.Position()) {
		if len(delta.Held) == 0 {
			return Delta{}
		}
		return delta
	}
	for _, retained := range s.hidden {
		delta.Hidden = append(delta.Hidden, Hidden{Entry: retained.entry, Left: retained.until.Sub(now)})
	}
	delta.Removals, delta.Gap = s.Removals, s.Gap
	delta.Keys = make([]string, 0, len(s.Entries))
	for key, entry := range s.Entries {
		delta.Keys = append(delta.Keys, key)
		if entry.Era == s.Era && (from.Era != s.Era || entry.ModRevision > from.Revision) {
			delta.Changed = append(delta.Changed, entry)
		}
	}
	return delta
}

// Adopt brings the copy to what another instance's copy is, when that is newer than the own one,
// and takes what that one holds over from former eras and is newer than what is known here. It
// says whether there was any of that. The delta must be since the own position.
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
	m.mergeGap(present, delta)
	if present != nil && present.Era < delta.Era {
		m.beginEpoch(delta.position(), now)
	}
	m.expiring, m.expiryFromPeer = make(map[string]time.Time, len(delta.Lapsed)), true
	for _, lapse := range delta.Lapsed {
		m.expiring[lapse.Key] = now.Add(min(lapse.Left, max(leaseGrace, m.options.Order.Kept(lapse.Key))))
	}
	m.hidden = make(map[string]hidden, len(delta.Hidden))
	for _, expiryFromPeer := range delta.Hidden {
		m.hidden[expiryFromPeer.Entry.Key] = hidden{entry: expiryFromPeer.Entry, until: now.Add(min(expiryFromPeer.Left, m.options.Order.Gone(expiryFromPeer.Entry.Key)))}
	}
	if present != nil {
		m.recordMissing(present, entries, now)
		m.carryOver(present, delta.position(), entries, now)
	}
	m.publish(delta.position(), entries, now)
	return true
}

// entries are those of the copy that a delta was made of; false: it is not since the present one.
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
			return nil, false
		}
		entries[key] = entry
	}
	return entries, true
}

// keepNewer puts what is known here in the place of what the other copy holds over from a former
// era, where that is older, be it that it was removed. The caller holds m.mu.
func (m *Mirror) preferNewer(present *Snapshot, delta *Delta, entries map[string]platform.Entry) {
	if present == nil {
		return
	}
	for i := range delta.Held {
		retained := &delta.Held[i]
		known, there := present.Entries[retained.Key]
		switch {
		case there && m.options.Order.Older(retained, &known):
			entries[retained.Key] = known
		case !there && m.removedSince(retained):
			delete(entries, retained.Key)
		}
	}
}

// removedSince says whether an entry, or a later state of it, was removed lately. The caller holds
// m.mu.
func (m *Mirror) removedSince(retained *platform.Entry) bool {
	removed, known := m.removed[retained.Key]
	return known && !m.options.Order.Older(&removed.entry, retained)
}

// noteRemoved remembers what a newer copy lacks. The caller holds m.mu.
func (m *Mirror) recordMissing(present *Snapshot, entries map[string]platform.Entry, now time.Time) {
	for key, entry := range present.Entries {
		if _, there := entries[key]; !there {
			m.recordRemoved(entry, now)
		}
	}
}

// adoptHeld takes what another instance's copy of the same era holds over, where it is newer than
// what is known here. The caller holds m.mu.
func (m *Mirror) mergeRetained(present *Snapshot, delta *Delta, now time.Time) bool {
	if present == nil || present.Era != delta.Era {
		return false
	}
	entries, news := maps.Clone(present.Entries), false
	for i := range delta.Held {
		retained := delta.Held[i]
		known, there := entries[retained.Key]
		left := delta.left(retained.Key)
		switch {
		case there && m.options.Order.Older(&known, &retained):
		case !there && left > 0 && !m.removedSince(&retained):
			m.retainUntil(retained.Key, now.Add(left))
		default:
			continue
		}
		entries[retained.Key], news = retained, true
	}
	if news {
		m.publish(present.Position(), entries, now)
	}
	return news
}

// left is for how long a key still counts that is missing in the store; zero: it is not, or no
// longer counts.
func (d *Delta) left(key string) time.Duration {
	for _, lapse := range d.Lapsed {
		if lapse.Key == key {
			return lapse.Left
		}
	}
	return 0
}
