package freshness

import "time"

// Tracker derives from what other instances report up to which time the local replica of the
// store is complete. It is not safe for concurrent use; the zero value knows nothing.
type Tracker struct {
	// pending holds the confirmations of positions that the replica has not reached, by
	// increasing position and time.
	pending []confirmation
	reached confirmation
}

// confirmation states that everything that the store had confirmed until asOf is contained in the
// replica at position.
type confirmation struct {
	position Position
	asOf     time.Time
	from     string
}

// maxPending bounds the pending confirmations. A replica that is copied in each round needs few.
const maxPending = 16

// Confirm records a report of an instance that follows the store: what the store had confirmed
// until asOf, by this process's clock, is contained in its replica at position.
func (t *Tracker) Confirm(from string, position Position, asOf time.Time) {
	for len(t.pending) > 0 {
		last := &t.pending[len(t.pending)-1]
		if last.position.Before(position) {
			break
		}
		if asOf.After(last.asOf) {
			// The same holds at an earlier position.
			t.pending = t.pending[:len(t.pending)-1]
			continue
		}
		return
	}
	if n := len(t.pending); n > 0 && !asOf.After(t.pending[n-1].asOf) {
		return
	}
	if len(t.pending) == maxPending {
		// The newest is replaced: an older one is reached sooner.
		t.pending = t.pending[:maxPending-1]
	}
	t.pending = append(t.pending, confirmation{position, asOf, from})
}

// Reach records the position of the local replica.
func (t *Tracker) Reach(position Position) {
	passed := 0
	for passed < len(t.pending) && !position.Before(t.pending[passed].position) {
		if t.pending[passed].asOf.After(t.reached.asOf) {
			t.reached = t.pending[passed]
		}
		passed++
	}
	t.pending = append(t.pending[:0], t.pending[passed:]...)
}

// Knowledge tells how old the local replica is at most, and whose answers show it.
type Knowledge struct {
	// AsOf is the time until which everything that the store confirmed is known, by this process's
	// clock; zero if nothing shows that for any time.
	AsOf time.Time
	// From is the name of the instance that showed it.
	From string
}

// Knowledge returns what other instances have shown.
func (t *Tracker) Knowledge() Knowledge { return Knowledge{AsOf: t.reached.asOf, From: t.reached.from} }

// Current reports whether the knowledge is at most MaxAge old.
func (k Knowledge) Current(now time.Time) bool { return k.Within(MaxAge, now) }

// Within reports whether the knowledge is at most so old.
func (k Knowledge) Within(age time.Duration, now time.Time) bool {
	return !k.AsOf.IsZero() && now.Sub(k.AsOf) <= age
}
