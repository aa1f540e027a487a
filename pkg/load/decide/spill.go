package decide

import (
	"io"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lilacweir/lilacweir/pkg/timeline"
)

// failureDomains is the number of failure domains in the comparison of spill
// variants, each a region of its own.
const failureDomains = 3

// phase is an interval of the scenario; requests belong to it by their arrival.
type phase struct {
	name     string
	from, to time.Duration
}

// phases holds the phases of the scenario, from the end of the warm-up. The first
// failure domain peaks from minute 2 to 5, and its link to the second is cut from 3
// to 4. The second loses all engines but one from 6 to 8.
var phases = []phase{
	{"even", 0, 2 * time.Minute},
	{"peak", 2 * time.Minute, 3 * time.Minute},
	{"peak, a link cut", 3 * time.Minute, 4 * time.Minute},
	{"peak, healed", 4 * time.Minute, 5 * time.Minute},
	{"region short", 6 * time.Minute, 8 * time.Minute},
	{"region back", 8 * time.Minute, 10 * time.Minute},
}

// Loads of the scenario, as fractions of a failure domain's capacity.
const (
	evenLoad = 0.5
	peakLoad = 1.2
)

const (
	peakFrom, peakTo   = 2 * time.Minute, 5 * time.Minute
	cutFrom, cutTo     = 3 * time.Minute, 4 * time.Minute
	shortFrom, shortTo = 6 * time.Minute, 8 * time.Minute
	scenarioLength     = 10 * time.Minute
)

// RunSpill compares the spill variants during a peak, a cut link and the loss of
// engines, and writes tables to w.
func RunSpill(w io.Writer, o Options) error {
	mix, err := mixOf(o.Mix)
	if err != nil {
		return err
	}
	o.FailureDomains = 1
	capacity := capacityOf(o, mix, policies[0])
	o.FailureDomains = failureDomains
	o.Length = scenarioLength
	results := make([]spillSeries, len(variants))
	for pair := range o.Pairs {
		for i := range variants {
			at := (i + pair) % len(variants)
			results[at].name = variants[at].name
			results[at].runs = append(results[at].runs, runScenario(o, mix, variants[at], capacity, o.Seed+uint64(pair)))
		}
	}
	out := &printer{w: w}
	out.spill(o, capacity, results)
	return out.err
}

// spillSeries is the runs of one variant.
type spillSeries struct {
	name string
	runs []spillResult
}

// spillResult is one run, by phase and in total.
type spillResult struct {
	phases            []phaseResult
	whole             phaseResult
	refusedByReceiver int
	reversals         int
	// bytes is the traffic between regions, including the warm-up.
	bytes int
	all   result
}

// phaseResult counts the requests that arrived in a phase.
type phaseResult struct {
	firstToken                *hdrhistogram.Histogram
	offered, refused, spilled int
	inTime                    int
}

func runScenario(o Options, m *mix, v variant, capacity float64, seed uint64) spillResult {
	s := newRegions(o, m, v, seed)
	s.addArrivals(seed, peakLoad*capacity, func(failureDomain int) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if failureDomain == 0 && at >= warmUp+peakFrom && at < warmUp+peakTo {
				return peakLoad * capacity
			}
			return evenLoad * capacity
		}
	})
	s.scheduleFaults()
	all := s.measure()
	return s.byPhase(all, phases, func(*job) bool { return true })
}

// newRegions returns a simulation of several regions that spill to each other.
func newRegions(o Options, m *mix, v variant, seed uint64) *simulation {
	s := &simulation{options: o, mix: m, variant: v, Timeline: timeline.New()}
	s.end = timeline.Epoch.Add(warmUp + o.Length)
	s.result = newResult(m)
	s.spills.bins = map[int][]float64{}
	s.build(failureDomains)
	s.addGateways(policies[0], seed)
	return s
}

// scheduleFaults schedules the link cut and the loss of engines.
func (s *simulation) scheduleFaults() {
	first, second := s.failureDomains[0], s.failureDomains[1]
	s.After(warmUp+cutFrom, func() {
		first.cutFrom = map[string]bool{second.name: true}
		second.cutFrom = map[string]bool{first.name: true}
	})
	s.After(warmUp+cutTo, func() { first.cutFrom, second.cutFrom = nil, nil })
	s.takeDown(second.engines[1:], warmUp+shortFrom, warmUp+shortTo)
}

// byPhase groups the measured requests accepted by keep by their phase of arrival.
func (s *simulation) byPhase(all result, phases []phase, keep func(*job) bool) spillResult {
	out := spillResult{refusedByReceiver: s.spills.refusedByReceiver, reversals: s.spills.reversals(), bytes: s.spills.bytes, all: all}
	for _, ph := range phases {
		out.phases = append(out.phases, s.phase(ph, keep))
	}
	out.whole = s.phase(phase{to: s.options.Length}, keep)
	return out
}

func (s *simulation) phase(ph phase, keep func(*job) bool) phaseResult {
	p := phaseResult{firstToken: hdrhistogram.New(shortest, longest, digits)}
	for i := range s.jobs {
		j := &s.jobs[i]
		if j.at >= warmUp+ph.from && j.at < warmUp+ph.to && keep(j) {
			p.add(j)
		}
	}
	return p
}

func (p *phaseResult) percent(count int) float64 {
	return 100 * float64(count) / float64(max(1, p.offered))
}

// quantile returns a percentile of the time to first token in milliseconds, NaN if
// there was none.
func (p *phaseResult) quantile(q float64) float64 {
	if p.firstToken.TotalCount() == 0 {
		return math.NaN()
	}
	return float64(p.firstToken.ValueAtPercentile(q)) / 1000
}

func (p *phaseResult) add(j *job) {
	p.offered++
	if len(j.tried) > 0 {
		p.spilled++
	}
	if j.refused {
		p.refused++
	}
	if j.first > 0 {
		_ = p.firstToken.RecordValue(int64(j.first / time.Microsecond))
	}
	if j.inTime {
		p.inTime++
	}
}
