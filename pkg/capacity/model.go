package capacity

import (
	"github.com/lilacweir/lilacweir/pkg/agent"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// Term is one part of the control traffic of a role.
type Term struct {
	// Role is the role that has the traffic, What the mechanism that causes it.
	Role, What string
	// Events is the number of events a second, Sent and Received are bytes a second.
	Events, Sent, Received float64
	// Source names the series and the interval that it is calculated from.
	Source string
}

// Roles of a node's agent.
const (
	RoleMember  = "member"
	RoleDigests = "digest owner"
	RolePolls   = "poll owner"
	RoleWatcher = "watcher"
)

// Shares are the fractions of the domain's shared work that one node does; 1 is all of it.
type Shares struct {
	// Digests is the share of remote domains, Polls that of upstreams, Watches that of
	// the watches of the head key.
	Digests, Polls, Watches float64
}

// MeanShares returns the shares of an even split.
func MeanShares(t Target) Shares {
	nodes := t.NodesPerDomain()
	return Shares{Digests: 1 / nodes, Polls: 1 / nodes, Watches: spread.Watchers / nodes}
}

// Links estimates the traffic of one node's agent with other nodes, upstreams and the
// platform at the peak, when every load has changed since its last report.
func Links(t Target, m *Measured, shares Shares) ([]Term, error) {
	s := &solver{measured: m}
	terms := []Term{
		s.heartbeats(t), s.reportsReceived(t, shares), s.prefixesReceived(t, shares), s.digestsReceived(t, shares), s.deltas(t),
		s.digestsFetched(t, shares), s.digestsServed(t), s.digestsSent(t, shares),
		s.polls(t, shares), s.reportsSent(t, shares), s.prefixesSent(t, shares), s.watches(t, shares),
	}
	return terms, s.err
}

func (s *solver) heartbeats(t Target) Term {
	peers := t.NodesPerDomain() - 1
	rate := peers / agent.BeatInterval.Seconds()
	return Term{
		Role: RoleMember, What: "heartbeats with loads of the gateways", Events: rate,
		Sent:     rate * s.slope("Beat", "nodes", "sent-B/op"),
		Received: rate * s.slope("Beat", "nodes", "received-B/op"),
		Source:   "Beat/nodes, BeatInterval",
	}
}

// reportsReceived are the reports of the upstreams that other nodes poll.
func (s *solver) reportsReceived(t Target, shares Shares) Term {
	rate := t.ServersPerDomain() * (1 - shares.Polls) / agent.PollInterval.Seconds()
	return Term{
		Role: RoleMember, What: "reports of upstreams, from their poll owners", Events: rate,
		Received: rate * s.slope("UpstreamShare", "upstreams", "sent-B/op"),
		Source:   "UpstreamShare/upstreams, PollInterval",
	}
}

// prefixBytes returns the bytes that new cached prefixes add to a report.
func (s *solver) prefixBytes() float64 {
	return s.slope("PrefixShare", "upstreams", "sent-B/op") - s.slope("UpstreamShare", "upstreams", "sent-B/op")
}

func (s *solver) prefixesReceived(t Target, shares Shares) Term {
	rate := t.ServersPerDomain() * (1 - shares.Polls) / agent.PrefixInterval.Seconds()
	return Term{
		Role: RoleMember, What: "cached prefixes of engines, from their poll owners", Events: rate,
		Received: rate * s.prefixBytes(),
		Source:   "PrefixShare less UpstreamShare, PrefixInterval",
	}
}

func (s *solver) prefixesSent(t Target, shares Shares) Term {
	rate := t.ServersPerDomain() * shares.Polls / agent.PrefixInterval.Seconds()
	return Term{
		Role: RolePolls, What: "cached prefixes of polled engines, to each node of the domain", Events: rate,
		Sent:   rate * (t.NodesPerDomain() - 1) * s.prefixBytes(),
		Source: "PrefixShare less UpstreamShare, nodes in a domain",
	}
}

func (s *solver) digestsReceived(t Target, shares Shares) Term {
	rate := (t.Domains - 1) * (1 - shares.Digests) / digestInterval(t)
	return Term{
		Role: RoleMember, What: "digests of other domains, from their owners", Events: rate,
		Received: rate * s.slope("DigestShare", "domains", "sent-B/op"),
		Source:   "DigestShare/domains, DigestPerDomain",
	}
}

// deltas are accepted changes. Each is received once and forwarded by the watchers.
func (s *solver) deltas(t Target) Term {
	bytes := s.at("Apply", "upstreams", "change-bytes", t.Servers)
	return Term{
		Role: RoleMember, What: "accepted changes", Events: t.Changes(),
		Sent: t.Changes() * bytes, Received: t.Changes() * bytes,
		Source: "Apply/upstreams change-bytes, changes a day",
	}
}

// digestInterval returns the time in seconds between two fetches from one domain.
func digestInterval(t Target) float64 {
	return max(agent.DigestInterval.Seconds(), (t.Domains-1)*agent.DigestPerDomain.Seconds())
}

func (s *solver) digestsFetched(t Target, shares Shares) Term {
	rate := (t.Domains - 1) * shares.Digests / digestInterval(t)
	return Term{
		Role: RoleDigests, What: "fetches of other domains' digests", Events: rate,
		Sent:     rate * s.slope("DigestFetch", "domains", "sent-B/op"),
		Received: rate * s.slope("DigestFetch", "domains", "received-B/op"),
		Source:   "DigestFetch/domains, DigestPerDomain",
	}
}

// digestsServed are the fetches by other domains, spread evenly over the nodes.
func (s *solver) digestsServed(t Target) Term {
	rate := (t.Domains - 1) / digestInterval(t) / t.NodesPerDomain()
	return Term{
		Role: RoleMember, What: "answers to other domains' fetches", Events: rate,
		Sent:     rate * s.slope("DigestFetch", "domains", "received-B/op"),
		Received: rate * s.slope("DigestFetch", "domains", "sent-B/op"),
		Source:   "DigestFetch/domains, DigestPerDomain",
	}
}

func (s *solver) digestsSent(t Target, shares Shares) Term {
	rate := (t.Domains - 1) * shares.Digests / digestInterval(t)
	return Term{
		Role: RoleDigests, What: "fetched digests, to each node of the domain", Events: rate,
		Sent:   rate * (t.NodesPerDomain() - 1) * s.slope("DigestShare", "domains", "sent-B/op"),
		Source: "DigestShare/domains, nodes in a domain",
	}
}

func (s *solver) polls(t Target, shares Shares) Term {
	rate := t.ServersPerDomain() * shares.Polls / agent.PollInterval.Seconds()
	return Term{
		Role: RolePolls, What: "polls of upstreams", Events: rate,
		Sent:     rate * s.slope("Poll", "upstreams", "sent-B/op"),
		Received: rate * s.slope("Poll", "upstreams", "received-B/op"),
		Source:   "Poll/upstreams, PollInterval",
	}
}

func (s *solver) reportsSent(t Target, shares Shares) Term {
	rate := t.ServersPerDomain() * shares.Polls / agent.PollInterval.Seconds()
	return Term{
		Role: RolePolls, What: "reports of polled upstreams, to each node of the domain", Events: rate,
		Sent:   rate * (t.NodesPerDomain() - 1) * s.slope("UpstreamShare", "upstreams", "sent-B/op"),
		Source: "UpstreamShare/upstreams, nodes in a domain",
	}
}

// jsonInflation is the growth factor of a value by base64 in the key-value service's JSON.
const jsonInflation = 4.0 / 3

// watches are the heads received by the watch, one for each change.
func (s *solver) watches(t Target, shares Shares) Term {
	watching := min(shares.Watches, 1)
	bytes := jsonInflation * s.headBytes(t)
	return Term{
		Role: RoleWatcher, What: "heads from the key-value service", Events: watching * t.Changes(),
		Received: watching * t.Changes() * bytes,
		Source:   "EncodeHead head-bytes, changes a day",
	}
}

// headBytes returns the size of the stored head for the target.
func (s *solver) headBytes(t Target) float64 {
	upstreams := s.line("EncodeHead", "upstreams", "head-bytes")
	callers := s.line("EncodeHead", "callers", "head-bytes")
	return upstreams.At(t.Servers) + callers.Slope*(t.Organisations-benchCallers)
}

// benchCallers is the number of callers that the benchmarks over upstreams declare.
const benchCallers = 60

// Calls is one part of the load on the key-value service.
type Calls struct {
	// What is the mechanism.
	What string
	CallRates
	// Source names what it is calculated from.
	Source string
}

// fixedDomains is the number of domains in BenchmarkFixedDomains.
const fixedDomains = 3

// KeyValueCalls estimates the calls of the whole fleet without failures.
func KeyValueCalls(t Target, m *Measured) ([]Calls, error) {
	s := &solver{measured: m}
	calls := []Calls{
		{
			What: "watches of the head key and leases of the order-givers, nothing changing",
			CallRates: CallRates{
				Reads:   s.fleet(t, "idle", "kv-reads/s"),
				Writes:  s.fleet(t, "idle", "kv-writes/s"),
				Watches: s.fleet(t, "idle", "kv-watching"),
			},
			Source: "FixedDomains/idle, for each domain",
		},
		{
			What:      "accepted changes: a read and a compare-and-swap each",
			CallRates: CallRates{Reads: t.Changes(), Writes: t.Changes()},
			Source:    "changes a day",
		},
	}
	return calls, s.err
}

// fleet estimates a rate at the key-value service: that of one domain of the target's size,
// times the number of domains.
func (s *solver) fleet(t Target, state, unit string) float64 {
	nodes := fixedDomains * t.NodesPerDomain()
	return s.at("FixedDomains/"+state, "nodes", unit, nodes) / fixedDomains * t.Domains
}

// GrowthRow is the growth of the load on the key-value service along one dimension.
type GrowthRow struct {
	// With describes the dimension.
	With                   string
	Reads, Writes, Watches Line
}

// Growth returns the lines fitted to the idle deployments.
func Growth(_ Target, m *Measured) ([]GrowthRow, error) {
	s := &solver{measured: m}
	row := func(with, benchmark, dimension string) GrowthRow {
		return GrowthRow{
			With:    with,
			Reads:   s.line(benchmark, dimension, "kv-reads/s"),
			Writes:  s.line(benchmark, dimension, "kv-writes/s"),
			Watches: s.line(benchmark, dimension, "kv-watching"),
		}
	}
	rows := []GrowthRow{
		row("nodes, always three domains", "FixedDomains/idle", "nodes"),
		row("domains, one node each", "Domains/idle", "domains"),
	}
	return rows, s.err
}

// Process is the resource usage of one process of a node, from measured processes.
type Process struct {
	// State is the state of the measured deployment.
	State string
	// CPU is percent of a core, Memory bytes.
	CPU, Memory float64
}

// Agents estimates an agent's processor time and memory in each measured state, from the
// line over the nodes of a failure domain with 40 remote domains. The peak adds the
// target's rate of requests.
func Agents(t Target, m *Measured) ([]Process, error) {
	s := &solver{measured: m}
	var processes []Process
	for _, state := range []string{"idle", "changes", "traffic"} {
		processes = append(processes, Process{
			State:  state,
			CPU:    s.agentUsage(t, state, "agent-cpu-%"),
			Memory: s.agentUsage(t, state, "agent-MB") * megabyte,
		})
	}
	peak := processes[len(processes)-1]
	addedRequests := t.Requests/t.Nodes - measuredRequests
	peak.State = "peak, worked out from traffic"
	peak.CPU += addedRequests * s.slope("Requests", "requests", "agent-cpu-%")
	peak.Memory += addedRequests * s.slope("Requests", "requests", "agent-MB") * megabyte
	start := Process{State: "start", Memory: s.agentUsage(t, "start", "agent-peak-MB") * megabyte}
	return append(processes, peak, start), s.err
}

const (
	megabyte = 1e6
	// measuredRequests is the requests a second of a node in OneOf41/traffic.
	measuredRequests = 2
)

// agentUsage evaluates the line of the domain with 40 remote domains. The increase under
// traffic was measured in a domain without remote ones.
func (s *solver) agentUsage(t Target, state, unit string) float64 {
	nodes := t.NodesPerDomain()
	if state != "traffic" {
		return s.at("OneOf41/"+state, "nodes", unit, nodes)
	}
	added := s.at("Nodes/traffic", "nodes", unit, nodes) - s.at("Nodes/idle", "nodes", unit, nodes)
	return s.at("OneOf41/idle", "nodes", unit, nodes) + added
}
