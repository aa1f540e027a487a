package telemetry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// Range and precision of a Latency.
const (
	// maxLatencyMS is the upper bound in ms; longer times are recorded as this value.
	maxLatencyMS = 60_000
	// latencyDigits is the precision in significant decimal digits. One digit gives buckets
	// about 6 % wide and 1 to 2 KB for a histogram.
	latencyDigits = 1
)

// Latency is a histogram of times in ms, with buckets of constant relative width. It
// implements metrics.Histogram and is safe for concurrent use.
type Latency struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
	sum   int64
}

var _ metrics.Histogram = (*Latency)(nil)

// NewLatency returns an empty Latency.
func NewLatency() *Latency {
	return &Latency{times: hdrhistogram.New(1, maxLatencyMS, latencyDigits)}
}

// Add records one duration.
func (l *Latency) Add(took time.Duration) { l.Update(took.Milliseconds()) }

// Update implements metrics.Histogram.
func (l *Latency) Update(ms int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is clamped to the range, so that recording cannot fail.
	_ = l.times.RecordValue(min(max(ms, 0), maxLatencyMS))
	l.sum += ms
}

// Clear implements metrics.Histogram.
func (l *Latency) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times.Reset()
	l.sum = 0
}

// Snapshot implements metrics.Histogram.
func (l *Latency) Snapshot() metrics.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Latency{times: hdrhistogram.Import(l.times.Export()), sum: l.sum}
}

// Count implements metrics.Histogram.
func (l *Latency) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.times.TotalCount()
}

// Sum implements metrics.Histogram.
func (l *Latency) Sum() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}

// Max implements metrics.Histogram.
func (l *Latency) Max() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.times.Max()
}

// Min implements metrics.Histogram.
func (l *Latency) Min() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.times.Min()
}

// Mean implements metrics.Histogram.
func (l *Latency) Mean() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.times.Mean()
}

// StdDev implements metrics.Histogram.
func (l *Latency) StdDev() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.times.StdDev()
}

// Variance implements metrics.Histogram.
func (l *Latency) Variance() float64 {
	deviation := l.StdDev()
	return deviation * deviation
}

// Percentile implements metrics.Histogram; p is between 0 and 1.
func (l *Latency) Percentile(p float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.times.ValueAtQuantile(100 * p))
}

// Percentiles implements metrics.Histogram.
func (l *Latency) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = l.Percentile(p)
	}
	return values
}

// Sample implements metrics.Histogram. It is empty because single values are not retained.
func (l *Latency) Sample() metrics.Sample { return metrics.NilSample{} }
