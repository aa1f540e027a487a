package dispatch

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Metrics counts what becomes of requests.
type Metrics struct {
	registry metrics.Registry
	// Requests counts accepted requests, Active those in hand, accepted or not.
	Requests, Active metrics.Counter
	// Refused counts requests that did not end in a whole answer.
	Refused metrics.Counter
	// Forwarded counts attempts that went to another failure domain, Retried
	// attempts after a failed one, Resumed those within a stream, Mismatched the
	// answers that were dropped because they belong to another request.
	Forwarded, Retried, Resumed, Mismatched metrics.Counter
	latency                                 metrics.Timer
}

// NewMetrics registers the metrics.
func NewMetrics(registry metrics.Registry) *Metrics {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, registry) }
	return &Metrics{
		registry:   registry,
		Requests:   counter("requests.all"),
		Active:     counter("requests.active"),
		Refused:    counter("requests.refused"),
		Forwarded:  counter("requests.forwarded"),
		Retried:    counter("attempts.retried"),
		Resumed:    counter("attempts.resumed"),
		Mismatched: counter("answers.crossed"),
		latency:    metrics.NewRegisteredTimer("requests.duration-ns", registry),
	}
}

func (m *Metrics) end(took time.Duration, reason outcome.Reason) {
	m.latency.Update(took)
	if reason != "" {
		m.Refuse(reason)
	}
}

// Refuse counts a refusal by its reason.
func (m *Metrics) Refuse(reason outcome.Reason) {
	m.Refused.Inc(1)
	metrics.GetOrRegisterCounter("refusals."+string(reason), m.registry).Inc(1)
}
