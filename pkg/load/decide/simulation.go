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
	s.injectFault()
	constant := func(time.Duration) float64 { return rate }
	s.addGateways(p, seed)
	s.addArrivals(seed, rate, func(int) func(time.Duration) float64 { return constant })
	return s
}

// build creates the failure domains and their engines.
func (s *simulation) build(failureDomains int) {
	for i := range failureDomains {
		fd := &failureDomain{index: i, name: fmt.Sprintf("hall-%d", i), region: fmt.Sprintf("region-%d", i), received: map[string]board.DomainDigest{}}
		for e := range s.options.Engines {
			fd.engines = append(fd.engines, newEngine(fd, e))
		}
		s.engines = append(s.engines, fd.engines...)
		s.failureDomains = append(s.failureDomains, fd)
	}
}

// injectFault applies the configured fault to the first engine.
func (s *simulation) injectFault() {
	if s.options.Fault == "" {
		return
	}
	s.engines[0].rejects = s.options.Fault == FaultReject
	if s.engines[0].rejects {
		return
	}
	s.engines[0].slowdown = slowFactor
	s.engines[0].misreports = s.options.Fault == FaultMisreport
}

// addGateways adds gateways to the failure domains.
func (s *simulation) addGateways(p policy, seed uint64) {
	for _, fd := range s.failureDomains {
		for i := range s.options.Gateways {
			fd.gateways = append(fd.gateways, newGateway(s, fd, p, i, seed))
		}
	}
}

// addArrivals draws the requests of each failure domain.
func (s *simulation) addArrivals(seed uint64, highest float64, rate func(failureDomain int) func(time.Duration) float64) {
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
	for _, fd := range s.failureDomains {
		s.every(pollInterval, func() { fd.poll() })
		s.every(digestInterval, func() { fd.publishDigest(s) })
		for i, g := range fd.gateways {
			g.compile()
			s.After(time.Duration(i+1)*compileInterval/time.Duration(len(fd.gateways)), func() {
				s.every(compileInterval, g.compile)
				s.every(gossipInterval, g.gossip)
			})
		}
	}
	for i := range s.jobs {
		j := &s.jobs[i]
		s.After(j.at, func() { s.failureDomains[j.failureDomain].gateways[j.gateway].arrive(j) })
	}
	s.Run()
	s.result.finish(s)
	return s.result
}

// measured returns whether a request arrived after the warm-up.
func (s *simulation) measured(j *job) bool { return j.at >= warmUp }

// every calls run at an interval until the end of the tail.
func (s *simulation) every(interval time.Duration, run func()) {
	s.Every(interval, s.end.Add(tail+interval), run)
}
