package capacity

import (
	"context"
	"fmt"
	"math"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/standin/kv"
)

// Durations of the phases of a measurement.
const (
	settleTime  = 8 * time.Second
	measureTime = 12 * time.Second
	// changeInterval is the time between changes. The rate is about ten times the target's
	// mean of one in 23 s, so that their cost stands out.
	changeInterval = 2 * time.Second
	// requestsPerNode is the requests a second and node in layouts with many upstreams,
	// fewRequestsPerNode in those with few. An answer takes 13 s.
	requestsPerNode    = 2
	fewRequestsPerNode = 0.5
	// rampUpTime is the time after which as many answers end as begin.
	rampUpTime = 15 * time.Second
	// outageTime is the time that the key-value service is down before measuring.
	outageTime = 10 * time.Second
	// recoveryTime is the time after its recovery in which its calls are counted.
	recoveryTime = 5 * time.Second
)

// BenchmarkNodes measures the nodes of one failure domain with 25 upstreams.
func BenchmarkNodes(b *testing.B) {
	for _, nodes := range []int{1, 3, 5, 9} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			measure(b, layout{domains: 1, instances: nodes, enginesPerModel: 5, rate: requestsPerNode})
		})
	}
}

// BenchmarkDomains measures failure domains with one node and 5 upstreams each.
func BenchmarkDomains(b *testing.B) {
	for _, domains := range []int{1, 3, 8, 14, 41} {
		b.Run(fmt.Sprintf("domains=%d", domains), func(b *testing.B) {
			measure(b, layout{domains: domains, instances: 1, enginesPerModel: 1, rate: fewRequestsPerNode})
		})
	}
}

// BenchmarkFixedDomains measures a growing number of nodes in three failure domains, for
// the load on the key-value service by a fleet that grows inside its domains.
func BenchmarkFixedDomains(b *testing.B) {
	for _, nodes := range []int{6, 9, 18, 27} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			measure(b, layout{domains: 3, instances: nodes / 3, enginesPerModel: 1, rate: fewRequestsPerNode})
		})
	}
}

// BenchmarkOneOf41 measures the nodes of one failure domain with 25 upstreams and 40
// remote domains of one node and 5 upstreams each: the target as seen from one node.
func BenchmarkOneOf41(b *testing.B) {
	for _, nodes := range []int{3, 9} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			measure(b, layout{domains: 41, instances: 1, firstDomainInstances: nodes, enginesPerModel: 5, rate: requestsPerNode})
		})
	}
}

// BenchmarkRequests measures one node at several rates of requests. Each request streams
// 200 tokens at 63 ms.
func BenchmarkRequests(b *testing.B) {
	for _, requests := range []float64{2, 8, 26} {
		b.Run(fmt.Sprintf("requests=%g", requests), func(b *testing.B) {
			d := deploy(b, layout{domains: 1, instances: 1, enginesPerModel: 5, rate: requests})
			d.underTraffic(b)
		})
	}
}

func measure(b *testing.B, l layout) {
	d := deploy(b, l)
	b.Run("start", func(b *testing.B) { d.reportStart(b) })
	b.Run("idle", func(b *testing.B) { d.report(b, func() { time.Sleep(measureTime) }) })
	b.Run("changes", func(b *testing.B) {
		startedAt := time.Now()
		var made int
		d.report(b, func() { made = d.change() })
		b.ReportMetric(float64(made)/time.Since(startedAt).Seconds(), "changes/s")
		d.reportInForce(b)
	})
	b.Run("traffic", func(b *testing.B) { d.underTraffic(b) })
	b.Run("outage", func(b *testing.B) { d.outage(b) })
}

// report measures the deployment while run executes.
func (d *deployment) report(b *testing.B, run func()) {
	d.b = b
	before := d.read()
	run()
	after := d.read()
	b.ReportMetric(0, "ns/op")
	report(b, before, after)
}

// reportStart reports the cost of an agent's start, until the first accepted configuration
// is in force everywhere and settleTime has passed.
func (d *deployment) reportStart(b *testing.B) {
	d.b = b
	time.Sleep(settleTime)
	var cpu, peak, highest float64
	for _, agent := range d.agents[:d.measuredNodes()] {
		directory := fmt.Sprintf("/proc/%d", agent.command.Process.Pid)
		cpu += d.processorTime(directory).Seconds()
		high := d.peak(directory)
		peak += high
		highest = math.Max(highest, high)
	}
	count := float64(d.measuredNodes())
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(cpu/count, "agent-cpu-s")
	b.ReportMetric(peak/count/1e6, "agent-peak-MB")
	b.ReportMetric(highest/1e6, "agent-peak-MB-max")
}

// change makes changes at a steady rate, through the agents in turn.
func (d *deployment) change() (made int) {
	end := time.Now().Add(measureTime)
	for n := 0; time.Now().Before(end); n++ {
		made++
		due := time.Now().Add(changeInterval)
		answer, err := d.post(n%len(d.agents), "/v1/command", "text/plain", "drain "+undeployedUpstream(n))
		check(d.b, err)
		if !strings.HasPrefix(answer, "ok") && !strings.HasPrefix(answer, "accepted") {
			d.b.Fatalf("change %d: %s", n, answer)
		}
		time.Sleep(time.Until(due))
	}
	return made
}

// reportInForce reports the time of the changes from the first agent that received them to
// being in force in the last gateway.
func (d *deployment) reportInForce(b *testing.B) {
	time.Sleep(settleTime)
	accepted, inForce := d.acceptedTimes(), d.inForceTimes()
	var all []float64
	for revision, at := range accepted {
		if revision == 1 {
			continue // Agents were still starting.
		}
		last := at
		for _, one := range inForce[revision] {
			if one.After(last) {
				last = one
			}
		}
		if len(inForce[revision]) < len(d.gateways) && !superseded(inForce, revision, len(d.gateways)) {
			b.Fatalf("revision %d is in force at %d of %d", revision, len(inForce[revision]), len(d.gateways))
		}
		all = append(all, float64(last.Sub(at).Milliseconds()))
	}
	sort.Float64s(all)
	b.ReportMetric(all[len(all)/2], "in-force-ms")
	b.ReportMetric(all[len(all)-1], "in-force-max-ms")
}

// superseded returns whether a later revision is in force everywhere, as a node may skip
// revisions.
func superseded(inForce map[uint64][]time.Time, revision uint64, nodes int) bool {
	for later, at := range inForce {
		if later > revision && len(at) == nodes {
			return true
		}
	}
	return false
}

func (d *deployment) underTraffic(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	rate := d.layout.rate * float64(d.measuredNodes())
	run := d.traffic(rate, rampUpTime+measureTime)
	done := make(chan error, 1)
	go func() {
		_, err := run.Send(ctx)
		done <- err
	}()
	time.Sleep(rampUpTime)
	answered := run.Answered.Load()
	d.report(b, func() { time.Sleep(measureTime) })
	b.ReportMetric(float64(run.Answered.Load()-answered)/measureTime.Seconds(), "answers/s")
	check(b, <-done)
}

// outage stops the key-value service, and counts the calls during the outage and after
// its recovery.
func (d *deployment) outage(b *testing.B) {
	d.b = b
	d.switchKeyValue("down")
	time.Sleep(outageTime)
	down := d.counts()
	time.Sleep(measureTime)
	end := d.counts()
	d.switchKeyValue("up")
	time.Sleep(time.Second)
	first := d.counts()
	time.Sleep(recoveryTime - time.Second)
	last := d.counts()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(end.Refused-down.Refused)/measureTime.Seconds(), "kv-tries/s")
	b.ReportMetric(float64(calls(first)-calls(end)), "kv-first-second")
	b.ReportMetric(float64(calls(last)-calls(end)), "kv-first-5s")
	b.ReportMetric(float64(last.Limited-end.Limited), "kv-limited")
	b.ReportMetric(float64(last.Watching), "kv-watching")
}

func calls(c kv.Counts) int64 {
	return c.Range + c.Txn + c.Watch + c.Grant + c.KeepAlive + c.Revoke
}

// report reports the changes between two readings, as the mean over the agents and the
// maximum.
func report(b *testing.B, before, after reading) {
	seconds := after.at.Sub(before.at).Seconds()
	meanAndMax := func(unit string, value func(i int) float64) {
		var sum, highest float64
		for i := range after.agents {
			sum += value(i)
			highest = math.Max(highest, value(i))
		}
		b.ReportMetric(sum/float64(len(after.agents)), unit)
		b.ReportMetric(highest, unit+"-max")
	}
	meanAndMax("agent-cpu-%", func(i int) float64 {
		return 100 * (after.agents[i].cpu - before.agents[i].cpu).Seconds() / seconds
	})
	meanAndMax("agent-MB", func(i int) float64 { return after.agents[i].resident / 1e6 })
	meanAndMax("gateway-cpu-%", func(i int) float64 {
		return 100 * (after.gateways[i].cpu - before.gateways[i].cpu).Seconds() / seconds
	})
	meanAndMax("gateway-MB", func(i int) float64 { return after.gateways[i].resident / 1e6 })
	rates := map[string]string{
		"links_sent": "sent-B/s", "links_received": "received-B/s",
		"gateway_sent": "to-gateway-B/s", "gateway_received": "from-gateway-B/s",
	}
	for counter, unit := range rates {
		meanAndMax(unit, perSecond(before, after, "lilacweir_agent_bytes_"+counter, seconds))
	}
	for _, counter := range []string{"heartbeats", "digests", "digests_failed", "polls", "key_value", "directory", "list"} {
		meanAndMax(strings.ReplaceAll(counter, "_", "-")+"-calls/s", perSecond(before, after, "lilacweir_agent_calls_"+counter, seconds))
	}
	reads := after.keyValue.Range - before.keyValue.Range + after.keyValue.Watch - before.keyValue.Watch
	writes := after.keyValue.Txn - before.keyValue.Txn + after.keyValue.Grant - before.keyValue.Grant +
		after.keyValue.KeepAlive - before.keyValue.KeepAlive + after.keyValue.Revoke - before.keyValue.Revoke
	b.ReportMetric(float64(reads)/seconds, "kv-reads/s")
	b.ReportMetric(float64(writes)/seconds, "kv-writes/s")
	b.ReportMetric(float64(after.keyValue.Watching), "kv-watching")
}

func perSecond(before, after reading, counter string, seconds float64) func(i int) float64 {
	return func(i int) float64 {
		return (after.agents[i].counters[counter] - before.agents[i].counters[counter]) / seconds
	}
}
