package admission

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Entry is a request in the queue. Its methods are safe for concurrent use.
type Entry struct {
	queue    *Queue
	pool     *pool
	flow     *flow
	ticket   Ticket
	order    time.Time
	sequence uint64
	ready    chan struct{}
	// The rest is guarded by Queue.mu.
	state   state
	refusal *outcome.Refusal
	granted time.Time
	index   int
}

type state uint8

const (
	waiting state = iota
	granted
	refused
	finished
)

// Ready is closed once the request has been granted or refused.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

// Refusal returns why the request was refused, or nil. Call it after Ready.
func (e *Entry) Refusal() *outcome.Refusal {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	return e.refusal
}

// Release gives the place back, or leaves the queue when none was granted yet.
// Only the first call counts.
func (e *Entry) Release() {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	now := e.queue.clock.Now()
	switch e.state {
	case waiting:
		e.pool.remove(e)
		e.pool.forget(e.flow)
		e.state = finished
	case granted:
		e.pool.finish(e, now)
		e.state = finished
	case refused, finished:
		return
	}
	e.queue.advance(e.pool, now)
}

// refuse ends a waiting entry, which must be out of its flow already.
func (e *Entry) refuse(refusal *outcome.Refusal) {
	e.state = refused
	e.refusal = refusal
	close(e.ready)
}

// flow holds one caller's waiting requests in one pool.
type flow struct {
	caller string
	weight float64
	// finish is the virtual time at which the work granted so far is paid off.
	finish  float64
	entries entryHeap
	cost    int
}

// last returns the entry that would be served last.
func (f *flow) last() *Entry {
	last := f.entries[0]
	for _, e := range f.entries[1:] {
		if last.before(e) {
			last = e
		}
	}
	return last
}

// ahead adds up the cost of the entries that come before order.
func (f *flow) ahead(order time.Time) int {
	sum := 0
	for _, e := range f.entries {
		if !e.order.After(order) {
			sum += e.ticket.cost()
		}
	}
	return sum
}

// inOrder returns a copy of the entries in the order in which they are served.
func (f *flow) inOrder() []*Entry {
	sorted := slices.Clone(f.entries)
	slices.SortFunc(sorted, func(a, b *Entry) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return sorted
}

func (e *Entry) before(other *Entry) bool {
	if !e.order.Equal(other.order) {
		return e.order.Before(other.order)
	}
	return e.sequence < other.sequence
}

// entryHeap implements heap.Interface.
type entryHeap []*Entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*Entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
