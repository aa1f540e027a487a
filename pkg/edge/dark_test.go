package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/peer"
)

// darkDay is a region in virtual time: instances with streams at engines, which hear of each
// other's streams late.
type darkDay struct {
	began, now time.Time
	random     *rand.Rand
	engines    []string
	// failed holds the engines whose machines have failed without a word.
	failed    map[string]bool
	instances []*darkInstance
	streams   []*darkStream
}

type darkInstance struct {
	pulses *streamMonitor
	// told is what it last said of each engine's streams, due when the others hear it.
	told, next map[string]peer.Load
	due        time.Time
	// found is when it found each engine dark.
	found map[string]time.Time
}

type darkStream struct {
	pulse  *monitoredStream
	at     *darkInstance
	engine string
	// heldUntil is until when the engine lets it stand still, for a more urgent one.
	heldUntil time.Time
}

// Times of a darkDay: an event of five tokens comes every 22 ms where a step takes 4.4 ms; an
// instance says what it hears every 0.1 s, and the others know it 60 ms later.
const (
	darkStep  = 10 * time.Millisecond
	darkGap   = 20 * time.Millisecond
	darkRound = 100 * time.Millisecond
	darkLag   = 60 * time.Millisecond
)

func newDarkDay(seed uint64, instances, engines, streams int) *darkDay {
	began := time.Unix(1_000_000, 0)
	d := &darkDay{began: began, now: began, random: rand.New(rand.NewPCG(seed, 1)), failed: make(map[string]bool)}
	for i := range engines {
		d.engines = append(d.engines, string(rune('a'+i)))
	}
	for range instances {
		d.instances = append(d.instances, &darkInstance{pulses: newStreamMonitor(), found: make(map[string]time.Time)})
	}
	for i := range streams {
		at := d.instances[d.random.IntN(instances)]
		stream := &darkStream{pulse: &monitoredStream{service: testService, sent: d.now}, at: at, engine: d.engines[i%engines]}
		at.pulses.add(stream.engine, stream.pulse)
		d.streams = append(d.streams, stream)
	}
	return d
}

// play lets a time pass.
func (d *darkDay) play(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(darkStep) {
		for _, stream := range d.streams {
			if !d.failed[stream.engine] && !d.now.Before(stream.heldUntil) && d.now.Sub(stream.pulse.lastData) >= darkGap {
				stream.at.pulses.received(stream.pulse, d.now)
			}
		}
		for i, instance := range d.instances {
			d.tell(instance)
			// Instances look in turn, each once a round.
			turn := time.Duration(i) * darkStep % darkRound
			if d.now.Sub(d.began)%darkRound == turn {
				d.look(instance)
			}
		}
	}
}

// tell has an instance count its streams once a round, for the others to hear later.
func (d *darkDay) tell(instance *darkInstance) {
	if d.now.Before(instance.due) {
		return
	}
	instance.told, instance.next = instance.next, make(map[string]peer.Load)
	for _, engine := range d.engines {
		flowing, silent := instance.pulses.count(engine, d.now)
		instance.next[engine] = peer.Load{Flowing: flowing, Silent: silent}
	}
	instance.due = d.now.Add(max(darkRound, darkLag))
}

// look has an instance look for dark engines.
func (d *darkDay) look(instance *darkInstance) {
	for _, engine := range d.engines {
		flowing, silent := instance.pulses.count(engine, d.now)
		others := peer.Load{}
		for _, other := range d.instances {
			if other != instance {
				others.Flowing += other.told[engine].Flowing
				others.Silent += other.told[engine].Silent
			}
		}
		if unresponsive(flowing, silent, others) {
			instance.pulses.markUnresponsive(engine, d.now)
			if instance.found[engine].IsZero() {
				instance.found[engine] = d.now
			}
		}
	}
}

// TestADomainsEnginesThatFailWithoutAWordAreDarkForAllWithinASecond: the machines of a zone
// lose their power or their network, and no connection is closed. Two of eight engines fail so,
// with some forty streams each, at sixty instances of which many have no stream there. Keep-alive
// probes take three seconds, in which each engine is sent a few hundred requests. Streams that
// other engines let stand still for a second, while more urgent ones run, make none of these dark.
func TestADomainsEnginesThatFailWithoutAWordAreDarkForAllWithinASecond(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		d := newDarkDay(seed, 60, 8, 320)
		d.play(time.Second)
		for _, instance := range d.instances {
			is.Equal(len(instance.found), 0)
		}
		d.failed["a"], d.failed["b"] = true, true
		for _, stream := range d.streams {
			if d.random.IntN(4) == 0 {
				stream.heldUntil = d.now.Add(time.Second)
			}
		}
		failed := d.now
		d.play(time.Second)
		slowest := time.Duration(0)
		for _, instance := range d.instances {
			is.Equal(len(instance.found), 2)
			for _, engine := range []string{"a", "b"} {
				slowest = max(slowest, instance.found[engine].Sub(failed))
				is.True(instance.pulses.isUnresponsive(engine, d.now))
			}
		}
		t.Logf("seed %d: known to all after %v", seed, slowest)
		is.True(slowest < 700*time.Millisecond)
	}
}

// TestTwoStreamsAreEnoughAndOneIsNot: at night a small deployment has few streams, and one
// alone may only stand still.
func TestTwoStreamsAreEnoughAndOneIsNot(t *testing.T) {
	is := is.New(t)
	d := newDarkDay(1, 3, 3, 5)
	d.play(time.Second)
	for _, engine := range d.engines {
		d.failed[engine] = true
	}
	d.play(time.Second)
	for _, instance := range d.instances {
		is.Equal(len(instance.found), 2)
		is.True(instance.found["c"].IsZero())
	}
}
