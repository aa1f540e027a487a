package limit

import (
	"math"
	"sync"
	"time"
)

// Acceptance measures which share of the requests that were sent to a destination it has accepted lately.
// A destination of many instances that refuses some requests still has capacity for others: a backoff
// after each refusal would leave that capacity unused by those who have no other destination. It is safe
// for concurrent use.
type Acceptance struct {
	mu    sync.Mutex
	byKey map[string]*acceptance
}

// acceptance holds decaying counts of requests.
type acceptance struct {
	accepted, refused float64
	at, refusedAt     time.Time
}

const (
	// acceptanceTimeConstant is the averaging time. An overload of a region changes within seconds.
	acceptanceTimeConstant = time.Second
	// refusalMemory is the time after its last refusal from which a destination gets all requests again.
	// It was asked at least at minAcceptance meanwhile.
	refusalMemory = time.Second
	// minAcceptance is the share of requests that a destination still gets while it refuses all: enough
	// to learn of its recovery within some tenths of a second.
	minAcceptance = 0.1
)

// NewAcceptance returns an Acceptance without requests.
func NewAcceptance() *Acceptance { return &Acceptance{byKey: make(map[string]*acceptance)} }

// Record records whether a destination accepted a request.
func (a *Acceptance) Record(destination string, accepted bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.byKey[destination]
	if known == nil {
		known = &acceptance{at: now}
		a.byKey[destination] = known
	}
	known.decay(now)
	if accepted {
		known.accepted++
	} else {
		known.refused++
		known.refusedAt = now
	}
}

func (a *acceptance) decay(now time.Time) {
	if passed := now.Sub(a.at); passed > 0 {
		left := math.Exp(-float64(passed) / float64(acceptanceTimeConstant))
		a.accepted, a.refused, a.at = a.accepted*left, a.refused*left, now
	}
}

// Share returns the share of requests that a destination should get, from minAcceptance to 1.
func (a *Acceptance) Share(destination string, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.byKey[destination]
	if known == nil || now.Sub(known.refusedAt) > refusalMemory {
		return 1
	}
	known.decay(now)
	return max(minAcceptance, (known.accepted+1)/(known.accepted+known.refused+1))
}
