// Package room bounds what all instances together have in work at upstreams that crash when they
// reject too many requests, and lets requests wait for it.
//
// An upstream that says so is brittle. It can certainly take as many requests as it has slots, so
// the instances of its region divide its slots among themselves, and each sends no more than its
// part at a time. The division needs no messages: it is that of the limits which upstreams advertise
// (limit.Part), and all instances that know the same instances agree on it.
//
// Guarantees: an instance has no more requests at a brittle upstream than its part, counting those
// that it has given up and that the upstream may still work on; after half of the rejections that the
// upstream bears in a second, by any instances, it sends nothing new for that time. Requests that find no place wait in order of their
// urgency, then of their arrival, and none waits longer than its caller gains from it.
package room

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// rejectionWindow is the time within which an upstream's rejections add up.
	rejectionWindow = time.Second
	// heldTime is the time for which a request that was given up keeps its place. The upstream
	// notices the closed connection within that time, or works on until the request's deadline.
	heldTime = 250 * time.Millisecond
	// narrowing is applied to the part of an upstream's slots after a rejection: others take room
	// that this instance does not know of. widening is the share of the part that is regained in a
	// second.
	narrowing = 0.85
	widening  = 0.05
)

// Part is one instance's part of an upstream's room.
type Part struct {
	// Slots is the number of requests. Tokens bounds their tokens, prompts and answers, unless it is
	// zero; one request may have more.
	Slots, Tokens int
}

// Places counts this instance's requests at each upstream. It is safe for concurrent use.
type Places struct {
	now  func() time.Time
	mu   sync.Mutex
	byID map[string]*occupancy
}

// occupancy is what this instance has at one upstream.
type occupancy struct {
	inFlight, tokens int
	// held are the ends of the places of requests that were given up.
	held []time.Time
	// rejections are the times of the upstream's rejections within rejectionWindow, and pausedUntil is
	// the end of the pause after them.
	rejections  []time.Time
	pausedUntil time.Time
	// narrowed is the share of the part that was not regained yet at narrowedAt.
	narrowed   float64
	narrowedAt time.Time
	// removed is true once the upstream was removed.
	removed bool
}

// NewPlaces returns Places without requests.
func NewPlaces(now func() time.Time) *Places {
	return &Places{now: now, byID: make(map[string]*occupancy)}
}

// Place is the place of one request at an upstream. Its methods must be called by one goroutine.
type Place struct {
	places   *Places
	upstream string
	tokens   int
	left     bool
}

// Enter takes a place for a request with a number of tokens. It returns false if the part does not
// permit it; with a nil part it does.
func (p *Places) Enter(upstream string, part *Part, tokens int) (*Place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byID[upstream]
	if known == nil {
		known = &occupancy{}
		p.byID[upstream] = known
	}
	if part != nil && !known.admits(part, tokens, p.now()) {
		return nil, false
	}
	known.inFlight++
	known.tokens += tokens
	return &Place{places: p, upstream: upstream, tokens: tokens}, true
}

// Free returns how many places of a part are free.
func (p *Places) Free(upstream string, part Part) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byID[upstream]
	if known == nil {
		return part.Slots
	}
	return known.free(&part, p.now())
}

// Occupied returns how many requests this instance has at an upstream, with those that were given up
// lately.
func (p *Places) Occupied(upstream string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byID[upstream]
	if known == nil {
		return 0
	}
	known.expireHeld(p.now())
	return known.inFlight + len(known.held)
}

// Rejections returns how many rejections of an upstream within the last second are known.
func (p *Places) Rejections(upstream string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, now := p.byID[upstream], p.now()
	if known == nil {
		return 0
	}
	known.expireRejections(now)
	return len(known.rejections)
}

// expireRejections drops the rejections that no longer add up.
func (o *occupancy) expireRejections(now time.Time) {
	o.rejections = slices.DeleteFunc(o.rejections, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
}

// expireHeld drops the places of requests whose end the upstream has noticed.
func (o *occupancy) expireHeld(now time.Time) {
	o.held = slices.DeleteFunc(o.held, func(until time.Time) bool { return !now.Before(until) })
}

// free returns how many places of a part are free.
func (o *occupancy) free(part *Part, now time.Time) int {
	if now.Before(o.pausedUntil) {
		return 0
	}
	o.expireHeld(now)
	return max(0, o.usable(part.Slots, now)-o.inFlight-len(o.held))
}

// admits reports whether a part permits one more request.
func (o *occupancy) admits(part *Part, tokens int, now time.Time) bool {
	if o.free(part, now) == 0 {
		return false
	}
	return part.Tokens == 0 || o.inFlight == 0 || o.tokens+tokens <= part.Tokens
}

// usable returns how many of the part's slots may be used after rejections.
func (o *occupancy) usable(slots int, now time.Time) int {
	if o.narrowed == 0 {
		return slots
	}
	left := o.narrowed - widening*now.Sub(o.narrowedAt).Seconds()
	if left <= 0 {
		o.narrowed = 0
		return slots
	}
	return max(min(1, slots), int(math.Round((1-left)*float64(slots))))
}

// Answered frees the place of a request that the upstream has answered to its end.
func (l *Place) Answered() { l.leave(func(*occupancy, time.Time) {}) }

// GivenUp frees the place of a request that ended without the upstream's answer, once the upstream
// has noticed.
func (l *Place) GivenUp() {
	l.leave(func(o *occupancy, now time.Time) { o.held = append(o.held, now.Add(heldTime)) })
}

// Rejected frees the place of a request that an upstream rejected for lack of room. The upstream bears
// a number of rejections in a second.
func (l *Place) Rejected(tolerance int) {
	l.leave(func(o *occupancy, now time.Time) { o.reject(now, now, tolerance) })
}

func (l *Place) leave(record func(o *occupancy, now time.Time)) {
	if l.left {
		return
	}
	l.left = true
	l.places.mu.Lock()
	defer l.places.mu.Unlock()
	known := l.places.byID[l.upstream]
	known.inFlight--
	known.tokens -= l.tokens
	record(known, l.places.now())
	if known.removed && known.inFlight == 0 {
		delete(l.places.byID, l.upstream)
	}
}

// RejectedElsewhere records that an upstream rejected a request of another instance.
func (p *Places) RejectedElsewhere(upstream string, age time.Duration, tolerance int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byID[upstream]
	if known == nil {
		known = &occupancy{}
		p.byID[upstream] = known
	}
	now := p.now()
	known.reject(now.Add(-age), now, tolerance)
}

// reject records a rejection at a time.
func (o *occupancy) reject(at, now time.Time, tolerance int) {
	left := max(0, o.narrowed-widening*now.Sub(o.narrowedAt).Seconds())
	o.narrowed, o.narrowedAt = 1-narrowing*(1-left), now
	o.rejections = append(o.rejections, at)
	o.expireRejections(now)
	if 2*len(o.rejections) > tolerance {
		o.pausedUntil = at.Add(rejectionWindow)
	}
}

// Forget drops what is known of an upstream that was removed, once no request is in flight there.
func (p *Places) Forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byID[upstream]
	switch {
	case known == nil:
	case known.inFlight == 0:
		delete(p.byID, upstream)
	default:
		known.removed = true
	}
}
