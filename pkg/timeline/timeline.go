// Package timeline is a discrete-event scheduler with virtual time, for simulations of a
// deployment. It is not safe for concurrent use.
package timeline

import (
	"container/heap"
	"time"
)

// Epoch is the start of virtual time.
var Epoch = time.Unix(1_000_000, 0)

// Timeline is the virtual time and the queue of pending events. New creates one.
type Timeline struct {
	now      time.Time
	sequence int
	events   events
}

// New returns a Timeline at Epoch without events.
func New() Timeline { return Timeline{now: Epoch} }

// Now returns the time of the current event. It implements clock.Clock.
func (t *Timeline) Now() time.Time { return t.now }

// At schedules do at a time, after the events already scheduled for that time.
func (t *Timeline) At(when time.Time, do func()) {
	t.sequence++
	heap.Push(&t.events, event{at: when, sequence: t.sequence, do: do})
}

// After schedules do after a delay.
func (t *Timeline) After(delay time.Duration, do func()) { t.At(t.now.Add(delay), do) }

// Every runs do now and at a fixed interval, the last time at or before end.
func (t *Timeline) Every(interval time.Duration, end time.Time, do func()) {
	do()
	if !t.now.Add(interval).After(end) {
		t.After(interval, func() { t.Every(interval, end, do) })
	}
}

// Run runs all events in order until none is left.
func (t *Timeline) Run() {
	for len(t.events) > 0 {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.do()
	}
}

// event is a function scheduled at a time. Events at the same time run in order of scheduling.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// events is a min-heap that implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
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
