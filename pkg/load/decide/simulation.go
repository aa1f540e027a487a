package decide

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/timeline"
)

// Reporting delays and warm-up in virtual time. The delays are those of the stand-in
// engines and of the agents: an engine samples its load, an agent polls it,
// heartbeats carry the gateways' load, and a gateway compiles its table.
const (
	sampleInterval  = 250 * time.Millisecond
	pollInterval    = time.Second
	gossipInterval  = time.Second
	digestInterval  = time.Second
	compileInterval = 500 * time.Millisecond
	linkDelay       = 55 * time.Millisecond

	warmUp = time.Minute
	// tail is the time for which the run continues after the last arrival.
	tail = time.Minute
)

// seedStream separates this package's random streams from others of one seed.
const seedStream = 0x64656369

// simulation is one run of one policy.
type simulation struct {
	timeline.Timeline
	options        Options
	mix            *mix
	variant        variant
	failureDomains []*failureDomain
	spills         spills
	engines        []*engine
	jobs           []job
	result         result
	end            time.Time
}

func newSimulation(o Options, m *mix, p policy, rate float64, seed uint64) *simulation {
	s := &simulation{options: o, mix: m, Timeline: timeline.New()}
	s.end = timeline.Epoch.Add(warmUp + o.Length)
	s.result = newResult(m)
	s.build(max(1, o.FailureDomains))
	s.spoil()
	constant := func(time.Duration) float64 { return rate }
	s.staff(p, seed)
	s.offer(seed, rate, func(int) func(time.Duration) float64 { return constant })
	return s
}

// build creates the failure domains and their engines.
func (s *simulation) build(failureDomains int) {
	for i := range failureDomains {
		h := &failureDomain{index: i, name: fmt.Sprintf("hall-%d", i), region: fmt.Sprintf("region-%d", i), heard: map[string]board.DomainDigest{}}
		for e := range s.options.Engines {
			h.engines = append(h.engines, newEngine(h, e))
		}
		s.engines = append(s.engines, h.engines...)
		s.failureDomains = append(s.failureDomains, h)
	}
}

// spoil applies the configured fault to the first engine.
func (s *simulation) spoil() {
	if s.options.Fault == "" {
		return
	}
	s.engines[0].rejects = s.options.Fault == FaultReject
	if s.engines[0].rejects {
		return
	}
	s.engines[0].slow = slowFactor
	s.engines[0].lies = s.options.Fault == FaultLie
}

// staff adds gateways to the failure domains.
func (s *simulation) staff(p policy, seed uint64) {
	for _, h := range s.failureDomains {
		for i := range s.options.Gateways {
			h.gateways = append(h.gateways, newGateway(s, h, p, i, seed))
		}
	}
}

// offer draws the requests of each failure domain.
func (s *simulation) offer(seed uint64, highest float64, rate func(failureDomain int) func(time.Duration) float64) {
	for i := range s.failureDomains {
		rnd := rand.New(rand.NewPCG(seed, seedStream+uint64(i)))
		s.jobs = append(s.jobs, s.mix.arrivals(rnd, highest, rate(i), warmUp+s.options.Length, i, s.options.Gateways)...)
	}
}

// measure plays the simulation to its end and returns the measurements.
func (s *simulation) measure() result {
	s.every(sampleInterval, func() {
		for _, e := range s.engines {
			e.sample(s.Now())
		}
	})
	for _, h := range s.failureDomains {
		s.every(pollInterval, func() { h.poll() })
		s.every(digestInterval, func() { h.tell(s) })
		for i, g := range h.gateways {
			g.compile()
			s.After(time.Duration(i+1)*compileInterval/time.Duration(len(h.gateways)), func() {
				s.every(compileInterval, g.compile)
				s.every(gossipInterval, g.gossip)
			})
		}
	}
	for i := range s.jobs {
		j := &s.jobs[i]
		s.After(j.at, func() { s.failureDomains[j.failureDomain].gateways[j.gateway].arrive(j) })
	}
	s.Play()
	s.result.finish(s)
	return s.result
}

// measured returns whether a request arrived after the warm-up.
func (s *simulation) measured(j *job) bool { return j.at >= warmUp }

// every calls run at an interval until the end of the tail.
func (s *simulation) every(interval time.Duration, run func()) {
	s.Every(interval, s.end.Add(tail+interval), run)
}
