// Package admission bounds how much one gateway runs at once and decides who goes
// next: fair among callers over estimated work, by priority and age inside a
// caller's share.
//
// Guarantees: a request is granted, refused or cancelled exactly once; one that
// cannot meet its deadline is refused as soon as that is predicted; when a queue
// is full, the caller that is furthest over its share loses its last request.
package admission

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
)

// Priority orders the requests of one caller among each other.
type Priority int8

// Priorities that callers may give.
const (
	PriorityLow    Priority = -1
	PriorityNormal Priority = 0
	PriorityHigh   Priority = 1
)

// Ticket is what admission needs to know of a request.
type Ticket struct {
	// Caller is who sent it. Never nil.
	Caller *config.Caller
	// Serves is the key of the pool that the request needs, route.PoolKey.
	Serves string
	// Cost is the estimated work, see Cost. Less than 1 counts as 1.
	Cost int
	// Priority orders it among its caller's own requests.
	Priority Priority
	// Deadline is when the answer must be whole; zero means none.
	Deadline time.Time
	// Run is the predicted time from the grant to the whole answer.
	Run time.Duration
}

// promptWeight is how many prompt tokens weigh as much as one token of the answer:
// prefill works on many tokens at once.
const promptWeight = 16

// Cost estimates a request's work, in answer tokens.
func Cost(promptTokens, answerTokens int) int {
	return max(1, promptTokens/promptWeight+answerTokens)
}

// priorityStep is how much earlier than it did a request counts as having come,
// for each step of priority. Later ones of a lower priority therefore wait at most
// that much longer: requests age.
const priorityStep = 2 * time.Second

// order is the key by which a caller's requests of one size are sorted.
func (t *Ticket) orderKey(now time.Time) time.Time {
	return now.Add(-time.Duration(t.Priority) * priorityStep)
}

func (t *Ticket) cost() int { return max(1, t.Cost) }

func (t *Ticket) weight() float64 { return float64(max(1, t.Caller.Share)) }

// allowed is how long the request can wait; without a deadline, longestWait.
func (t *Ticket) allowed(now time.Time) time.Duration {
	if t.Deadline.IsZero() {
		return maxWait
	}
	return min(maxWait, t.Deadline.Sub(now)-t.Run)
}
