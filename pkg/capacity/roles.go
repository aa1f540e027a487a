package capacity

import (
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/agent"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// State is data that a role retains.
type State struct {
	Role, What string
	Bytes      float64
	Source     string
}

// keyedShare is the assumed share of requests with an idempotency key; no figure is known.
const keyedShare = 0.2

// StateSizes estimates the data that each role retains.
func StateSizes(t Target, m *Measured) ([]State, error) {
	s := &solver{measured: m}
	compressed := s.headBytes(t)
	uncompressed := s.at("EncodeHead", "upstreams", "json-bytes", t.Servers) +
		s.slope("EncodeHead", "callers", "json-bytes")*(t.Organisations-benchCallers)
	change := s.at("Apply", "upstreams", "change-bytes", t.Servers)
	record := s.at("RecordMemory", "records", "B/record", recordsMeasured)
	keyed := keyedShare * t.Requests / t.Nodes * config.DefaultKeyTTL.Seconds()
	digests := (t.Domains - 1) * s.slope("DigestShare", "domains", "sent-B/op")
	reports := t.ServersPerDomain() * s.slope("UpstreamShare", "upstreams", "sent-B/op")
	state := []State{
		{"key-value service", "head, compressed", compressed, "EncodeHead head-bytes"},
		{"key-value service", "audit trail, a year, not compressed", change * t.ChangesPerDay * daysPerYear, "Apply change-bytes, changes a day"},
		{"agent and gateway", "head, as JSON", uncompressed, "EncodeHead json-bytes"},
		{"agent and gateway", "digests of the other domains, as sent", digests, "DigestShare"},
		{"agent and gateway", "reports of the domain's upstreams, as sent", reports, "UpstreamShare"},
		{"gateway", fmt.Sprintf("records of idempotency keys, %.0f of them, short answers", keyed), keyed * record, "RecordMemory, a fifth of requests with a key"},
	}
	return state, s.err
}

const (
	daysPerYear = 365
	// recordsMeasured is the number of records at which the memory of one is evaluated.
	recordsMeasured = 10_000
)

// GatewayLoad is the load of one gateway at the peak.
type GatewayLoad struct {
	Requests, Tokens, InFlight float64
	// CPU is percent of a core, Memory bytes.
	CPU, Memory float64
	// Pick, Queue and Compile are durations of single operations in nanoseconds.
	Pick, Queue, Compile float64
}

// Gateway estimates the load of one gateway.
func Gateway(t Target, m *Measured) (GatewayLoad, error) {
	s := &solver{measured: m}
	requests := t.Requests / t.Nodes
	return GatewayLoad{
		Requests: requests,
		Tokens:   t.Tokens / t.Nodes,
		InFlight: requests * (firstToken + t.Tokens/t.Requests*betweenTokens),
		CPU:      s.at("Requests", "requests", "gateway-cpu-%", requests),
		Memory:   s.at("Requests", "requests", "gateway-MB", requests) * megabyte,
		Pick:     s.at("Pick", "upstreams", "ns/op", t.ServersPerDomain()),
		Queue:    s.at("Queue", "callers", "ns/request", t.Organisations),
		Compile:  s.at("Compile", "upstreams", "ns/op", t.ServersPerDomain()) + s.slope("CompileRemote", "domains", "ns/op")*(t.Domains-1),
	}, s.err
}

// Required times to the first token and between tokens, in seconds.
const (
	firstToken    = 1.8
	betweenTokens = 0.063
)

// InForceTime is the time from a change being accepted to it being in force.
type InForceTime struct {
	Along string
	Size  float64
	Took  time.Duration
}

// InForce estimates the time by the number of nodes and by the number of domains.
func InForce(t Target, m *Measured) ([]InForceTime, error) {
	s := &solver{measured: m}
	took := func(benchmark, dimension string, size float64) time.Duration {
		return time.Duration(s.at(benchmark, dimension, "in-force-max-ms", size) * float64(time.Millisecond))
	}
	times := []InForceTime{
		{"nodes of a domain", t.NodesPerDomain(), took("Nodes/changes", "nodes", t.NodesPerDomain())},
		{"domains", t.Domains, took("Domains/changes", "domains", t.Domains)},
		{"nodes of a domain that sees 40 others", t.NodesPerDomain(), took("OneOf41/changes", "nodes", t.NodesPerDomain())},
	}
	return times, s.err
}

// FailureFigure is one figure of one failure.
type FailureFigure struct{ Failure, What, Figure, Source string }

// outageTime is the assumed duration of an outage of the key-value service.
const outageTime = time.Hour

// FailureFigures estimates the effects of the stated failures.
func FailureFigures(t Target, m *Measured) ([]FailureFigure, error) {
	s := &solver{measured: m}
	attempts := s.fleet(t, "outage", "kv-tries/s")
	firstSecond := s.fleet(t, "outage", "kv-first-second")
	firstSeconds := s.fleet(t, "outage", "kv-first-5s")
	watchers := spread.Watchers * t.Domains
	change := s.at("Apply", "upstreams", "change-bytes", t.Servers)
	head := jsonInflation * s.headBytes(t)
	const burst, burstSeconds = 100.0, 60.0
	rate := burst / burstSeconds
	changeCPU := s.perChangeCPU(t)
	figures := []FailureFigure{
		{"service down an hour", "calls a second while it is down", fmt.Sprintf("%.0f", attempts), "FixedDomains/outage kv-tries/s"},
		{"service down an hour", "calls in the first second after", fmt.Sprintf("%.0f", firstSecond), "FixedDomains/outage kv-first-second"},
		{"service down an hour", "calls in the first 5 s after", fmt.Sprintf("%.0f", firstSeconds), "FixedDomains/outage kv-first-5s"},
		{"service down an hour", "changes that could not be made", fmt.Sprintf("%.0f", t.Changes()*outageTime.Seconds()), "changes a day"},
		{"100 changes in a minute", "calls of the service a second", fmt.Sprintf("%.1f reads, %.1f writes", rate, rate), "a read and a compare-and-swap each"},
		{"100 changes in a minute", "B/s to a plain member", fmt.Sprintf("%.0f", rate*change), "Apply change-bytes"},
		{"100 changes in a minute", "B/s to a watcher", fmt.Sprintf("%.0f", rate*(change+head)), "EncodeHead head-bytes"},
		{"100 changes in a minute", "B/s out of the service, all watchers", size(rate * head * watchers), "EncodeHead head-bytes, two watchers a domain"},
		{"100 changes in a minute", "CPU of an agent, % of a core", fmt.Sprintf("%.1f", rate*changeCPU*percent), "OneOf41/changes less OneOf41/idle"},
		{"280 restarts in a day", "restarts a second, mean", fmt.Sprintf("%.4f", t.Restarts/secondsPerDay), "restarts a day"},
		{"40 restarts at once", "time until all have the configuration, s", fmt.Sprintf("%.1f", s.at("Restarts", "restarts", "ready-ms", simultaneousRestarts)/millis), "Restarts ready-ms"},
		{"40 restarts at once", "further calls of the service in 10 s", fmt.Sprintf("%.0f", s.at("Restarts", "restarts", "kv-extra-calls", simultaneousRestarts)), "Restarts kv-extra-calls"},
		{"40 restarts at once", "heads that peers send whole", size(simultaneousRestarts * s.headBytes(t)), "EncodeHead head-bytes"},
		{"a failure domain lost", "fetches that fail, a second, whole fleet", fmt.Sprintf("%.0f", (t.Domains-1)/(agent.DigestRetryMax.Seconds()*jitterMean)), "DigestRetryMax with jitter, one owner a domain"},
		{"a failure domain lost", "CPU of an agent, % of a core, more for each lost domain", fmt.Sprintf("%.3f", s.slope("Lost", "lost", "agent-cpu-%")), "Lost, 14 domains"},
		{"a failure domain lost", "B/s sent by an agent, more for each lost domain", fmt.Sprintf("%.0f", s.slope("Lost", "lost", "sent-B/s")), "Lost, 14 domains"},
		{"two regions cut off from each other", "fetches that fail, a second, both sides", fmt.Sprintf("%.1f", s.partitionFetches(t)), "DigestRetryMax with jitter, domains in a region"},
	}
	return figures, s.err
}

const (
	percent = 100
	// simultaneousRestarts is the number of restarts at the same time.
	simultaneousRestarts = 40
	// jitterMean is the mean of a jittered delay, which lies between half and
	// all of its bound, as a fraction of the bound.
	jitterMean = 0.75
)

// perChangeCPU returns the core seconds that an agent uses for one change.
func (s *solver) perChangeCPU(t Target) float64 {
	nodes := t.NodesPerDomain()
	busy := s.at("OneOf41/changes", "nodes", "agent-cpu-%", nodes) - s.at("OneOf41/idle", "nodes", "agent-cpu-%", nodes)
	rate := s.at("OneOf41/changes", "nodes", "changes/s", nodes)
	return busy / percent / rate
}

// partitionFetches returns the failing fetches a second between two partitioned regions.
func (s *solver) partitionFetches(t Target) float64 {
	domains := t.Domains / t.Regions
	return 2 * domains * domains / (agent.DigestRetryMax.Seconds() * jitterMean)
}
