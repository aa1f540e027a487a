package admission

import (
	"cmp"
	"time"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Entry is a request in the queue. Its methods are safe for concurrent use.
type Entry struct {
	queue    *Queue
	pool     *pool
	flow     *flow
	ticket   Ticket
	orderKey time.Time
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

// Ready returns a channel that is closed once the request is granted or refused.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

// Refusal returns why the request was refused, or nil. Call it after Ready.
func (e *Entry) Refusal() *outcome.Refusal {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	return e.refusal
}

// Release returns the slot, or removes the entry from the queue if it has none
// yet. Later calls do nothing.
func (e *Entry) Release() {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	now := e.queue.clock.Now()
	switch e.state {
	case waiting:
		e.pool.remove(e)
		e.pool.dropIfIdle(e.flow)
		e.state = finished
	case granted:
		e.pool.finish(e, now)
		e.state = finished
	case refused, finished:
		return
	}
	e.queue.advance(e.pool, now)
}

// refuse ends a waiting entry that was already removed from its flow.
func (e *Entry) refuse(refusal *outcome.Refusal) {
	e.state = refused
	e.refusal = refusal
	close(e.ready)
}

func compareEntries(a, b *Entry) int {
	return cmp.Or(a.orderKey.Compare(b.orderKey), cmp.Compare(a.sequence, b.sequence))
}

// entryHeap implements heap.Interface.
type entryHeap []*Entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return compareEntries(h[i], h[j]) < 0 }
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
