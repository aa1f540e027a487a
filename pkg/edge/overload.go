package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// overload remembers since when requests of a service find no room in time, and says when
// callers that are refused should come back. It is safe for concurrent use.
type overload struct {
	mu        sync.Mutex
	byService map[string]*episode
}

// episode is a time in which requests find no room, without a longer pause.
type episode struct {
	began, last time.Time
	// lastOf is when requests of each rank last found none.
	lastOf map[int]time.Time
}

const (
	// episodePause without a refusal ends an episode.
	episodePause = time.Second
	// leastReturn is the least time after which a refused caller is asked to return: what
	// an engine needs to end some tens of requests.
	leastReturn = 400 * time.Millisecond
	// honoured is the part of the time left to them for which callers wait if asked to.
	honoured = 1.0 / 3
	// roomPart is the part of a route's target for which a request waits for room before
	// it is refused: a place is free again within some tens of milliseconds.
	roomPart = 1.0 / 8
	// roomPoll is how often it looks. Others' ends are told every 0.2 s, own ones are
	// known at once.
	roomPoll = 20 * time.Millisecond
)

func newOverload() *overload { return &overload{byService: make(map[string]*episode)} }

// late notes that a request of a rank finds no room in time, and returns for how long there
// have been such requests.
func (o *overload) late(service string, rank int, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.byService[service]
	if e == nil || now.Sub(e.last) > episodePause {
		e = &episode{began: now, lastOf: make(map[int]time.Time)}
		o.byService[service] = e
	}
	e.last, e.lastOf[rank] = now, now
	return now.Sub(e.began)
}

// contended says whether requests that are more urgent than a rank found no room lately.
func (o *overload) contended(service string, rank int, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.byService[service]
	if e == nil {
		return false
	}
	for other, last := range e.lastOf {
		if other < rank && now.Sub(last) <= episodePause {
			return true
		}
	}
	return false
}

// returnAfter is when a caller that is refused should come back. An overload that has
// lasted for some time is expected to last about as long again; callers are spread over
// that time, as far as they honour it.
func returnAfter(lasted, left time.Duration) time.Duration {
	spread := 0.5 + rand.Float64()
	wait := time.Duration(spread * float64(max(leastReturn, lasted)))
	return min(wait, time.Duration(honoured*float64(left)))
}

// refuses says whether a request that would be late is refused for it. A moment's queue
// is served, if late: only once it has stood for the length of the target, everyone who
// still joins it makes all after him late too. What was sent before goes on.
func (j *job) refuses() bool {
	lasted := j.overload.late(j.service.Name, j.route.Priority, j.now())
	return j.sends == 0 && lasted >= j.route.TargetLatency
}

// overloaded refuses a request that no engine can begin in time.
func (j *job) overloaded(survey *steer.Survey) *outcome.Refusal {
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, 0, "no upstream can begin the answer in time")
	refusal.Err = &surveyError{survey: *survey}
	return refusal
}

// awaitRoom waits a moment, and says whether to look again for a place for a request that
// was refused for want of one. Else the refusal tells the caller when to come back. One
// that another instance forwarded is not held here: there may be room elsewhere.
func (j *job) awaitRoom(ctx context.Context, refusal *outcome.Refusal) bool {
	if refusal.Reason != outcome.ReasonOverloaded || j.sends > 0 {
		return false
	}
	patience := time.Duration(roomPart * float64(j.route.TargetLatency))
	if !j.forwarded && j.now().Sub(j.started) < patience && clock.Sleep(ctx, roomPoll) {
		return true
	}
	lasted := j.overload.late(j.service.Name, j.route.Priority, j.now())
	refusal.RetryAfter = returnAfter(lasted, j.deadline.Sub(j.now()))
	return false
}
