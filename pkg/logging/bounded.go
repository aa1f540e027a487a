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
)

// Budgets of a Bounded logger, in lines a second. At 200 bytes a line both together
// are 50 KB/s, and about half a percent of a core.
const (
	// goodBudget is for lines of what went well, failedBudget for warnings and errors,
	// which have one of their own: what failed is not crowded out by what did not.
	goodBudget   = 50
	failedBudget = 200
	// heldLines is how many lines wait for a reader that has stalled; further ones are
	// dropped and counted.
	heldLines = 2000
	// drainEvery is how often waiting lines are written.
	drainEvery = 20 * time.Millisecond
)

// Bounded writes lines within budgets and never waits for whoever reads them. Lines
// that are left out are counted, and the count is logged.
type Bounded struct {
	writer     diode.Writer
	suppressed atomic.Int64
	dropped    atomic.Int64
	good       budget
	failed     budget
}

// NewBounded returns a Bounded that writes to w. Close it to write what waits.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{good: budget{size: goodBudget}, failed: budget{size: failedBudget}}
	b.writer = diode.NewWriter(w, heldLines, drainEvery, func(missed int) { b.dropped.Add(int64(missed)) })
	return b
}

// Write implements io.Writer; it does not wait.
func (b *Bounded) Write(line []byte) (int, error) { return b.writer.Write(line) }

// Close writes what waits.
func (b *Bounded) Close() error { return b.writer.Close() }

// Sample implements zerolog.Sampler.
func (b *Bounded) Sample(level zerolog.Level) bool {
	budget := &b.good
	if level >= zerolog.WarnLevel {
		budget = &b.failed
	}
	if budget.take(time.Now()) {
		return true
	}
	b.suppressed.Add(1)
	return false
}

// tellEvery is how often left out lines are told of.
const tellEvery = 5 * time.Second

// Run logs, until ctx ends, how many lines were left out.
func (b *Bounded) Run(ctx context.Context, log zerolog.Logger) {
	for clock.Sleep(ctx, tellEvery) {
		b.tell(log)
	}
	b.tell(log)
}

func (b *Bounded) tell(log zerolog.Logger) {
	suppressed, dropped := b.suppressed.Swap(0), b.dropped.Swap(0)
	if suppressed+dropped > 0 {
		log.Warn().Int64("over_budget", suppressed).Int64("reader_stalled", dropped).Msg("lines-left-out")
	}
}

// budget permits size lines in each second.
type budget struct {
	size   int
	mu     sync.Mutex
	second int64
	used   int
}

func (b *budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.used = second, 0
	}
	b.used++
	return b.used <= b.size
}
