package steer

import (
	"math"
	"sync"
	"time"
)

// Estimator learns from answers how long engines take to begin one. For each service it
// fits the time to the first token linearly to the prompt tokens to be read before it,
// forgetting old answers; for each upstream it keeps a relative slowdown. It is safe for
// concurrent use; an upstream costs about 100 bytes.
type Estimator struct {
	mu         sync.Mutex
	byService  map[string]*regression
	byUpstream map[string]*slowdown
}

// regression holds the decayed sums of a linear regression, in tokens and milliseconds, and
// the mean absolute prediction error.
type regression struct{ n, x, y, xx, xy, meanError float64 }

// slowdown is an upstream's time relative to its service's, and when it was last observed.
type slowdown struct {
	factor     float64
	observedAt time.Time
}

// Parameters of the estimate.
const (
	// initialBase and initialPerToken are used before anything was measured: 0.1 s for the
	// round trip and the first step, and 40 tokens a millisecond, half of the rate at which
	// the known engines read when they do nothing else.
	initialBase     = 100.0
	initialPerToken = 1.0 / 40
	// priorWeight is the number of answers that the initial values count for.
	priorWeight = 8
	// regressionDecay is the weight that each older answer keeps: about the last 200 count,
	// some seconds of an instance's traffic.
	regressionDecay = 0.995
	// errorSmoothing is the weight of the newest answer in the mean error.
	errorSmoothing = 0.02
	// outlier bounds the influence of one answer, as a multiple of the prediction: that of
	// a frozen engine does not measure reading speed.
	outlier = 4.0
	// factorSmoothing is the weight of the newest answer in an upstream's factor.
	factorSmoothing = 0.15
	// minFactor and maxFactor bound an upstream's factor.
	minFactor = 0.5
	maxFactor = 20.0
	// factorHalfLife is the idle time that halves an upstream's deviation from 1. Without
	// it, an upstream that was slow once would never be tried again.
	factorHalfLife = 2 * time.Second
	// upstreamRetention is the idle time after which an upstream is dropped.
	upstreamRetention = time.Minute
	// maxUpstreams bounds the upstreams that are tracked.
	maxUpstreams = 4096
)

// NewEstimator returns an Estimator without measurements.
func NewEstimator() *Estimator {
	return &Estimator{byService: make(map[string]*regression), byUpstream: make(map[string]*slowdown)}
}

// line returns the regression's intercept in milliseconds and its slope in milliseconds a
// token.
func (f *regression) line() (base, perToken float64) {
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

// newRegression returns a regression that holds the initial values.
func newRegression() *regression {
	const tokens = 4000
	f := &regression{}
	for range priorWeight / 2 {
		f.add(0, initialBase)
		f.add(tokens, initialBase+tokens*initialPerToken)
	}
	return f
}

func (f *regression) add(x, y float64) {
	f.n = f.n*regressionDecay + 1
	f.x = f.x*regressionDecay + x
	f.y = f.y*regressionDecay + y
	f.xx = f.xx*regressionDecay + x*x
	f.xy = f.xy*regressionDecay + x*y
}

// Observe records that an answer of a request sent to candidate at began after took.
func (e *Estimator) Observe(at *Candidate, took time.Duration, now time.Time) {
	upstream, tokens := at.Upstream, at.Prefill+at.Uncached
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.byService[upstream.Service]
	if f == nil {
		f = newRegression()
		e.byService[upstream.Service] = f
	}
	x, y := float64(tokens), float64(took)/float64(time.Millisecond)
	base, perToken := f.line()
	expected := max(1, base+perToken*x)
	p := e.slowdown(upstream.ID, now)
	ratio := min(y/expected, maxFactor)
	p.factor += factorSmoothing * (ratio - p.factor)
	p.factor = max(minFactor, p.factor)
	f.add(x, min(y, outlier*expected))
	if at.TimeToFirstToken > 0 {
		f.meanError += errorSmoothing * (math.Abs(min(y, outlier*expected)-inMilliseconds(at.TimeToFirstToken)) - f.meanError)
	}
}

// slowdown returns an upstream's slowdown, decayed to now. The caller holds e.mu.
func (e *Estimator) slowdown(upstream string, now time.Time) *slowdown {
	p := e.byUpstream[upstream]
	if p == nil {
		e.shrink(now)
		p = &slowdown{factor: 1}
		e.byUpstream[upstream] = p
	}
	p.factor = p.at(now)
	p.observedAt = now
	return p
}

// at returns the factor, decayed by the time since the last observation.
func (p *slowdown) at(now time.Time) float64 {
	if p == nil {
		return 1
	}
	idle := now.Sub(p.observedAt)
	if p.observedAt.IsZero() || idle <= 0 {
		return p.factor
	}
	return 1 + (p.factor-1)/(1+float64(idle)/float64(factorHalfLife))
}

func (e *Estimator) shrink(now time.Time) {
	if len(e.byUpstream) < maxUpstreams {
		return
	}
	for id, p := range e.byUpstream {
		if now.Sub(p.observedAt) > upstreamRetention {
			delete(e.byUpstream, id)
		}
	}
}

// Forecast is an Estimator's prediction for one service at one time.
type Forecast struct {
	estimator      *Estimator
	base, perToken float64
	// meanError is the mean absolute error of predictions, in milliseconds.
	meanError float64
	now       time.Time
}

// Forecast returns the present prediction for a service's engines.
func (e *Estimator) Forecast(service string, now time.Time) Forecast {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.byService[service]
	if f == nil {
		f = newRegression()
	}
	base, perToken := f.line()
	return Forecast{estimator: e, base: base, perToken: perToken, meanError: f.meanError, now: now}
}

// Reading returns how long an average engine takes to begin an answer with so many prompt
// tokens to be read before it, in milliseconds.
func (f *Forecast) Reading(tokens float64) float64 { return f.base + f.perToken*tokens }

// Factor returns the factor by which an upstream is slower than the average.
func (f *Forecast) Factor(upstream string) float64 {
	f.estimator.mu.Lock()
	defer f.estimator.mu.Unlock()
	return f.estimator.byUpstream[upstream].at(f.now)
}
