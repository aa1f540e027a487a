package steer

import (
	"sync"
	"time"
)

// CallTimes remembers how long calls of plain services take where nothing waits. It is safe
// for concurrent use.
type CallTimes struct {
	mu        sync.Mutex
	byService map[string]time.Duration
}

const (
	// defaultCallTime is how long a call is taken to last where none was measured.
	defaultCallTime = 50 * time.Millisecond
	// callTimeSmoothing is the weight of the newest call.
	callTimeSmoothing = 0.05
)

// NewCallTimes returns a Pace that has measured nothing.
func NewCallTimes() *CallTimes { return &CallTimes{byService: make(map[string]time.Duration)} }

// Of returns the mean time of a service's calls.
func (p *CallTimes) Of(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mean, ok := p.byService[service]; ok {
		return mean
	}
	return defaultCallTime
}

// Add takes the time of a call at a candidate. One that may have waited there says
// nothing of the service's pace.
func (p *CallTimes) Add(service string, at *Candidate, took time.Duration) {
	if 2*at.InFlight > at.Upstream.Slots {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.byService[service]
	if !ok {
		mean = took
	}
	p.byService[service] = mean + time.Duration(callTimeSmoothing*float64(took-mean))
}
