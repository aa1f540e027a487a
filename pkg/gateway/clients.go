package gateway

import (
	"github.com/lilacweir/lilacweir/pkg/ingress"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

// maxClientMetrics bounds the labelled metrics about clients: two ports, each with its closed connections by
// reason.
const maxClientMetrics = 64

// openPorts creates the guard of the clients, and its ports.
func (g *Gateway) openPorts() {
	memory, connections := g.settings.Gateway.ClientMemory, g.settings.Gateway.MaxConnections
	if memory == 0 {
		memory = settings.DefaultClientMemory
	}
	if connections == 0 {
		connections = min(settings.DefaultMaxConnections, ingress.ClientDescriptors(ingress.Descriptors()))
	}
	g.guard = ingress.New(ingress.Options{
		Memory: memory, MaxMemory: max(memory, 2*g.settings.Gateway.MaxBody), Now: g.clock.Now, Log: g.log,
		Series: telemetry.NewSeries(g.registry, maxClientMetrics),
	})
	g.callersPort = g.guard.Port("callers", connections)
	g.gatewayPort = g.guard.Port("peers", connections)
}
