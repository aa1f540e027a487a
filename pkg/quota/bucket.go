package quota

import "time"

// bucket is a token bucket whose rate may change at any time. Its balance may fall
// below zero: a request's true cost is known only at its end. That is why it is not
// x/time/rate's, which refuses what is larger than its burst and takes no debt.
type bucket struct {
	balance, rate, burst float64
	at                   time.Time
}

// burstTime is how much of its rate a bucket gathers.
const burstTime = time.Second

// set changes the rate, per second, from now on. A new bucket is full.
func (b *bucket) set(now time.Time, rate float64) {
	b.refill(now)
	fresh := b.burst == 0
	b.rate, b.burst = rate, max(1, rate*burstTime.Seconds())
	if fresh {
		b.balance = b.burst
	}
	b.balance = min(b.balance, b.burst)
}

func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.balance = min(b.burst, b.balance+b.rate*passed.Seconds())
		b.at = now
	}
}

// wait returns how long until a cost may be taken; zero: now. What is larger than
// the burst may be taken from a full bucket.
func (b *bucket) wait(now time.Time, cost float64) time.Duration {
	b.refill(now)
	missing := min(cost, b.burst) - b.balance
	if missing <= slack {
		return 0
	}
	seconds := missing / b.rate
	if seconds > maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds*float64(time.Second)) + time.Nanosecond
}

// full says that the bucket holds as much as a new one would.
func (b *bucket) full() bool { return b.balance >= b.burst-slack }

// slack covers the rounding of fractions.
const slack = 1e-6

// take takes a cost, or gives it back when negative.
func (b *bucket) take(cost float64) { b.balance = min(b.burst, b.balance-cost) }
