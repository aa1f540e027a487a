package origin

import (
	"sync"
	"time"
)

// maxRecords bounds the records of an instance, each of about 100 bytes. At the target an instance
// begins 26 streams a second and receives twice as many records, for a minute.
const maxRecords = 1 << 16

type record struct {
	origin  Origin
	expires time.Time
	// conflicting is true if two origins were recorded for one ID.
	conflicting bool
}

// table holds records by the hash of the request's ID. It is safe for concurrent use.
type table struct {
	mu      sync.Mutex
	records map[uint64]record
	// order holds the IDs by age, from first on.
	order []uint64
	first int
	limit int
}

func newTable(limit int) *table { return &table{records: make(map[uint64]record), limit: limit} }

// add records the origin of a stream.
func (t *table) add(id uint64, origin Origin, expires, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	known, found := t.records[id]
	if !found {
		t.order = append(t.order, id)
	}
	t.records[id] = record{
		origin:      origin,
		expires:     latest(known.expires, expires),
		conflicting: known.conflicting || (found && known.origin != origin),
	}
}

// find returns the origin of a stream. It reports false if there is no record, or several that
// differ.
func (t *table) find(id uint64, now time.Time) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.records[id]
	return known.origin, found && !known.conflicting && now.Before(known.expires)
}

// conflicts reports whether several origins were recorded for one ID.
func (t *table) conflicts(id uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[id]
	return known.conflicting && now.Before(known.expires)
}

// size returns the number of records.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// prune deletes expired records, and the oldest ones beyond the limit less one. The caller holds
// t.mu.
func (t *table) prune(now time.Time) {
	for t.first < len(t.order) {
		oldest := t.order[t.first]
		if now.Before(t.records[oldest].expires) && len(t.records) < t.limit {
			break
		}
		delete(t.records, oldest)
		t.first++
	}
	if t.first > len(t.order)/2 {
		t.order = append([]uint64(nil), t.order[t.first:]...)
		t.first = 0
	}
}

// latest returns the latest of some times.
func latest(times ...time.Time) time.Time {
	var found time.Time
	for _, at := range times {
		if at.After(found) {
			found = at
		}
	}
	return found
}
