package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the backoff after a rejection.
const (
	// MinBackoff follows a first rejection; each further one in a row doubles it.
	MinBackoff = 100 * time.Millisecond
	// MaxBackoff is the longest backoff that the upstream has not requested.
	MaxBackoff = 2 * time.Second
	// MaxRequestedBackoff bounds the backoff requested by Retry-After: an upstream that
	// requests hours is tried again by then, and may request them again.
	MaxRequestedBackoff = 10 * time.Minute
	// maxDoublings keeps the shift small; it reaches MaxBackoff.
	maxDoublings = 5
	// retryAfterResolution is the resolution of Retry-After: whole seconds, rounded up.
	retryAfterResolution = time.Second
)

// backoff withholds requests from an upstream that has reported overload, for a short time
// and at least as long as the upstream requests; then one request, the probe, finds out
// whether it starts requests again. A success ends a backoff that was not requested. Unlike
// an ejection it may exclude all upstreams of a pool, since they reported overload
// themselves. The zero value is not backing off.
type backoff struct {
	mu sync.Mutex
	// until is the end of the backoff; nil if not backing off. requested is the end of that which
	// the upstream requested; nil if it requested none. Both are monotonic times, which steps of the
	// wall clock do not move.
	until, requested atomic.Pointer[time.Time]
	// probe is the number of the running probe, zero if none runs; probes counts them.
	probe    atomic.Uint64
	probes   uint64
	rejected int
}

// remaining returns the time until the backoff ends; at least MinBackoff while the probe is
// running, zero if not backing off.
func (r *backoff) remaining(now func() time.Time) time.Duration {
	return max(r.requestedRemaining(now), r.ownRemaining(now))
}

// ownRemaining is remaining for the backoff after rejections, regardless of what the
// upstream requested.
func (r *backoff) ownRemaining(now func() time.Time) time.Duration {
	until := r.until.Load()
	if until == nil {
		return 0
	}
	if wait := until.Sub(now()); wait > 0 {
		return wait
	}
	if r.probe.Load() != 0 {
		return MinBackoff
	}
	return 0
}

// request records that the upstream requested a backoff. Answers may overtake each other:
// the later end counts.
func (r *backoff) request(now time.Time, period time.Duration) {
	until := now.Add(min(period, MaxRequestedBackoff))
	for {
		known := r.requested.Load()
		if (known != nil && !known.Before(until)) || r.requested.CompareAndSwap(known, &until) {
			return
		}
	}
}

// requestedRemaining returns the time until the backoff that the upstream requested ends.
func (r *backoff) requestedRemaining(now func() time.Time) time.Duration {
	until := r.requested.Load()
	if until == nil {
		return 0
	}
	return max(0, until.Sub(now()))
}

// begin claims the probe of an upstream after its backoff; false while it is backing off. It
// returns the probe's number, zero for a request that is none.
func (r *backoff) begin(now func() time.Time) (probe uint64, ok bool) {
	if r.requestedRemaining(now) > 0 {
		return 0, false
	}
	if r.until.Load() == nil {
		return 0, true
	}
	at := now()
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.until.Load()
	if until == nil {
		return 0, true
	}
	if at.Before(*until) || r.probe.Load() != 0 {
		return 0, false
	}
	r.probes++
	r.probe.Store(r.probes)
	return r.probes, true
}

// reject begins a backoff, or a longer one if its probe was rejected. Other requests that are
// rejected during a backoff were in flight when it began: only the first rejection counts.
// retryAfter is the upstream's Retry-After; zero for none.
func (r *backoff) reject(probe uint64, now time.Time, retryAfter time.Duration) {
	if retryAfter > retryAfterResolution {
		r.request(now, retryAfter-retryAfterResolution)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until.Load() != nil && !r.isProbe(probe) {
		return
	}
	period := MinBackoff << min(r.rejected, maxDoublings)
	r.rejected++
	until := now.Add(min(MaxBackoff, period))
	r.until.Store(&until)
	r.probe.Store(0)
}

// end records the end of a request that was not rejected, or the beginning of its answer;
// recovered is true if the upstream has started it. Only of the probe it is evidence of the
// upstream's present state.
func (r *backoff) end(probe uint64, recovered bool) {
	if probe == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isProbe(probe) {
		return
	}
	if recovered {
		r.rejected = 0
		r.until.Store(nil)
	}
	r.probe.Store(0)
}

// isProbe reports whether the running probe has a number. The caller holds r.mu.
func (r *backoff) isProbe(probe uint64) bool { return probe != 0 && probe == r.probe.Load() }
