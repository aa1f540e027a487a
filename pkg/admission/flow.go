package admission

import (
	"container/heap"
	"slices"
	"time"
)

// flow holds one caller's waiting requests in one pool. Inside it, short and long
// requests share the caller's part evenly, again by start-time fair queueing.
type flow struct {
	caller string
	weight float64
	// finish is the pool's virtual time at which the work granted so far is paid
	// off; virtual is the flow's own, by which its classes take turns.
	finish, virtual float64
	classes         [classes]class
	waiting         int
}

// sizeClass tells short from long requests.
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

// shortLead is how much more work short requests may be given than long ones
// before a long one's turn comes: a question passes a review that has just come,
// but not for ever.
const shortLead = 150

// head returns the entry whose turn it is. The flow must not be empty.
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

// charge books a granted request to its class.
func (f *flow) charge(e *Entry) {
	c := f.classOf(e)
	start := max(c.finish, f.virtual)
	f.virtual = start
	c.finish = start + float64(e.ticket.cost())
}

// ahead is how much of the flow's work is done before a request of a class with
// that much before it in the class.
func (f *flow) workAhead(size sizeClass, costBefore int) float64 {
	own, other := &f.classes[size], &f.classes[1-size]
	start := max(0, own.finish-f.virtual) + float64(costBefore)
	if other.cost == 0 {
		return float64(costBefore)
	}
	return float64(costBefore) + min(start, float64(other.cost))
}

// before adds up the cost of the entries of a class that come before order.
func (f *flow) costBefore(size sizeClass, orderKey time.Time) int {
	sum := 0
	for _, e := range f.classes[size].entries {
		if !e.orderKey.After(orderKey) {
			sum += e.ticket.cost()
		}
	}
	return sum
}

// last returns the entry that would be served last of the class with the most work.
func (f *flow) last() *Entry {
	c := &f.classes[short]
	if f.classes[long].cost > c.cost {
		c = &f.classes[long]
	}
	return slices.MaxFunc(c.entries, compareEntries)
}

// inOrder returns a copy of a class's entries in the order in which they are served.
func (f *flow) inOrder(size sizeClass) []*Entry {
	sorted := slices.Clone(f.classes[size].entries)
	slices.SortFunc(sorted, compareEntries)
	return sorted
}
