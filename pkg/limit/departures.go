package limit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// maxDepartures bounds the upstreams that are recorded, including those that have ended;
// each costs about 150 bytes. The oldest are dropped first.
const maxDepartures = 4096

// departureRetention is how long a start is recorded after its deletion from the platform's
// store: its entry may reappear from a copy of the store that is some seconds old.
const departureRetention = time.Minute

// Departures records the upstreams that have announced that they are leaving. An upstream
// is one start of a server, and leaving is final, so no other source overrides it. It is
// safe for concurrent use; reads take no lock.
type Departures struct {
	now  func() time.Time
	mu   sync.Mutex
	byID atomic.Pointer[map[string]departure]
}

// departure is when an announcement was learned, and when the upstream was last in the
// store.
type departure struct{ learned, lastSeen time.Time }

// NewDepartures returns empty Departures.
func NewDepartures(now func() time.Time) *Departures {
	d := &Departures{now: now}
	d.byID.Store(&map[string]departure{})
	return d
}

// Any reports whether any upstream is recorded.
func (d *Departures) Any() bool { return len(*d.byID.Load()) > 0 }

// Leaving reports whether an upstream has announced that it is leaving.
func (d *Departures) Leaving(upstream string) bool {
	_, leaving := (*d.byID.Load())[upstream]
	return leaving
}

// Learn records that an upstream is leaving, and reports whether that was not known yet.
func (d *Departures) Learn(upstream string) (isNew bool) {
	if d.Leaving(upstream) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known := *d.byID.Load()
	if _, before := known[upstream]; before {
		return false
	}
	next := maps.Clone(known)
	if len(next) >= maxDepartures {
		delete(next, oldest(next))
	}
	now := d.now()
	next[upstream] = departure{learned: now, lastSeen: now}
	d.byID.Store(&next)
	return true
}

// ToPublish returns the leaving upstreams to publish to other instances now, of those that still
// exist: recent ones, and the others at intervals.
func (d *Departures) ToPublish(exists func(upstream string) bool) []string {
	now := d.now()
	var published []string
	for upstream, known := range *d.byID.Load() {
		if (now.Sub(known.learned) < publishChangeFor || isPublishTurn(upstream, now)) && exists(upstream) {
			published = append(published, upstream)
		}
	}
	return published
}

// Sweep drops the upstreams that were deleted longer than departureRetention ago.
func (d *Departures) Sweep(exists func(upstream string) bool) {
	if !d.Any() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	next := maps.Clone(*d.byID.Load())
	for upstream, known := range next {
		switch {
		case exists(upstream):
			known.lastSeen = now
			next[upstream] = known
		case now.Sub(known.lastSeen) > departureRetention:
			delete(next, upstream)
		}
	}
	d.byID.Store(&next)
}

// oldest returns the upstream that was learned first.
func oldest(known map[string]departure) string {
	found := ""
	for upstream, each := range known {
		if found == "" || each.learned.Before(known[found].learned) {
			found = upstream
		}
	}
	return found
}
