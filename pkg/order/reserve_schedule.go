package order

import "time"

// reserveSchedule spreads the reservations of lease holders that wait for the same slot of
// the weight store. A busy store replies when it will be free, and grants the slot to the
// first request after that. Without the schedule two nearby domains may alternate, and one
// in another region, 55 ms away, gets no load until they have all of theirs. So a holder
// that was granted a load yields to others, for less time the longer it has waited since,
// and a holder without a grant retries as soon as the store is free.
type reserveSchedule struct {
	// granted is true once the store has granted a load in this term.
	granted bool
	// busyReplies counts the consecutive replies that the store is busy.
	busyReplies int
	// slot is the longest wait that the store stated: the time between two loads.
	slot time.Duration
}

// yieldDivisor sets the fraction of a slot for which the last grantee yields to others. It
// leaves at most an eighth of a slot unused, and with slots of two seconds the reservations
// of three domains are at least 30 ms apart.
const yieldDivisor = 8

// nextAttempt returns when to retry a reservation that found the store busy. It counts from
// when the request was sent, since counting from the reply would delay a remote domain by
// the round trip each time.
func (t *reserveSchedule) nextAttempt(asked time.Time, wait time.Duration) time.Time {
	t.slot = max(t.slot, wait)
	t.busyReplies++
	free := asked.Add(wait)
	if !t.granted {
		return free
	}
	return free.Add(t.slot / yieldDivisor / time.Duration(t.busyReplies))
}

// recordGrant records that the store granted a load.
func (t *reserveSchedule) recordGrant() { t.granted, t.busyReplies = true, 0 }
