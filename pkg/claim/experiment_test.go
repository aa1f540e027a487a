package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// experimentKeys is the number of requests of an experiment, each sent twice.
const experimentKeys = 1000

// experiment sends requests around an event and then repeats each through a random
// instance. On average six of ten requests end before the event, two are running
// during it, and two are sent after it, half of these with a key issued before it.
type experiment struct {
	simulation *simulation
	random     *rand.Rand
	opaque     bool
	samples    []*sample
	// unknownFirst and unknownRepeat count unknown replies to first attempts and to
	// repeats. falseAnswers counts violations: a second run, a not-run after a run,
	// a recorded answer without a run.
	unknownFirst, unknownRepeat, recorded, granted, falseAnswers int
}

// sample is one request that must not run twice.
type sample struct {
	phase  int
	key    string
	holder *process
	grant  *Grant
	ran    int
	first  string
}

// The phases of a sample, in tenths.
const (
	phases         = 10
	phaseRunning   = 6
	phaseKeyed     = 8
	phaseUnstarted = 9
)

// anyServing draws an instance that serves callers.
func (e *experiment) anyServing() *process {
	for {
		p := e.simulation.processes[instanceNames[e.random.IntN(len(instanceNames))]]
		if !p.dead && !p.frozen && !p.leaving {
			return p
		}
	}
}

func (e *experiment) issue(t *sample, number int) {
	t.key = fmt.Sprintf("order-%d", number)
	if e.opaque {
		return
	}
	prefix, _ := e.anyServing().coordinator.Prefix()
	t.key = fmt.Sprintf("%s.%016x", prefix, number)
}

// send begins a request through a random instance and runs it if granted.
func (e *experiment) send(t *sample) (reply string) {
	through := e.anyServing()
	grant, recorded, refusal := through.coordinator.Begin(context.Background(), Claim{Key: t.key, Caller: propertyCaller})
	switch {
	case grant != nil:
		t.grant, t.holder = grant, through
		t.ran++
		return "granted"
	case recorded != nil:
		return "recorded"
	default:
		return string(refusal.Outcome)
	}
}

// end finishes a running request, unless its gateway is dead or frozen.
func (t *sample) end() {
	if t.grant != nil && !t.holder.dead && !t.holder.frozen {
		t.grant.Finish(context.Background(), answered)
	}
}

func (e *experiment) run(event func(e *experiment)) {
	for i := range experimentKeys {
		t := &sample{phase: e.random.IntN(phases)}
		e.samples = append(e.samples, t)
		if t.phase < phaseUnstarted {
			e.issue(t, i)
		}
		if t.phase < phaseKeyed {
			t.first = e.send(t)
		}
		if t.phase < phaseRunning {
			t.end()
		}
	}
	event(e)
	for i, t := range e.samples {
		if t.phase == phaseUnstarted {
			e.issue(t, i)
		}
		if t.phase >= phaseKeyed {
			t.first = e.send(t)
		}
		t.end()
	}
	for _, t := range e.samples {
		e.count(t, e.send(t))
	}
}

func (e *experiment) count(t *sample, repeat string) {
	if t.first == string(outcome.Unknown) {
		e.unknownFirst++
	}
	switch repeat {
	case string(outcome.Unknown):
		e.unknownRepeat++
	case "recorded":
		e.recorded++
	case "granted":
		e.granted++
	}
	notRunWrongly := repeat == string(outcome.NotRun) && t.ran > 0
	if t.ran > 1 || notRunWrongly || repeat == "recorded" && t.ran != 1 {
		e.falseAnswers++
	}
}

// rollingReplacement restarts each instance gracefully: its running requests end,
// its keys are handed over, and a new process replaces it.
func rollingReplacement(e *experiment) {
	for _, name := range instanceNames {
		leaving := e.simulation.processes[name]
		for _, t := range e.samples {
			if t.holder == leaving {
				t.end()
			}
		}
		e.simulation.leave(name)
		e.simulation.crash(name)
	}
}

func crashEach(e *experiment) {
	for _, name := range instanceNames {
		e.simulation.crash(name)
	}
}

func outage(e *experiment) { e.simulation.keyValue.SetDown(true) }

func crashOne(e *experiment) { e.simulation.crash("a1") }

func freezeOne(e *experiment) {
	e.simulation.processes["a1"].frozen = true
	e.simulation.refreshAll()
}

func both(one, other func(*experiment)) func(*experiment) {
	return func(e *experiment) { one(e); other(e) }
}

// TestUnknownAnswers counts the replies to callers under design (a), a claim in the
// key-value service, and design (d), the issuing incarnation as the only decider.
// docs/design/idempotency.md holds the table.
func TestUnknownAnswers(t *testing.T) {
	events := []struct {
		name   string
		during func(e *experiment)
	}{
		{"nothing", func(*experiment) {}},
		{"one of 5 instances crashes", crashOne},
		{"one of 5 instances is frozen", freezeOne},
		{"rolling replacement of all 5", rollingReplacement},
		{"all 5 crash, one by one", crashEach},
		{"outage of the service", outage},
		{"outage, and one crashes", both(outage, crashOne)},
		{"outage, and rolling replacement", both(outage, rollingReplacement)},
	}
	for _, opaque := range []bool{true, false} {
		design := map[bool]string{true: "a", false: "d"}[opaque]
		for _, event := range events {
			t.Run(design+" "+event.name, func(t *testing.T) {
				is := is.New(t)
				e := &experiment{simulation: newSimulation(1), opaque: opaque, random: rand.New(rand.NewPCG(1, 1))}
				e.run(event.during)
				t.Logf("| %s | %s | %d | %d | %d | %d | %d |", design, event.name,
					e.unknownFirst, e.unknownRepeat, e.recorded, e.granted, e.simulation.keyValue.Counts().Writes)
				is.Equal(e.falseAnswers, 0)
			})
		}
	}
}
