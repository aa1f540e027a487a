// Package board is the blackboard of a process: immutable typed snapshots that
// controllers replace and the request path reads without a lock.
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

// Load returns the current snapshot, or nil if none has been stored.
func (s *Section[T]) Load() *T { return s.value.Load() }

// Store replaces the snapshot and closes the channel returned by Changed.
func (s *Section[T]) Store(value *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value.Store(value)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that is closed at the next Store. Get the channel
// before calling Load, so that no change is missed.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
