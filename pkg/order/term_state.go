package order

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// unverifiedTimeout is the time that an order without a clear reply, to an engine that
// cannot be read, counts as a load in progress.
const unverifiedTimeout = time.Minute

// termState is the state of the sendOrders loop in one term.
type termState struct {
	lease    platform.LeaseID
	revision int64
	// sent is the number of orders sent.
	sent int64
	// unverified holds the time of an engine's last order, until it is read again.
	unverified map[string]time.Time
	// confirmed holds the versions read from engines that load nothing.
	confirmed map[string]string
	// unread holds the engines that the last round failed to read.
	unread map[string]bool
	// heldReason is why the last order was held back; empty if it was sent.
	heldReason string
	// nextReserve is the time of the next reservation: the weight store is busy, or
	// this domain yields to others, until then.
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

// possiblyLoading returns the engines that may be loading after an order without a
// clear reply.
func (t *termState) possiblyLoading(now time.Time) map[string]bool {
	recent := make(map[string]bool, len(t.unverified))
	for name, sent := range t.unverified {
		recent[name] = now.Sub(sent) < unverifiedTimeout
	}
	return recent
}
