// Package peer tells the instances of a deployment what the others have in hand:
// requests at each upstream, whether they leave, and how new their copy of the
// platform's store is.
//
// Every instance exchanges what it knows with a few others a round (push and pull);
// inside a region each instance's whole state travels, between regions only totals
// by service. States of one instance are ordered by its incarnation and a sequence
// number; clocks of different machines are never compared.
package peer

import (
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// State is what one instance says of itself.
type State struct {
	Instance fleet.Instance
	// Sequence grows each time the instance speaks.
	Sequence uint64
	// Leaving is true once the instance takes no new callers.
	Leaving bool
	// Configuration is the version in force there; zero: none.
	Configuration uint64
	// Store is the revision of its copy of the store.
	Store int64
	// Upstreams is the work that it has at each upstream, sorted by ID; empty in
	// what leaves the region.
	Upstreams []Load
	// Services adds the same up by service, sorted by name.
	Services []Load
}

// Load is the work in hand at one upstream or service.
type Load struct {
	// Name is the upstream's ID or the service's name.
	Name string
	// InFlight counts requests, Prefill the prompt tokens not yet read of those
	// whose answer has not begun.
	InFlight, Prefill int
}

// newer says whether s was said after other.
func (s *State) newer(other *State) bool {
	if s.Instance.Incarnation != other.Instance.Incarnation {
		return s.Instance.Incarnation > other.Instance.Incarnation
	}
	return s.Sequence > other.Sequence
}

// brief is the state as it is told to other regions.
func (s *State) brief() State {
	short := *s
	short.Upstreams = nil
	return short
}

// Known is a state with the time at which it was heard, by this process's clock.
type Known struct {
	State
	Heard time.Time
}

// View is what is known of the other instances at one moment, sorted by name.
type View struct {
	Others []Known
	// upstreams adds up the others' loads by upstream.
	upstreams map[string]Load
}

// SilentAfter is for how long an instance that was heard of once may say nothing
// before it counts as gone: several rounds, and well below the time after which
// callers must not be sent to it.
const SilentAfter = 2500 * time.Millisecond

// newView copies the table; loads of silent instances do not count.
func newView(table map[string]*Known, now time.Time) *View {
	view := &View{upstreams: make(map[string]Load)}
	for _, known := range table {
		view.Others = append(view.Others, *known)
		if now.Sub(known.Heard) > SilentAfter {
			continue
		}
		for _, load := range known.Upstreams {
			sum := view.upstreams[load.Name]
			sum.InFlight += load.InFlight
			sum.Prefill += load.Prefill
			view.upstreams[load.Name] = sum
		}
	}
	slices.SortFunc(view.Others, func(a, b Known) int { return strings.Compare(a.Instance.Name, b.Instance.Name) })
	return view
}

// Upstream returns the others' work at an upstream.
func (v *View) Upstream(id string) Load {
	if v == nil {
		return Load{}
	}
	return v.upstreams[id]
}

// Live says whether an instance was heard of lately.
func (k *Known) Live(now time.Time) bool { return now.Sub(k.Heard) <= SilentAfter }

// Find returns what is known of an instance, or nil.
func (v *View) Find(name string) *Known {
	if v == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(v.Others, name, func(k Known, name string) int {
		return strings.Compare(k.Instance.Name, name)
	})
	if !ok {
		return nil
	}
	return &v.Others[i]
}
