package dispatch

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Metrics counts requests and attempts by result.
type Metrics struct {
	registry metrics.Registry
	// Requests counts accepted requests, Active those in progress, accepted or not.
	Requests, Active metrics.Counter
	// Refused counts requests that ended without a complete answer.
	Refused metrics.Counter
	// Forwarded counts attempts at another failure domain, Retried attempts after a
	// failed one, Resumed attempts that continue a stream, and Mismatched answers
	// dropped because they belong to another request.
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
