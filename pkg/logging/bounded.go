package logging

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
)

// Budgets of a Bounded logger, in lines a second. They are separate, so that no kind of line
// starves the others.
const (
	// goodBudget bounds the lines of successful requests.
	goodBudget = 50
	// stepBudget bounds the steps of requests that failed or were slow.
	stepBudget = 200
	// failedBudget bounds the ends of those. In a total outage one instance refuses hundreds
	// of requests a second, and an operator may look up any of them.
	failedBudget = 400
	// bufferedLines is the number of lines buffered for a stalled reader. Further lines are
	// dropped and counted.
	bufferedLines = 2000
	// drainInterval is the interval at which buffered lines are written.
	drainInterval = 20 * time.Millisecond
)

// Bounded writes lines within budgets and never blocks on a slow reader. Dropped lines are
// counted, and the count is logged.
type Bounded struct {
	writer              diode.Writer
	dropped             atomic.Int64
	good, steps, failed budget
}

// NewBounded returns a Bounded that writes to w. Close writes the buffered lines.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{good: budget{size: goodBudget}, steps: budget{size: stepBudget}, failed: budget{size: failedBudget}}
	b.writer = diode.NewWriter(w, bufferedLines, drainInterval, func(missed int) { b.dropped.Add(int64(missed)) })
	return b
}

// Write implements io.Writer. It does not block.
func (b *Bounded) Write(line []byte) (int, error) { return b.writer.Write(line) }

// Close writes the buffered lines.
func (b *Bounded) Close() error { return b.writer.Close() }

// Good returns the budget of lines about successful requests.
func (b *Bounded) Good() zerolog.Sampler { return &b.good }

// Steps returns the budget of the steps of requests that failed or were slow.
func (b *Bounded) Steps() zerolog.Sampler { return &b.steps }

// Failed returns the budget of failures and of the ends of such requests.
func (b *Bounded) Failed() zerolog.Sampler { return &b.failed }

// reportInterval is the interval at which the counts of dropped lines are logged.
const reportInterval = 5 * time.Second

// Run logs the counts of dropped lines until ctx ends.
func (b *Bounded) Run(ctx context.Context, log zerolog.Logger) {
	for clock.Sleep(ctx, reportInterval) {
		b.report(log)
	}
	b.report(log)
}

func (b *Bounded) report(log zerolog.Logger) {
	good, steps, failed := b.good.excess.Swap(0), b.steps.excess.Swap(0), b.failed.excess.Swap(0)
	dropped := b.dropped.Swap(0)
	if good+steps+failed+dropped > 0 {
		log.Warn().Int64(event.KeyGood, good).Int64(event.KeySteps, steps).Int64(event.KeyFailed, failed).
			Int64(event.KeyReaderStalled, dropped).Msg(string(event.LinesLeftOut))
	}
}

// budget permits size lines in each second and counts the lines over it.
type budget struct {
	size   int
	excess atomic.Int64
	mu     sync.Mutex
	second int64
	used   int
}

// Sample implements zerolog.Sampler.
func (b *budget) Sample(zerolog.Level) bool {
	if b.allow(time.Now()) {
		return true
	}
	b.excess.Add(1)
	return false
}

func (b *budget) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.used = second, 0
	}
	b.used++
	return b.used <= b.size
}
