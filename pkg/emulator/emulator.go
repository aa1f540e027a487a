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
	// PerSecond is the rate at the usual load. LoadFactor returns its multiplier at a time since
	// the start; nil means always 1.
	PerSecond  float64
	LoadFactor func(at time.Duration) float64
	// Target is the time within which the answer should begin, Patience the time after
	// which its caller cancels.
	Target, Patience time.Duration
	// Rank is the priority of the route.
	Rank int
	// SharedTokens is the length of the prompt's prefix, one of SharedPrefixes that requests
	// share. OwnTokens is the mean length of the rest, varied at random by up to a half.
	SharedTokens, OwnTokens, SharedPrefixes int
	// AnswerTokens is the length of the answer.
	AnswerTokens int
}

// Options describe a deployment and its load.
type Options struct {
	Engines, Instances int
	Model              EngineModel
	Kinds              []Kind
	Length             time.Duration
	// ReportInterval is the time between the reports of an instance, ReportDelay their
	// age when the other instances receive them.
	ReportInterval, ReportDelay time.Duration
	Seed                        uint64
	// Admits is false for the baseline without load shedding, which sends every request
	// to the engine with the least cost.
	Admits bool
}

// Result counts the requests of one kind by outcome.
type Result struct {
	Requests, InTime, Late, Refused, Cancelled int
}

// request is a request of a caller.
type request struct {
	steer.Request
	kind      *Kind
	retried   bool
	arrivedAt time.Time
}

func (r *request) prompt() int { return r.PromptTokens }
func (r *request) rank() int   { return r.Route.Priority }

// instance is an emulated instance.
type instance struct {
	tracker   *limit.Tracker
	recent    *steer.RecentPlacements
	estimates *steer.Estimator
	overload  *steer.Overload
	flow      *steer.Flow
	// peers is the work that the other instances reported.
	peers *peer.View
}

// emulation is the state of one run.
type emulation struct {
	timeline.Timeline
	// requests is the number of requests generated.
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

// Run emulates a deployment and returns the results by kind of request.
func Run(o Options) map[string]*Result {
	m := &emulation{
		Timeline: timeline.New(), options: o, random: rand.New(rand.NewPCG(o.Seed, 1)),
		engines: make(map[string]*engine), view: &fleet.View{},
		service: &httproute.Service{Name: serviceName, Engine: &httproute.Engine{Slots: o.Model.Slots}},
		routes:  make(map[string]*httproute.Route), results: make(map[string]*Result),
	}
	m.build()
	end := m.Now().Add(o.Length)
	for i := range o.Kinds {
		m.results[o.Kinds[i].Name] = &Result{}
		m.arrivals(&o.Kinds[i], m.Now(), end)
	}
	for i := range m.instances {
		m.At(m.Now().Add(o.ReportInterval*time.Duration(i)/time.Duration(o.Instances)), func() { m.reportLoads(end) })
	}
	m.Run()
	return m.results
}

// build creates engines, instances and routes.
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
			flow: steer.NewFlow(), peers: peer.NewView(nil, nil, m.Now()),
		})
	}
	topTarget := time.Duration(0)
	for i := range m.options.Kinds {
		kind := &m.options.Kinds[i]
		m.routes[kind.Name] = &httproute.Route{
			Name: kind.Name, Kind: httproute.Streaming, TargetLatency: kind.Target, Priority: kind.Rank, SharedPrompts: true,
		}
		if kind.Rank == 0 {
			topTarget = kind.Target
		}
	}
	for _, route := range m.routes {
		if route.Priority > 0 {
			route.UrgentTarget = topTarget
		}
	}
}

// arrivals schedules the requests of a kind.
func (m *emulation) arrivals(kind *Kind, from, end time.Time) {
	level := 1.0
	if kind.LoadFactor != nil {
		level = kind.LoadFactor(m.options.Length - end.Sub(from))
	}
	next := from.Add(time.Duration(m.random.ExpFloat64() / (kind.PerSecond * level) * float64(time.Second)))
	if next.After(end) {
		return
	}
	m.At(next, func() {
		m.results[kind.Name].Requests++
		m.arrive(m.newRequest(kind))
		m.arrivals(kind, m.Now(), end)
	})
}

// newRequest generates a request at random.
func (m *emulation) newRequest(kind *Kind) *request {
	own := max(1, int(float64(kind.OwnTokens)*(0.5+m.random.Float64())))
	m.requests++
	r := &request{kind: kind, arrivedAt: m.Now()}
	r.Route, r.Service = m.routes[kind.Name], m.service
	r.PromptTokens = kind.SharedTokens + own
	r.Segments = []steer.Segment{
		{ID: fmt.Sprint(kind.Name, "-", m.random.IntN(max(1, kind.SharedPrefixes))), Tokens: kind.SharedTokens},
		{ID: fmt.Sprint("own-", m.requests), Tokens: own},
	}
	return r
}

// arrive routes or refuses a request at a random instance.
func (m *emulation) arrive(r *request) {
	i := m.instances[m.random.IntN(len(m.instances))]
	snapshot := &steer.Snapshot{
		Region: region, Fleet: m.view, Peers: i.peers, Local: i.tracker, Recent: i.recent, CallTimes: steer.NewCallTimes(),
		Estimates: i.estimates, Flow: i.flow, Now: m.Now(), Random: m.random.Uint64(),
		Admits: func(*fleet.Upstream, *httproute.Service) bool { return true },
	}
	r.Contended = i.overload.Contended(serviceName, r.rank(), m.Now())
	best := snapshot.SurveyRegion(&r.Request).Best
	if m.options.Admits && best.Late && i.overload.Refuses(&r.Request, m.Now()) {
		m.refuse(i, r)
		return
	}
	m.send(i, r, best)
}

// refuse refuses a request, which its caller retries once.
func (m *emulation) refuse(i *instance, r *request) {
	if r.retried {
		m.results[r.kind.Name].Refused++
		return
	}
	r.retried = true
	overloadedFor := i.overload.RecordLate(serviceName, r.rank(), m.Now())
	m.At(m.Now().Add(steer.OverloadRetryAfter(overloadedFor, 5*r.kind.Patience, m.random.Float64())), func() { m.arrive(r) })
}

// send sends a request to an engine.
func (m *emulation) send(i *instance, r *request, to steer.Candidate) {
	flight, _ := i.tracker.Start(to.Upstream.ID, to.Uncached, 0)
	i.recent.Add(r.Segments, to.Upstream.ID, m.Now())
	i.flow.Add(serviceName, to.Uncached, m.Now())
	engine := m.engines[to.Upstream.ID]
	sent := m.Now()
	started := &run{request: r, pendingTokens: r.kind.AnswerTokens}
	started.onFirstToken = func(now time.Time) {
		flight.FirstByte()
		i.estimates.Observe(&to, now.Sub(sent), now)
		m.recordFirstToken(r, now)
	}
	started.onEnd = func(time.Time) { flight.Done(limit.Succeeded) }
	m.At(sent.Add(r.kind.Patience), func() { m.cancel(started, flight) })
	engine.accept(started)
	m.run(engine)
}

// recordFirstToken counts an answer as in time or late.
func (m *emulation) recordFirstToken(r *request, now time.Time) {
	if now.Sub(r.arrivedAt) <= r.kind.Target {
		m.results[r.kind.Name].InTime++
	} else {
		m.results[r.kind.Name].Late++
	}
}

// cancel ends a request if its answer has not begun before its caller cancels.
func (m *emulation) cancel(r *run, flight *limit.Flight) {
	if r.unreadTokens == 0 || r.cancelled {
		return
	}
	r.cancelled = true
	flight.Done(limit.Abandoned)
	m.results[r.request.kind.Name].Cancelled++
}

// run executes steps of an engine while it has work.
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
			r.onFirstToken(m.Now())
		}
		for _, r := range ended {
			r.onEnd(m.Now())
		}
		e.stepping = false
		m.run(e)
	})
}

// reportLoads sends the requests in flight of every instance to all others, periodically.
func (m *emulation) reportLoads(end time.Time) {
	reports := make([][]peer.Load, len(m.instances))
	for n, i := range m.instances {
		reports[n] = m.loads(i)
	}
	m.At(m.Now().Add(m.options.ReportDelay), func() { m.applyReports(reports) })
	next := m.Now().Add(m.options.ReportInterval)
	if next.Before(end) {
		m.At(next, func() { m.reportLoads(end) })
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

// applyReports delivers to each instance the reports of the others.
func (m *emulation) applyReports(reports [][]peer.Load) {
	known := make([]peer.Known, len(m.instances)-1)
	for n, i := range m.instances {
		var peers []peer.Load
		for other, loads := range reports {
			if other != n {
				peers = append(peers, loads...)
			}
		}
		i.peers = peer.NewView(known, peers, m.Now().Add(-m.options.ReportDelay))
	}
}
