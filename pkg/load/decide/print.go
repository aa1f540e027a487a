package decide

import (
	"fmt"
	"io"
	"math"
	"slices"
)

// series is the runs of one policy.
type series struct {
	name string
	runs []result
}

// goodputAt is the runs of the candidate at one load.
type goodputAt struct {
	percent int
	runs    []result
}

// printer writes Markdown tables and records the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) header(o Options, capacity float64) {
	if o.Fault != "" {
		p.printf("the first engine has the fault: %s\n", o.Fault)
	}
	p.printf("mix %s, %d engines, %d gateways, %d pairs of %v, seeds from %d, cost weight %g\n",
		o.Mix, o.Engines, o.Gateways, o.Pairs, o.Length, o.Seed, o.CostWeight)
	p.printf("capacity %.2f requests/s (the most at which the best simpler policy answers 99 %% in time)\n\n", capacity)
	p.printf("Medians over the pairs, lowest and highest in brackets; first token in ms, engine-seconds a request.\n\n")
}

func (p *printer) load(percent int, all []series) {
	p.printf("| %d %% load | p50 | p95 | p99 | p99 of policy / lilacweir | engine-s | wasted | engine-s of lilacweir / policy | refused %% | fairness |\n", percent)
	p.printf("|---|---|---|---|---|---|---|---|---|---|\n")
	candidate := all[0].runs
	for _, s := range all {
		p.printf("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", s.name,
			medianAndRange(len(s.runs), "%.0f", func(i int) float64 { return s.runs[i].percentile(50) }),
			medianAndRange(len(s.runs), "%.0f", func(i int) float64 { return s.runs[i].percentile(95) }),
			medianAndRange(len(s.runs), "%.0f", func(i int) float64 { return s.runs[i].percentile(99) }),
			medianAndRange(len(s.runs), "%.2f", func(i int) float64 { return s.runs[i].percentile(99) / candidate[i].percentile(99) }),
			medianAndRange(len(s.runs), "%.3f", func(i int) float64 { return s.runs[i].engineSeconds }),
			medianAndRange(len(s.runs), "%.3f", func(i int) float64 { return s.runs[i].wasted }),
			medianAndRange(len(s.runs), "%.2f", func(i int) float64 { return candidate[i].engineSeconds / s.runs[i].engineSeconds }),
			medianAndRange(len(s.runs), "%.1f", func(i int) float64 { return 100 * float64(s.runs[i].refusals) / float64(s.runs[i].offered) }),
			medianAndRange(len(s.runs), "%.3f", func(i int) float64 { return s.runs[i].fairness }))
	}
	p.printf("\n")
	p.answers(fmt.Sprintf("%d %% load", percent), all)
	p.best(all)
}

// best compares the candidate with the best of the simpler policies, seed by seed.
func (p *printer) best(all []series) {
	candidate := all[0].runs
	ratio := func(measure func(*result) float64) string {
		return medianAndRange(len(candidate), "%.2f", func(i int) float64 {
			lowest := measure(&all[1].runs[i])
			for _, s := range all[2:] {
				lowest = min(lowest, measure(&s.runs[i]))
			}
			return measure(&candidate[i]) / lowest
		})
	}
	p.printf("lilacweir / best simpler policy: p99 first token %s, engine-seconds %s; most beyond an engine's slots %s, grants without a place %s, attempts rejected %s\n\n",
		ratio(func(r *result) float64 { return r.percentile(99) }),
		ratio(func(r *result) float64 { return r.engineSeconds }),
		medianAndRange(len(candidate), "%.0f", func(i int) float64 { return float64(candidate[i].excess) }),
		medianAndRange(len(candidate), "%.0f", func(i int) float64 { return float64(candidate[i].unplacedGrants) }),
		medianAndRange(len(candidate), "%.0f", func(i int) float64 { return float64(candidate[i].rejections) }))
}

func (p *printer) goodput(o Options, all []goodputAt) {
	p.printf("| lilacweir at its own capacity | goodput/s | of that at 100 %% | the same by work | late | refused %% | fairness |\n|---|---|---|---|---|---|---|\n")
	for _, at := range all {
		p.printf("| %d %% | %s | %s | %s | %s | %s | %s |\n", at.percent,
			medianAndRange(len(at.runs), "%.2f", func(i int) float64 { return at.runs[i].goodput(o) }),
			medianAndRange(len(at.runs), "%.2f", func(i int) float64 { return at.runs[i].goodput(o) / all[0].runs[i].goodput(o) }),
			medianAndRange(len(at.runs), "%.2f", func(i int) float64 { return at.runs[i].workDone / all[0].runs[i].workDone }),
			medianAndRange(len(at.runs), "%.0f", func(i int) float64 { return float64(at.runs[i].served - at.runs[i].inTime) }),
			medianAndRange(len(at.runs), "%.1f", func(i int) float64 { return 100 * float64(at.runs[i].refusals) / float64(at.runs[i].offered) }),
			medianAndRange(len(at.runs), "%.3f", func(i int) float64 { return at.runs[i].fairness }))
	}
	p.printf("\n")
}

// medianAndRange formats the median, lowest and highest value, or "none" if the median
// is NaN.
func medianAndRange(n int, format string, value func(i int) float64) string {
	values := make([]float64, n)
	for i := range n {
		values[i] = value(i)
	}
	slices.Sort(values)
	if math.IsNaN(values[n/2]) {
		return "none"
	}
	text := func(v float64) string { return fmt.Sprintf(format, v) }
	return fmt.Sprintf("%s (%s-%s)", text(values[len(values)/2]), text(values[0]), text(values[len(values)-1]))
}

// spill writes the comparison of the spill variants, by phase.
func (p *printer) spill(o Options, capacity float64, all []spillSeries) {
	p.printf("mix %s, 3 regions of %d engines and %d gateways, %d pairs, seeds from %d, cost weight %g\n",
		o.Mix, o.Engines, o.Gateways, o.Pairs, o.Seed, o.CostWeight)
	p.printf("capacity of a region %.2f requests/s; medians, lowest and highest in brackets; first token in ms\n\n", capacity)
	for i, ph := range phases {
		p.printf("| %s | p50 | p95 | p99 | in time %% | refused %% | sent away %% |\n|---|---|---|---|---|---|---|\n", ph.name)
		for _, s := range all {
			at := func(run int) *phaseResult { return &s.runs[run].phases[i] }
			share := func(part func(*phaseResult) int) func(int) float64 {
				return func(run int) float64 { return at(run).percent(part(at(run))) }
			}
			quantile := func(q float64) func(int) float64 {
				return func(run int) float64 { return at(run).quantile(q) }
			}
			n := len(s.runs)
			p.printf("| %s | %s | %s | %s | %s | %s | %s |\n", s.name,
				medianAndRange(n, "%.0f", quantile(50)), medianAndRange(n, "%.0f", quantile(95)), medianAndRange(n, "%.0f", quantile(99)),
				medianAndRange(n, "%.1f", share(func(r *phaseResult) int { return r.inTime })),
				medianAndRange(n, "%.1f", share(func(r *phaseResult) int { return r.refused })),
				medianAndRange(n, "%.1f", share(func(r *phaseResult) int { return r.spilled })))
		}
		p.printf("\n")
	}
	p.printf("| whole run | turns | refused at the receiver | engine-s | wasted |\n|---|---|---|---|---|\n")
	for _, s := range all {
		n := len(s.runs)
		p.printf("| %s | %s | %s | %s | %s |\n", s.name,
			medianAndRange(n, "%.0f", func(i int) float64 { return float64(s.runs[i].reversals) }),
			medianAndRange(n, "%.0f", func(i int) float64 { return float64(s.runs[i].refusedByReceiver) }),
			medianAndRange(n, "%.3f", func(i int) float64 { return s.runs[i].all.engineSeconds }),
			medianAndRange(n, "%.3f", func(i int) float64 { return s.runs[i].all.wasted }))
	}
	p.printf("\n")
}
