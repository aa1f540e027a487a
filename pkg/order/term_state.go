package order

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// doubtTime is how long an order without a clear answer, to an engine that can't
// be read, counts as a load that goes on.
const unverifiedTimeout = time.Minute

// tally is what the loop of give remembers of one tenure.
type termState struct {
	lease    platform.LeaseID
	revision int64
	// sent counts the orders.
	sent int64
	// doubt holds when an engine was sent an order, until it is read again.
	unverified map[string]time.Time
	// confirmed holds the versions that engines were read to have.
	confirmed map[string]string
	// unread holds the engines whose state the last reading did not get.
	unread map[string]bool
	// held is why the last order was held back; empty when it was sent.
	heldReason string
	// wait is until when the weight store is busy, or others go first.
	nextReserve     time.Time
	reserveSchedule reserveSchedule
}

func newTermState(held *term) termState {
	return termState{
		lease:      held.lease,
		revision:   held.revision,
		unverified: make(map[string]time.Time),
		confirmed:  make(map[string]string),
		unread:     make(map[string]bool),
	}
}

// fence returns the fencing number of the last order sent.
func (t *termState) fence() int64 { return t.revision<<sequenceBits | t.sent }

// recentDoubt returns the engines that may be loading without saying so.
func (t *termState) possiblyLoading(now time.Time) map[string]bool {
	recent := make(map[string]bool, len(t.unverified))
	for name, sent := range t.unverified {
		recent[name] = now.Sub(sent) < unverifiedTimeout
	}
	return recent
}
