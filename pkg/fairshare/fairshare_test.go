package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The simulated service: requests hold a slot for the holding time, and one that is sent while queued
// others already wait is late. Instances decide alone, each with its own Shares, as package edge does.
const (
	slots, queued = 60, 40
	holding       = 100 * time.Millisecond
	instances     = 20
	patience      = 62 * time.Millisecond
	pollInterval  = 20 * time.Millisecond
	pressedFor    = time.Second
	capacity      = float64(slots) * float64(time.Second) / float64(holding)
	// What is asked for and admitted is counted for some time after the shares have settled.
	settling, counted = 4 * time.Second, 20 * time.Second
)

var simulated = Class{Service: "llm"}

// organisation is one of the load, with its mean demand in requests a second, and what was counted.
type organisation struct {
	name                            string
	weight, demand, asked, admitted float64
}

// waiting is a request that waits at an instance for capacity.
type waiting struct {
	*organisation
	at    int
	since time.Time
}

// simulate runs the load. With restart, a third of the instances loses its state at half of the time;
// without fair, nobody is refused for a share.
func simulate(seed uint64, fair, restart bool, load []*organisation) {
	random, start := rand.New(rand.NewPCG(seed, 1)), time.Unix(3600, 0)
	var shares [instances]*Shares
	var pressed [instances]time.Time
	var line []waiting
	inFlight, ends := 0, make(map[time.Time]int)
	// serve reports whether the request waits. One that is admitted to the queue starts when those before
	// it have ended.
	serve := func(w waiting, now time.Time) bool {
		late := inFlight >= slots+queued
		request := &Request{Class: simulated, Organisation: w.name, Weight: w.weight, Cost: 1, Contended: late || inFlight >= slots && now.Sub(pressed[w.at]) < pressedFor}
		_, below := shares[w.at].Admit(request, now)
		below = below || !fair
		if late {
			pressed[w.at] = now
		}
		if late && below && now.Sub(w.since) < patience {
			return true
		}
		shares[w.at].Record(request, !late && below, now)
		if !late && below {
			ends[now.Add(holding+time.Duration(max(0, inFlight+1-slots))*holding/slots).Truncate(time.Millisecond)]++
			inFlight++
			if now.Sub(start) > settling {
				w.admitted++
			}
		}
		return false
	}
	for now := start; now.Sub(start) < settling+counted; now = now.Add(time.Millisecond) {
		inFlight -= ends[now]
		delete(ends, now)
		for i := range shares {
			if now == start || restart && i%3 == 0 && now.Sub(start) == (settling+counted)/2 {
				shares[i], pressed[i] = New(), time.Time{}
			}
		}
		line = slices.DeleteFunc(line, func(w waiting) bool {
			return now.Sub(w.since)%pollInterval == 0 && !serve(w, now)
		})
		for _, o := range load {
			for random.Float64() < o.demand/1000/(1+o.demand/1000) {
				if now.Sub(start) > settling {
					o.asked++
				}
				if w := (waiting{organisation: o, at: random.IntN(instances), since: now}); serve(w, now) {
					line = append(line, w)
				}
			}
		}
	}
}

// maxMin returns the level, for each unit of weight, of the max-min shares of what can be admitted.
func maxMin(load []*organisation, total float64) float64 {
	low, high := 0.0, total
	for range 60 {
		level, sum := (low+high)/2, 0.0
		for _, o := range load {
			sum += min(o.asked, o.weight*level)
		}
		if sum > total {
			high = level
		} else {
			low = level
		}
	}
	return low
}

// newLoad returns sixteen organisations with 1.5 times the capacity, of which the first asks for seven
// times what the others do. Uneven ones have random demands and weights.
func newLoad(seed uint64, uneven bool) []*organisation {
	random := rand.New(rand.NewPCG(seed, 2))
	load, sum := make([]*organisation, 16), 0.0
	for i := range load {
		load[i] = &organisation{name: fmt.Sprint("org-", i), weight: 1, demand: 1}
		if uneven {
			load[i].weight, load[i].demand = 1+float64(random.IntN(3)), 0.3+1.4*random.Float64()
		}
		if i == 0 {
			load[i].demand = 7
		}
		sum += load[i].demand
	}
	for _, o := range load {
		o.demand *= 1.5 * capacity / sum
	}
	return load
}

// TestSharesAreMaxMin guards against an organisation with seven times its usual demand that displaces
// others, against idle capacity for fairness' sake, and against instances that start without state: a
// third of them loses it.
func TestSharesAreMaxMin(t *testing.T) {
	for seed := range uint64(8) {
		var used, got [2]float64
		for i, fair := range []bool{false, true} {
			load := newLoad(seed, seed%2 == 1)
			simulate(seed, fair, seed >= 2, load)
			total := capacity * counted.Seconds()
			level, all, others, least, due := maxMin(load, total), 0.0, 0.0, math.Inf(1), 0.0
			for i, o := range load {
				all += o.admitted
				if i > 0 {
					share := min(o.asked, o.weight*level)
					others, due, least = others+o.admitted, due+share, min(least, o.admitted/share)
				}
			}
			used[i], got[i] = all/total, others/due
			t.Logf("seed %d, fair %v: %.3f of the capacity used, the others got %.3f of their max-min shares, the least of them %.3f", seed, fair, used[i], got[i], least)
		}
		if got[1] < 0.95 || used[1] < used[0]-0.01 {
			t.Errorf("seed %d: the others got %.3f, %.3f used, %.3f without shares", seed, got[1], used[1], used[0])
		}
	}
}

// TestNothingChangesWithoutAnUnservedOrganisation guards against refusals for fairness where nobody
// else is refused, without contention, and in favour of less urgent requests.
func TestNothingChangesWithoutAnUnservedOrganisation(t *testing.T) {
	is := is.New(t)
	s, now := New(), time.Unix(1000, 0)
	s.max = 3
	ask := func(name string, priority int, contended bool) bool {
		_, ok := s.Admit(&Request{Class: Class{"llm", priority}, Organisation: name, Cost: 1, Contended: contended}, now)
		return ok
	}
	record := func(name string, priority int, admitted bool) {
		s.Record(&Request{Class: Class{"llm", priority}, Organisation: name, Cost: 1}, admitted, now)
	}
	for range 100 {
		record("hot", 1, true)
	}
	is.True(ask("hot", 1, true)) // alone
	record("b", 1, true)
	now = now.Add(levelInterval)
	is.True(ask("hot", 1, true)) // the other gets all that it asks for
	for range 20 {
		record("c", 2, false)
	}
	now = now.Add(levelInterval)
	is.True(ask("hot", 1, true)) // the unserved one is less urgent
	for range 20 {
		record("b", 1, false)
	}
	now = now.Add(levelInterval)
	is.True(!ask("hot", 1, true))
	is.True(ask("b", 1, true))
	is.True(ask("hot", 1, false)) // no contention
	record("d", 1, true)
	is.Equal(s.members, 3) // bounded
	now = now.Add(memory + time.Second)
	record("d", 1, true)
	is.Equal(s.members, 1) // idle ones are forgotten
}
