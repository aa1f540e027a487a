// Package timeline is virtual time for models of a deployment: what is to happen, in order.
// It is used by one goroutine.
package timeline

import (
	"container/heap"
	"time"
)

// Epoch is when virtual time begins.
var Epoch = time.Unix(1_000_000, 0)

// Timeline is what is to happen, and when it is now. New makes one.
type Timeline struct {
	now    time.Time
	order  int
	events events
}

// New returns a Timeline at Epoch on which nothing is to happen.
func New() Timeline { return Timeline{now: Epoch} }

// Now is the time of what happens at present. It implements clock.Clock.
func (t *Timeline) Now() time.Time { return t.now }

// At has something happen at a time, after what was to happen then before.
func (t *Timeline) At(when time.Time, do func()) {
	t.order++
	heap.Push(&t.events, event{at: when, order: t.order, do: do})
}

// After has something happen after a wait.
func (t *Timeline) After(wait time.Duration, do func()) { t.At(t.now.Add(wait), do) }

// Every has something happen now and after each pause, the last time at end or before.
func (t *Timeline) Every(pause time.Duration, end time.Time, do func()) {
	do()
	if !t.now.Add(pause).After(end) {
		t.After(pause, func() { t.Every(pause, end, do) })
	}
}

// Run has everything happen, until nothing is left.
func (t *Timeline) Run() {
	for len(t.events) > 0 {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.do()
	}
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	do    func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
