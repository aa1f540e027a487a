package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/httproute"
)

// hopRefusalTime is the time for which an instance gets no requests for a service after it refused
// one because it reaches no upstream of it. Its reports arrive within that time.
const hopRefusalTime = time.Second

// hopRefusals holds the instances that refused because they reach no upstream, or have no place
// there. Other instances of their regions may serve, so such a refusal is no evidence about a region.
// It is safe for concurrent use.
type hopRefusals struct {
	mu    sync.Mutex
	byHop map[hop]hopRefusal
	// size is the length of byHop. While it is zero, a decision takes no lock.
	size atomic.Int64
}

// hop is an instance and the service that it was asked for.
type hop struct{ instance, service string }

// hopRefusal is a refusal that counts until a time.
type hopRefusal struct {
	until time.Time
	// roomless is true if it was for want of a place, and wait is when one was expected, from then on.
	roomless bool
	wait     time.Duration
}

func newHopRefusals() *hopRefusals { return &hopRefusals{byHop: make(map[hop]hopRefusal)} }

func (r *hopRefusals) record(instance, service string, now time.Time, refusal hopRefusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for refused, known := range r.byHop {
		if !now.Before(known.until) {
			delete(r.byHop, refused)
		}
	}
	r.byHop[hop{instance, service}] = refusal
	r.size.Store(int64(len(r.byHop)))
}

// recent returns an instance's refusal that still counts.
func (r *hopRefusals) recent(instance, service string, now time.Time) (refusal hopRefusal, counts bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	refusal = r.byHop[hop{instance, service}]
	return refusal, now.Before(refusal.until)
}

// unresponsiveRegionTime is the time for which a region's refusal for unresponsive upstreams counts.
const unresponsiveRegionTime = time.Second

// unresponsiveRegions holds the regions that refused requests for a service because its upstreams
// there are unresponsive. It is safe for concurrent use.
type unresponsiveRegions struct {
	mu sync.Mutex
	// refusedAt holds the time of the last such refusal.
	refusedAt map[regionService]time.Time
}

type regionService struct{ region, service string }

func newUnresponsiveRegions() *unresponsiveRegions {
	return &unresponsiveRegions{refusedAt: make(map[regionService]time.Time)}
}

func (u *unresponsiveRegions) record(region, service string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refusedAt[regionService{region, service}] = now
}

// include reports whether a region that a route permits refused a request lately.
func (u *unresponsiveRegions) include(route *httproute.Route, service string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for refused, at := range u.refusedAt {
		if refused.service == service && route.PermittedIn(refused.region) && now.Sub(at) < unresponsiveRegionTime {
			return true
		}
	}
	return false
}

// recentHopRefusals returns the function with which a decision asks for recent refusals, nil if
// there are none.
func (j *job) recentHopRefusals() func(instance, service string) bool {
	if j.hopRefusals.size.Load() == 0 {
		return nil
	}
	now := j.now()
	return func(instance, service string) bool {
		refusal, counts := j.hopRefusals.recent(instance, service, now)
		if counts && refusal.roomless {
			j.noteRoomless(refusal.wait)
		}
		return counts
	}
}

// noteRoomless records that an instance which could serve the request had no place, and when it expected
// one.
func (j *job) noteRoomless(wait time.Duration) {
	j.roomless, j.roomlessWait = true, max(j.roomlessWait, wait)
}
