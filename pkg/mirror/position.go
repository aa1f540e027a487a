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
}

// noOrder always uses the store's state.
type noOrder struct{}

func (noOrder) Older(_, _ *platform.Entry) bool  { return false }
func (noOrder) RetainFor(string) time.Duration   { return 0 }
func (noOrder) SuppressFor(string) time.Duration { return 0 }

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

// hidden is an entry that is in the store and counts as deleted until a time.
type hidden struct {
	entry platform.Entry
	until time.Time
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
	if m.options.Order.SuppressFor(entry.Key) == 0 {
		return
	}
	if len(m.removed) >= maxRemovals {
		maps.DeleteFunc(m.removed, func(_ string, r removal) bool { return now.Sub(r.at) > removalTTL })
	}
	if len(m.removed) < maxRemovals {
		m.removed[entry.Key] = removal{entry: entry, at: now}
	}
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
		_, written := entries[key]
		if !written && !now.Before(suppressed.until) {
			entries[key] = suppressed.entry
		}
		if written || !now.Before(suppressed.until) {
			delete(m.hidden, key)
		}
	}
}

// retained returns the entries of former epochs, sorted by key. Since it was restored, the store
// has received no writes of them, or only older states.
func (s *Snapshot) retained() []platform.Entry {
	if s.Epoch == 0 {
		return nil
	}
	var retained []platform.Entry
	for _, entry := range s.Entries {
		if entry.Era != s.Epoch {
			retained = append(retained, entry)
		}
	}
	slices.SortFunc(retained, func(a, b platform.Entry) int { return bytes.Compare([]byte(a.Key), []byte(b.Key)) })
	return retained
}

// fingerprint is a hash of retained entries; zero if there are none.
func fingerprint(retained []platform.Entry) uint64 {
	if len(retained) == 0 {
		return 0
	}
	sum := xxhash.New()
	for i := range retained {
		// Writes to an xxhash.Digest never fail.
		_, _ = sum.WriteString(retained[i].Key)
		_, _ = sum.Write(retained[i].Value)
	}
	return sum.Sum64()
}
