package steer

import (
	"math"
	"sync"
	"time"
)

// Flow measures how many prompt tokens this instance sends to the engines of each service.
// The others of its region are assumed to send as many, which gives an estimate of what
// reached an engine since the last report. It is safe for concurrent use.
type Flow struct {
	mu        sync.Mutex
	byService map[string]*decayingSum
}

// decayingSum is a sum that decays exponentially with the time since the last addition.
type decayingSum struct {
	sum float64
	at  time.Time
}

// flowTimeConstant is the averaging time of the flow: it follows load changes within
// seconds and smooths out single requests.
const flowTimeConstant = 2 * time.Second

// NewFlow returns a Flow without measurements.
func NewFlow() *Flow { return &Flow{byService: make(map[string]*decayingSum)} }

func (r *decayingSum) decayed(now time.Time) float64 {
	if r == nil || r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-float64(now.Sub(r.at))/float64(flowTimeConstant))
}

// Add counts prompt tokens that were sent to a service's engines.
func (f *Flow) Add(service string, tokens int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.byService[service]
	if r == nil {
		r = &decayingSum{}
		f.byService[service] = r
	}
	r.sum = r.decayed(now) + float64(tokens)
	r.at = now
}

// Of returns the tokens a second that are sent to a service's engines.
func (f *Flow) Of(service string, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byService[service].decayed(now) / flowTimeConstant.Seconds()
}
