package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Range of the histograms in microseconds, and their precision in decimal digits.
const (
	lowest  = 1
	highest = int64(5 * time.Minute / time.Microsecond)
	digits  = 3
)

// Tally is the measurements of one kind of request, or of one caller.
type Tally struct {
	Item string
	// Sent counts requests and is the sum of the three outcomes.
	Sent, Complete, NotRun, Unknown int
	// Remote counts the answers that came from another region than the caller's home.
	Remote int
	// Chunks counts stream chunks.
	Chunks int
	// FirstToken, BetweenTokens and Whole are in microseconds. FirstToken and
	// Whole count from the time at which the request was due.
	FirstToken, BetweenTokens, Whole *hdrhistogram.Histogram
}

func newTally(item string) *Tally {
	return &Tally{Item: item, FirstToken: newHistogram(), BetweenTokens: newHistogram(), Whole: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest, highest, digits)
}

// merge adds another tally.
func (t *Tally) merge(other *Tally) {
	t.Sent += other.Sent
	t.Complete += other.Complete
	t.NotRun += other.NotRun
	t.Unknown += other.Unknown
	t.Remote += other.Remote
	t.Chunks += other.Chunks
	t.FirstToken.Merge(other.FirstToken)
	t.BetweenTokens.Merge(other.BetweenTokens)
	t.Whole.Merge(other.Whole)
}

// Failure describes a request whose outcome was not complete.
type Failure struct {
	Item, Caller, RequestID string
	Outcome                 outcome.Outcome
	Reason                  outcome.Reason
	Err                     error
}

// maxFailures bounds the failures that a report retains.
const maxFailures = 1000

// Report is the result of a Run.
type Report struct {
	mu sync.Mutex
	// Items holds a tally for each kind of request, in the mix's order.
	Items []*Tally
	// ByCaller holds a tally for each caller, in the mix's order.
	ByCaller []*Tally
	// Failures describes the first maxFailures requests that were not complete.
	Failures []Failure
	// Cost is the work of the upstreams; nil if it was not read.
	Cost *Cost
	// Elapsed is the duration of the run.
	Elapsed time.Duration
}

func newReport(mix *Mix) *Report {
	report := &Report{}
	for _, item := range mix.Items {
		report.Items = append(report.Items, newTally(item.Name))
	}
	for _, caller := range mix.Callers {
		report.ByCaller = append(report.ByCaller, newTally(caller.Name))
	}
	return report
}

// Total returns the sum of the items.
func (r *Report) Total() *Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := newTally("total")
	for _, tally := range r.Items {
		total.merge(tally)
	}
	return total
}

// sample is the measurements of one request.
type sample struct {
	request request
	answer  *client.Answer
	remote  bool
	first   time.Duration
	gaps    []time.Duration
	whole   time.Duration
}

func (r *Report) add(s *sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, tally := range r.Items {
		if tally.Item == s.request.item.Name {
			tally.add(s)
		}
	}
	for _, tally := range r.ByCaller {
		if tally.Item == s.request.caller {
			tally.add(s)
		}
	}
	if s.answer.Outcome != outcome.Complete && len(r.Failures) < maxFailures {
		r.Failures = append(r.Failures, failureOf(s))
	}
}

func failureOf(s *sample) Failure {
	return Failure{
		Item: s.request.item.Name, Caller: s.request.caller, RequestID: s.answer.RequestID,
		Outcome: s.answer.Outcome, Reason: s.answer.Refusal.Type, Err: s.answer.Err,
	}
}

func (t *Tally) add(s *sample) {
	t.Sent++
	t.Chunks += s.answer.Chunks
	if s.remote {
		t.Remote++
	}
	switch s.answer.Outcome {
	case outcome.Complete:
		t.Complete++
	case outcome.NotRun:
		t.NotRun++
		return
	default:
		t.Unknown++
		return
	}
	record(t.Whole, s.whole)
	if s.first > 0 {
		record(t.FirstToken, s.first)
	}
	for _, gap := range s.gaps {
		record(t.BetweenTokens, gap)
	}
}

// record adds a duration to a histogram, clamped to its range.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), lowest), highest))
}
