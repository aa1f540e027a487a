package agent

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lilacweir/lilacweir/pkg/control"
)

// calls counts the agent's outgoing calls.
type calls struct {
	keyValue, keyValueFailed   metrics.Counter
	directory, directoryFailed metrics.Counter
	list, listFailed           metrics.Counter
	beats, beatsFailed         metrics.Counter
	digests, digestsFailed     metrics.Counter
	polls, pollsFailed         metrics.Counter
	offers                     metrics.Counter
}

func (c *calls) register(registry metrics.Registry) {
	named := map[string]*metrics.Counter{
		"key-value": &c.keyValue, "key-value.failed": &c.keyValueFailed,
		"directory": &c.directory, "directory.failed": &c.directoryFailed,
		"list": &c.list, "list.failed": &c.listFailed,
		"heartbeats": &c.beats, "heartbeats.failed": &c.beatsFailed,
		"digests": &c.digests, "digests.failed": &c.digestsFailed,
		"polls": &c.polls, "polls.failed": &c.pollsFailed,
		"offers": &c.offers,
	}
	for name, counter := range named {
		*counter = metrics.NewCounter()
		_ = registry.Register("agent.calls."+name, *counter)
	}
}

// registerBytes registers gauges of the bytes on the links: to other instances, the
// platform and the upstreams, and separately to the own gateway.
func registerBytes(registry metrics.Registry, links, gateway *control.Meter) {
	gauges := map[string]func() int64{
		"links.sent": links.Sent, "links.received": links.Received,
		"gateway.sent": gateway.Sent, "gateway.received": gateway.Received,
	}
	for name, value := range gauges {
		_ = registry.Register("agent.bytes."+name, metrics.NewFunctionalGauge(value))
	}
}

// count adds one call and, when it failed, one failure.
func count(all, failed metrics.Counter, err error) {
	all.Inc(1)
	if err != nil {
		failed.Inc(1)
	}
}

// jitter returns a random time between half the bound and the bound, so that nodes
// that failed together do not retry together.
func jitter(bound time.Duration) time.Duration {
	half := bound / 2
	return half + time.Duration(rand.Int64N(int64(half)+1))
}
