package decide

import "github.com/HdrHistogram/hdrhistogram-go"

// answers writes the latencies after the first token, and how many refusals were
// warranted.
func (p *printer) answers(title string, all []series) {
	p.printf("| %s | between tokens p50 | p95 | p99 | whole answer p50 | p95 | p99 | refusals | warranted | only with a warm cache | unwarranted |\n", title)
	p.printf("|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range all {
		count := func(of func(*result) int) string {
			return medianAndRange(len(s.runs), "%.0f", func(i int) float64 { return float64(of(&s.runs[i])) })
		}
		quantile := func(of func(*result) *hdrhistogram.Histogram, q float64) string {
			return medianAndRange(len(s.runs), "%.0f", func(i int) float64 { return float64(of(&s.runs[i]).ValueAtPercentile(q)) / 1000 })
		}
		between := func(r *result) *hdrhistogram.Histogram { return r.betweenTokens }
		whole := func(r *result) *hdrhistogram.Histogram { return r.wholeAnswer }
		p.printf("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", s.name,
			quantile(between, 50), quantile(between, 95), quantile(between, 99),
			quantile(whole, 50), quantile(whole, 95), quantile(whole, 99),
			count(func(r *result) int { return r.refusals }),
			count(func(r *result) int { return r.refusalClasses.warranted }),
			count(func(r *result) int { return r.refusalClasses.warmOnly }),
			count(func(r *result) int { return r.refusalClasses.unwarranted }))
	}
	p.printf("\n")
}
