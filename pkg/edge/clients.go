package edge

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/ingress"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Parts of the process that its clients may hold, as divisors of its memory.
const (
	// clientMemoryPart gives the memory for heads and bodies, and maxClientMemoryPart that to which a large
	// declared body may raise it.
	clientMemoryPart    = 6
	maxClientMemoryPart = 3
	// connectionMemoryPart gives the memory for connections, each of which takes connectionMemory bytes.
	connectionMemoryPart = 8
	connectionMemory     = 24 << 10
)

// Bounds of the number of callers' connections.
const (
	// defaultConnections applies if neither memory nor descriptors are limited.
	defaultConnections = 8192
	// minConnections bounds the connections of any port from below.
	minConnections = 16
)

// ports are the listeners that clients reach over HTTP. The number of connections of each is a part of that of the
// callers' port.
type ports struct {
	callers, peers, directory, health, metrics *ingress.Port
}

// openPorts creates the guard of the clients, and its ports.
func (e *Edge) openPorts() {
	limits := &e.settings.Limits
	memory, most := limits.clientMemory()
	e.guard = ingress.New(ingress.Options{
		Memory: memory, MaxMemory: most, Limits: e.clientLimits, Now: e.clock.Now, Log: e.log, Series: e.counts.series,
	})
	connections := limits.clientConnections()
	port := func(name string, divisor int) *ingress.Port {
		return e.guard.Port(name, max(minConnections, connections/divisor))
	}
	e.ports = ports{
		callers: port("callers", 1), peers: port("peers", 2), directory: port("directory", 4),
		health: port("health", 20), metrics: port("metrics", 20),
	}
}

// DirectoryPort returns the port of the directory's listener.
func (e *Edge) DirectoryPort() *ingress.Port { return e.ports.directory }

// HealthPort returns the port of the readiness endpoint's listener.
func (e *Edge) HealthPort() *ingress.Port { return e.ports.health }

// clientLimits returns the declared time limits of clients, zero where none is declared.
func (e *Edge) clientLimits() ingress.Limits {
	config := e.board.Routes.Load()
	if config == nil {
		return ingress.Limits{}
	}
	return ingress.Limits{Head: config.Limits.HeaderTimeout, Idle: config.Limits.IdleTimeout}
}

// clientMemory returns the bytes that clients may hold, and those to which a large declared body may raise them.
func (l *Limits) clientMemory() (usual, most int64) {
	process := int64(l.MemoryMB) << 20
	switch {
	case l.ClientMemoryMB > 0:
		usual = int64(l.ClientMemoryMB) << 20
	case process > 0:
		usual = process / clientMemoryPart
	default:
		usual = ingress.DefaultMemory
	}
	if process > 0 {
		return usual, process / maxClientMemoryPart
	}
	return usual, 2 * usual
}

// clientConnections returns the largest number of callers' connections.
func (l *Limits) clientConnections() int {
	if l.ClientConnections > 0 {
		return l.ClientConnections
	}
	connections := defaultConnections
	if l.MemoryMB > 0 {
		connections = min(connections, l.MemoryMB<<20/connectionMemoryPart/connectionMemory)
	}
	descriptors := l.Descriptors
	if descriptors == 0 {
		descriptors = ingress.Descriptors()
	}
	return min(connections, ingress.ClientDescriptors(descriptors))
}

// forwardedFields is the size in bytes of the header fields that a forwarding instance may add.
const forwardedFields = 4 << 10

// checkHead refuses a request whose head exceeds the declared limit.
func (j *job) checkHead() *outcome.Refusal {
	limit := j.config.Limits.HeaderBytes
	if limit == 0 {
		return nil
	}
	if j.forwarded {
		limit += forwardedFields
	}
	if len(j.request.RequestURI)+header.Size(j.request.Header) <= limit {
		return nil
	}
	return outcome.Refuse(http.StatusRequestHeaderFieldsTooLarge, outcome.ReasonTooLarge, 0, "the head is too large")
}

// Times in which callers and other clients must have taken an answer.
const (
	// refusalWriteTime is that for a refusal.
	refusalWriteTime = 2 * time.Second
	// endpointTime is that for a request at one of the endpoints without upstreams, and its answer.
	endpointTime = 5 * time.Second
)

// LimitEndpoint sets the limits of a server whose handler answers by itself and reads no bodies.
func LimitEndpoint(server *http.Server) {
	server.ReadTimeout = endpointTime
	server.WriteTimeout = endpointTime
	server.IdleTimeout = ingress.DefaultIdleTime
	server.MaxHeaderBytes = maxEndpointHeader
}
