package freshness

import "time"

// Lag detects that the store answers other processes and not this one. An outage of the store is
// none: each process notices it at its own next call, within CallInterval of the others, and the
// same holds for its end. The zero value knows of no other process. It is not safe for concurrent
// use.
type Lag struct {
	// others is the time of the store's last known answer to another process.
	others time.Time
	// since is the time since which it is later than the last answer to this process by more than
	// MaxAge; zero if it is not.
	since time.Time
}

// Hear records that the store answered another process at a time by this process's clock.
func (l *Lag) Hear(answered time.Time) {
	if answered.After(l.others) {
		l.others = answered
	}
}

// Behind reports whether the store has been answering others for a while in which it has not
// answered this process; own is the time of its last answer, zero if there was none. The while
// begins with the first call that finds others ahead.
func (l *Lag) Behind(own, now time.Time) bool {
	switch {
	case l.others.Sub(own) <= MaxAge:
		l.since = time.Time{}
		return false
	case l.since.IsZero():
		l.since = now
	}
	return now.Sub(l.since) >= CallInterval
}
