package steer

import (
	"math"
	"sync"
	"time"
)

// Estimator learns from answers how long engines take to begin one. For each service it
// fits the time to the first part of an answer on the prompt tokens that were to be read
// before it, forgetting old answers; for each upstream it keeps by how much that one is
// slower or faster. It is safe for concurrent use; an upstream costs about 100 bytes.
type Estimator struct {
	mu         sync.Mutex
	byService  map[string]*fit
	byUpstream map[string]*pace
}

// fit holds the decayed sums of a regression, in tokens and milliseconds, and by how much
// predictions were wrong on the average.
type fit struct{ n, x, y, xx, xy, wrong float64 }

// pace is how much slower than its service an upstream is, and the last time it was seen.
type pace struct {
	factor float64
	seen   time.Time
}

// Parameters of the estimate.
const (
	// firstBase and firstPerToken are believed before anything was measured: 0.1 s for
	// the way and the first step, and 40 tokens a millisecond, half of what the engines
	// that we know read when they do nothing else.
	firstBase     = 100.0
	firstPerToken = 1.0 / 40
	// priorWeight is how many answers the first belief counts for.
	priorWeight = 8
	// fitDecay is the weight that each older answer keeps: the last 200 or so count,
	// some seconds of an instance's traffic.
	fitDecay = 0.995
	// wrongSmoothing is the weight of the newest answer in the mean error.
	wrongSmoothing = 0.02
	// outlier bounds what one answer may say, as a multiple of what was predicted: one
	// that met a frozen engine is no measure of reading.
	outlier = 4.0
	// factorSmoothing is the weight of the newest answer in an upstream's factor.
	factorSmoothing = 0.15
	// leastFactor and mostFactor bound an upstream's factor.
	leastFactor = 0.5
	mostFactor  = 20.0
	// factorHalfLife is how soon an upstream that gets no work is believed to be as the
	// others again: else one that was slow once would never be tried.
	factorHalfLife = 2 * time.Second
	// forgetUpstream is when an upstream that gets nothing is dropped.
	forgetUpstream = time.Minute
	// mostPaces bounds the upstreams that are remembered.
	mostPaces = 4096
)

// NewEstimator returns an Estimator that has measured nothing.
func NewEstimator() *Estimator {
	return &Estimator{byService: make(map[string]*fit), byUpstream: make(map[string]*pace)}
}

// line returns the fit's intercept in milliseconds and its slope in milliseconds a token.
func (f *fit) line() (base, perToken float64) {
	spread := f.n*f.xx - f.x*f.x
	perToken = (f.n*f.xy - f.x*f.y) / spread
	if !(spread > 0) || perToken < 0 {
		perToken = 0
	}
	base = (f.y - perToken*f.x) / f.n
	if base < 0 {
		return 0, f.xy / f.xx
	}
	return base, perToken
}

// newFit returns a fit that holds the first belief.
func newFit() *fit {
	const tokens = 4000
	f := &fit{}
	for range priorWeight / 2 {
		f.add(0, firstBase)
		f.add(tokens, firstBase+tokens*firstPerToken)
	}
	return f
}

func (f *fit) add(x, y float64) {
	f.n = f.n*fitDecay + 1
	f.x = f.x*fitDecay + x
	f.y = f.y*fitDecay + y
	f.xx = f.xx*fitDecay + x*x
	f.xy = f.xy*fitDecay + x*y
}

// Observe takes the time after which an answer began that was sent to a candidate.
func (e *Estimator) Observe(at *Candidate, took time.Duration, now time.Time) {
	upstream, tokens := at.Upstream, at.Prefill+at.Uncached
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.byService[upstream.Service]
	if f == nil {
		f = newFit()
		e.byService[upstream.Service] = f
	}
	x, y := float64(tokens), float64(took)/float64(time.Millisecond)
	base, perToken := f.line()
	expected := max(1, base+perToken*x)
	p := e.pace(upstream.ID, now)
	ratio := min(y/expected, mostFactor)
	p.factor += factorSmoothing * (ratio - p.factor)
	p.factor = max(leastFactor, p.factor)
	f.add(x, min(y, outlier*expected))
	if at.First > 0 {
		f.wrong += wrongSmoothing * (math.Abs(min(y, outlier*expected)-inMilliseconds(at.First)) - f.wrong)
	}
}

// pace returns an upstream's pace as it is believed now. The caller holds e.mu.
func (e *Estimator) pace(upstream string, now time.Time) *pace {
	p := e.byUpstream[upstream]
	if p == nil {
		e.shrink(now)
		p = &pace{factor: 1}
		e.byUpstream[upstream] = p
	}
	p.factor = p.at(now)
	p.seen = now
	return p
}

// at is the factor after the time since the upstream was seen.
func (p *pace) at(now time.Time) float64 {
	if p == nil {
		return 1
	}
	idle := now.Sub(p.seen)
	if p.seen.IsZero() || idle <= 0 {
		return p.factor
	}
	return 1 + (p.factor-1)/(1+float64(idle)/float64(factorHalfLife))
}

func (e *Estimator) shrink(now time.Time) {
	if len(e.byUpstream) < mostPaces {
		return
	}
	for id, p := range e.byUpstream {
		if now.Sub(p.seen) > forgetUpstream {
			delete(e.byUpstream, id)
		}
	}
}

// Forecast is what an Estimator believes at one moment of one service.
type Forecast struct {
	estimator      *Estimator
	base, perToken float64
	// wrong is by how many milliseconds predictions are wrong on the average.
	wrong float64
	now   time.Time
}

// Forecast returns what is believed of a service's engines.
func (e *Estimator) Forecast(service string, now time.Time) Forecast {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.byService[service]
	if f == nil {
		f = newFit()
	}
	base, perToken := f.line()
	return Forecast{estimator: e, base: base, perToken: perToken, wrong: f.wrong, now: now}
}

// Reading is how long an engine of the usual pace takes to begin an answer when so many
// prompt tokens are to be read before it, in milliseconds.
func (f *Forecast) Reading(tokens float64) float64 { return f.base + f.perToken*tokens }

// Factor is by how much an upstream is slower than the usual pace.
func (f *Forecast) Factor(upstream string) float64 {
	f.estimator.mu.Lock()
	defer f.estimator.mu.Unlock()
	return f.estimator.byUpstream[upstream].at(f.now)
}
