// Package freshness answers how old an instance's knowledge of the platform's store is, from whom
// it has that knowledge, and by which clock.
//
// By whom: the store itself, while this process follows it, or another instance that does. How
// old: the time since which the store may have confirmed something that the local replica lacks.
// By which clock: the monotonic clock of this process. Another instance states an age, never a
// time, and the age grows here by this process's clock. The time of day is not used: it may step. The
// monotonic clock stands still while the machine is suspended: what was known before counts as old then.
//
// An instance that does a job for others is chosen by what it knows, not by whether it is alive: see
// Lag.
package freshness

import (
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
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

// suspensionSlack is the difference of two readings of clock.Suspended that shows no suspension: its two
// clocks are not read at once.
const suspensionSlack = 50 * time.Millisecond

// Suspension detects that the machine was suspended. What was known before is older then than the
// monotonic clock tells. The zero value is ready.
type Suspension struct{ before time.Duration }

// SuspensionFrom returns a Suspension that was marked.
func SuspensionFrom(suspended time.Duration) Suspension { return Suspension{before: suspended} }

// Mark records the present, given clock.Suspended.
func (s *Suspension) Mark(suspended time.Duration) { s.before = suspended }

// Since reports whether the machine was suspended since Mark.
func (s *Suspension) Since(suspended time.Duration) bool { return suspended-s.before > suspensionSlack }

// MaxAge is the age up to which knowledge counts as current. A process calls the store at least
// every CallInterval, so that an older contact has missed a call.
const (
	CallInterval = 1300 * time.Millisecond
	MaxAge       = 2 * time.Second
)

// Contact records which calls of this process the store answers. It is safe for concurrent use;
// the zero value has had no contact.
type Contact struct {
	// Suspended is clock.Suspended unless it is set; it must not be changed later.
	Suspended func() time.Duration

	mu sync.Mutex
	// answeredAt is the time of the last answer. failed is true if a later call had none.
	answeredAt time.Time
	failed     bool
	suspension Suspension
}

func (c *Contact) suspended() time.Duration {
	if c.Suspended != nil {
		return c.Suspended()
	}
	return clock.Suspended()
}

// Record records the end of a call: answered is false if the store gave no answer, or refused to
// serve this process.
func (c *Contact) Record(answered bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = !answered
	if answered {
		c.answeredAt = now
		c.suspension.Mark(c.suspended())
	}
}

// Age returns the time since the store's last answer; ok is false if there was none.
func (c *Contact) Age(now time.Time) (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.answeredAt), !c.answeredAt.IsZero()
}

// Reaches reports whether the store answers this process: its last call was answered, at most
// MaxAge ago, and the machine was not suspended since.
func (c *Contact) Reaches(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.answeredAt.IsZero() && !c.failed && now.Sub(c.answeredAt) <= MaxAge && !c.suspension.Since(c.suspended())
}
