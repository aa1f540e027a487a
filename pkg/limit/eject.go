package limit

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// Parameters of outlier ejection.
const (
	// failuresToEject is how many failures in a row eject an upstream.
	failuresToEject = 3
	// outlierRatio is the ratio of an upstream's lateness to its pool's median above which
	// it is ejected. Lateness is the measured over the predicted time to the first byte.
	outlierRatio = 5.0
	// outlierSamples is how many answers that evaluation needs.
	outlierSamples = 10
	// maxEjectedShare is the largest share of a pool that may be ejected at once.
	maxEjectedShare = 0.5
	// minEjection and maxEjection bound the time until the next probe.
	minEjection = 2 * time.Second
	maxEjection = 30 * time.Second
)

// Ejector excludes upstreams that fail, or that answer far later than their pool, for some
// time, and then probes them with one request. It is safe for concurrent use.
type Ejector struct {
	// Changed, if not nil, is called with each ejection and each end of one, in order. It
	// must not call the Ejector.
	Changed func(Ejection)

	clock clock.Clock
	mu    sync.Mutex
	// probes counts the probes of all upstreams.
	probes uint64
	all    atomic.Pointer[map[string]*health]
}

// Ejection is a change of an upstream's state.
type Ejection struct {
	Upstream string
	// For is how long the upstream gets no requests; zero if its ejection has ended.
	For time.Duration
	// Failures is the number of consecutive failures. An upstream that is ejected without
	// any is too late relative to its pool; Lateness is its measured over its predicted
	// time.
	Failures int
	Lateness float64
}

func (e *Ejector) notify(change Ejection) {
	if e.Changed != nil {
		e.Changed(change)
	}
}

// health is guarded by Ejector.mu, except for reads of ejectedUntil and probe.
type health struct {
	// ejectedUntil is nil if not ejected.
	ejectedUntil atomic.Pointer[time.Time]
	// probe is the number of the running probe, zero if none runs.
	probe     atomic.Uint64
	pool      string
	failures  int
	ejections int
	samples   int
	lateness  average
}

// NewEjector returns an Ejector that has ejected nothing.
func NewEjector(c clock.Clock) *Ejector {
	e := &Ejector{clock: c}
	e.all.Store(&map[string]*health{})
	return e
}

// SetPool sets the upstreams that can substitute for each other. Upstreams of the pool that
// are not named any more are dropped.
func (e *Ejector) SetPool(pool string, upstreams []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := maps.Clone(*e.all.Load())
	maps.DeleteFunc(next, func(name string, h *health) bool {
		return h.pool == pool && !slices.Contains(upstreams, name)
	})
	for _, name := range upstreams {
		if next[name] == nil {
			next[name] = &health{}
		}
		next[name].pool = pool
	}
	e.all.Store(&next)
}

// Ejected reports whether an upstream gets no requests now. Once its time is over it counts
// as usable until one request, the probe, has been sent.
func (e *Ejector) Ejected(upstream string) bool {
	h := (*e.all.Load())[upstream]
	if h == nil {
		return false
	}
	until := h.ejectedUntil.Load()
	if until == nil {
		return false
	}
	return e.clock.Now().Before(*until) || h.probe.Load() != 0
}

// begin claims the probe of an upstream whose time is over; false while ejected. It returns the
// probe's number, zero for a request that is none.
func (e *Ejector) begin(upstream string) (probe uint64, ok bool) {
	h := (*e.all.Load())[upstream]
	if h == nil || h.ejectedUntil.Load() == nil {
		return 0, true
	}
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	until := h.ejectedUntil.Load()
	if until == nil {
		return 0, true
	}
	if now.Before(*until) || h.probe.Load() != 0 {
		return 0, false
	}
	e.probes++
	h.probe.Store(e.probes)
	return e.probes, true
}

// finish records the end of a request at an upstream, of the probe with a number unless that is
// zero. While the upstream is ejected, other requests were let through before, and are no evidence
// of its recovery.
func (e *Ejector) finish(upstream string, result Result, probe uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := (*e.all.Load())[upstream]
	if h == nil {
		return
	}
	if h.ejectedUntil.Load() != nil && (probe == 0 || probe != h.probe.Load()) {
		return
	}
	switch result {
	case Succeeded:
		h.failures = 0
		if h.restore() {
			e.notify(Ejection{Upstream: upstream})
		}
	case Failed:
		h.failures++
		e.evaluateFailures(upstream, h)
	case Rejected, Abandoned:
	}
	h.probe.Store(0)
}

// restore ends an ejection; false when there is none.
func (h *health) restore() bool {
	if h.ejectedUntil.Load() == nil {
		return false
	}
	h.ejectedUntil.Store(nil)
	h.samples = 0
	h.lateness.reset()
	h.ejections = max(0, h.ejections-1)
	return true
}

func (e *Ejector) evaluateFailures(upstream string, h *health) {
	if h.ejectedUntil.Load() != nil || h.failures >= failuresToEject {
		e.eject(upstream, h)
	}
}

// observe records the lateness of an answer, the ratio of its measured to its predicted
// time.
func (e *Ejector) observe(upstream string, ratio float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := (*e.all.Load())[upstream]
	if h == nil {
		return
	}
	h.samples++
	h.lateness.add(ratio)
	if h.samples < outlierSamples || h.ejectedUntil.Load() != nil {
		return
	}
	if median := e.medianLateness(h); median > 0 && h.lateness.value() > outlierRatio*median {
		e.eject(upstream, h)
	}
}

// medianLateness is the median over the other upstreams of the pool; zero if too few are
// known.
func (e *Ejector) medianLateness(self *health) float64 {
	var values []float64
	for _, h := range *e.all.Load() {
		if h != self && h.pool == self.pool && h.samples >= outlierSamples {
			values = append(values, h.lateness.value())
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// eject excludes h, unless too many of its pool are ejected.
func (e *Ejector) eject(upstream string, h *health) {
	if h.ejectedUntil.Load() == nil && !e.mayEject(h.pool) {
		return
	}
	period := min(maxEjection, minEjection<<min(h.ejections, 4))
	h.ejections++
	until := e.clock.Now().Add(period)
	h.ejectedUntil.Store(&until)
	e.notify(Ejection{Upstream: upstream, For: period, Failures: h.failures, Lateness: h.lateness.value()})
}

func (e *Ejector) mayEject(pool string) bool {
	size, ejected := 0, 0
	for _, h := range *e.all.Load() {
		if h.pool != pool {
			continue
		}
		size++
		if h.ejectedUntil.Load() != nil {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(size)
}
