package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Bounds of a queue.
const (
	// maxWait is the longest wait of any request, also without a deadline.
	maxWait = 30 * time.Second
	// queuePerSlot bounds a queue's length for each slot, and minQueueLimit is the
	// bound for a pool with few slots.
	queuePerSlot  = 16
	minQueueLimit = 64
	// sweepInterval is the time between checks of the queued requests' deadlines.
	sweepInterval = 100 * time.Millisecond
	// deadlineTolerance is the factor by which a queued request's predicted wait
	// may exceed the wait that its deadline allows, since predictions fluctuate.
	deadlineTolerance = 1.25
)

// Queue admits requests to the pools of one gateway. It is safe for concurrent use.
type Queue struct {
	clock    clock.Clock
	mu       sync.Mutex
	pools    map[string]*pool
	sequence uint64
}

// NewQueue returns a Queue in which no pool has any capacity yet.
func NewQueue(c clock.Clock) *Queue {
	return &Queue{clock: c, pools: map[string]*pool{}}
}

// SetCapacity sets how many requests of a pool may run at once.
func (q *Queue) SetCapacity(serves string, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pool(serves)
	p.capacity = slots
	q.advance(p, q.clock.Now())
}

// Acquire waits until the request may run. The caller must call release when the
// request has ended; later calls do nothing. Acquire returns a refusal and no
// release: at once if the deadline cannot be met or the queue is full, later if
// that is predicted while the request waits or if ctx ends.
func (q *Queue) Acquire(ctx context.Context, t Ticket) (release func(), refusal *outcome.Refusal) {
	e, refusal := q.Submit(t)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case <-e.Ready():
	case <-ctx.Done():
		e.Release()
		if refusal := e.Refusal(); refusal != nil {
			return nil, refusal
		}
		return nil, refuseEnded(ctx)
	}
	if refusal := e.Refusal(); refusal != nil {
		return nil, refusal
	}
	return e.Release, nil
}

// Submit queues a request without waiting. It returns an Entry that becomes ready,
// or a refusal.
func (q *Queue) Submit(t Ticket) (*Entry, *outcome.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	p := q.pool(t.Serves)
	if p.capacity <= 0 {
		return nil, refuseNoCapacity()
	}
	f := p.flowOf(&t)
	orderKey := t.orderKey(now)
	wait := p.predict(f, t.class(), f.costBefore(t.class(), orderKey))
	if refusal := refuseLate(wait, t.allowed(now), &t); refusal != nil {
		p.dropIfIdle(f)
		return nil, refusal
	}
	if refusal := p.enforceQueueLimit(f, wait); refusal != nil {
		return nil, refusal
	}
	q.sequence++
	e := &Entry{
		queue: q, pool: p, flow: f, ticket: t, orderKey: orderKey,
		sequence: q.sequence, ready: make(chan struct{}),
	}
	p.add(e)
	q.advance(p, now)
	return e, nil
}

// Predict returns the expected queueing time of a request submitted now.
func (q *Queue) Predict(t Ticket) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pools[t.Serves]
	if p == nil || p.capacity <= 0 {
		return maxWait
	}
	f := p.flows[t.Caller.Name]
	if f == nil {
		f = &flow{weight: t.weight(), finish: p.virtual}
	}
	return p.predict(f, t.class(), f.costBefore(t.class(), t.orderKey(q.clock.Now())))
}

// Waiting counts queued requests by pool, without pools that have none.
func (q *Queue) Waiting() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	counts := map[string]int{}
	for serves, p := range q.pools {
		if p.waiting > 0 {
			counts[serves] = p.waiting
		}
	}
	return counts
}

// Sweep refuses queued requests whose deadline has become unreachable. This also
// happens as requests arrive and end; call Sweep periodically for stalled queues.
func (q *Queue) Sweep() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, p := range q.pools {
		q.advance(p, now)
	}
}

func (q *Queue) pool(serves string) *pool {
	p := q.pools[serves]
	if p == nil {
		p = newPool()
		q.pools[serves] = p
	}
	return p
}

// advance grants free slots, then refuses requests that can no longer succeed.
func (q *Queue) advance(p *pool, now time.Time) {
	for p.running < p.capacity {
		f := p.next()
		if f == nil {
			break
		}
		p.grant(f.head(), now)
	}
	if now.Sub(p.lastSweep) >= sweepInterval {
		p.lastSweep = now
		p.sweep(now)
	}
}

// grant gives a slot to a waiting entry, or refuses it if its deadline is
// unreachable.
func (p *pool) grant(e *Entry, now time.Time) {
	p.remove(e)
	if e.ticket.allowed(now) < 0 {
		e.refuse(refuseUnreachable(p.predict(e.flow, e.ticket.class(), 0)))
		return
	}
	p.charge(e)
	e.state = granted
	e.granted = now
	close(e.ready)
}

// sweep refuses the entries that can no longer meet their deadline.
func (p *pool) sweep(now time.Time) {
	for _, f := range p.flows {
		p.sweepClass(f, short, now)
		p.sweepClass(f, long, now)
		p.dropIfIdle(f)
	}
}

func (p *pool) sweepClass(f *flow, size sizeClass, now time.Time) {
	costBefore := 0
	for _, e := range f.inOrder(size) {
		wait := p.predict(f, size, costBefore)
		if e.canMeetDeadline(wait, now) {
			costBefore += e.ticket.cost()
			continue
		}
		p.remove(e)
		e.refuse(refuseUnreachable(wait))
	}
}

// canMeetDeadline reports whether an entry can still meet its deadline after wait.
func (e *Entry) canMeetDeadline(wait time.Duration, now time.Time) bool {
	allowed := e.ticket.allowed(now)
	return allowed >= 0 && wait.Seconds() <= deadlineTolerance*allowed.Seconds()
}

// enforceQueueLimit refuses the new request of a full queue, or the last request
// of a caller that has more waiting for its share.
func (p *pool) enforceQueueLimit(f *flow, wait time.Duration) *outcome.Refusal {
	if p.waiting < max(minQueueLimit, queuePerSlot*p.capacity) {
		return nil
	}
	worst := p.mostBacklogged()
	if worst == f {
		return refuseFull(wait)
	}
	e := worst.last()
	p.remove(e)
	size := e.ticket.class()
	e.refuse(refuseFull(p.predict(worst, size, worst.classes[size].cost)))
	return nil
}

func refuseEnded(ctx context.Context) *outcome.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuseUnreachable(0)
	}
	return refuseCancelled(ctx.Err())
}
