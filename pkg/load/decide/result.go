package decide

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lilacweir/lilacweir/pkg/admission"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/timeline"
)

// result is what one run showed.
type result struct {
	// firstToken is in microseconds from when the request was due.
	firstToken *hdrhistogram.Histogram
	// betweenTokens and wholeAnswer are in microseconds too, the latter from
	// when the request was due.
	betweenTokens, wholeAnswer *hdrhistogram.Histogram
	// verdicts judges the refusals.
	verdicts verdicts
	// offered, served and refusals count requests; inTime those that were whole
	// before their deadline.
	offered, served, inTime, refusals int
	byReason                          map[outcome.Reason]int
	// demand and got are work by caller.
	demand, got map[string]float64
	// engineSeconds is for each request that was served, wasted the part that is
	// prefill which a warm cache would have saved.
	engineSeconds, wasted float64
	// workDone is the goodput in work a second.
	workDone float64
	// excess is the most that gateways together had at one engine beyond its
	// slots; lostPlaces counts grants that found no upstream below its limit.
	excess, lostPlaces int
	// rejections counts attempts that an engine did not start.
	rejections int
	fairness   float64
}

// Bounds of the histogram, microseconds.
const (
	shortest = 100
	longest  = int64(10 * time.Minute / time.Microsecond)
	digits   = 3
)

func newResult(m *mix) result {
	r := result{
		firstToken:    hdrhistogram.New(shortest, longest, digits),
		betweenTokens: hdrhistogram.New(shortest, longest, digits),
		wholeAnswer:   hdrhistogram.New(shortest, longest, digits),
		byReason:      map[outcome.Reason]int{},
		demand:        map[string]float64{}, got: map[string]float64{},
	}
	for _, c := range m.callers {
		r.demand[c.caller.Name] = 0
	}
	return r
}

func work(j *job) float64 { return float64(admission.Cost(j.prompt(), j.kind.answer)) }

func (r *result) refused(_ *job, refusal *outcome.Refusal) {
	r.refusals++
	r.byReason[refusal.Reason]++
}

// first records a first token that reaches the caller's gateway after the way back.
func (r *result) first(s *simulation, j *job, wayBack time.Duration) {
	j.first = s.Now().Add(wayBack).Sub(timeline.Epoch.Add(j.at))
	if s.measured(j) {
		_ = r.firstToken.RecordValue(int64(j.first / time.Microsecond))
	}
}

// between records the time between an answer's tokens, once for each gap.
func (r *result) between(s *simulation, j *job, token time.Duration) {
	if s.measured(j) && j.answer > 1 {
		_ = r.betweenTokens.RecordValues(int64(token/time.Microsecond), int64(j.answer-1))
	}
}

// whole records a whole answer.
func (r *result) whole(s *simulation, j *job, wayBack time.Duration) {
	j.inTime = !s.Now().Add(wayBack).After(j.deadline())
	if !s.measured(j) {
		return
	}
	r.served++
	_ = r.wholeAnswer.RecordValue(int64(s.Now().Add(wayBack).Sub(timeline.Epoch.Add(j.at)) / time.Microsecond))
	if j.inTime {
		r.workDone += work(j) / s.options.Length.Seconds()
		r.inTime++
		r.got[j.caller.Name] += work(j)
	}
}

func (r *result) over(e *engine) {
	r.excess = max(r.excess, e.running+len(e.queue)+1-engineSlots)
}

// finish computes what needs the whole run. Engine-seconds are those of the whole
// run, warm-up included, over all requests of it that were served.
func (r *result) finish(s *simulation) {
	for i := range s.jobs {
		if s.measured(&s.jobs[i]) {
			r.offered++
			r.demand[s.jobs[i].caller.Name] += work(&s.jobs[i])
		}
	}
	var seconds, wasted float64
	for _, e := range s.engines {
		seconds += e.prefillSeconds + e.decodeSeconds
		wasted += e.wasted
	}
	share := s.options.Length.Seconds() / (warmUp + s.options.Length).Seconds()
	r.engineSeconds = share * seconds / float64(max(1, r.served))
	r.wasted = share * wasted / float64(max(1, r.served))
	r.verdicts = s.judge()
	r.fairness = fairness(r.demand, r.got)
}

func (r *result) percentile(p float64) float64 {
	return float64(r.firstToken.ValueAtPercentile(p)) / 1000
}

// goodput is requests a second that were whole before their deadline.
func (r *result) goodput(o Options) float64 { return float64(r.inTime) / o.Length.Seconds() }
