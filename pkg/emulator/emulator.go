package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/steer"
	"github.com/lilacweir/lilacweir/pkg/timeline"
)

// Kind is one kind of request.
type Kind struct {
	Name string
	// PerSecond is how many come at the usual load; Level multiplies it at a time of the
	// day, nil: always 1.
	PerSecond float64
	Level     func(at time.Duration) float64
	// Target is the time within which the answer should begin, Patience that after which
	// its caller leaves.
	Target, Patience time.Duration
	// Rank is the route's priority.
	Rank int
	// Shared and Own are the prompt's tokens that others have too, in one of Things
	// parts, and those that are its own, doubled or halved at random.
	Shared, Own, Things int
	// Answer is the tokens of the answer.
	Answer int
}

// Options describe a deployment and a day.
type Options struct {
	Engines, Instances int
	Model              EngineModel
	Kinds              []Kind
	For                time.Duration
	// Told passes between the reports of an instance, Way is how old they are when they
	// reach the others.
	Told, Way time.Duration
	Seed      uint64
	// Admits is false for the baseline that sends everything, wherever it is cheapest.
	Admits bool
}

// Result is what callers of one kind met.
type Result struct {
	Asked, InTime, Late, Refused, Left int
}

// request is one request of a caller.
type request struct {
	steer.Request
	kind     *Kind
	returned bool
	asked    time.Time
}

func (r *request) prompt() int { return r.PromptTokens }
func (r *request) rank() int   { return r.Route.Priority }

// instance is one emulated instance.
type instance struct {
	tracker   *limit.Tracker
	recent    *steer.RecentPlacements
	estimates *steer.Estimator
	overload  *steer.Overload
	flow      *steer.Flow
	// others is what it was told of the others' work.
	others *peer.View
}

// emulation is one day.
type emulation struct {
	timeline.Timeline
	// requests counts those that were made.
	requests  int
	options   Options
	random    *rand.Rand
	engines   map[string]*engine
	instances []*instance
	view      *fleet.View
	service   *httproute.Service
	routes    map[string]*httproute.Route
	results   map[string]*Result
}

const (
	serviceName = "llm"
	region      = "north"
)

// Run plays a day and returns what callers met, by kind.
func Run(o Options) map[string]*Result {
	m := &emulation{
		Timeline: timeline.New(), options: o, random: rand.New(rand.NewPCG(o.Seed, 1)),
		engines: make(map[string]*engine), view: &fleet.View{},
		service: &httproute.Service{Name: serviceName, Engine: &httproute.Engine{Slots: o.Model.Slots}},
		routes:  make(map[string]*httproute.Route), results: make(map[string]*Result),
	}
	m.build()
	end := m.Now().Add(o.For)
	for i := range o.Kinds {
		m.results[o.Kinds[i].Name] = &Result{}
		m.arrivals(&o.Kinds[i], m.Now(), end)
	}
	for i := range m.instances {
		m.At(m.Now().Add(o.Told*time.Duration(i)/time.Duration(o.Instances)), func() { m.tell(end) })
	}
	m.Play()
	return m.results
}

// build makes engines, instances and routes.
func (m *emulation) build() {
	for i := range m.options.Engines {
		id := fmt.Sprintf("engine-%02d", i)
		m.engines[id] = &engine{id: id, model: &m.options.Model, cache: newCache(m.options.Model.CacheTokens)}
		m.view.Upstreams = append(m.view.Upstreams, fleet.Upstream{ID: id, Service: serviceName, Region: region, Domain: region, Slots: m.options.Model.Slots})
	}
	m.view.Index()
	for range m.options.Instances {
		m.instances = append(m.instances, &instance{
			tracker: limit.NewTracker(&m.Timeline, nil),
			recent:  steer.NewRecentPlacements(), estimates: steer.NewEstimator(), overload: steer.NewOverload(),
			flow: steer.NewFlow(), others: peer.NewView(nil, nil, m.Now()),
		})
	}
	least := time.Duration(0)
	for i := range m.options.Kinds {
		kind := &m.options.Kinds[i]
		m.routes[kind.Name] = &httproute.Route{
			Name: kind.Name, Kind: httproute.Streaming, TargetLatency: kind.Target, Priority: kind.Rank, SharedPrompts: true,
		}
		if kind.Rank == 0 {
			least = kind.Target
		}
	}
	for _, route := range m.routes {
		if route.Priority > 0 {
			route.UrgentTarget = least
		}
	}
}

// arrivals schedules the requests of a kind.
func (m *emulation) arrivals(kind *Kind, from, end time.Time) {
	level := 1.0
	if kind.Level != nil {
		level = kind.Level(m.options.For - end.Sub(from))
	}
	next := from.Add(time.Duration(m.random.ExpFloat64() / (kind.PerSecond * level) * float64(time.Second)))
	if next.After(end) {
		return
	}
	m.At(next, func() {
		m.results[kind.Name].Asked++
		m.arrive(m.made(kind))
		m.arrivals(kind, m.Now(), end)
	})
}

// made draws a request.
func (m *emulation) made(kind *Kind) *request {
	own := max(1, int(float64(kind.Own)*(0.5+m.random.Float64())))
	m.requests++
	r := &request{kind: kind, asked: m.Now()}
	r.Route, r.Service = m.routes[kind.Name], m.service
	r.PromptTokens = kind.Shared + own
	r.Segments = []steer.Segment{
		{ID: fmt.Sprint(kind.Name, "-", m.random.IntN(max(1, kind.Things))), Tokens: kind.Shared},
		{ID: fmt.Sprint("own-", m.requests), Tokens: own},
	}
	return r
}

// arrive has an instance decide on a request.
func (m *emulation) arrive(r *request) {
	i := m.instances[m.random.IntN(len(m.instances))]
	world := &steer.Snapshot{
		Region: region, Fleet: m.view, Peers: i.others, Local: i.tracker, Recent: i.recent, CallTimes: steer.NewCallTimes(),
		Estimates: i.estimates, Flow: i.flow, Now: m.Now(), Random: m.random.Uint64(),
		Admits: func(*fleet.Upstream, *httproute.Service) bool { return true },
	}
	r.Contended = i.overload.Contended(serviceName, r.rank(), m.Now())
	best := world.SurveyRegion(&r.Request).Best
	if m.options.Admits && best.Late && i.overload.Refuses(&r.Request, m.Now()) {
		m.refuse(i, r)
		return
	}
	m.send(i, r, best)
}

// refuse has the caller come back once.
func (m *emulation) refuse(i *instance, r *request) {
	if r.returned {
		m.results[r.kind.Name].Refused++
		return
	}
	r.returned = true
	lasted := i.overload.RecordLate(serviceName, r.rank(), m.Now())
	m.At(m.Now().Add(steer.OverloadRetryAfter(lasted, 5*r.kind.Patience, m.random.Float64())), func() { m.arrive(r) })
}

// send has an engine run a request.
func (m *emulation) send(i *instance, r *request, to steer.Candidate) {
	flight, _ := i.tracker.Start(to.Upstream.ID, to.Uncached, 0)
	i.recent.Add(r.Segments, to.Upstream.ID, m.Now())
	i.flow.Add(serviceName, to.Uncached, m.Now())
	engine := m.engines[to.Upstream.ID]
	sent := m.Now()
	started := &run{request: r, owed: r.kind.Answer}
	started.begun = func(now time.Time) {
		flight.FirstByte()
		i.estimates.Observe(&to, now.Sub(sent), now)
		m.begun(r, now)
	}
	started.ended = func(time.Time) { flight.Done(limit.Succeeded) }
	m.At(sent.Add(r.kind.Patience), func() { m.leave(started, flight) })
	engine.accept(started)
	m.run(engine)
}

// begun counts an answer by when it began.
func (m *emulation) begun(r *request, now time.Time) {
	if now.Sub(r.asked) <= r.kind.Target {
		m.results[r.kind.Name].InTime++
	} else {
		m.results[r.kind.Name].Late++
	}
}

// leave ends a request whose answer has not begun when its caller's patience is over.
func (m *emulation) leave(r *run, flight *limit.Flight) {
	if r.unread == 0 || r.gone {
		return
	}
	r.gone = true
	flight.Done(limit.Abandoned)
	m.results[r.request.kind.Name].Left++
}

// run has an engine step as long as it has work.
func (m *emulation) run(e *engine) {
	if e.stepping {
		return
	}
	took, begun, ended := e.step()
	if took == 0 {
		return
	}
	e.stepping = true
	m.At(m.Now().Add(took), func() {
		for _, r := range begun {
			r.begun(m.Now())
		}
		for _, r := range ended {
			r.ended(m.Now())
		}
		e.stepping = false
		m.run(e)
	})
}

// tell brings what every instance has in hand to all others, and comes again.
func (m *emulation) tell(end time.Time) {
	reports := make([][]peer.Load, len(m.instances))
	for n, i := range m.instances {
		reports[n] = m.loads(i)
	}
	m.At(m.Now().Add(m.options.Way), func() { m.told(reports) })
	next := m.Now().Add(m.options.Told)
	if next.Before(end) {
		m.At(next, func() { m.tell(end) })
	}
}

func (m *emulation) loads(i *instance) []peer.Load {
	var loads []peer.Load
	for n := range m.view.Upstreams {
		id := m.view.Upstreams[n].ID
		if own := i.tracker.Load(id); own.InFlight > 0 {
			loads = append(loads, peer.Load{Name: id, InFlight: own.InFlight, Prefill: own.Prefill})
		}
	}
	return loads
}

// told gives each instance what the others reported.
func (m *emulation) told(reports [][]peer.Load) {
	known := make([]peer.Known, len(m.instances)-1)
	for n, i := range m.instances {
		var others []peer.Load
		for other, loads := range reports {
			if other != n {
				others = append(others, loads...)
			}
		}
		i.others = peer.NewView(known, others, m.Now().Add(-m.options.Way))
	}
}
