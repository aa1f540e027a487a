package agent

import (
	"sort"

	"github.com/lilacweir/lilacweir/pkg/control"
)

// Keys of the facts of which there is one; the other keys are built from a kind and
// a name.
const (
	keyIdentity = "identity"
	keyLoad     = "load"
	keyList     = "list"
)

// journal holds the latest version of each fact that this instance publishes,
// numbered in the order of change, so that a peer is sent only what it has not
// received.
type journal struct {
	change uint64
	facts  map[string]journalFact
}

// journalFact is one fact; add writes it into a message.
type journalFact struct {
	change uint64
	add    func(*control.Facts)
}

func newJournal() *journal { return &journal{facts: make(map[string]journalFact)} }

// set replaces the fact of a key.
func (j *journal) set(key string, add func(*control.Facts)) {
	j.change++
	j.facts[key] = journalFact{change: j.change, add: add}
}

// remove deletes a fact that is no longer published.
func (j *journal) remove(key string) { delete(j.facts, key) }

// since returns the facts that changed after the given number.
func (j *journal) since(change uint64) control.Facts {
	var facts control.Facts
	if change >= j.change {
		return facts
	}
	newer := make([]journalFact, 0, len(j.facts))
	for _, fact := range j.facts {
		if fact.change > change {
			newer = append(newer, fact)
		}
	}
	sort.Slice(newer, func(i, k int) bool { return newer[i].change < newer[k].change })
	for _, fact := range newer {
		fact.add(&facts)
	}
	return facts
}
