// Package admission limits the concurrency of one gateway and schedules waiting
// requests: fairly among callers by estimated work, and by priority and age
// within a caller's share.
//
// Guarantees: a request is granted, refused or cancelled exactly once; one that
// cannot meet its deadline is refused as soon as that is predicted; a full queue
// sheds the last request of the caller that is furthest over its share.
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

// Ticket describes a request to admission.
type Ticket struct {
	// Caller sent the request. Never nil.
	Caller *config.Caller
	// Serves is the key of the pool that the request needs, route.PoolKey.
	Serves string
	// Cost is the estimated work, see Cost. Less than 1 counts as 1.
	Cost int
	// Priority orders it among its caller's own requests.
	Priority Priority
	// Deadline is the time by which the answer must be complete; zero means none.
	Deadline time.Time
	// Run is the predicted time from the grant to the complete answer.
	Run time.Duration
}

// promptWeight is the number of prompt tokens that cost as much as one answer
// token, since prefill processes many tokens at once.
const promptWeight = 16

// Cost estimates a request's work, in answer tokens.
func Cost(promptTokens, answerTokens int) int {
	return max(1, promptTokens/promptWeight+answerTokens)
}

// priorityStep is the time by which a request's arrival is antedated for each
// step of priority. It bounds the extra wait of a lower priority, so requests age.
const priorityStep = 2 * time.Second

// orderKey is the sort key of a caller's requests of one size class.
func (t *Ticket) orderKey(now time.Time) time.Time {
	return now.Add(-time.Duration(t.Priority) * priorityStep)
}

func (t *Ticket) cost() int { return max(1, t.Cost) }

func (t *Ticket) weight() float64 { return float64(max(1, t.Caller.Share)) }

// allowed returns the time that the request can wait, at most maxWait.
func (t *Ticket) allowed(now time.Time) time.Duration {
	if t.Deadline.IsZero() {
		return maxWait
	}
	return min(maxWait, t.Deadline.Sub(now)-t.Run)
}
