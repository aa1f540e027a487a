package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the rest after a rejection.
const (
	// MinBackoff follows a first rejection; each further one in a row doubles it.
	MinBackoff = 100 * time.Millisecond
	// MaxBackoff is the longest that an upstream rests without having asked for it.
	MaxBackoff = 2 * time.Second
	// MaxRequestedBackoff bounds what an upstream asks for by Retry-After: one that names hours is
	// tried again by then, and may name them again.
	MaxRequestedBackoff = 10 * time.Minute
	// maxDoublings keeps the shift small; it reaches LongestRest.
	maxDoublings = 5
	// retryAfterResolution is the resolution of Retry-After: whole seconds, rounded up.
	retryAfterResolution = time.Second
)

// backoff keeps requests away from an upstream that has said that it is too busy, for
// a short while, and no shorter than it asks for; one request, the probe, then finds out
// whether it starts again. A good answer ends what was not asked for.
// Unlike an ejection it may take all upstreams of a pool out of use, since it
// follows the upstreams' own word. The zero value does not backoff.
type backoff struct {
	mu sync.Mutex
	// until is Unix nanoseconds; zero: not resting.
	until   atomic.Int64
	probing atomic.Bool
	// requested is until when the upstream has requested to get nothing; nil: it has not. A time of the
	// steady clock, which the time of day's jumps do not move.
	requested atomic.Pointer[time.Time]
	since     time.Time
	rejected  int
}

// remaining returns how long the upstream rests on; at least FirstRest while the probe
// is out, zero when it does not rest.
func (r *backoff) remaining(now func() time.Time) time.Duration {
	return max(r.requestedRemaining(now), r.ownRemaining(now))
}

// ownRemaining is left for the rest that follows rejections, whatever the upstream has asked for.
func (r *backoff) ownRemaining(now func() time.Time) time.Duration {
	until := r.until.Load()
	if until == 0 {
		return 0
	}
	if wait := time.Duration(until - now().UnixNano()); wait > 0 {
		return wait
	}
	if r.probing.Load() {
		return MinBackoff
	}
	return 0
}

// request takes the upstream's word that it wants nothing for a while. Answers may overtake each
// other: the later end counts.
func (r *backoff) request(now time.Time, period time.Duration) {
	until := now.Add(min(period, MaxRequestedBackoff))
	for {
		known := r.requested.Load()
		if (known != nil && !known.Before(until)) || r.requested.CompareAndSwap(known, &until) {
			return
		}
	}
}

// requestedRemaining returns for how long the upstream still wants nothing by its own word.
func (r *backoff) requestedRemaining(now func() time.Time) time.Duration {
	until := r.requested.Load()
	if until == nil {
		return 0
	}
	return max(0, until.Sub(now()))
}

// begin claims the probe of an upstream whose rest is over; false while it rests.
func (r *backoff) begin(now func() time.Time) bool {
	if r.requestedRemaining(now) > 0 {
		return false
	}
	until := r.until.Load()
	if until == 0 {
		return true
	}
	return now().UnixNano() >= until && r.probing.CompareAndSwap(false, true)
}

// reject begins a rest, or a longer one when the probe was rejected. Of requests
// that were on their way together, only the first counts. Asked is the upstream's
// Retry-After; zero for none.
func (r *backoff) reject(started, now time.Time, retryAfter time.Duration) {
	if retryAfter > retryAfterResolution {
		r.request(now, retryAfter-retryAfterResolution)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale(started) {
		return
	}
	period := MinBackoff << min(r.rejected, maxDoublings)
	r.rejected++
	r.since = now
	r.until.Store(now.Add(min(MaxBackoff, period)).UnixNano())
	r.probing.Store(false)
}

// end takes the end of a request, or the beginning of its answer, which was not a
// rejection; recovered says that the upstream has started it.
func (r *backoff) end(started time.Time, recovered bool) {
	if r.until.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale(started) {
		return
	}
	if recovered {
		r.rejected = 0
		r.until.Store(0)
	}
	r.probing.Store(false)
}

// stale is true of a request that began before the rest: it says nothing of how
// the upstream is since.
func (r *backoff) stale(started time.Time) bool {
	return r.until.Load() != 0 && !started.After(r.since)
}
