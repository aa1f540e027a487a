package admission

import (
	"container/heap"
	"slices"
	"time"
)

// flow holds one caller's waiting requests in one pool. Short and long requests
// split the caller's share evenly, again by start-time fair queueing.
type flow struct {
	caller string
	weight float64
	// finish is the virtual finish time, in the pool's virtual time, of the work
	// granted so far. virtual is the flow's own virtual time, which orders its classes.
	finish, virtual float64
	classes         [classes]class
	waiting         int
}

// sizeClass separates short requests from long ones.
type sizeClass uint8

const (
	short sizeClass = iota
	long
	classes
)

// longCost is the cost from which a request counts as long.
const longCost = 200

func (t *Ticket) class() sizeClass {
	if t.cost() >= longCost {
		return long
	}
	return short
}

// class holds a flow's requests of one size.
type class struct {
	finish  float64
	entries entryHeap
	cost    int
}

func (f *flow) classOf(e *Entry) *class { return &f.classes[e.ticket.class()] }

func (f *flow) add(e *Entry) {
	c := f.classOf(e)
	heap.Push(&c.entries, e)
	c.cost += e.ticket.cost()
	f.waiting++
}

func (f *flow) remove(e *Entry) {
	c := f.classOf(e)
	heap.Remove(&c.entries, e.index)
	c.cost -= e.ticket.cost()
	f.waiting--
}

func (f *flow) cost() int { return f.classes[short].cost + f.classes[long].cost }

// shortLead is the extra work that short requests are granted ahead of long ones.
// A short request overtakes a long one that has just arrived, without starving it.
const shortLead = 150

// head returns the next entry to serve. The flow must not be empty.
func (f *flow) head() *Entry {
	a, b := &f.classes[short], &f.classes[long]
	switch {
	case len(a.entries) == 0:
		return b.entries[0]
	case len(b.entries) == 0:
		return a.entries[0]
	case a.entries[0].ticket.Priority != b.entries[0].ticket.Priority:
		return slices.MinFunc([]*Entry{a.entries[0], b.entries[0]}, compareEntries)
	case max(a.finish, f.virtual) <= max(b.finish, f.virtual)+shortLead:
		return a.entries[0]
	default:
		return b.entries[0]
	}
}

// charge adds a granted request's cost to its class.
func (f *flow) charge(e *Entry) {
	c := f.classOf(e)
	start := max(c.finish, f.virtual)
	f.virtual = start
	c.finish = start + float64(e.ticket.cost())
}

// workAhead returns the flow's work that is served before a request that has
// costBefore ahead of it in its own class.
func (f *flow) workAhead(size sizeClass, costBefore int) float64 {
	own, other := &f.classes[size], &f.classes[1-size]
	start := max(0, own.finish-f.virtual) + float64(costBefore)
	if other.cost == 0 {
		return float64(costBefore)
	}
	return float64(costBefore) + min(start, float64(other.cost))
}

// costBefore sums the cost of a class's entries that sort before orderKey.
func (f *flow) costBefore(size sizeClass, orderKey time.Time) int {
	sum := 0
	for _, e := range f.classes[size].entries {
		if !e.orderKey.After(orderKey) {
			sum += e.ticket.cost()
		}
	}
	return sum
}

// last returns the entry to be served last in the class with the most work.
func (f *flow) last() *Entry {
	c := &f.classes[short]
	if f.classes[long].cost > c.cost {
		c = &f.classes[long]
	}
	return slices.MaxFunc(c.entries, compareEntries)
}

// inOrder returns a copy of a class's entries in serving order.
func (f *flow) inOrder(size sizeClass) []*Entry {
	sorted := slices.Clone(f.classes[size].entries)
	slices.SortFunc(sorted, compareEntries)
	return sorted
}
