package room

import (
	"slices"
	"sync"
)

// Line holds the requests of one service that wait for a place, the more urgent first, then in order
// of arrival. It is safe for concurrent use.
type Line struct {
	mu      sync.Mutex
	waiters []*Waiter
}

// Waiter is one request in a Line.
type Waiter struct {
	line     *Line
	priority int
	turn     chan struct{}
}

// Join adds a request; priority 0 is the most urgent.
func (l *Line) Join(priority int) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &Waiter{line: l, priority: priority, turn: make(chan struct{}, 1)}
	l.waiters = slices.Insert(l.waiters, l.behind(priority), w)
	return w
}

// behind returns the position behind all waiters that are as urgent. The caller holds l.mu.
func (l *Line) behind(priority int) int {
	position := len(l.waiters)
	for position > 0 && l.waiters[position-1].priority > priority {
		position--
	}
	return position
}

// Length returns how many requests wait.
func (l *Line) Length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters)
}

// Ahead returns how many waiting requests come before a new one.
func (l *Line) Ahead(priority int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behind(priority)
}

// Ahead returns how many waiting requests come before this one.
func (w *Waiter) Ahead() int {
	w.line.mu.Lock()
	defer w.line.mu.Unlock()
	return max(0, slices.Index(w.line.waiters, w))
}

// Turn receives a value when a place may be free.
func (w *Waiter) Turn() <-chan struct{} { return w.turn }

// Leave removes the request, whether it has a place or not. The next one then looks for a place.
func (w *Waiter) Leave() {
	w.line.mu.Lock()
	defer w.line.mu.Unlock()
	if position := slices.Index(w.line.waiters, w); position >= 0 {
		w.line.waiters = slices.Delete(w.line.waiters, position, position+1)
		w.line.notify()
	}
}

// Notify lets the first waiting request look for a place.
func (l *Line) Notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify()
}

// notify is Notify. The caller holds l.mu.
func (l *Line) notify() {
	if len(l.waiters) == 0 {
		return
	}
	select {
	case l.waiters[0].turn <- struct{}{}:
	default:
	}
}

// Lines holds a Line for each service.
type Lines struct {
	mu        sync.Mutex
	byService map[string]*Line
}

// NewLines returns empty Lines.
func NewLines() *Lines { return &Lines{byService: make(map[string]*Line)} }

// Of returns the line of a service.
func (l *Lines) Of(service string) *Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.byService[service]
	if line == nil {
		line = &Line{}
		l.byService[service] = line
	}
	return line
}
