package decide

import (
	"fmt"
	"io"
	"math"
	"time"
)

// hoursPerDay is the number of hours in a day; Day.Hour is the length of each.
const hoursPerDay = 24

// Day describes the load of a day in regions with offset peaks, in compressed time.
type Day struct {
	// Hour is the virtual time that represents an hour.
	Hour time.Duration
	// Peak is the highest load as a fraction of a region's capacity.
	Peak float64
	// PeakToTrough is the ratio of the highest load to the lowest.
	PeakToTrough float64
	// Offset is the delay in hours of each region's peak after the previous region's.
	Offset float64
	// Lose takes down all engines of the first region from an hour before its peak
	// until an hour after it; they return with cold caches.
	Lose bool
}

// Peak of the first region, and the start and end of its outage, in hours.
const (
	peakHour             = hoursPerDay / 2
	outageFrom, outageTo = peakHour - 1, peakHour + 1
)

// level returns the load of a region as a fraction of its capacity, at a time since
// the start of the day. It follows a cosine between trough and peak.
func (d Day) level(failureDomain int, at time.Duration) float64 {
	trough := d.Peak / d.PeakToTrough
	hour := float64(at)/float64(d.Hour) - d.Offset*float64(failureDomain)
	return trough + (d.Peak-trough)*(1-math.Cos(2*math.Pi*hour/hoursPerDay))/2
}

func (d Day) check() error {
	if d.Hour <= 0 || d.Peak <= 0 || d.PeakToTrough < 1 {
		return &OptionError{Name: "day", Value: fmt.Sprint(d.Hour, d.Peak, d.PeakToTrough)}
	}
	return nil
}

// hours returns one phase for each hour of the day.
func (d Day) hours() []phase {
	out := make([]phase, hoursPerDay)
	for i := range out {
		out[i] = phase{fmt.Sprint(i), time.Duration(i) * d.Hour, time.Duration(i+1) * d.Hour}
	}
	return out
}

// daySeries is the results of one variant.
type daySeries struct {
	name string
	runs []dayResult
}

// dayResult is the result of one day by hour, for all regions together and for the
// first alone.
type dayResult struct {
	all, first spillResult
	// queue is the number of requests waiting in the first region, one sample per
	// queueInterval.
	queue []int
}

// queueInterval is the interval between samples of the queue.
const queueInterval = time.Second

// RunDay compares the spill variants over a day and writes tables to w.
func RunDay(w io.Writer, o Options) error {
	days, capacity, err := measureDays(&o)
	if err != nil {
		return err
	}
	out := &printer{w: w}
	out.day(o, capacity, days)
	return out.err
}

func measureDays(o *Options) ([]daySeries, float64, error) {
	mix, err := mixOf(o.Mix)
	if err != nil {
		return nil, 0, err
	}
	if err := o.Day.check(); err != nil {
		return nil, 0, err
	}
	o.FailureDomains = 1
	capacity := capacityOf(*o, mix, policies[0])
	o.FailureDomains = failureDomains
	o.Length = hoursPerDay * o.Day.Hour
	days := make([]daySeries, len(variants))
	for pair := range o.Pairs {
		for i := range variants {
			at := (i + pair) % len(variants)
			days[at].name = variants[at].name
			days[at].runs = append(days[at].runs, runDay(*o, mix, variants[at], capacity, o.Seed+uint64(pair)))
		}
	}
	return days, capacity, nil
}

func runDay(o Options, m *mix, v variant, capacity float64, seed uint64) dayResult {
	s := newRegions(o, m, v, seed)
	s.addArrivals(seed, o.Day.Peak*capacity, func(failureDomain int) func(time.Duration) float64 {
		return func(at time.Duration) float64 { return capacity * o.Day.level(failureDomain, at-warmUp) }
	})
	if o.Day.Lose {
		s.takeDown(s.failureDomains[0].engines, warmUp+outageFrom*o.Day.Hour, warmUp+outageTo*o.Day.Hour)
	}
	var out dayResult
	s.After(warmUp, func() {
		s.every(queueInterval, func() { out.queue = append(out.queue, s.failureDomains[0].waiting()) })
	})
	all := s.measure()
	out.all = s.byPhase(all, o.Day.hours(), func(*job) bool { return true })
	out.first = s.byPhase(all, o.Day.hours(), func(j *job) bool { return j.failureDomain == 0 })
	return out
}

// waiting counts the requests queued in a failure domain, at gateways and engines.
func (fd *failureDomain) waiting() int {
	total := 0
	for _, g := range fd.gateways {
		total += len(g.waiting)
	}
	for _, e := range fd.engines {
		total += len(e.queue)
	}
	return total
}

// takeDown takes engines down between two times; they return with cold caches.
func (s *simulation) takeDown(engines []*engine, from, to time.Duration) {
	s.After(from, func() {
		for _, e := range engines {
			e.lost = true
			e.recordLoad(s)
		}
	})
	s.After(to, func() {
		for _, e := range engines {
			e.lost = false
			e.recordLoad(s)
			e.cache = newCache()
		}
	})
}
