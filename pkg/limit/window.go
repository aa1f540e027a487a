package limit

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// The limits in this file hold over several equal instances together. Each enforces its
// share of the total, without a leader or calls between them. The shares of instances that
// agree on their number add up to the total; if they disagree, the callers of these limits
// count the larger number.

// RetryShares bounds retries of requests, by service, so that all instances together stay within
// Ratio times the requests plus Slack in any window. It is safe for concurrent use.
//
// It is a token bucket that starts empty: requests and time earn retries, and what is not used is
// kept up to a bound. So the total holds without any memory of earlier processes, also when
// instances restart in series or callers move between instances within a window.
type RetryShares struct {
	// Ratio is retries for each request; Slack is further retries in a window, for all
	// instances together; Window is the window's length.
	Ratio  float64
	Slack  float64
	Window time.Duration
	now    func() time.Time
	mu     sync.Mutex
	byName map[string]*retryBucket
}

// Shares of the allowance of a window. An instance may use in a window what it had kept before,
// and what it earns within it: the parts of the ratio and those of the slack add up to 0.9, since
// requests are counted somewhat earlier or later than their retries.
const (
	earnedByRequests = 0.55
	keptOfRequests   = 0.35
	earnedOfSlack    = 0.4
	keptOfSlack      = 0.5
)

// retryBucket holds the retries at one service.
type retryBucket struct {
	// balance is what may be used, and settledAt the time until which the slack is earned.
	balance   float64
	settledAt time.Time
	// requests and retries count those of the current window.
	requests, retries window
	// taken and refused count since the start.
	taken, refused int
}

// RetryUsage describes the retries at one service, as one instance counts them.
type RetryUsage struct {
	Service string
	// Requests and Retries are those of the current window, and Left what may still be used.
	Requests, Retries int
	Left              float64
	// Taken and Refused count since the instance's start.
	Taken, Refused int
}

// NewRetryShares returns RetryShares that have earned nothing.
func NewRetryShares(ratio, slack float64, length time.Duration, now func() time.Time) *RetryShares {
	return &RetryShares{Ratio: ratio, Slack: slack, Window: length, now: now, byName: make(map[string]*retryBucket)}
}

func (s *RetryShares) bucket(service string) *retryBucket {
	bucket := s.byName[service]
	if bucket == nil {
		bucket = &retryBucket{settledAt: s.now()}
		s.byName[service] = bucket
	}
	return bucket
}

// RecordRequest counts a request for the service.
func (s *RetryShares) RecordRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.bucket(service)
	bucket.requests.add(s.now(), s.Window)
	bucket.balance += earnedByRequests * s.Ratio
}

// Take uses one retry at the service, as one of so many instances.
func (s *RetryShares) Take(service string, instances int) bool { return s.take(service, instances, 0) }

// spareReserve is the share of what may be kept that TakeSpare leaves.
const spareReserve = 0.25

// TakeSpare is Take for a retry without a failure. It leaves a reserve for retries after failures.
func (s *RetryShares) TakeSpare(service string, instances int) bool {
	return s.take(service, instances, spareReserve)
}

// Release gives back a retry that was not sent to the service.
func (s *RetryShares) Release(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.bucket(service)
	bucket.balance++
	bucket.taken--
	bucket.retries.remove(s.now(), s.Window)
}

func (s *RetryShares) take(service string, instances int, reserve float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket, now := s.bucket(service), s.now()
	most := s.settle(bucket, now, instances)
	if bucket.balance < 1+reserve*most {
		if reserve == 0 {
			bucket.refused++
		}
		return false
	}
	bucket.balance--
	bucket.retries.add(now, s.Window)
	bucket.taken++
	return true
}

// settle adds the slack that was earned since the last time, and drops what may not be kept. It
// returns the most that may be kept.
func (s *RetryShares) settle(bucket *retryBucket, now time.Time, instances int) (most float64) {
	slack := s.Slack / float64(max(1, instances))
	passed := max(0, now.Sub(bucket.settledAt))
	bucket.settledAt = now
	earned := earnedOfSlack * slack * passed.Seconds() / s.Window.Seconds()
	most = keptOfRequests*s.Ratio*float64(bucket.requests.sum(now, s.Window)) + keptOfSlack*slack
	bucket.balance = min(bucket.balance+earned, most)
	return most
}

// Usage returns the usage of all services that had requests, as one of so many instances, in the
// order of their names.
func (s *RetryShares) Usage(instances int) []RetryUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	usage := make([]RetryUsage, 0, len(s.byName))
	for _, service := range slices.Sorted(maps.Keys(s.byName)) {
		bucket := s.byName[service]
		s.settle(bucket, now, instances)
		usage = append(usage, RetryUsage{
			Service: service, Requests: bucket.requests.sum(now, s.Window), Retries: bucket.retries.sum(now, s.Window),
			Left: bucket.balance, Taken: bucket.taken, Refused: bucket.refused,
		})
	}
	return usage
}

// window counts events over a sliding time in windowSteps steps. The window covers the
// configured length and up to one step more.
type window struct {
	numbers clock.Steps
	steps   [windowSteps + 1]int
	at      [windowSteps + 1]int64
}

const windowSteps = 20

func (w *window) step(now time.Time, length time.Duration) int64 {
	return w.numbers.At(now, length/windowSteps)
}

func (w *window) add(now time.Time, length time.Duration) {
	step := w.step(now, length)
	i := step % int64(len(w.steps))
	if w.at[i] != step {
		w.at[i], w.steps[i] = step, 0
	}
	w.steps[i]++
}

// remove takes one event back from the latest step, unless that has none.
func (w *window) remove(now time.Time, length time.Duration) {
	step := w.step(now, length)
	if i := step % int64(len(w.steps)); w.at[i] == step && w.steps[i] > 0 {
		w.steps[i]--
	}
}

func (w *window) sum(now time.Time, length time.Duration) int {
	step := w.step(now, length)
	total := 0
	for i, at := range w.at {
		if step-at <= windowSteps {
			total += w.steps[i]
		}
	}
	return total
}
