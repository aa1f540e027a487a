package limit

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// The limits in this file hold over several equal instances together. Each enforces its
// share of the total, without a leader or calls between them. The shares of instances that
// agree on their number add up to the total; if they disagree, the callers of these limits
// count the larger number.

// RetryShares bounds retries of requests, by service and over a sliding window, so that all
// instances together stay within ratio times the requests plus slack. It is safe for
// concurrent use.
type RetryShares struct {
	// Ratio is retries for each request; Slack is further retries in a window, for all
	// instances together; Window is the window's length.
	Ratio  float64
	Slack  float64
	Window time.Duration
	now    func() time.Time
	mu     sync.Mutex
	byName map[string]*retryCounts
}

type retryCounts struct {
	requests, retries window
	// taken and refused count since the start.
	taken, refused int
}

// RetryUsage describes the retries at one service, as one instance counts them.
type RetryUsage struct {
	Service string
	// Requests and Retries are those of the current window, and Allowed the bound of Retries.
	Requests, Retries int
	Allowed           float64
	// Taken and Refused count since the instance's start.
	Taken, Refused int
}

// retryMargin is the share of the allowance that is used: requests of one window are
// counted by other instances in a window that begins slightly earlier or later.
const retryMargin = 0.8

// NewRetryShares returns RetryShares that have counted nothing.
func NewRetryShares(ratio, slack float64, length time.Duration, now func() time.Time) *RetryShares {
	return &RetryShares{Ratio: ratio, Slack: slack, Window: length, now: now, byName: make(map[string]*retryCounts)}
}

func (s *RetryShares) counts(service string) *retryCounts {
	counts := s.byName[service]
	if counts == nil {
		counts = &retryCounts{}
		s.byName[service] = counts
	}
	return counts
}

// RecordRequest counts a request for the service.
func (s *RetryShares) RecordRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts(service).requests.add(s.now(), s.Window)
}

// Take uses one retry at the service, as one of so many instances.
func (s *RetryShares) Take(service string, instances int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts(service)
	now := s.now()
	if float64(counts.retries.sum(now, s.Window)+1) > s.allowed(counts, now, instances) {
		counts.refused++
		return false
	}
	counts.retries.add(now, s.Window)
	counts.taken++
	return true
}

// Usage returns the usage of all services that had requests, as one of so many instances, in the
// order of their names.
func (s *RetryShares) Usage(instances int) []RetryUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	usage := make([]RetryUsage, 0, len(s.byName))
	for _, service := range slices.Sorted(maps.Keys(s.byName)) {
		counts := s.byName[service]
		usage = append(usage, RetryUsage{
			Service: service, Requests: counts.requests.sum(now, s.Window), Retries: counts.retries.sum(now, s.Window),
			Allowed: s.allowed(counts, now, instances), Taken: counts.taken, Refused: counts.refused,
		})
	}
	return usage
}

// Remaining returns how many retries the service has left now, for one of so many instances.
func (s *RetryShares) Remaining(service string, instances int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts(service)
	now := s.now()
	return int(s.allowed(counts, now, instances)) - counts.retries.sum(now, s.Window)
}

// allowed returns how many retries of a window may come from one of so many instances.
func (s *RetryShares) allowed(counts *retryCounts, now time.Time, instances int) float64 {
	return retryMargin * (s.Ratio*float64(counts.requests.sum(now, s.Window)) + s.Slack/float64(max(1, instances)))
}

// window counts events over a sliding time in windowSteps steps. The window covers the
// configured length and up to one step more.
type window struct {
	steps [windowSteps + 1]int
	at    [windowSteps + 1]int64
}

const windowSteps = 20

func (w *window) step(now time.Time, length time.Duration) int64 {
	return now.UnixNano() / int64(length/windowSteps)
}

func (w *window) add(now time.Time, length time.Duration) {
	step := w.step(now, length)
	i := step % int64(len(w.steps))
	if w.at[i] != step {
		w.at[i], w.steps[i] = step, 0
	}
	w.steps[i]++
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

// ColdShares bounds the requests that a cold upstream gets in any one second from all
// instances together. It is safe for concurrent use.
type ColdShares struct {
	now    func() time.Time
	mu     sync.Mutex
	byName map[string]*window
}

// ColdWindow is the time over which requests to cold upstreams are counted: a second, plus
// the variation of network delays.
const ColdWindow = 1100 * time.Millisecond

// maxColdUpstreams is the number of upstreams with counts at which old counts are dropped.
const maxColdUpstreams = 256

// NewColdShares returns ColdShares that have counted nothing.
func NewColdShares(now func() time.Time) *ColdShares {
	return &ColdShares{now: now, byName: make(map[string]*window)}
}

// Available reports whether the upstream may get one more request now, where all of the
// instances together may send it perSecond.
func (s *ColdShares) Available(upstream string, perSecond float64, instances int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.byName[upstream]
	if counts == nil {
		return perSecond >= float64(max(1, instances))
	}
	return float64(counts.sum(s.now(), ColdWindow)+1)*float64(max(1, instances)) <= perSecond
}

// RecordSent counts a request that was sent to the upstream.
func (s *ColdShares) RecordSent(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.byName[upstream]
	if counts == nil {
		s.shrink()
		counts = &window{}
		s.byName[upstream] = counts
	}
	counts.add(s.now(), ColdWindow)
}

func (s *ColdShares) shrink() {
	if len(s.byName) < maxColdUpstreams {
		return
	}
	now := s.now()
	for name, counts := range s.byName {
		if counts.sum(now, ColdWindow) == 0 {
			delete(s.byName, name)
		}
	}
}
