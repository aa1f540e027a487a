// Package board is the blackboard of a process: immutable typed snapshots that
// controllers swap and the request path reads without a lock.
//
// Each section has one writing controller. A stored value must not be modified.
package board

import (
	"sync"
	"sync/atomic"
)

// Section holds one immutable snapshot of type T. The zero value is empty and
// ready for use.
type Section[T any] struct {
	value   atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// Load returns the current snapshot, or nil when none has been stored.
func (s *Section[T]) Load() *T { return s.value.Load() }

// Store swaps the snapshot and wakes those who wait on Changed.
func (s *Section[T]) Store(value *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value.Store(value)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that is closed at the next Store. Take the channel
// before loading, so that no change is missed.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
