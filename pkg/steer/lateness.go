package steer

import (
	"math"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/httproute"
)

// Lateness measures which share of the answers of a service's engines begin later than their routes
// intend, by class of requests. It is safe for concurrent use; its size is bounded by the declared services and
// priorities.
type Lateness struct {
	mu    sync.Mutex
	byKey map[latenessKey]*lateShare
}

// latenessKey is a class of requests. Flexible ones may leave the region, see httproute.Service.Yields.
type latenessKey struct {
	service  string
	priority int
	flexible bool
}

// lateShare holds decaying counts of answers.
type lateShare struct {
	begun, late float64
	at          time.Time
}

const (
	// latenessTimeConstant is the averaging time of the share. It spans some tens of an instance's
	// answers at its usual load, and follows a burst within a second or two.
	latenessTimeConstant = 2 * time.Second
	// latenessPrior is the number of answers in time that the share starts from, so that one late
	// answer of a few does not count as an overload.
	latenessPrior = 5
	// toleratedLate is the share of late answers that a deployment in its usual state may have.
	toleratedLate = 0.05
)

// NewLateness returns a Lateness without answers.
func NewLateness() *Lateness { return &Lateness{byKey: make(map[latenessKey]*lateShare)} }

func (s *lateShare) decay(now time.Time) {
	if passed := now.Sub(s.at); passed > 0 {
		left := math.Exp(-float64(passed) / float64(latenessTimeConstant))
		s.begun, s.late, s.at = s.begun*left, s.late*left, now
	}
}

// Observe records that an answer of an engine in a region has begun a time after its request arrived.
// Routes without a target are not measured.
func (l *Lateness) Observe(service *httproute.Service, route *httproute.Route, region string, took time.Duration, now time.Time) {
	if route.TargetLatency == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := latenessKey{service.Name, route.Priority, service.Yields(route, region)}
	share := l.byKey[key]
	if share == nil {
		share = &lateShare{at: now}
		l.byKey[key] = share
	}
	share.decay(now)
	share.begun++
	if took > route.TargetLatency {
		share.late++
	}
}

// ShareOfBound returns the largest recent share of late answers among the requests that may not leave the
// region and are at least as urgent as a priority.
func (l *Lateness) ShareOfBound(service string, priority int, now time.Time) float64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	largest := 0.0
	for key, share := range l.byKey {
		if key.service == service && key.priority <= priority && !key.flexible {
			largest = max(largest, share.share(now))
		}
	}
	return largest
}

func (s *lateShare) share(now time.Time) float64 {
	s.decay(now)
	return s.late / (s.begun + latenessPrior)
}
