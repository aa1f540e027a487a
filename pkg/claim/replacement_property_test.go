package claim

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// replacements drives a simulation in which instances are replaced gracefully, and checks that
// every key has exactly one decider, which every instance finds.
type replacements struct {
	simulation *simulation
	keys       []Key
}

// TestKeysOfReplacedInstancesHaveOneDecider covers graceful replacements, one at a time and
// overlapping in the domain of three, with lists that are behind until a pause and with single
// calls that are lost, late or lose their reply.
func TestKeysOfReplacedInstancesHaveOneDecider(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &replacements{simulation: newSimulation(rapid.Byte().Draw(t, "seed"))}
		r.simulation.pause = r.simulation.refreshAll
		t.Repeat(map[string]func(*rapid.T){
			"issue":   r.issue,
			"claim":   r.claim,
			"replace": func(t *rapid.T) { r.replace(t, r.draw(t)) },
			"overlap": r.overlap,
			"refresh": func(t *rapid.T) { r.simulation.processes[r.draw(t)].refresh() },
			"":        r.check,
		})
	})
}

func (r *replacements) draw(t *rapid.T) string {
	return rapid.SampledFrom(instanceNames).Draw(t, "instance")
}

func (r *replacements) issue(t *rapid.T) {
	prefix, ok := r.simulation.processes[r.draw(t)].coordinator.Prefix()
	if !ok {
		t.Fatal("a serving instance does not issue keys")
	}
	key, err := ParseKey(fmt.Sprintf("%s.%016x", prefix, len(r.keys)))
	if err != nil {
		t.Fatal(err)
	}
	r.keys = append(r.keys, key)
}

// disturb makes the next call of some links of an instance fail.
func (r *replacements) disturb(t *rapid.T, instance string) {
	r.simulation.nextFaults = make(map[string][]fault)
	for _, other := range instanceNames {
		chosen := fault(rapid.Uint64Range(0, uint64(faultKinds)-1).Draw(t, "fault"))
		if rapid.Bool().Draw(t, "disturbed") {
			r.simulation.nextFaults[instance+">"+other] = []fault{chosen}
		}
	}
}

// claim asks about a key through an instance. A grant is abandoned, so that the key can be
// granted again.
func (r *replacements) claim(t *rapid.T) {
	if len(r.keys) == 0 {
		return
	}
	key := rapid.SampledFrom(r.keys).Draw(t, "key")
	through := r.draw(t)
	r.disturb(t, through)
	grant, _, refusal := r.simulation.processes[through].coordinator.Begin(context.Background(), Claim{Key: key.String(), Caller: propertyCaller})
	r.simulation.nextFaults = make(map[string][]fault)
	if grant == nil {
		t.Fatalf("%s through %s: %s", key, through, refusal.Reason)
	}
	grant.Abandon(context.Background())
}

// replace lets an instance leave and starts its next incarnation.
func (r *replacements) replace(t *rapid.T, instance string) {
	r.disturb(t, instance)
	r.simulation.replace(instance)
	r.simulation.nextFaults = make(map[string][]fault)
}

// overlap replaces an instance while another of its domain leaves, and a third one serves.
func (r *replacements) overlap(t *rapid.T) {
	pair := rapid.SampledFrom([][]string{{"a1", "a2"}, {"a1", "a3"}, {"a2", "a1"}, {"a2", "a3"}, {"a3", "a1"}, {"a3", "a2"}}).Draw(t, "pair")
	calls := rapid.IntRange(1, 3).Draw(t, "calls")
	r.simulation.beforeCall = func(link string) {
		if link[:2] != pair[0] {
			return
		}
		if calls--; calls == 0 {
			r.simulation.beforeCall = nil
			r.simulation.replace(pair[1])
		}
	}
	r.replace(t, pair[0])
	r.simulation.beforeCall = nil
}

func (r *replacements) check(t *rapid.T) {
	for _, key := range r.keys {
		var deciders []string
		for _, name := range instanceNames {
			owner := r.simulation.processes[name].coordinator.owner
			if records, _ := owner.decides(key.Origin); records != nil {
				deciders = append(deciders, name)
			}
		}
		if len(deciders) != 1 {
			t.Fatalf("%s is decided by %v", key, deciders)
		}
	}
}
