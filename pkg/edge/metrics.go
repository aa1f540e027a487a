package edge

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// counters count requests by how they ended.
type counters struct {
	registry metrics.Registry
	complete metrics.Counter
	left     metrics.Counter
	latency  metrics.Histogram
}

// latencySample is how many times a histogram keeps.
const latencySample = 512

func newCounters(registry metrics.Registry) counters {
	return counters{
		registry: registry,
		complete: metrics.GetOrRegisterCounter("requests.complete", registry),
		left:     metrics.GetOrRegisterCounter("requests.caller-gone", registry),
		latency:  metrics.GetOrRegisterHistogram("requests.ms", registry, metrics.NewUniformSample(latencySample)),
	}
}

func (c *counters) served(took time.Duration) {
	c.complete.Inc(1)
	c.latency.Update(took.Milliseconds())
}

func (c *counters) gone() { c.left.Inc(1) }

// registerGauges adds what is read when the metrics are asked for.
func (e *Edge) registerGauges() {
	gauges := map[string]func() int64{
		"upstreams.dialed": e.upstreams.Dialed,
		"peers.dialed":     e.peers.Dialed,
		"store.age_ms":     func() int64 { return e.now().Sub(e.store.Reached()).Milliseconds() },
		"store.revision":   e.store.Revision,
		"configuration.version": func() int64 {
			if config := e.board.Routes.Load(); config != nil {
				return int64(config.Version)
			}
			return 0
		},
		"peers.live":   func() int64 { return e.countPeers(true) },
		"peers.silent": func() int64 { return e.countPeers(false) },
	}
	for name, read := range gauges {
		metrics.NewRegisteredFunctionalGauge(name, e.registry, read)
	}
}

func (e *Edge) countPeers(live bool) int64 {
	count, now := int64(0), e.now()
	if view := e.gossip.View().Load(); view != nil {
		for i := range view.Others {
			if view.Others[i].Live(now) == live {
				count++
			}
		}
	}
	return count
}

// refused counts a refusal by its reason; reasons are few.
func (c *counters) refused(refusal *outcome.Refusal) {
	metrics.GetOrRegisterCounter("requests.refused."+string(refusal.Reason), c.registry).Inc(1)
}

// metricsHandler serves the counters as text, one a line.
func (e *Edge) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		e.registry.Each(func(name string, value any) { writeMetric(w, name, value) })
	})
}

func writeMetric(w http.ResponseWriter, name string, value any) {
	switch metric := value.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s %d\n", name, metric.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s %d\n", name, metric.Value())
	case metrics.Histogram:
		at := metric.Percentiles([]float64{0.5, 0.95, 0.99})
		fmt.Fprintf(w, "%s.count %d\n%s.p50 %.0f\n%s.p95 %.0f\n%s.p99 %.0f\n",
			name, metric.Count(), name, at[0], name, at[1], name, at[2])
	}
}

// hash turns a request's ID into a number that is the same on each of its tries.
func hash(id string) uint64 { return xxhash.Sum64String(id) }
