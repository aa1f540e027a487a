package mirror

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/freshness"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Position is the position in the store up to which a replica has followed it.
type Position = freshness.Position

// positionOf returns the position of an entry's last write.
func positionOf(entry *platform.Entry) Position {
	return Position{Era: entry.Era, Revision: entry.ModRevision}
}

// Order decides by the contents of entries which of two states of a key is older, and what stays
// valid when the store was restored from a backup that lacks it.
type Order interface {
	// Older reports whether entry is an earlier state of its key than the other entry.
	Older(entry, than *platform.Entry) bool
	// RetainFor returns the time after a restore for which an entry stays valid that the backup
	// lacks, until its owner writes it again. Zero means not at all.
	RetainFor(key string) time.Duration
	// SuppressFor returns the time after a restore for which a deleted entry that the backup still
	// contains is ignored. Zero means not at all.
	SuppressFor(key string) time.Duration
	// OverruleFor returns the time for which an older state of an entry's key is ignored that is
	// written after the entry, or after its deletion: a write may be executed late. Zero means that
	// the last write counts.
	OverruleFor(entry *platform.Entry) time.Duration
}

// noOrder always uses the store's state.
type noOrder struct{}

func (noOrder) Older(_, _ *platform.Entry) bool           { return false }
func (noOrder) RetainFor(string) time.Duration            { return 0 }
func (noOrder) SuppressFor(string) time.Duration          { return 0 }
func (noOrder) OverruleFor(*platform.Entry) time.Duration { return 0 }

// Deletions are remembered for removalTTL, longer than the age of a backup of the store;
// maxRemovals bounds their number.
const (
	removalTTL  = time.Minute
	maxRemovals = 5000
)

// removal is a deleted entry and the time of its deletion.
type removal struct {
	entry platform.Entry
	at    time.Time
}

// hidden is an entry that is in the store and does not count until a time: a newer state of its key
// does, or its deletion.
type hidden struct {
	entry platform.Entry
	until time.Time
	// by is the newer state, present or deleted; without a key if it is not known.
	by platform.Entry
}

// remove deletes an entry. The caller holds m.mu.
func (m *Mirror) remove(entries map[string]platform.Entry, key string, now time.Time) {
	if entry, known := entries[key]; known {
		m.recordRemoved(entry, now)
		delete(entries, key)
	}
}

// recordRemoved remembers a deleted entry in case the store is restored from a backup that
// contains it. The caller holds m.mu.
func (m *Mirror) recordRemoved(entry platform.Entry, now time.Time) {
	if m.options.Order.SuppressFor(entry.Key) == 0 && m.options.Order.OverruleFor(&entry) == 0 {
		return
	}
	if len(m.removed) >= maxRemovals {
		maps.DeleteFunc(m.removed, func(_ string, r removal) bool { return now.Sub(r.at) > removalTTL })
	}
	if len(m.removed) < maxRemovals {
		m.removed[entry.Key] = removal{entry: entry, at: now}
	}
}

// lateWriteTTL is the time after a deletion for which the deleted entry is told to instances that start:
// longer than a write may be late.
const lateWriteTTL = 20 * time.Second

// recentlyRemoved returns the deleted entries that overrule late writes of their keys. The caller holds
// m.mu.
func (m *Mirror) recentlyRemoved(now time.Time) (recent []platform.Entry) {
	for _, removed := range m.removed {
		if now.Sub(removed.at) < lateWriteTTL && m.options.Order.OverruleFor(&removed.entry) > 0 {
			recent = append(recent, removed.entry)
		}
	}
	return recent
}

// beginEpoch records that the store was restored from a backup. The caller holds m.mu.
func (m *Mirror) beginEpoch(position Position, now time.Time) {
	m.recoveredAt = now
	m.options.Log.Warn().Uint64(event.KeyEra, position.Era).Int64(event.KeyRevision, position.Revision).
		Int64(event.KeyKnownRevision, m.revision()).Msg(string(event.StoreFollowed))
}

// carryOver retains entries of former epochs that are newer than those in entries, which are of
// the given position. The caller holds m.mu.
func (m *Mirror) carryOver(present *Snapshot, position Position, entries map[string]platform.Entry, now time.Time) {
	for key, known := range present.Entries {
		if known.Era == position.Era {
			continue
		}
		listed, exists := entries[key]
		switch until := m.recoveredAt.Add(m.options.Order.RetainFor(key)); {
		case exists && m.options.Order.Older(&listed, &known):
			entries[key] = known
		case !exists && now.Before(until):
			entries[key] = known
			m.retainUntil(key, until)
		}
	}
	for key, listed := range entries {
		if _, before := present.Entries[key]; before || !m.isSuppressed(&listed, now) {
			continue
		}
		m.hidden[key] = hidden{entry: listed, until: m.recoveredAt.Add(m.options.Order.SuppressFor(key))}
		delete(entries, key)
	}
}

// overrule hides an entry of the store if it is older than the known state of its key, or than the
// one that was deleted, and reports whether it does. Repeated writes do not extend the time. The
// caller holds m.mu.
func (m *Mirror) overrule(late *platform.Entry, known *platform.Entry, now time.Time) bool {
	if known == nil || known.Era != late.Era || !m.options.Order.Older(late, known) {
		return false
	}
	overruleFor := min(m.options.Order.OverruleFor(late), m.options.Order.OverruleFor(known))
	if overruleFor == 0 {
		return false
	}
	before, repeated := m.hidden[late.Key]
	if !repeated {
		before.until = now.Add(overruleFor)
		m.options.Log.Warn().Str(event.KeyKey, late.Key).Int64(event.KeyRevision, late.ModRevision).
			Int64(event.KeyKnownRevision, known.ModRevision).Int64(event.KeyForMS, overruleFor.Milliseconds()).Msg(string(event.EntryOverruled))
	}
	if !now.Before(before.until) {
		return false
	}
	m.hidden[late.Key] = hidden{entry: *late, until: before.until, by: *known}
	return true
}

// latest returns the newest known state of a key that is among entries or was deleted recently; nil
// if there is none. The caller holds m.mu.
func (m *Mirror) latest(entries map[string]platform.Entry, key string, now time.Time) *platform.Entry {
	if entry, known := entries[key]; known {
		return &entry
	}
	if removed, known := m.removed[key]; known && now.Sub(removed.at) <= removalTTL {
		return &removed.entry
	}
	return nil
}

// isSuppressed reports whether an entry was deleted in a former epoch.
func (m *Mirror) isSuppressed(listed *platform.Entry, now time.Time) bool {
	removed, known := m.removed[listed.Key]
	if !known || removed.entry.Era == listed.Era || !now.Before(m.recoveredAt.Add(m.options.Order.SuppressFor(listed.Key))) {
		return false
	}
	return bytes.Equal(listed.Value, removed.entry.Value) || m.options.Order.Older(listed, &removed.entry)
}

// unhideExpired restores the hidden entries that are due and drops those that were written
// since. The caller holds m.mu.
func (m *Mirror) unhideExpired(entries map[string]platform.Entry, now time.Time) {
	for key, suppressed := range m.hidden {
		current, exists := entries[key]
		written := exists && (current.Era != suppressed.entry.Era || positionOf(&suppressed.entry).Before(positionOf(&current)))
		if !written && !now.Before(suppressed.until) {
			entries[key] = suppressed.entry
		}
		if written || !now.Before(suppressed.until) {
			delete(m.hidden, key)
		}
	}
}

// retained returns the entries of which the store holds only an older state, or that a restore of it
// deleted, sorted by key.
func (s *Snapshot) retained() []platform.Entry {
	var retained []platform.Entry
	for key, entry := range s.Entries {
		if _, overrules := s.hidden[key]; overrules || entry.Era != s.Epoch {
			retained = append(retained, entry)
		}
	}
	slices.SortFunc(retained, func(a, b platform.Entry) int { return bytes.Compare([]byte(a.Key), []byte(b.Key)) })
	return retained
}

// fingerprint is a hash of the retained and the hidden entries; zero if there are none.
func (s *Snapshot) fingerprint() uint64 {
	retained := s.retained()
	if len(retained) == 0 && len(s.hidden) == 0 {
		return 0
	}
	sum := xxhash.New()
	for i := range retained {
		// Writes to an xxhash.Digest never fail.
		_, _ = sum.WriteString(retained[i].Key)
		_, _ = sum.Write(retained[i].Value)
	}
	for _, key := range slices.Sorted(maps.Keys(s.hidden)) {
		_, _ = sum.WriteString(key)
		_, _ = sum.Write(s.hidden[key].entry.Value)
	}
	return sum.Sum64()
}
