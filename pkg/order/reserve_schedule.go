package order

import "time"

// turns keeps apart the asks of order-givers that wait for the same load. The weight store
// tells each that finds it busy when it is free, and lends the load to who asks first then:
// without turns two domains that are near may alternate, and one in another region, 55 ms
// away, gets no load until they have all of theirs. So who was lent one lets others go first,
// the less the longer it has waited since; who has had none asks as soon as the store is free.
type reserveSchedule struct {
	// lent is true once the store has lent a load in this tenure.
	granted bool
	// busy counts the answers in a row that the store is busy.
	busyReplies int
	// slot is the longest wait that the store told: the time between two loads.
	slot time.Duration
}

// turnPart is the part of the time between two loads for which who was lent the last one lets
// others go first: it leaves an eighth of a slot unused at the most, and the asks of three
// domains lie 30 ms or more apart where a slot is two seconds.
const yieldDivisor = 8

// next is when to ask again after an ask that found the store busy. It counts from when the
// ask was sent: from when the answer came, a domain that is far from the store would come later
// by the whole way each time.
func (t *reserveSchedule) nextAttempt(asked time.Time, wait time.Duration) time.Time {
	t.slot = max(t.slot, wait)
	t.busyReplies++
	free := asked.Add(wait)
	if !t.granted {
		return free
	}
	return free.Add(t.slot / yieldDivisor / time.Duration(t.busyReplies))
}

// served notes that the store lent a load.
func (t *reserveSchedule) recordGrant() { t.granted, t.busyReplies = true, 0 }
