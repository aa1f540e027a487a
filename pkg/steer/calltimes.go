package steer

import (
	"sync"
	"time"
)

// CallTimes measures how long calls of plain services take without queueing. It is safe for
// concurrent use.
type CallTimes struct {
	mu        sync.Mutex
	byService map[string]time.Duration
}

const (
	// defaultCallTime is assumed where none was measured.
	defaultCallTime = 50 * time.Millisecond
	// callTimeSmoothing is the weight of the newest call.
	callTimeSmoothing = 0.05
)

// NewCallTimes returns CallTimes without measurements.
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

// Add records the time of a call at a candidate. Calls that may have queued there are
// ignored.
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
