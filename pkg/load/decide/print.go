package decide

import (
	"fmt"
	"io"
	"slices"
)

// series is one policy's runs.
type series struct {
	name string
	runs []result
}

// goodputAt is the candidate's runs at one load.
type goodputAt struct {
	percent int
	runs    []result
}

// printer writes tables in Markdown and keeps the first error.
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
			spread(s.runs, "%.0f", func(i int) float64 { return s.runs[i].percentile(50) }),
			spread(s.runs, "%.0f", func(i int) float64 { return s.runs[i].percentile(95) }),
			spread(s.runs, "%.0f", func(i int) float64 { return s.runs[i].percentile(99) }),
			spread(s.runs, "%.2f", func(i int) float64 { return s.runs[i].percentile(99) / candidate[i].percentile(99) }),
			spread(s.runs, "%.3f", func(i int) float64 { return s.runs[i].engineSeconds }),
			spread(s.runs, "%.3f", func(i int) float64 { return s.runs[i].wasted }),
			spread(s.runs, "%.2f", func(i int) float64 { return candidate[i].engineSeconds / s.runs[i].engineSeconds }),
			spread(s.runs, "%.1f", func(i int) float64 { return 100 * float64(s.runs[i].refusals) / float64(s.runs[i].offered) }),
			spread(s.runs, "%.3f", func(i int) float64 { return s.runs[i].fairness }))
	}
	p.printf("\n")
	p.best(all)
}

// best compares the candidate, seed by seed, with whichever simpler policy did
// best with that seed.
func (p *printer) best(all []series) {
	candidate := all[0].runs
	ratio := func(measure func(*result) float64) string {
		return spread(candidate, "%.2f", func(i int) float64 {
			lowest := measure(&all[1].runs[i])
			for _, s := range all[2:] {
				lowest = min(lowest, measure(&s.runs[i]))
			}
			return measure(&candidate[i]) / lowest
		})
	}
	p.printf("lilacweir / best simpler policy: p99 first token %s, engine-seconds %s; most beyond an engine's slots %s, grants without a place %s\n\n",
		ratio(func(r *result) float64 { return r.percentile(99) }),
		ratio(func(r *result) float64 { return r.engineSeconds }),
		spread(candidate, "%.0f", func(i int) float64 { return float64(candidate[i].excess) }),
		spread(candidate, "%.0f", func(i int) float64 { return float64(candidate[i].lostPlaces) }))
}

func (p *printer) goodput(o Options, all []goodputAt) {
	p.printf("| lilacweir at its own capacity | goodput/s | of that at 100 %% | the same by work | late | refused %% | fairness |\n|---|---|---|---|---|---|---|\n")
	for _, at := range all {
		p.printf("| %d %% | %s | %s | %s | %s | %s | %s |\n", at.percent,
			spread(at.runs, "%.2f", func(i int) float64 { return at.runs[i].goodput(o) }),
			spread(at.runs, "%.2f", func(i int) float64 { return at.runs[i].goodput(o) / all[0].runs[i].goodput(o) }),
			spread(at.runs, "%.2f", func(i int) float64 { return at.runs[i].workDone / all[0].runs[i].workDone }),
			spread(at.runs, "%.0f", func(i int) float64 { return float64(at.runs[i].served - at.runs[i].inTime) }),
			spread(at.runs, "%.1f", func(i int) float64 { return 100 * float64(at.runs[i].refusals) / float64(at.runs[i].offered) }),
			spread(at.runs, "%.3f", func(i int) float64 { return at.runs[i].fairness }))
	}
	p.printf("\n")
}

// spread formats the median, and the lowest and highest value.
func spread(runs []result, format string, value func(i int) float64) string {
	values := make([]float64, len(runs))
	for i := range runs {
		values[i] = value(i)
	}
	slices.Sort(values)
	text := func(v float64) string { return fmt.Sprintf(format, v) }
	return fmt.Sprintf("%s (%s-%s)", text(values[len(values)/2]), text(values[0]), text(values[len(values)-1]))
}
