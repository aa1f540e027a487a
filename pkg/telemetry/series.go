package telemetry

import (
	"strconv"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Label is one dimension of a metric.
type Label struct{ Name, Value string }

// overflow is the value of all labels of the metric that counts a family's label sets beyond
// the limit.
const overflow = "other"

// Series creates the labelled metrics of a registry and bounds their number. Label sets beyond
// the limit share one metric for each family, whose labels have the value "other". It is safe
// for concurrent use.
type Series struct {
	registry   metrics.Registry
	maxMetrics int
	mu         sync.RWMutex
	registered map[string]any
	labels     map[string][]Label
}

// NewSeries returns a Series with at most maxMetrics metrics, plus the shared ones.
func NewSeries(registry metrics.Registry, maxMetrics int) *Series {
	return &Series{registry: registry, maxMetrics: maxMetrics, registered: make(map[string]any), labels: make(map[string][]Label)}
}

// Counter returns the family's counter with the labels.
func (s *Series) Counter(family string, labels ...Label) metrics.Counter {
	return getOrCreate(s, family, labels, metrics.NewCounter)
}

// Gauge returns the family's gauge with the labels.
func (s *Series) Gauge(family string, labels ...Label) metrics.Gauge {
	return getOrCreate(s, family, labels, metrics.NewGauge)
}

// Latency returns the family's histogram with the labels.
func (s *Series) Latency(family string, labels ...Label) *Latency {
	return getOrCreate(s, family, labels, NewLatency)
}

func getOrCreate[M any](s *Series, family string, labels []Label, create func() M) M {
	name := seriesName(family, labels)
	s.mu.RLock()
	found, ok := s.registered[name]
	s.mu.RUnlock()
	if ok {
		return found.(M)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.registered) >= s.maxMetrics && s.registered[name] == nil {
		labels = overflowLabels(labels)
		name = seriesName(family, labels)
	}
	if found, ok := s.registered[name]; ok {
		return found.(M)
	}
	created := create()
	s.registered[name], s.labels[name] = created, labels
	_ = s.registry.Register(name, created) // cannot fail, since s.registered holds every registered name
	return created
}

// Remove unregisters all metrics with the label, for instance those of a deregistered upstream.
func (s *Series) Remove(label Label) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, labels := range s.labels {
		for _, has := range labels {
			if has == label {
				s.registry.Unregister(name)
				delete(s.registered, name)
				delete(s.labels, name)
				break
			}
		}
	}
}

func overflowLabels(labels []Label) []Label {
	replaced := make([]Label, len(labels))
	for i, label := range labels {
		replaced[i] = Label{Name: label.Name, Value: overflow}
	}
	return replaced
}

// seriesName returns the name of a metric in the registry, with its labels in exposition format.
func seriesName(family string, labels []Label) string {
	if len(labels) == 0 {
		return family
	}
	var name strings.Builder
	name.WriteString(family)
	for i, label := range labels {
		if i == 0 {
			name.WriteByte('{')
		} else {
			name.WriteByte(',')
		}
		name.WriteString(label.Name)
		name.WriteByte('=')
		name.WriteString(strconv.Quote(label.Value))
	}
	name.WriteByte('}')
	return name.String()
}
