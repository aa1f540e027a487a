package quota

import "time"

// bucket is a token bucket with a rate that may change at any time. Its balance may be negative,
// because a request's true cost is known only at its end. x/time/rate does not fit: it refuses
// requests larger than its burst and allows no debt.
type bucket struct {
	balance, rate, burst float64
	at                   time.Time
}

// burstTime is the time for which a bucket accumulates its rate.
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

// wait returns the time until a cost may be taken; zero if it may be taken now. A cost larger
// than the burst may be taken from a full bucket.
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

// full reports whether the bucket holds as much as a new one would.
func (b *bucket) full() bool { return b.balance >= b.burst-slack }

// slack allows for rounding errors.
const slack = 1e-6

// take subtracts a cost; a negative one is given back.
func (b *bucket) take(cost float64) { b.balance = min(b.burst, b.balance-cost) }
