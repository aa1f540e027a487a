package limit

import (
	"sync"
	"time"
)

// Result is how a request at an upstream ended.
type Result uint8

// Results of a request at an upstream.
const (
	// Succeeded: the upstream answered.
	Succeeded Result = iota
	// Failed: the upstream broke the connection, erred or timed out.
	Failed
	// Rejected: the upstream reported that it is overloaded and did not start the request.
	Rejected
	// Abandoned: the caller or the gateway aborted; this is no evidence about the upstream.
	Abandoned
)

// String returns the result's name.
func (r Result) String() string {
	return [...]string{Succeeded: "succeeded", Failed: "failed", Rejected: "rejected", Abandoned: "abandoned"}[r]
}

// Flight is one request at an upstream. Its methods may be called from several
// goroutines; only the first call of each counts.
type Flight struct {
	tracker  *Tracker
	entry    *entry
	upstream string
	prompt   int
	expected time.Duration
	started  time.Time
	// backoffProbe and ejectionProbe are the numbers of the probes that the request is, zero for none.
	backoffProbe, ejectionProbe uint64
	first                       sync.Once
	done                        sync.Once
}

// FirstByte records that the answer has begun.
func (f *Flight) FirstByte() {
	f.first.Do(func() {
		f.entry.prefill.Add(-int64(f.prompt))
		f.entry.backoff.end(f.backoffProbe, true)
		waited := f.tracker.clock.Now().Sub(f.started)
		ratio := f.ratio(waited)
		f.entry.adaptive.observe(ratio, int(f.entry.share.Load()))
		if f.tracker.ejector != nil && ratio > 0 {
			f.tracker.ejector.observe(f.upstream, ratio)
		}
	})
}

// Done releases the slot. It must be called once the request has ended, however it ended.
func (f *Flight) Done(result Result) { f.end(result, 0) }

// Reject is Done for a request that the upstream did not start, for lack of capacity. The
// upstream then gets no requests for at least about retryAfter, up to MaxRequestedBackoff.
func (f *Flight) Reject(retryAfter time.Duration) { f.end(Rejected, retryAfter) }

func (f *Flight) end(result Result, retryAfter time.Duration) {
	f.done.Do(func() {
		f.first.Do(func() { f.entry.prefill.Add(-int64(f.prompt)) })
		f.entry.inFlight.Add(-1)
		now := f.tracker.clock.Now()
		if result == Succeeded {
			f.entry.holding.add(now.Sub(f.started).Seconds())
		}
		f.entry.adaptive.finish(result, int(f.entry.share.Load()))
		if result == Rejected {
			f.entry.backoff.reject(f.backoffProbe, now, retryAfter)
		} else {
			f.entry.backoff.end(f.backoffProbe, result == Succeeded)
		}
		if f.tracker.ejector != nil {
			f.tracker.ejector.finish(f.upstream, result, f.ejectionProbe)
		}
	})
}

// ratio is the measured time over the predicted one; zero without a prediction.
func (f *Flight) ratio(waited time.Duration) float64 {
	if f.expected <= 0 {
		return 0
	}
	return waited.Seconds() / max(f.expected, minExpected).Seconds()
}

// minExpected keeps the noise of very short answers out of the ratio.
const minExpected = 50 * time.Millisecond
