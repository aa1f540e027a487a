package board

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
)

// Board is the blackboard of one process.
type Board struct {
	// Config is the accepted configuration that is in force here. Only the
	// configuration controller writes it; its revision never goes down.
	Config Section[config.Head]
	// Members is the own failure domain's view of its instances.
	Members Section[Members]
	// Upstreams is the last known load of the own domain's upstreams.
	Upstreams Section[Upstreams]
	// Domains holds the digests of the other failure domains.
	Domains Section[Domains]
	// Platform is the state of the platform's services.
	Platform Section[PlatformHealth]
}

// InstanceState is an instance's state as known to the domain.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
	InstanceSilent  InstanceState = "silent"
	InstanceLeft    InstanceState = "left"
)

// Members is the membership of one failure domain.
type Members struct {
	// Self is this instance's name.
	Self string
	// Instances is sorted by name and includes Self.
	Instances []Instance
}

// Instance is one entry instance: a gateway and an agent.
type Instance struct {
	Name   string
	Domain string
	Region string
	// Incarnation identifies a start of the instance's gateway, and grows from start
	// to start (nanoseconds of its clock); zero if it has no gateway.
	Incarnation uint64
	State       InstanceState
	Addresses   Addresses
	// Revision is the lower of its agent's and its gateway's configuration.
	Revision config.Revision
	// LastHeard is the time of the last message, by this process's clock.
	LastHeard time.Time
	// Load is the last reported load of the instance's gateway.
	Load GatewayLoad
}

// Serves reports whether callers and peers may be sent to the instance: it is live,
// its gateway runs and has a configuration.
func (i *Instance) Serves() bool {
	return i.State == InstanceLive && i.Incarnation != 0 && i.Revision != 0
}

// Addresses of an instance, each an IP number and a port.
type Addresses struct {
	// Callers is the address for callers' HTTP requests.
	Callers string
	// Peers is the address for HTTP requests forwarded by other gateways.
	Peers string
	// Control is the gateway's net/rpc address.
	Control string
	// Mesh is the agent's net/rpc address.
	Mesh string
	// Operators is the agent's HTTP address for operators.
	Operators string
}

// GatewayLoad is the current work of one gateway.
type GatewayLoad struct {
	// InFlight counts requests currently at upstreams, by upstream name.
	InFlight map[string]int
	// Waiting counts queued requests by model or service name.
	Waiting map[string]int
	// Requests and Forwarded count requests since the gateway started: all, and those
	// sent to another region.
	Requests, Forwarded uint64
	// Refused counts refusals since the gateway started.
	Refused uint64
	// Successor is the instance to which a leaving gateway handed over its
	// idempotency keys; empty otherwise.
	Successor string
	// Demand is the demand of callers with limits at the gateway, sorted by caller;
	// only the largest demands are published.
	Demand []CallerDemand
}

// CallerDemand is one caller's demand: requests admitted and refused.
type CallerDemand struct {
	Caller string
	// Demand is in thousandths of the caller's limit; with several limits, of the one
	// that it uses most.
	Demand int
}

// UpstreamState is an upstream's state as known to the domain.
type UpstreamState string

// States of an upstream. Leaving from any source overrides an older live mark.
const (
	UpstreamLive    UpstreamState = "live"
	UpstreamLeaving UpstreamState = "leaving"
	UpstreamSilent  UpstreamState = "silent"
)

// Upstreams holds the loads of the own domain's upstreams.
type Upstreams struct {
	// ByName is keyed by the upstream's name.
	ByName map[string]UpstreamLoad
}

// UpstreamLoad is an upstream's last report.
type UpstreamLoad struct {
	Name  string
	State UpstreamState
	// Marked is true if State is leaving because of a mark by the platform's list or
	// a gateway, while the upstream's own report is live.
	Marked bool
	// Running and Queued count requests at the upstream.
	Running, Queued int
	// DecodeRate is in tokens per second for one stream at the current batch size;
	// zero if the upstream did not report it.
	DecodeRate float64
	// PrefillRate is in prompt tokens per second; zero if not reported.
	PrefillRate float64
	// Version is the model version that is loaded.
	Version string
	// ReportedAt is when the report was made, by this process's clock.
	ReportedAt time.Time
	// Prefixes holds hashes of cached prompt prefixes. They are hints: delayed and
	// incomplete.
	Prefixes []uint64
}

// DomainSilentAfter is the age of its digest at which a failure domain is reported
// as silent, wherever that is shown.
const DomainSilentAfter = 5 * time.Second

// Domains holds the digests of the other failure domains.
type Domains struct {
	// Remote is sorted by domain name.
	Remote []DomainDigest
}

// DomainDigest is the summary of a few hundred bytes that one failure domain sends
// to the others.
type DomainDigest struct {
	Domain string
	Region string
	// Sequence orders the digests of one domain (Unix nanoseconds of the sender's start, and the time
	// since).
	Sequence uint64
	// HeardAt is the time at which this process's domain received it, by this
	// process's clock.
	HeardAt time.Time
	// Nodes and Silent count entry instances; Silent is part of Nodes.
	Nodes, Silent int
	// Revisions counts nodes by the configuration in force there, newest first.
	Revisions []RevisionCount
	// Pools describes each model's and service's capacity there.
	Pools []PoolDigest
	// Entries holds the live instances' addresses.
	Entries []Instance
	// Platform is whether the domain reaches the platform's key-value service.
	Platform bool
	// Demand is the total demand of callers with limits at the domain's gateways,
	// sorted by caller; only the largest demands are published.
	Demand []CallerDemand
}

// RevisionCount counts nodes at one revision.
type RevisionCount struct {
	Revision config.Revision
	Nodes    int
}

// PoolDigest is the capacity of one model version or service in a domain.
type PoolDigest struct {
	// Serves is the model or service.
	Serves string
	// Version is the model version; empty for services.
	Version string
	// Slots counts the requests that may run at once, Busy those that run, Waiting
	// those in queues.
	Slots, Busy, Waiting int
	// Spare is the number of requests that the domain offers to accept from all
	// others together, beyond its own reserve.
	Spare int
	// DecodeRate and PrefillRate are the pool's mean rates in tokens per second.
	DecodeRate, PrefillRate float64
}

// PlatformHealth is the state of the platform's services.
type PlatformHealth struct {
	// KeyValue is whether the last call to the key-value service succeeded.
	KeyValue bool
	// Since is the time at which that last changed.
	Since time.Time
}
