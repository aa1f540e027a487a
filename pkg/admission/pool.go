package admission

import "time"

// pool is the queue of one set of interchangeable upstreams. It implements
// start-time fair queueing: virtual time advances by cost over weight.
type pool struct {
	capacity, running int
	virtual           float64
	flows             map[string]*flow
	// waiting counts the queued requests, queued sums their cost, and active sums
	// the weights of their callers.
	waiting, queued int
	active          float64
	// timePerCost is the mean time a slot is held for each unit of cost, and
	// holdTime for each request, both in seconds.
	timePerCost, holdTime mean
	lastSweep             time.Time
}

// Estimates until a request has finished, in seconds.
const (
	initialTimePerCost = 1.0 / 30
	initialHoldTime    = 2.0
)

func newPool() *pool {
	return &pool{
		flows:       map[string]*flow{},
		timePerCost: mean{value: initialTimePerCost},
		holdTime:    mean{value: initialHoldTime},
	}
}

// mean is an exponentially weighted moving average.
type mean struct {
	value    float64
	measured bool
}

// smoothing is the weight of the newest value.
const smoothing = 0.05

func (m *mean) add(value float64) {
	if !m.measured {
		m.value, m.measured = value, true
		return
	}
	m.value += smoothing * (value - m.value)
}

func (p *pool) flowOf(t *Ticket) *flow {
	f := p.flows[t.Caller.Name]
	if f == nil {
		f = &flow{caller: t.Caller.Name, finish: p.virtual}
		p.flows[t.Caller.Name] = f
	}
	if f.waiting == 0 {
		f.weight = t.weight()
	}
	return f
}

func (p *pool) add(e *Entry) {
	if e.flow.waiting == 0 {
		p.active += e.flow.weight
	}
	e.flow.add(e)
	p.queued += e.ticket.cost()
	p.waiting++
}

func (p *pool) remove(e *Entry) {
	e.flow.remove(e)
	p.queued -= e.ticket.cost()
	p.waiting--
	if e.flow.waiting == 0 {
		p.active -= e.flow.weight
	}
}

// dropIfIdle deletes a flow that has no waiting requests and no outstanding charge.
func (p *pool) dropIfIdle(f *flow) {
	if f.waiting == 0 && f.finish <= p.virtual {
		delete(p.flows, f.caller)
	}
}

// next returns the flow to serve next, or nil if nothing waits.
func (p *pool) next() *flow {
	var best *flow
	for _, f := range p.flows {
		if f.waiting == 0 {
			p.dropIfIdle(f)
			continue
		}
		if best == nil || p.precedes(f, best) {
			best = f
		}
	}
	return best
}

func (p *pool) precedes(a, b *flow) bool {
	startA, startB := max(a.finish, p.virtual), max(b.finish, p.virtual)
	if startA != startB {
		return startA < startB
	}
	return compareEntries(a.head(), b.head()) < 0
}

// charge grants a slot to a request.
func (p *pool) charge(e *Entry) {
	f := e.flow
	start := max(f.finish, p.virtual)
	p.virtual = start
	f.finish = start + float64(e.ticket.cost())/f.weight
	f.charge(e)
	p.running++
}

func (p *pool) finish(e *Entry, now time.Time) {
	held := now.Sub(e.granted).Seconds()
	p.running--
	p.holdTime.add(held)
	p.timePerCost.add(held / float64(e.ticket.cost()))
}

// rate returns the cost that the pool completes per second.
func (p *pool) rate() float64 {
	return float64(max(1, p.capacity)) / max(p.timePerCost.value, 1e-6)
}

// predict returns the expected wait of a request of a size class behind costBefore
// of its own caller's requests of that class.
func (p *pool) predict(f *flow, size sizeClass, costBefore int) time.Duration {
	if p.running < p.capacity && p.waiting == 0 {
		return 0
	}
	active := p.active
	if f.waiting == 0 {
		active += f.weight
	}
	workAhead := f.workAhead(size, costBefore)
	virtual := max(0, f.finish-p.virtual) + workAhead/f.weight
	others := float64(p.queued - f.cost())
	work := min(virtual*active, others+workAhead)
	next := p.holdTime.value / float64(max(1, p.capacity))
	return time.Duration((work/p.rate() + next) * float64(time.Second))
}

// mostBacklogged returns the flow with the most waiting work for its weight.
func (p *pool) mostBacklogged() *flow {
	var worst *flow
	for _, f := range p.flows {
		if f.waiting == 0 {
			continue
		}
		if worst == nil || moreBacklogged(f, worst) {
			worst = f
		}
	}
	return worst
}

func moreBacklogged(a, b *flow) bool {
	loadA, loadB := float64(a.cost())/a.weight, float64(b.cost())/b.weight
	if loadA != loadB {
		return loadA > loadB
	}
	return a.caller < b.caller
}
