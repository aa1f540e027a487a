package mirror

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Position is how far a copy has followed the store. Revisions of two eras cannot be compared:
// after its return from a copy the store gives them out again.
type Position struct {
	Era      uint64
	Revision int64
}

// Before says whether p is older than other.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// at is the position of an entry's last write.
func positionOf(entry *platform.Entry) Position {
	return Position{Era: entry.Era, Revision: entry.ModRevision}
}

// Order tells, by what entries hold, which of two states of a key is the older one, and what
// still counts when the store has come back from a copy that lacks it.
type Order interface {
	// Older says whether entry is an earlier state of what than tells, both of one key.
	Older(entry, than *platform.Entry) bool
	// Kept is for how long after the store's return an entry still counts that the copy
	// lacks: its owner writes it again. Zero: not at all.
	Kept(key string) time.Duration
	// Gone is for how long after the store's return an entry that had been removed, and that the
	// copy still holds, counts as removed. Zero: not at all.
	Gone(key string) time.Duration
}

// noOrder takes the store's word for everything.
type noOrder struct{}

func (noOrder) Older(_, _ *platform.Entry) bool { return false }
func (noOrder) Kept(string) time.Duration       { return 0 }
func (noOrder) Gone(string) time.Duration       { return 0 }

// Removals are remembered for removedFor, longer than a copy of the store is old; mostRemoved
// bounds them.
const (
	removalTTL  = time.Minute
	maxRemovals = 5000
)

// removal is an entry that was removed, and when.
type removal struct {
	entry platform.Entry
	at    time.Time
}

// hidden is an entry that the store holds, and that counts as removed until a time.
type hidden struct {
	entry platform.Entry
	until time.Time
}

// remove takes an entry out. The caller holds m.mu.
func (m *Mirror) remove(entries map[string]platform.Entry, key string, now time.Time) {
	if entry, known := entries[key]; known {
		m.recordRemoved(entry, now)
		delete(entries, key)
	}
}

// remember keeps a removed entry in mind, for a store that comes back from a copy that holds it.
// The caller holds m.mu.
func (m *Mirror) recordRemoved(entry platform.Entry, now time.Time) {
	if m.options.Order.Gone(entry.Key) == 0 {
		return
	}
	if len(m.removed) >= maxRemovals {
		maps.DeleteFunc(m.removed, func(_ string, r removal) bool { return now.Sub(r.at) > removalTTL })
	}
	if len(m.removed) < maxRemovals {
		m.removed[entry.Key] = removal{entry: entry, at: now}
	}
}

// beginEra notes that the store has come back from a copy. The caller holds m.mu.
func (m *Mirror) beginEpoch(position Position, now time.Time) {
	m.returned = now
	m.options.Log.Warn().Uint64(event.KeyEra, position.Era).Int64(event.KeyRevision, position.Revision).
		Int64(event.KeyKnownRevision, m.revision()).Msg(string(event.StoreFollowed))
}

// carryOver keeps what was known in former eras where that is newer than entries, which stand
// at a position. The caller holds m.mu.
func (m *Mirror) carryOver(present *Snapshot, position Position, entries map[string]platform.Entry, now time.Time) {
	for key, known := range present.Entries {
		if known.Era == position.Era {
			continue
		}
		listed, there := entries[key]
		switch until := m.returned.Add(m.options.Order.Kept(key)); {
		case there && m.options.Order.Older(&listed, &known):
			entries[key] = known
		case !there && now.Before(until):
			entries[key] = known
			m.retainUntil(key, until)
		}
	}
	for key, listed := range entries {
		if _, before := present.Entries[key]; before || !m.isSuppressed(&listed, now) {
			continue
		}
		m.hidden[key] = hidden{entry: listed, until: m.returned.Add(m.options.Order.Gone(key))}
		delete(entries, key)
	}
}

// stillGone says whether an entry is one that was removed in a former era.
func (m *Mirror) isSuppressed(listed *platform.Entry, now time.Time) bool {
	removed, known := m.removed[listed.Key]
	if !known || removed.entry.Era == listed.Era || !now.Before(m.returned.Add(m.options.Order.Gone(listed.Key))) {
		return false
	}
	return bytes.Equal(listed.Value, removed.entry.Value) || m.options.Order.Older(listed, &removed.entry)
}

// reveal brings back the hidden entries whose time is over, and forgets those that were written
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

// held returns the entries of former eras, sorted by key: the store has not written them since
// its return, or only older states of them.
func (s *Snapshot) retained() []platform.Entry {
	if s.Era == 0 {
		return nil
	}
	var retained []platform.Entry
	for _, entry := range s.Entries {
		if entry.Era != s.Era {
			retained = append(retained, entry)
		}
	}
	slices.SortFunc(retained, func(a, b platform.Entry) int { return bytes.Compare([]byte(a.Key), []byte(b.Key)) })
	return retained
}

// fingerprint is the same for the same held entries; zero where there are none.
func fingerprint(retained []platform.Entry) uint64 {
	if len(retained) == 0 {
		return 0
	}
	sum := xxhash.New()
	for i := range retained {
		// A Digest of package xxhash takes all that is written.
		_, _ = sum.WriteString(retained[i].Key)
		_, _ = sum.Write(retained[i].Value)
	}
	return sum.Sum64()
}
