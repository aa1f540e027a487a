package decide

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Lags and the warm-up, virtual time.
const (
	reportInterval = 250 * time.Millisecond
	gossipInterval = 500 * time.Millisecond
	warmUp         = time.Minute
	// tail is how long after the last arrival the run goes on.
	tail = time.Minute
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000, 0)

// seedStream separates this package's random streams from others of one seed.
const seedStream = 0x64656369

// simulation is one run of one policy.
type simulation struct {
	options  Options
	mix      *mix
	now      time.Time
	events   events
	order    int
	engines  []*engine
	gateways []*gateway
	jobs     []job
	result   result
	end      time.Time
}

func newSimulation(o Options, m *mix, p policy, rate float64, seed uint64) *simulation {
	s := &simulation{options: o, mix: m, now: epoch}
	for i := range o.Engines {
		s.engines = append(s.engines, newEngine(i))
	}
	for i := range o.Gateways {
		s.gateways = append(s.gateways, newGateway(s, p, i, seed))
	}
	rnd := rand.New(rand.NewPCG(seed, seedStream))
	s.jobs = m.arrivals(rnd, rate, warmUp+o.Length, o.Gateways)
	s.end = epoch.Add(warmUp + o.Length)
	s.result = newResult(m)
	return s
}

// Now implements clock.Clock in virtual time.
func (s *simulation) Now() time.Time { return s.now }

// measure runs to the end and returns what was seen.
func (s *simulation) measure() result {
	s.every(reportInterval, func() {
		for _, e := range s.engines {
			e.sample(s.now)
		}
	})
	for i, g := range s.gateways {
		g.compile()
		s.after(time.Duration(i)*reportInterval/time.Duration(len(s.gateways)), func() {
			s.every(reportInterval, g.compile)
		})
	}
	s.every(gossipInterval, func() {
		for _, g := range s.gateways {
			g.gossip()
		}
	})
	for i := range s.jobs {
		j := &s.jobs[i]
		s.after(j.at, func() { s.gateways[j.gateway].arrive(j) })
	}
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.result.finish(s)
	return s.result
}

// measured says whether an arrival counts.
func (s *simulation) measured(j *job) bool { return j.at >= warmUp }

func (s *simulation) after(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(delay), order: s.order, run: run})
}

// every runs now and then again until the tail is over.
func (s *simulation) every(interval time.Duration, run func()) {
	run()
	if s.now.Before(s.end.Add(tail)) {
		s.after(interval, func() { s.every(interval, run) })
	}
}

// event is something that happens at a virtual time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// events implements heap.Interface.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
