package decide

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lilacweir/lilacweir/pkg/admission"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/timeline"
)

// result is the measurements of one run.
type result struct {
	// firstToken is in microseconds from the request's due time.
	firstToken *hdrhistogram.Histogram
	// betweenTokens and wholeAnswer are in microseconds too, the latter from the
	// due time.
	betweenTokens, wholeAnswer *hdrhistogram.Histogram
	// refusalClasses counts the refusals by class.
	refusalClasses refusalClasses
	// offered, served and refusals count requests; inTime counts those completed
	// before their deadline.
	offered, served, inTime, refusals int
	byReason                          map[outcome.Reason]int
	// demand and got are the offered work and the work completed in time, by caller.
	demand, got map[string]float64
	// engineSeconds is per served request; wasted is the share of it spent on
	// prefill that a warm cache would have saved.
	engineSeconds, wasted float64
	// workDone is the goodput in work per second.
	workDone float64
	// excess is the largest number of requests at one engine beyond its slots.
	// unplacedGrants counts grants that found no upstream below its limit.
	excess, unplacedGrants int
	// rejections counts attempts that engines rejected.
	rejections int
	fairness   float64
}

// Range of the histograms in microseconds, and their precision in decimal digits.
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

// recordFirstToken records a first token, which reaches the caller's gateway after
// returnDelay.
func (r *result) recordFirstToken(s *simulation, j *job, returnDelay time.Duration) {
	j.first = s.Now().Add(returnDelay).Sub(timeline.Epoch.Add(j.at))
	if s.measured(j) {
		_ = r.firstToken.RecordValue(int64(j.first / time.Microsecond))
	}
}

// recordBetweenTokens records the time between an answer's tokens, once per gap.
func (r *result) recordBetweenTokens(s *simulation, j *job, token time.Duration) {
	if s.measured(j) && j.answer > 1 {
		_ = r.betweenTokens.RecordValues(int64(token/time.Microsecond), int64(j.answer-1))
	}
}

// recordAnswer records a complete answer, which reaches the caller's gateway after
// returnDelay.
func (r *result) recordAnswer(s *simulation, j *job, returnDelay time.Duration) {
	j.inTime = !s.Now().Add(returnDelay).After(j.deadline())
	if !s.measured(j) {
		return
	}
	r.served++
	_ = r.wholeAnswer.RecordValue(int64(s.Now().Add(returnDelay).Sub(timeline.Epoch.Add(j.at)) / time.Microsecond))
	if j.inTime {
		r.workDone += work(j) / s.options.Length.Seconds()
		r.inTime++
		r.got[j.caller.Name] += work(j)
	}
}

func (r *result) recordExcess(e *engine) {
	r.excess = max(r.excess, e.running+len(e.queue)+1-engineSlots)
}

// finish computes the totals of the run. Engine-seconds are accumulated over the
// warm-up too and scaled to the measured share of the run.
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
	r.refusalClasses = s.classifyRefusals()
	r.fairness = fairness(r.demand, r.got)
}

func (r *result) percentile(p float64) float64 {
	return float64(r.firstToken.ValueAtPercentile(p)) / 1000
}

// goodput returns the requests per second that completed before their deadline.
func (r *result) goodput(o Options) float64 { return float64(r.inTime) / o.Length.Seconds() }
