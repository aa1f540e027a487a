package mirror

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Delta is what has changed in a copy since a revision.
type Delta struct {
	// Revision is the copy's; zero: it has nothing newer.
	Revision int64
	// Changed holds the entries that were written since, Keys all keys that there are.
	Changed []platform.Entry
	Keys    []string
	// Lapsed holds those of the keys that are missing in the store and still counted.
	Lapsed []Lapse
}

// Lapse is a key that counts for a while longer.
type Lapse struct {
	Key  string
	Left time.Duration
}

// Since returns what has changed in the copy since a revision.
func (s *Snapshot) Since(revision int64, now time.Time) Delta {
	if s.Revision <= revision {
		return Delta{}
	}
	delta := Delta{Revision: s.Revision, Keys: make([]string, 0, len(s.Entries))}
	for key, entry := range s.Entries {
		delta.Keys = append(delta.Keys, key)
		if entry.ModRevision > revision {
			delta.Changed = append(delta.Changed, entry)
		}
	}
	for key, end := range s.Lapsed {
		delta.Lapsed = append(delta.Lapsed, Lapse{Key: key, Left: end.Sub(now)})
	}
	return delta
}

// Adopt brings the copy to what another instance's copy is, when that is newer than
// the own one, and says whether it was. The delta must be since the own revision.
func (m *Mirror) Adopt(delta *Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := m.snapshot.Load()
	if delta.Revision <= m.revision() {
		return false
	}
	entries := make(map[string]platform.Entry, len(delta.Keys))
	for i := range delta.Changed {
		entries[delta.Changed[i].Key] = delta.Changed[i]
	}
	for _, key := range delta.Keys {
		if _, changed := entries[key]; changed {
			continue
		}
		if present == nil {
			return false
		}
		entry, ok := present.Entries[key]
		if !ok {
			return false
		}
		entries[key] = entry
	}
	now := m.options.Clock.Now()
	m.lapsed, m.told = make(map[string]time.Time, len(delta.Lapsed)), true
	for _, lapse := range delta.Lapsed {
		m.lapsed[lapse.Key] = now.Add(min(lapse.Left, lapseGrace))
	}
	m.publish(delta.Revision, entries, now)
	return true
}
