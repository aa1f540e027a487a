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
	byService  map[string]*regression
	byUpstream map[string]*slowdown
}

// regression holds the decayed sums of a regression, in tokens and milliseconds, and by how much
// predictions were wrong on the average.
type regression struct{ n, x, y, xx, xy, meanError float64 }

// slowdown is how much slower than its service an upstream is, and the last time it was seen.
type slowdown struct {
	factor     float64
	observedAt time.Time
}

// Parameters of the estimate.
const (
	// initialBase and firstPerToken are believed before anything was measured: 0.1 s for
	// the way and the first step, and 40 tokens a millisecond, half of what the engines
	// that we know read when they do nothing else.
	initialBase     = 100.0
	initialPerToken = 1.0 / 40
	// priorWeight is how many answers the first belief counts for.
	priorWeight = 8
	// regressionDecay is the weight that each older answer keeps: the last 200 or so count,
	// some seconds of an instance's traffic.
	regressionDecay = 0.995
	// errorSmoothing is the weight of the newest answer in the mean error.
	errorSmoothing = 0.02
	// outlier bounds what one answer may say, as a multiple of what was predicted: one
	// that met a frozen engine is no measure of reading.
	outlier = 4.0
	// factorSmoothing is the weight of the newest answer in an upstream's factor.
	factorSmoothing = 0.15
	// minFactor and mostFactor bound an upstream's factor.
	minFactor = 0.5
	maxFactor = 20.0
	// factorHalfLife is how soon an upstream that gets no work is believed to be as the
	// others again: else one that was slow once would never be tried.
	factorHalfLife = 2 * time.Second
	// upstreamRetention is when an upstream that gets nothing is dropped.
	upstreamRetention = time.Minute
	// maxUpstreams bounds the upstreams that are remembered.
	maxUpstreams = 4096
)

// NewEstimator returns an Estimator that has measured nothing.
func NewEstimator() *Estimator {
	return &Estimator{byService: make(map[string]*regression), byUpstream: make(map[string]*slowdown)}
}

// line returns the fit's intercept in milliseconds and its slope in milliseconds a token.
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

// newRegression returns a fit that holds the first belief.
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

// Observe takes the time after which an answer began that was sent to a candidate.
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
	if at.First > 0 {
		f.meanError += errorSmoothing * (math.Abs(min(y, outlier*expected)-inMilliseconds(at.First)) - f.meanError)
	}
}

// slowdown returns an upstream's slowdown as it is believed now. The caller holds e.mu.
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

// at is the factor after the time since the upstream was seen.
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

// Forecast is what an Estimator believes at one moment of one service.
type Forecast struct {
	estimator      *Estimator
	base, perToken float64
	// meanError is by how many milliseconds predictions are meanError on the average.
	meanError float64
	now       time.Time
}

// Forecast returns what is believed of a service's engines.
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

// Reading is how long an engine of the usual pace takes to begin an answer when so many
// prompt tokens are to be read before it, in milliseconds.
func (f *Forecast) Reading(tokens float64) float64 { return f.base + f.perToken*tokens }

// Factor is by how much an upstream is slower than the usual pace.
func (f *Forecast) Factor(upstream string) float64 {
	f.estimator.mu.Lock()
	defer f.estimator.mu.Unlock()
	return f.estimator.byUpstream[upstream].at(f.now)
}
