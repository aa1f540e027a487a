package steer

import (
	"sync"
	"time"
)

// Overload remembers since when requests of a service find no room in time. It is safe for
// concurrent use.
type Overload struct {
	mu        sync.Mutex
	byService map[string]*episode
}

// episode is a time in which requests find no room, without a longer pause.
type episode struct {
	began, last time.Time
	// lastByRank is when requests of each rank last found none.
	lastByRank map[int]time.Time
}

// Parameters of an overload.
const (
	// episodeGap without a request that finds no room ends an episode.
	episodeGap = time.Second
	// minRetryAfter is the least time after which a refused caller is asked to return: what
	// an engine needs to end some tens of requests.
	minRetryAfter = 400 * time.Millisecond
	// maxRetryShare is the part of the time left to them for which callers wait if asked to.
	maxRetryShare = 1.0 / 3
)

// NewOverload returns an Overload that has seen none.
func NewOverload() *Overload { return &Overload{byService: make(map[string]*episode)} }

// Late notes that a request of a rank finds no room in time, and returns for how long there
// have been such requests.
func (o *Overload) Late(service string, rank int, now time.Time) time.Duration {
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

// Contended says whether requests that are more urgent than a rank found no room lately.
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

// Refuses says whether a request of a service that would be late is refused for it. A
// moment's queue is served, if late: only once it has stood for the length of the target,
// everyone who still joins it makes all after him late too.
func (o *Overload) Refuses(req *Request, now time.Time) bool {
	return o.Late(req.Service.Name, req.Route.Priority, now) >= req.Route.TargetLatency
}

// ReturnAfter is when a caller that is refused should come back. An overload that has
// lasted for some time is expected to last about as long again; callers are spread over
// that time by a random number from 0 to 1, as far as they honour it.
func ReturnAfter(lasted, left time.Duration, random float64) time.Duration {
	wait := time.Duration((0.5 + random) * float64(max(minRetryAfter, lasted)))
	return min(wait, time.Duration(maxRetryShare*float64(left)))
}
