package decide

import (
	"strings"
	"time"
)

// day writes the comparison over a day, by hour and in total.
func (p *printer) day(o Options, capacity float64, days []daySeries) {
	p.printf("mix %s, %d regions of %d engines and %d gateways, %d pairs, seeds from %d, cost weight %g\n",
		o.Mix, o.FailureDomains, o.Engines, o.Gateways, o.Pairs, o.Seed, o.CostWeight)
	p.printf("an hour is %v; load from %.2f to %.2f of a region's capacity (%.2f requests/s), peaks %g h apart\n\n",
		o.Day.Hour, o.Day.Peak/o.Day.PeakToTrough, o.Day.Peak, capacity, o.Day.Offset)
	p.printf("Medians over the pairs, lowest and highest in brackets; first token in ms.\n\n")
	for _, table := range dayTables {
		p.hours(o, days, table)
	}
	p.printf("| all regions, whole day | p50 | p95 | p99 | in time %% | refused %% | sent away %% | turns | refused at the receiver | engine-s | wasted |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for i := range days {
		p.wholeDay(&days[i])
	}
	p.printf("\n")
	all := make([]series, len(days))
	for i, d := range days {
		all[i].name = d.name
		for _, run := range d.runs {
			all[i].runs = append(all[i].runs, run.all.all)
		}
	}
	p.answers("all regions, whole day", all)
	p.interRegionTraffic(days)
}

// dayTable is one measure of the first region's requests, hour by hour.
type dayTable struct {
	name, format string
	value        func(*dayResult, *phaseResult, phase) float64
}

var dayTables = []dayTable{
	{"p95 first token", "%.0f", func(_ *dayResult, r *phaseResult, _ phase) float64 { return r.quantile(95) }},
	{"p99 first token", "%.0f", func(_ *dayResult, r *phaseResult, _ phase) float64 { return r.quantile(99) }},
	{"sent away %", "%.1f", func(_ *dayResult, r *phaseResult, _ phase) float64 { return r.percent(r.spilled) }},
	{"refused %", "%.1f", func(_ *dayResult, r *phaseResult, _ phase) float64 { return r.percent(r.refused) }},
	{"most waiting", "%.0f", func(d *dayResult, _ *phaseResult, ph phase) float64 { return float64(d.mostWaiting(ph)) }},
}

// hours writes one measure with a row per hour and a column per variant.
func (p *printer) hours(o Options, days []daySeries, table dayTable) {
	p.printf("| first region, hour | load |")
	for _, d := range days {
		p.printf(" %s: %s |", table.name, d.name)
	}
	p.printf("\n|%s\n", strings.Repeat("---|", 2+len(days)))
	for hour, ph := range o.Day.hours() {
		p.printf("| %s | %.2f |", ph.name, o.Day.level(0, (ph.from+ph.to)/2))
		for _, d := range days {
			p.printf(" %s |", medianAndRange(len(d.runs), table.format, func(run int) float64 {
				return table.value(&d.runs[run], &d.runs[run].first.phases[hour], ph)
			}))
		}
		p.printf("\n")
	}
	p.printf("\n")
}

func (p *printer) wholeDay(d *daySeries) {
	n := len(d.runs)
	at := func(run int) *phaseResult { return &d.runs[run].all.whole }
	p.printf("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", d.name,
		medianAndRange(n, "%.0f", func(run int) float64 { return at(run).quantile(50) }),
		medianAndRange(n, "%.0f", func(run int) float64 { return at(run).quantile(95) }),
		medianAndRange(n, "%.0f", func(run int) float64 { return at(run).quantile(99) }),
		medianAndRange(n, "%.1f", func(run int) float64 { return at(run).percent(at(run).inTime) }),
		medianAndRange(n, "%.1f", func(run int) float64 { return at(run).percent(at(run).refused) }),
		medianAndRange(n, "%.1f", func(run int) float64 { return at(run).percent(at(run).spilled) }),
		medianAndRange(n, "%.0f", func(run int) float64 { return float64(d.runs[run].all.reversals) }),
		medianAndRange(n, "%.0f", func(run int) float64 { return float64(d.runs[run].all.refusedByReceiver) }),
		medianAndRange(n, "%.3f", func(run int) float64 { return d.runs[run].all.all.engineSeconds }),
		medianAndRange(n, "%.3f", func(run int) float64 { return d.runs[run].all.all.wasted }))
}

// interRegionTraffic writes the traffic between regions and the prefill wasted on
// cold caches.
func (p *printer) interRegionTraffic(days []daySeries) {
	p.printf("| all regions, whole day | MB between regions | prefill wasted, engine-seconds |\n|---|---|---|\n")
	for _, d := range days {
		p.printf("| %s | %s | %s |\n", d.name,
			medianAndRange(len(d.runs), "%.1f", func(run int) float64 { return float64(d.runs[run].all.bytes) / bytesPerMegabyte }),
			medianAndRange(len(d.runs), "%.0f", func(run int) float64 {
				r := &d.runs[run].all.all
				return r.wasted * float64(r.served)
			}))
	}
	p.printf("\n")
}

const bytesPerMegabyte = 1e6

// mostWaiting returns the longest queue of a phase.
func (d *dayResult) mostWaiting(ph phase) int {
	most := 0
	for i, waiting := range d.queue {
		at := time.Duration(i) * queueInterval
		if at >= ph.from && at < ph.to {
			most = max(most, waiting)
		}
	}
	return most
}
