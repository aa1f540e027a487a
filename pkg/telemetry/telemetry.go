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

// Write writes every metric of the registry, sorted by name. It ignores errors of w, which mean
// that the client has disconnected.
func Write(w io.Writer, registry metrics.Registry) {
	named := make(map[string]any)
	registry.Each(func(name string, metric any) { named[name] = metric })
	names := make([]string, 0, len(named))
	for name := range named {
		names = append(names, name)
	}
	sort.Strings(names)
	last := ""
	for _, name := range names {
		family, labels := splitName(name)
		write(w, sample{family: family, labels: labels, first: family != last}, named[name])
		last = family
	}
}

// splitName splits a metric's name into the Prometheus name of its family and its labels without
// braces.
func splitName(name string) (family, labels string) {
	family, labels, _ = strings.Cut(strings.TrimSuffix(name, "}"), "{")
	return "lilacweir_" + strings.NewReplacer(".", "_", "-", "_").Replace(family), labels
}

func write(w io.Writer, s sample, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		s.single(w, "counter", float64(m.Count()))
	case metrics.Gauge:
		s.single(w, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		s.single(w, "gauge", m.Value())
	case metrics.Meter:
		s.single(w, "counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		h := m.Snapshot()
		s.summary(w, h.Percentiles(quantiles), float64(h.Sum()), h.Count())
	case metrics.Timer:
		t := m.Snapshot()
		s.summary(w, t.Percentiles(quantiles), float64(t.Sum()), t.Count())
	}
}

// sample is one metric in exposition format. The first of a family writes the TYPE line.
type sample struct {
	family, labels string
	first          bool
}

func (s sample) kind(w io.Writer, kind string) {
	if s.first {
		fmt.Fprintf(w, "# TYPE %s %s\n", s.family, kind)
	}
}

// name returns the family's name with a suffix, the labels and extra, an additional label or
// an empty string.
func (s sample) name(suffix, extra string) string {
	labels := s.labels
	if labels != "" && extra != "" {
		labels += ","
	}
	if labels += extra; labels == "" {
		return s.family + suffix
	}
	return s.family + suffix + "{" + labels + "}"
}

func (s sample) single(w io.Writer, kind string, value float64) {
	s.kind(w, kind)
	fmt.Fprintf(w, "%s %g\n", s.name("", ""), value)
}

func (s sample) summary(w io.Writer, values []float64, sum float64, count int64) {
	s.kind(w, "summary")
	for i, value := range values {
		fmt.Fprintf(w, "%s %g\n", s.name("", fmt.Sprintf("quantile=\"%g\"", quantiles[i])), value)
	}
	fmt.Fprintf(w, "%s %g\n%s %d\n", s.name("_sum", ""), sum, s.name("_count", ""), count)
}
