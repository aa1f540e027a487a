package room

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// releaseTime is the time without a waiting request after which the room of a service's upstreams
	// is no longer divided, once none of them is brittle: what waited would arrive all at once.
	releaseTime = 2 * time.Second
	// forgottenAfter is the time after which a service counts as sturdy again though no upstream has
	// said so, if no brittle one is left.
	forgottenAfter = 30 * time.Second
	// startWindow is the time after the start of an instance in which its services count as brittle
	// until one of their upstreams has answered, or another instance has told of them.
	startWindow = 2 * time.Second
)

// Guards holds the services whose upstreams' room is divided, because one of them is brittle or was
// until lately. Its other upstreams count as brittle as well, and so do those that start later. The
// methods are safe for concurrent use.
type Guards struct {
	now       func() time.Time
	startedAt time.Time
	size      atomic.Int64
	mu        sync.Mutex
	byService map[string]*guard
	// heard holds the services of which an upstream has answered within startWindow.
	heard map[string]bool
}

type guard struct {
	// brittle is true until an upstream has answered without saying that it is.
	brittle bool
	// saidAt is when an upstream last said so, busyAt when a request last waited.
	saidAt, busyAt time.Time
}

// NewGuards returns Guards without services.
func NewGuards(now func() time.Time) *Guards {
	return &Guards{now: now, startedAt: now(), byService: make(map[string]*guard), heard: make(map[string]bool)}
}

func (g *Guards) starting() bool { return g.now().Sub(g.startedAt) < startWindow }

// Heard records that an upstream of a service has answered.
func (g *Guards) Heard(service string) {
	if !g.starting() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[service] = true
}

// Unheard reports whether this instance has just started and does not know yet whether a service has
// brittle upstreams.
func (g *Guards) Unheard(service string) bool {
	if !g.starting() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.heard[service]
}

// Begin records that an upstream of a service said at a time that it is brittle. It reports whether
// the room was not divided before.
func (g *Guards) Begin(service string, at time.Time) (isNew bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.byService[service]
	if known == nil {
		known, isNew = &guard{}, true
		g.byService[service] = known
		g.size.Store(int64(len(g.byService)))
	}
	known.brittle = true
	if at.After(known.saidAt) {
		known.saidAt = at
	}
	return isNew
}

// End records that an upstream of a service answered without saying that it is brittle, to a request
// that was sent at a time, and that no other one is known to be.
func (g *Guards) End(service string, sent time.Time) {
	if g.size.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.byService[service]; known != nil && sent.After(known.saidAt) {
		known.brittle = false
	}
}

// Busy records that a request of a service waits for a place.
func (g *Guards) Busy(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.byService[service]; known != nil {
		known.busyAt = g.now()
	}
}

// Active reports whether the room of a service's upstreams is divided.
func (g *Guards) Active(service string) bool {
	if g.size.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.byService[service]
	if known == nil {
		return false
	}
	now := g.now()
	if known.brittle && now.Sub(known.saidAt) < forgottenAfter {
		return true
	}
	if now.Sub(known.saidAt) < releaseTime || now.Sub(known.busyAt) < releaseTime {
		return true
	}
	delete(g.byService, service)
	g.size.Store(int64(len(g.byService)))
	return false
}
