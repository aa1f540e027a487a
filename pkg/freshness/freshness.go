// Package freshness answers how old an instance's knowledge of the platform's store is, from whom
// it has that knowledge, and by which clock.
//
// By whom: the store itself, while this process follows it, or another instance that does. How
// old: the time since which the store may have confirmed something that the local replica lacks.
// By which clock: the monotonic clock of this process. Another instance states an age, never a
// time, and the age grows here by this process's clock. The time of day is not used: it may step.
//
// A job that one instance does for others is chosen by what the instance knows, not by whether it
// is alone alive: see Contact.Reaches.
package freshness

import (
	"sync"
	"time"
)

// Position is a position in the history of the store. Revisions of two epochs cannot be compared:
// a store restored from a backup reuses them.
type Position struct {
	Era      uint64
	Revision int64
}

// Before reports whether p is older than other.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// MaxAge is the age up to which knowledge counts as current. A process calls the store at least
// every CallInterval, so that an older contact has missed a call.
const (
	CallInterval = 1300 * time.Millisecond
	MaxAge       = 2 * time.Second
)

// Contact records which calls of this process the store answers. It is safe for concurrent use;
// the zero value has had no contact.
type Contact struct {
	mu sync.Mutex
	// answeredAt is the time of the last answer. failed is true if a later call had none.
	answeredAt time.Time
	failed     bool
}

// Record records the end of a call: answered is false if the store gave no answer, or refused to
// serve this process.
func (c *Contact) Record(answered bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = !answered
	if answered {
		c.answeredAt = now
	}
}

// Age returns the time since the store's last answer; ok is false if there was none.
func (c *Contact) Age(now time.Time) (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.answeredAt), !c.answeredAt.IsZero()
}

// Reaches reports whether the store answers this process: its last call was answered, at most
// MaxAge ago.
func (c *Contact) Reaches(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.answeredAt.IsZero() && !c.failed && now.Sub(c.answeredAt) <= MaxAge
}
