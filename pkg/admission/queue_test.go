package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/admission"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

const pool = "m@1"

func ticket(caller string, cost int) admission.Ticket {
	return admission.Ticket{Caller: &config.Caller{Name: caller}, Serves: pool, Cost: cost}
}

func newQueue(slots int) *admission.Queue {
	q := admission.NewQueue(clock.System{})
	q.SetCapacity(pool, slots)
	return q
}

func isReady(e *admission.Entry) bool {
	select {
	case <-e.Ready():
		return true
	default:
		return false
	}
}

// run acquires a slot, holds it and releases it; it sends the end time on done.
func run(t *testing.T, q *admission.Queue, tk admission.Ticket, hold time.Duration) <-chan time.Time {
	t.Helper()
	done := make(chan time.Time, 1)
	go func() {
		defer close(done)
		release, refusal := q.Acquire(t.Context(), tk)
		if refusal != nil {
			return
		}
		time.Sleep(hold)
		release()
		done <- time.Now()
	}()
	return done
}

func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newQueue(1)
		for range 10 {
			run(t, q, ticket("a", 30), time.Second)
		}
		synctest.Wait()
		tk := ticket("a", 30)
		tk.Deadline = time.Now().Add(3 * time.Second)
		tk.Run = time.Second
		asked := time.Now()
		_, refusal := q.Acquire(t.Context(), tk)
		is.True(refusal != nil)
		is.Equal(time.Since(asked), time.Duration(0)) // refused without waiting
		is.Equal(refusal.Reason, outcome.ReasonDeadline)
		is.Equal(refusal.Outcome, outcome.NotRun)
		// A retry after RetryAfter with the same time to its deadline succeeds.
		time.Sleep(refusal.RetryAfter)
		tk.Deadline = time.Now().Add(3 * time.Second)
		release, refusal := q.Acquire(t.Context(), tk)
		is.True(refusal == nil)
		is.True(time.Until(tk.Deadline) >= tk.Run) // and it still fits
		release()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

func TestInfeasibleDeadlineIsRefusedWithoutRetryAfter(t *testing.T) {
	is := is.New(t)
	tk := ticket("a", 30)
	tk.Deadline = time.Now().Add(time.Second)
	tk.Run = time.Minute
	_, refusal := newQueue(1).Submit(tk)
	is.True(refusal != nil)
	is.Equal(refusal.RetryAfter, time.Duration(0))
}

// A queued entry is refused when the pool's capacity drops so that its deadline
// becomes unreachable, long before the deadline itself.
func TestQueuedRequestIsRefusedWhenItsDeadlineBecomesUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newQueue(8)
		for range 24 {
			run(t, q, ticket("a", 30), 2*time.Second)
		}
		synctest.Wait()
		tk := ticket("a", 30)
		tk.Deadline = time.Now().Add(10 * time.Second)
		entry, refusal := q.Submit(tk)
		is.True(refusal == nil)
		q.SetCapacity(pool, 1)
		time.Sleep(200 * time.Millisecond)
		q.Sweep()
		is.True(isReady(entry))
		is.True(entry.Refusal() != nil)
		is.Equal(entry.Refusal().Reason, outcome.ReasonDeadline)
		is.True(entry.Refusal().RetryAfter > 0)
		q.SetCapacity(pool, 8)
		time.Sleep(time.Minute)
	})
}

func TestCancelledRequestLeavesTheQueueAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newQueue(1)
		release, _ := q.Acquire(t.Context(), ticket("a", 1))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan *outcome.Refusal, 1)
		go func() {
			_, refusal := q.Acquire(ctx, ticket("a", 1))
			ended <- refusal
		}()
		synctest.Wait()
		next, refusal := q.Submit(ticket("b", 1))
		is.True(refusal == nil)
		cancel()
		is.Equal((<-ended).Reason, outcome.ReasonCancelled)
		release()
		release() // only the first call counts
		is.True(isReady(next))
		is.Equal(len(q.Waiting()), 0)
	})
}

func TestWithoutCapacityIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	_, refusal := admission.NewQueue(clock.System{}).Submit(ticket("a", 1))
	is.True(refusal != nil)
	is.Equal(refusal.Reason, outcome.ReasonOverloaded)
	is.True(refusal.RetryAfter > 0)
}

// A full queue drops the last request of the caller that fills it, in favour of
// one with less waiting.
func TestFullQueueShedsTheMostBackloggedCaller(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	_, refusal := q.Submit(ticket("modest", 1))
	is.True(refusal == nil)
	var greedy []*admission.Entry
	for refusal == nil {
		var e *admission.Entry
		e, refusal = q.Submit(ticket("greedy", 1))
		if e != nil {
			greedy = append(greedy, e)
		}
	}
	is.Equal(refusal.Reason, outcome.ReasonOverloaded)
	is.True(refusal.RetryAfter > 0)
	e, refusal := q.Submit(ticket("modest", 1))
	is.True(refusal == nil && !isReady(e))
	last := greedy[len(greedy)-1]
	is.True(isReady(last))
	is.Equal(last.Refusal().Reason, outcome.ReasonOverloaded)
}

// Within a caller's share, higher priorities go first, short requests overtake
// long ones, and no request starves.
func TestPrioritiesAndAging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newQueue(1)
		running, _ := q.Submit(ticket("a", 1))
		review, _ := q.Submit(ticket("a", 1000))
		question, _ := q.Submit(ticket("a", 10))
		urgent := ticket("a", 10)
		urgent.Priority = admission.PriorityHigh
		first, _ := q.Submit(urgent)
		running.Release()
		is.True(isReady(first))
		first.Release()
		is.True(isReady(question))
		time.Sleep(5 * time.Second)
		late, _ := q.Submit(urgent)
		question.Release()
		is.True(isReady(review) && !isReady(late)) // the review has aged
	})
}
