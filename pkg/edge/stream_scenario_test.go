package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/peer"
)

// streamScenario is a region in virtual time: instances with streams at engines, which receive
// each other's stream counts with a delay.
type streamScenario struct {
	began, now time.Time
	random     *rand.Rand
	engines    []string
	// failed holds the engines with silently failed machines.
	failed    map[string]bool
	instances []*scenarioInstance
	streams   []*scenarioStream
}

type scenarioInstance struct {
	pulses *streamMonitor
	// published are the last counts of each engine's streams, and next the following ones, which
	// the others receive when due.
	published, next map[string]peer.Load
	due             time.Time
	// detectedAt is the time at which it found each engine unresponsive.
	detectedAt map[string]time.Time
}

type scenarioStream struct {
	pulse  *monitoredStream
	at     *scenarioInstance
	engine string
	// stalledUntil is the end of the time for which the engine preempts the stream for a more
	// urgent one.
	stalledUntil time.Time
}

// Times of a streamScenario. An event of five tokens arrives every 22 ms if a step takes 4.4 ms,
// simulated as 20 ms. An instance publishes its counts every 0.1 s. The others receive them 60 ms
// later, but not before the next round.
const (
	scenarioStep  = 10 * time.Millisecond
	scenarioGap   = 20 * time.Millisecond
	scenarioRound = 100 * time.Millisecond
	scenarioLag   = 60 * time.Millisecond
)

func newStreamScenario(seed uint64, instances, engines, streams int) *streamScenario {
	began := time.Unix(1_000_000, 0)
	d := &streamScenario{began: began, now: began, random: rand.New(rand.NewPCG(seed, 1)), failed: make(map[string]bool)}
	for i := range engines {
		d.engines = append(d.engines, string(rune('a'+i)))
	}
	for range instances {
		d.instances = append(d.instances, &scenarioInstance{pulses: newStreamMonitor(), detectedAt: make(map[string]time.Time)})
	}
	for i := range streams {
		at := d.instances[d.random.IntN(instances)]
		stream := &scenarioStream{pulse: &monitoredStream{service: testService, sent: d.now}, at: at, engine: d.engines[i%engines]}
		at.pulses.add(stream.engine, stream.pulse)
		d.streams = append(d.streams, stream)
	}
	return d
}

func (d *streamScenario) advance(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(scenarioStep) {
		for _, stream := range d.streams {
			if !d.failed[stream.engine] && !d.now.Before(stream.stalledUntil) && d.now.Sub(stream.pulse.lastData) >= scenarioGap {
				stream.at.pulses.received(stream.pulse, d.now)
			}
		}
		for i, instance := range d.instances {
			d.publish(instance)
			// Instances check in turn, each once a round.
			turn := time.Duration(i) * scenarioStep % scenarioRound
			if d.now.Sub(d.began)%scenarioRound == turn {
				d.detect(instance)
			}
		}
	}
}

// publish counts an instance's streams once a round, for the others to receive later.
func (d *streamScenario) publish(instance *scenarioInstance) {
	if d.now.Before(instance.due) {
		return
	}
	instance.published, instance.next = instance.next, make(map[string]peer.Load)
	for _, engine := range d.engines {
		flowing, silent := instance.pulses.count(engine, d.now)
		instance.next[engine] = peer.Load{Flowing: flowing, Silent: silent}
	}
	instance.due = d.now.Add(max(scenarioRound, scenarioLag))
}

func (d *streamScenario) detect(instance *scenarioInstance) {
	for _, engine := range d.engines {
		flowing, silent := instance.pulses.count(engine, d.now)
		others := peer.Load{}
		for _, other := range d.instances {
			if other != instance {
				others.Flowing += other.published[engine].Flowing
				others.Silent += other.published[engine].Silent
			}
		}
		if unresponsive(flowing, silent, others) {
			instance.pulses.markUnresponsive(engine, d.now)
			if instance.detectedAt[engine].IsZero() {
				instance.detectedAt[engine] = d.now
			}
		}
	}
}

// TestUnresponsiveEnginesOfADomainAreDetectedByAllInstancesWithinASecond guards against slow
// detection when the machines of a zone lose power or network and close no connection. Two of
// eight engines fail so, with about forty streams each, at sixty instances of which many have no
// stream there. Keep-alive probes take three seconds, in which each engine is sent a few hundred
// requests. Streams that the other engines preempt for a second make none of these unresponsive.
func TestUnresponsiveEnginesOfADomainAreDetectedByAllInstancesWithinASecond(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		d := newStreamScenario(seed, 60, 8, 320)
		d.advance(time.Second)
		for _, instance := range d.instances {
			is.Equal(len(instance.detectedAt), 0)
		}
		d.failed["a"], d.failed["b"] = true, true
		for _, stream := range d.streams {
			if d.random.IntN(4) == 0 {
				stream.stalledUntil = d.now.Add(time.Second)
			}
		}
		failed := d.now
		d.advance(time.Second)
		slowest := time.Duration(0)
		for _, instance := range d.instances {
			is.Equal(len(instance.detectedAt), 2)
			for _, engine := range []string{"a", "b"} {
				slowest = max(slowest, instance.detectedAt[engine].Sub(failed))
				is.True(instance.pulses.isUnresponsive(engine, d.now))
			}
		}
		t.Logf("seed %d: detected by all after %v", seed, slowest)
		is.True(slowest < 700*time.Millisecond)
	}
}

// TestTwoStalledStreamsMarkAnEngineUnresponsive covers a deployment with few streams. A single
// stalled one may only have been preempted.
func TestTwoStalledStreamsMarkAnEngineUnresponsive(t *testing.T) {
	is := is.New(t)
	d := newStreamScenario(1, 3, 3, 5)
	d.advance(time.Second)
	for _, engine := range d.engines {
		d.failed[engine] = true
	}
	d.advance(time.Second)
	for _, instance := range d.instances {
		is.Equal(len(instance.detectedAt), 2)
		is.True(instance.detectedAt["c"].IsZero())
	}
}
