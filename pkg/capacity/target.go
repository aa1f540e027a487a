package capacity

import "time"

// Target is a size of deployment and its bounds.
type Target struct {
	// Nodes are entry instances, Servers are upstreams, and Accelerators is their total
	// over all servers.
	Nodes, Servers, Accelerators float64
	Regions, Domains             float64
	// Organisations are callers.
	Organisations, Models float64
	// Requests and Tokens are rates a second at the peak.
	Requests, Tokens float64
	// ChangesPerDay are accepted changes of the configuration.
	ChangesPerDay float64
	// Restarts is the number of instances restarted or replaced in a day.
	Restarts float64
	// InForce bounds the time from a change being accepted to it being in force
	// everywhere.
	InForce time.Duration
	// Budget bounds the resources that one node uses for control.
	Budget Budget
	// KeyValue bounds the calls of the key-value service.
	KeyValue CallRates
}

// Budget is the resources that one node may use.
type Budget struct {
	// CPU is percent of a core, Memory bytes, Traffic bytes a second.
	CPU, Memory, Traffic float64
}

// CallRates are calls of the key-value service; a waiting watch counts as one.
type CallRates struct {
	// Reads and Writes are rates a second.
	Reads, Writes float64
	// Watches is the number of watches that wait at the same time.
	Watches float64
}

// UsersTarget is the size that users require.
var UsersTarget = Target{
	Nodes: 380, Servers: 1000, Accelerators: 8100, Regions: 14, Domains: 41,
	Organisations: 600, Models: 5, Requests: 10_000, Tokens: 2_100_000,
	ChangesPerDay: 3700, Restarts: 280, InForce: 6 * time.Second,
	Budget:   Budget{CPU: 1.1, Memory: 32e6, Traffic: 6000},
	KeyValue: CallRates{Reads: 2000, Writes: 300},
}

// NodesPerDomain returns the mean number of nodes of a domain.
func (t Target) NodesPerDomain() float64 { return t.Nodes / t.Domains }

// ServersPerDomain returns the mean number of servers of a domain.
func (t Target) ServersPerDomain() float64 { return t.Servers / t.Domains }

const secondsPerDay = 24 * 60 * 60

// Changes returns the accepted changes a second, as a mean over a day.
func (t Target) Changes() float64 { return t.ChangesPerDay / secondsPerDay }
