package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the adaptive concurrency limit.
const (
	// decrease is applied when an upstream rejects or fails a request.
	decrease = 0.7
	// gradientDecrease is applied to each answer that begins late, while answers have
	// recently begun at more than lateRatio times their predicted time.
	gradientDecrease = 0.95
	lateRatio        = 3.0
	// minAdaptive is the least bound, so that the upstream continues to get requests.
	minAdaptive = 1.0
)

// adaptive is an additive-increase, multiplicative-decrease bound on concurrency.
// The zero value sets no bound.
type adaptive struct {
	mu    sync.Mutex
	bound atomic.Uint64 // math.Float64bits; zero: no bound
	late  average
}

// limit returns the lower of share and the bound.
func (a *adaptive) limit(share int) int {
	bits := a.bound.Load()
	if bits == 0 {
		return share
	}
	return min(share, int(math.Float64frombits(bits)))
}

// observe records the ratio of the measured to the predicted time to the first byte.
func (a *adaptive) observe(ratio float64, share int) {
	if ratio <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.late.add(ratio)
	if ratio > lateRatio && a.late.value() > lateRatio {
		a.start(share)
		a.scale(gradientDecrease)
	}
}

// finish records the end of a request; growth stops at share.
func (a *adaptive) finish(result Result, share int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch result {
	case Rejected, Failed:
		a.start(share)
		a.scale(decrease)
	case Succeeded:
		a.grow(share)
	case Abandoned:
	}
}

// start sets the bound to the share at the first failure, rejection or late answer.
func (a *adaptive) start(share int) {
	if a.bound.Load() == 0 && share < Unlimited {
		a.store(max(minAdaptive, float64(share)))
	}
}

func (a *adaptive) scale(factor float64) {
	if a.bound.Load() == 0 {
		return
	}
	a.store(max(minAdaptive, a.load()*factor))
}

// grow adds one to the bound for each bound-ful of successes, and removes the bound once it
// has reached the share.
func (a *adaptive) grow(share int) {
	if a.bound.Load() == 0 {
		return
	}
	next := a.load() + 1/a.load()
	if next >= float64(share) {
		a.bound.Store(0)
		return
	}
	a.store(next)
}

func (a *adaptive) load() float64       { return math.Float64frombits(a.bound.Load()) }
func (a *adaptive) store(value float64) { a.bound.Store(math.Float64bits(value)) }

// smoothing is the weight of the newest value in an average.
const smoothing = 0.1

// average is an exponentially weighted mean, safe for concurrent use.
type average struct{ bits atomic.Uint64 }

func (a *average) add(value float64) {
	for {
		old := a.bits.Load()
		next := value
		if old != 0 {
			mean := math.Float64frombits(old)
			next = mean + smoothing*(value-mean)
		}
		if a.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

func (a *average) value() float64 { return math.Float64frombits(a.bits.Load()) }

func (a *average) duration() time.Duration {
	return time.Duration(a.value() * float64(time.Second))
}

func (a *average) reset() { a.bits.Store(0) }
