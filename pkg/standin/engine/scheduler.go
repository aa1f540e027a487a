package engine

import (
	"context"
	"sync"

	"github.com/lilacweir/lilacweir/pkg/engineapi"
)

// scheduler grants the slots of the batch by priority, then by arrival.
type scheduler struct {
	mu      sync.Mutex
	slots   int
	running int
	queue   []*waiter
	arrived int64
}

type waiter struct {
	priority int
	arrived  int64
	granted  chan struct{}
}

// priorityRank returns a priority's rank, higher first, and whether it is known.
func priorityRank(priority string) (int, bool) {
	switch priority {
	case engineapi.PriorityLow:
		return 0, true
	case engineapi.PriorityNormal, "":
		return 1, true
	case engineapi.PriorityHigh:
		return 2, true
	}
	return 0, false
}

// acquire waits for a slot; ok is false if ctx ends first.
func (s *scheduler) acquire(ctx context.Context, priority int) (ok bool) {
	w := s.enqueue(priority)
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	if s.remove(w) {
		return false
	}
	s.release()
	return false
}

func (s *scheduler) enqueue(priority int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived++
	w := &waiter{priority: priority, arrived: s.arrived, granted: make(chan struct{})}
	s.queue = append(s.queue, w)
	s.grant()
	return w
}

// remove removes a waiter from the queue; false means that it already has a slot.
func (s *scheduler) remove(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.queue {
		if other == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (s *scheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.grant()
}

func (s *scheduler) grant() {
	for s.running < s.slots && len(s.queue) > 0 {
		next := 0
		for i, w := range s.queue {
			if w.before(s.queue[next]) {
				next = i
			}
		}
		close(s.queue[next].granted)
		s.queue = append(s.queue[:next], s.queue[next+1:]...)
		s.running++
	}
}

func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority > other.priority
	}
	return w.arrived < other.arrived
}

// load returns the number of running and of queued requests.
func (s *scheduler) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}
