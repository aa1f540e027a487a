package capacity

import (
	"fmt"
	"testing"
	"time"
)

// restartWindow is the time after a restart in which calls are counted.
const restartWindow = 10 * time.Second

// BenchmarkRestarts kills some of 18 nodes in three domains at once and restarts them. It
// measures the time until each has the configuration in force, and the calls of the
// key-value service in excess of those in an idle period of the same length.
func BenchmarkRestarts(b *testing.B) {
	for _, restarts := range []int{1, 3, 6, 12} {
		b.Run(fmt.Sprintf("restarts=%d", restarts), func(b *testing.B) {
			d := deploy(b, layout{domains: 3, instances: 6, enginesPerModel: 1})
			time.Sleep(2 * settleTime)
			quiet := d.callsDuring(func() { time.Sleep(restartWindow) })
			var ready time.Duration
			busy := d.callsDuring(func() { ready = d.restart(restarts) })
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(ready.Milliseconds()), "ready-ms")
			b.ReportMetric(float64(busy-quiet), "kv-extra-calls")
			var cpu float64
			for n := range restarts {
				cpu += d.sample(d.agents[d.nthNode(n)]).cpu.Seconds()
			}
			b.ReportMetric(cpu/float64(restarts), "agent-cpu-s")
		})
	}
}

// callsDuring returns the number of calls of the key-value service while run executes.
func (d *deployment) callsDuring(run func()) int64 {
	before := d.counts()
	run()
	return calls(d.counts()) - calls(before)
}

// nthNode returns the index of the nth node in round-robin order over the domains.
func (d *deployment) nthNode(n int) int {
	return n%d.layout.domains*d.layout.instances + n/d.layout.domains
}

// restart kills both programs of count nodes at once, restarts them and waits until
// restartWindow has passed. It returns the time from the restart until the last of them
// has a configuration in force.
func (d *deployment) restart(count int) time.Duration {
	for n := range count {
		d.agents[d.nthNode(n)].kill()
		d.gateways[d.nthNode(n)].kill()
	}
	startedAt := time.Now()
	var started []*process
	for n := range count {
		i := d.nthNode(n)
		name := d.plan.Instances[i].Instance
		d.gateways[i] = d.start(name+"-gateway-again", "lilacweir-gateway", name+".yaml")
		d.agents[i] = d.start(name+"-agent-again", "lilacweir-agent", name+".yaml")
		started = append(started, d.gateways[i])
	}
	last := startedAt
	for _, gateway := range started {
		if at := d.firstInForce(gateway); at.After(last) {
			last = at
		}
	}
	time.Sleep(time.Until(startedAt.Add(restartWindow)))
	return last.Sub(startedAt)
}

// firstInForce waits until a gateway has a configuration in force and returns the time at
// which it came into force.
func (d *deployment) firstInForce(gateway *process) (at time.Time) {
	deadline := time.Now().Add(startBound)
	for at.IsZero() {
		if time.Now().After(deadline) {
			d.b.Fatal("no configuration in " + gateway.log)
		}
		time.Sleep(50 * time.Millisecond)
		d.eachEvent(gateway, "configuration-in-force", func(seen time.Time, _ map[string]string) {
			if at.IsZero() {
				at = seen
			}
		})
	}
	return at
}

// BenchmarkLost kills some of 14 failure domains and measures the agents of the others.
func BenchmarkLost(b *testing.B) {
	for _, lost := range []int{0, 1, 3} {
		b.Run(fmt.Sprintf("lost=%d", lost), func(b *testing.B) {
			d := deploy(b, layout{domains: 14, instances: 1, enginesPerModel: 1})
			time.Sleep(settleTime)
			for range lost {
				last := len(d.agents) - 1
				d.agents[last].kill()
				d.gateways[last].kill()
				d.agents, d.gateways = d.agents[:last], d.gateways[:last]
			}
			time.Sleep(settleTime)
			d.report(b, func() { time.Sleep(measureTime) })
		})
	}
}
