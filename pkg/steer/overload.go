package steer

import (
	"sync"
	"time"
)

// Overload records since when requests of a service find no capacity in time. It is safe
// for concurrent use.
type Overload struct {
	mu        sync.Mutex
	byService map[string]*episode
}

// episode is a period in which requests find no capacity, without a gap longer than
// episodeGap.
type episode struct {
	began, last time.Time
	// lastByRank is when a request of each priority last found no capacity.
	lastByRank map[int]time.Time
}

// Parameters of an overload.
const (
	// episodeGap is the time without a request that finds no capacity that ends an episode.
	episodeGap = time.Second
	// minRetryAfter is the shortest overload assumed for the time to a retry: an engine
	// needs that long to complete some tens of requests.
	minRetryAfter = 400 * time.Millisecond
	// maxRetryShare is the share of their remaining time that callers are willing to wait
	// for a retry.
	maxRetryShare = 1.0 / 3
)

// NewOverload returns an Overload without episodes.
func NewOverload() *Overload { return &Overload{byService: make(map[string]*episode)} }

// RecordLate records that a request of a priority finds no capacity in time, and returns how long
// the present episode has lasted.
func (o *Overload) RecordLate(service string, rank int, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.byService[service]
	if e == nil || now.Sub(e.last) > episodeGap {
		e = &episode{began: now, lastByRank: make(map[int]time.Time)}
		o.byService[service] = e
	}
	e.last, e.lastByRank[rank] = now, now
	return now.Sub(e.began)
}

// Lasted returns how long the present episode has lasted, zero if there is none.
func (o *Overload) Lasted(service string, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.byService[service]
	if e == nil || now.Sub(e.last) > episodeGap {
		return 0
	}
	return now.Sub(e.began)
}

// Contended reports whether requests that are more urgent than rank recently found no
// capacity.
func (o *Overload) Contended(service string, rank int, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.byService[service]
	if e == nil {
		return false
	}
	for other, last := range e.lastByRank {
		if other < rank && now.Sub(last) <= episodeGap {
			return true
		}
	}
	return false
}

// Refuses reports whether a request that would be late is refused. A short queue is still
// served, if late. Once it has lasted for the length of the target, each further request
// makes all later ones late too.
func (o *Overload) Refuses(req *Request, now time.Time) bool {
	return o.RecordLate(req.Service.Name, req.Route.Priority, now) >= req.Route.TargetLatency
}

// OverloadRetryAfter returns after what time a refused caller should retry. An overload that has
// lasted for some time is expected to last about as long again; callers are spread over
// that time by a random number from 0 to 1, up to maxRetryShare of the time left to them.
func OverloadRetryAfter(lasted, left time.Duration, random float64) time.Duration {
	wait := time.Duration((0.5 + random) * float64(max(minRetryAfter, lasted)))
	return min(wait, time.Duration(maxRetryShare*float64(left)))
}
