package emulator

import (
	"container/heap"
	"time"
)

// timeline is virtual time: what is to happen, in order.
type timeline struct {
	now    time.Time
	order  int
	events events
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	do    func()
}

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

func newTimeline() timeline { return timeline{now: time.Unix(1_000_000, 0)} }

// at has something happen at a time, after what was to happen then before.
func (t *timeline) at(when time.Time, do func()) {
	t.order++
	heap.Push(&t.events, event{at: when, order: t.order, do: do})
}

// after has something happen after a wait.
func (t *timeline) after(wait time.Duration, do func()) { t.at(t.now.Add(wait), do) }

// play has everything happen, until nothing is left.
func (t *timeline) play() {
	for len(t.events) > 0 {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.do()
	}
}
