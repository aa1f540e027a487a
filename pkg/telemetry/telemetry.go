// Package telemetry serves a go-metrics registry in the Prometheus text format.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// contentType is the Prometheus text exposition format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles are reported for each histogram and timer.
var quantiles = []float64{0.5, 0.95, 0.99}

// Handler serves the registry.
func Handler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		Write(w, registry)
	})
}

// Write writes every metric of the registry, sorted by name. Errors of w end it
// silently: the reader has gone.
func Write(w io.Writer, registry metrics.Registry) {
	named := make(map[string]any)
	registry.Each(func(name string, metric any) { named[name] = metric })
	names := make([]string, 0, len(named))
	for name := range named {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		write(w, exposed(name), named[name])
	}
}

// exposed turns a dotted metric name into a Prometheus one.
func exposed(name string) string {
	return "lilacweir_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

func write(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		single(w, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		single(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		single(w, name, "gauge", m.Value())
	case metrics.Meter:
		single(w, name, "counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		summary(w, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		summary(w, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count())
	}
}

func single(w io.Writer, name, kind string, value float64) {
	fmt.Fprintf(w, "# TYPE %s %s\n%s %g\n", name, kind, name, value)
}

func summary(w io.Writer, name string, values []float64, sum float64, count int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, value := range values {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], value)
	}
	fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
}
