package gateway

import "github.com/rcrowley/go-metrics"

// registerGauges exposes the gateway's current counts. Each is computed when it is
// read.
func (g *Gateway) registerGauges() {
	for name, read := range map[string]func() int64{
		"config.revision":    g.revision,
		"queue.waiting":      g.waiting,
		"upstreams.inflight": g.inFlight,
		"claims.records":     func() int64 { return int64(g.claims.Records()) },
	} {
		metrics.NewRegisteredFunctionalGauge(name, g.registry, read)
	}
}

func (g *Gateway) revision() int64 {
	configuration := g.config.Load()
	if configuration == nil {
		return 0
	}
	return int64(configuration.Revision)
}

func (g *Gateway) waiting() int64 { return total(g.queue.Waiting()) }

func (g *Gateway) inFlight() int64 {
	requests := g.tracker.Snapshot()
	return total(requests)
}

func total(counts map[string]int) int64 {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return int64(sum)
}
