package claim

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

// running is a grant that a gateway holds.
type running struct {
	holder *process
	grant  *Grant
	key    string
	ran    bool
}

// machine drives a simulation at random and checks the replies to callers.
type machine struct {
	simulation *simulation
	keys       []string
	grants     []*running
	// runs holds the answers of each key's runs.
	runs map[string][]string
}

const propertyCaller = "front-desk"

// TestKeyRunsAtMostOnce checks, over random sequences of crashes, replacements,
// freezes, handovers, lost and delayed calls, stale views and outages: each key
// runs at most once, a not-run is true, and a recorded answer is the run's.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{simulation: newSimulation(rapid.Byte().Draw(t, "seed")), runs: make(map[string][]string)}
		m.keys = []string{"opaque-1", "opaque-2"}
		t.Repeat(map[string]func(*rapid.T){
			"issue":    m.issue,
			"request":  m.request,
			"repeat":   m.request,
			"again":    m.request,
			"run":      m.run,
			"finish":   m.finish,
			"abandon":  m.abandon,
			"crash":    m.crash,
			"leave":    m.leave,
			"freeze":   m.freeze,
			"thaw":     m.thaw,
			"deliver":  m.deliver,
			"refresh":  m.refresh,
			"network":  m.network,
			"keyvalue": m.outage,
			"time":     m.time,
			"":         m.check,
		})
	})
}

// active draws one of the processes that can act, or returns nil.
func (m *machine) active(t *rapid.T) *process {
	var active []*process
	for _, name := range instanceNames {
		if p := m.simulation.processes[name]; !p.dead && !p.frozen {
			active = append(active, p)
		}
	}
	if len(active) == 0 {
		return nil
	}
	return rapid.SampledFrom(active).Draw(t, "process")
}

func (m *machine) issue(t *rapid.T) {
	p := m.active(t)
	if p == nil {
		return
	}
	if prefix, ok := p.coordinator.Prefix(); ok {
		m.keys = append(m.keys, fmt.Sprintf("%s.%016x", prefix, len(m.keys)))
	}
}

func (m *machine) request(t *rapid.T) {
	p := m.active(t)
	if p == nil {
		return
	}
	// Only recent keys are drawn, since old ones have mostly run.
	back := rapid.IntRange(0, min(len(m.keys)-1, 5)).Draw(t, "key")
	key := m.keys[len(m.keys)-1-back]
	grant, recorded, refusal := p.coordinator.Begin(context.Background(), Claim{Key: key, Caller: propertyCaller})
	switch {
	case grant != nil:
		m.grants = append(m.grants, &running{holder: p, grant: grant, key: key})
	case recorded != nil:
		if len(m.runs[key]) != 1 || m.runs[key][0] != string(recorded.Body) {
			t.Fatalf("%s: recorded %q, ran %q", key, recorded.Body, m.runs[key])
		}
	case refusal.Outcome == outcome.NotRun && len(m.runs[key]) > 0:
		t.Fatalf("%s: reported not-run (%s) after it ran", key, refusal.Reason)
	}
}

// held draws a grant of the given progress with a holder that can act, or returns
// nil.
func (m *machine) held(t *rapid.T, ran bool) *running {
	var held []*running
	for _, r := range m.grants {
		if r.ran == ran && !r.holder.dead && !r.holder.frozen {
			held = append(held, r)
		}
	}
	if len(held) == 0 {
		return nil
	}
	return rapid.SampledFrom(held).Draw(t, "grant")
}

func (m *machine) drop(r *running) {
	m.grants = slices.DeleteFunc(m.grants, func(other *running) bool { return other == r })
}

func (m *machine) run(t *rapid.T) {
	r := m.held(t, false)
	if r == nil {
		return
	}
	r.ran = true
	m.runs[r.key] = append(m.runs[r.key], fmt.Sprintf("answer %d of %s", len(m.runs[r.key]), r.holder.self))
}

func (m *machine) finish(t *rapid.T) {
	r := m.held(t, true)
	if r == nil {
		return
	}
	m.drop(r)
	result := Result{Outcome: outcome.Complete, Status: 200, Body: []byte(m.runs[r.key][len(m.runs[r.key])-1])}
	if rapid.IntRange(0, 3).Draw(t, "broken") == 0 {
		result = Result{Outcome: outcome.Unknown}
	}
	r.grant.Finish(context.Background(), result)
}

func (m *machine) abandon(t *rapid.T) {
	r := m.held(t, false)
	if r == nil {
		return
	}
	m.drop(r)
	if len(m.runs[r.key]) > 0 {
		t.Fatalf("%s: the holder would report not-run after it ran", r.key)
	}
	r.grant.Abandon(context.Background())
}

func (m *machine) instance(t *rapid.T) *process {
	return m.simulation.processes[rapid.SampledFrom(instanceNames).Draw(t, "instance")]
}

// crash terminates a process and starts a new incarnation without its state.
func (m *machine) crash(t *rapid.T) {
	p := m.instance(t)
	p.dead = true
	m.simulation.start(p.self.Instance)
}

func (m *machine) leave(t *rapid.T) {
	p := m.active(t)
	if p == nil {
		return
	}
	m.pauses(t)
	p.leaving = true
	_, _ = p.coordinator.Handover(context.Background())
}

// pauses runs other actions while a handover waits for its retry.
func (m *machine) pauses(t *rapid.T) {
	actions := []func(*rapid.T){m.request, m.run, m.crash, m.deliver, m.refresh, m.network, m.thaw, m.leaveInPause}
	m.simulation.pause = func() {
		for range rapid.IntRange(0, 4).Draw(t, "meanwhile") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](t)
		}
	}
}

func (m *machine) leaveInPause(t *rapid.T) {
	p := m.active(t)
	if p == nil {
		return
	}
	before := m.simulation.pause
	m.simulation.pause = func() {}
	p.leaving = true
	_, _ = p.coordinator.Handover(context.Background())
	m.simulation.pause = before
}

func (m *machine) freeze(t *rapid.T) {
	if p := m.active(t); p != nil {
		p.frozen = true
	}
}

func (m *machine) thaw(t *rapid.T) { m.instance(t).thaw() }

// deliver delivers one delayed call.
func (m *machine) deliver(t *rapid.T) {
	if len(m.simulation.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.simulation.delayed)-1).Draw(t, "message")
	message := m.simulation.delayed[i]
	m.simulation.delayed = slices.Delete(m.simulation.delayed, i, i+1)
	message()
}

func (m *machine) refresh(t *rapid.T) { m.instance(t).refresh() }

func (m *machine) network(t *rapid.T) {
	m.simulation.faulty = rapid.Bool().Draw(t, "faulty")
	m.simulation.seed = rapid.Uint64().Draw(t, "faults")
}

func (m *machine) outage(t *rapid.T) {
	kv := m.simulation.keyValue
	kv.ClearFaults()
	kv.SetDown(rapid.IntRange(0, 3).Draw(t, "down") == 0)
	answers := rapid.IntRange(0, 2).Draw(t, "answers")
	if rapid.IntRange(0, 1).Draw(t, "writes") == 1 {
		kv.FailWrites(platformtest.LoseWrite)
	}
	kv.FailWrites(slices.Repeat([]platformtest.Fault{platformtest.LoseAnswer}, answers)...)
}

func (m *machine) time(t *rapid.T) {
	m.simulation.clock.advance(time.Duration(rapid.IntRange(1, 6).Draw(t, "minutes")) * time.Minute)
}

func (m *machine) check(t *rapid.T) {
	for key, runs := range m.runs {
		if len(runs) > 1 {
			t.Fatalf("%s ran %d times", key, len(runs))
		}
	}
}
