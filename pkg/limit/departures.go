package limit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// maxDepartures bounds the upstreams that are remembered, those that have ended included;
// each costs about 150 bytes. The ones that were learned first are forgotten first.
const maxDepartures = 4096

// departureRetention is for how long a start that is gone from the platform's store is remembered: its
// entry may come back with a copy of the store that is some seconds old.
const departureRetention = time.Minute

// Departures holds the upstreams that have said themselves that they leave. An upstream is one
// start of a server, which does not come back from leaving, so that no other source can take
// its word back. It is safe for concurrent use; reads take no lock.
type Departures struct {
	now  func() time.Time
	mu   sync.Mutex
	byID atomic.Pointer[map[string]departure]
}

// departure is when an upstream's word was learned, and when the upstream was last there.
type departure struct{ learned, lastSeen time.Time }

// NewDepartures returns departures of which none is known.
func NewDepartures(now func() time.Time) *Departures {
	d := &Departures{now: now}
	d.byID.Store(&map[string]departure{})
	return d
}

// Any says whether an upstream is known to have said that it leaves.
func (d *Departures) Any() bool { return len(*d.byID.Load()) > 0 }

// Leaving says whether an upstream has said that it leaves.
func (d *Departures) Leaving(upstream string) bool {
	_, leaving := (*d.byID.Load())[upstream]
	return leaving
}

// Learn takes an upstream's word that it leaves, and says whether that is news.
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

// Told returns what to tell other instances now, of the upstreams that are still there: what was
// learned lately, and each of the others from time to time.
func (d *Departures) Told(exists func(upstream string) bool) []string {
	now := d.now()
	var published []string
	for upstream, known := range *d.byID.Load() {
		if (now.Sub(known.learned) < publishChangeFor || isPublishTurn(upstream, now)) && exists(upstream) {
			published = append(published, upstream)
		}
	}
	return published
}

// Sweep forgets the upstreams that have been gone for long.
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

// oldest returns the upstream that was learned oldest.
func oldest(known map[string]departure) string {
	found := ""
	for upstream, each := range known {
		if found == "" || each.learned.Before(known[found].learned) {
			found = upstream
		}
	}
	return found
}
