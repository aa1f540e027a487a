package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	// Homes are the only regions that may process the requests; empty if any may.
	Homes []string
	// Load is the multiplier of the rate by region of the callers; nil means 1 in each.
	Load map[string]float64
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
	// Regions are the regions of the deployment. Without them it has one, with Engines and Instances.
	Regions []Region
	// RemoteReportInterval is the time between the reports of a region to the others, RemoteReportAge
	// their age when they are received.
	RemoteReportInterval, RemoteReportAge time.Duration
	// KeepsFlexible is true for the baseline without the decision that flexible requests leave before
	// bound ones.
	KeepsFlexible bool
	// OnPlacement is called for each request sent to an engine or forwarded in vain, if not nil.
	OnPlacement func(Placement)
}

// Result counts the requests of one kind, and of one region of the callers, by outcome.
type Result struct {
	Requests, InTime, Late, Refused, Cancelled int
}

// request is a request of a caller.
type request struct {
	steer.Request
	kind    *Kind
	result  *Result
	from    *region
	retried bool
	// arrivedAt is when the caller first sent the request, startedAt when the instance that decides
	// received it.
	arrivedAt, startedAt time.Time
	// hops counts the forwards to another region. hop is the present one, nil if there is none.
	hops int
	hop  *hop
}

func (r *request) prompt() int { return r.PromptTokens }
func (r *request) rank() int   { return r.Route.Priority }

// instance is an emulated instance.
type instance struct {
	region     *region
	tracker    *limit.Tracker
	recent     *steer.RecentPlacements
	estimates  *steer.Estimator
	overload   *steer.Overload
	lateness   *steer.Lateness
	acceptance *limit.Acceptance
	flow       *steer.Flow
	// peers is the work that the other instances reported.
	peers *peer.View
}

// emulation is the state of one run.
type emulation struct {
	timeline.Timeline
	// requests is the number of requests generated.
	requests int
	options  Options
	random   *rand.Rand
	// arriving is the source of the arrivals, which do not depend on decisions if there are several regions.
	arriving *rand.Rand
	engines  map[string]*engine
	regions  []*region
	view     *fleet.View
	service  *httproute.Service
	routes   map[string]*httproute.Route
	results  map[string]*Result
}

const serviceName = "llm"

// Run emulates a deployment and returns the results by kind of request. If Options.Regions are given, the keys
// are the name of the kind, a slash and the region of the callers.
func Run(o Options) map[string]*Result {
	m := &emulation{
		Timeline: timeline.New(), options: o, random: rand.New(rand.NewPCG(o.Seed, 1)),
		engines: make(map[string]*engine), view: &fleet.View{},
		routes: make(map[string]*httproute.Route), results: make(map[string]*Result),
	}
	m.build()
	end := m.Now().Add(o.Length)
	reportsEnd := end
	m.arriving = m.random
	if len(o.Regions) > 0 {
		m.arriving = rand.New(rand.NewPCG(o.Seed, 3))
		// Refused callers retry after the last arrival.
		reportsEnd = end.Add(2 * o.Length)
	}
	for i := range o.Kinds {
		for _, from := range m.regions {
			result := &Result{}
			m.results[o.Kinds[i].Name+from.suffix] = result
			m.arrivals(&o.Kinds[i], from, result, m.Now(), end)
		}
	}
	for _, r := range m.regions {
		for i := range max(1, o.Instances) {
			m.At(m.Now().Add(o.ReportInterval*time.Duration(i)/time.Duration(max(1, o.Instances))), func() { m.reportLoads(r, reportsEnd) })
		}
	}
	if len(m.regions) > 1 {
		// The first reports arrive at once, as instances know of each other before they serve.
		m.reportRegions(0)
		m.Every(o.RemoteReportInterval, reportsEnd, func() { m.reportRegions(o.RemoteReportAge) })
	}
	m.Run()
	return m.results
}

// build creates engines, instances and routes.
func (m *emulation) build() {
	regions := m.options.Regions
	if len(regions) == 0 {
		regions = []Region{{Name: "north", Engines: m.options.Engines, Instances: m.options.Instances}}
	}
	for _, declared := range regions {
		r := &region{Region: declared, remote: make(map[string]regionReport)}
		if len(m.options.Regions) > 0 {
			r.suffix = "/" + r.Name
		}
		m.regions = append(m.regions, r)
		for range r.Engines {
			id := fmt.Sprintf("engine-%02d", len(m.engines))
			m.engines[id] = &engine{id: id, model: &m.options.Model, cache: newCache(m.options.Model.CacheTokens)}
			r.engines = append(r.engines, id)
			m.view.Upstreams = append(m.view.Upstreams, fleet.Upstream{ID: id, Service: serviceName, Region: r.Name, Domain: r.Name, Slots: m.options.Model.Slots})
		}
		for range r.Instances {
			r.instances = append(r.instances, &instance{
				region: r, tracker: limit.NewTracker(&m.Timeline, nil), lateness: steer.NewLateness(), acceptance: limit.NewAcceptance(),
				recent: steer.NewRecentPlacements(), estimates: steer.NewEstimator(), overload: steer.NewOverload(),
				flow: steer.NewFlow(), peers: peer.NewView(nil, nil, m.Now()),
			})
		}
	}
	m.view.Index()
	m.declareRoutes()
}

// declareRoutes compiles a route for each kind of request.
func (m *emulation) declareRoutes() {
	routes := make([]httproute.Route, len(m.options.Kinds))
	for i, kind := range m.options.Kinds {
		routes[i] = httproute.Route{
			Name: kind.Name, Prefix: "/" + kind.Name + "/", Kind: httproute.Streaming, TargetLatency: kind.Target, Priority: kind.Rank,
			Homes: kind.Homes, SharedPrompts: true, Backends: []httproute.Backend{{Service: serviceName, Weight: 1}},
		}
	}
	services := []httproute.Service{{Name: serviceName, Engine: &httproute.Engine{Slots: m.options.Model.Slots}}}
	config, err := httproute.Compile(1, httproute.Limits{}, routes, services)
	if err != nil {
		panic(err)
	}
	m.service = config.Service(serviceName)
	for i := range config.Routes {
		m.routes[config.Routes[i].Name] = &config.Routes[i]
	}
}

// arrivals schedules the requests of a kind from the callers of a region.
func (m *emulation) arrivals(kind *Kind, from *region, result *Result, start, end time.Time) {
	level := 1.0
	if kind.LoadFactor != nil {
		level = kind.LoadFactor(m.options.Length - end.Sub(start))
	}
	if kind.Load != nil {
		level *= kind.Load[from.Name]
	}
	next := start.Add(time.Duration(min(m.arriving.ExpFloat64()/(kind.PerSecond*level), m.options.Length.Seconds()+1) * float64(time.Second)))
	if next.After(end) {
		return
	}
	m.At(next, func() {
		r := m.newRequest(kind)
		r.from, r.result = from, result
		result.Requests++
		m.arrive(r)
		m.arrivals(kind, from, result, m.Now(), end)
	})
}

// newRequest generates a request at random.
func (m *emulation) newRequest(kind *Kind) *request {
	own := max(1, int(float64(kind.OwnTokens)*(0.5+m.arriving.Float64())))
	m.requests++
	r := &request{kind: kind, arrivedAt: m.Now()}
	r.Route, r.Service = m.routes[kind.Name], m.service
	r.PromptTokens = kind.SharedTokens + own
	r.Segments = []steer.Segment{
		{ID: fmt.Sprint(kind.Name, "-", m.arriving.IntN(max(1, kind.SharedPrefixes))), Tokens: kind.SharedTokens},
		{ID: fmt.Sprint("own-", m.requests), Tokens: own},
	}
	return r
}

// arrive hands a request to a random instance of its region.
func (m *emulation) arrive(r *request) {
	r.startedAt, r.hops = m.Now(), 0
	m.decide(m.pickInstance(r.from), r)
}

func (m *emulation) pickInstance(r *region) *instance {
	return r.instances[m.random.IntN(len(r.instances))]
}

// decide sends, forwards or refuses a request at an instance.
func (m *emulation) decide(i *instance, r *request) {
	snapshot := &steer.Snapshot{
		Region: i.region.Name, Fleet: m.view, Peers: i.peers, Local: i.tracker, Recent: i.recent, CallTimes: steer.NewCallTimes(),
		Estimates: i.estimates, Acceptance: i.acceptance, Flow: i.flow, Now: m.Now(), Random: m.random.Uint64(),
		Admits: func(*fleet.Upstream, *httproute.Service) bool { return true },
	}
	if !m.options.KeepsFlexible {
		snapshot.Lateness = i.lateness
	}
	r.Contended = i.overload.Contended(serviceName, r.rank(), m.Now())
	var survey steer.Survey
	if r.Route.PermittedIn(i.region.Name) {
		survey = snapshot.SurveyRegion(&r.Request)
	}
	if r.hop == nil && r.hops < maxHops {
		if to := snapshot.Choose(&r.Request, survey, snapshot.Regions(&r.Request)); to != nil {
			m.forward(i, r, to)
			return
		}
	}
	best := survey.Best
	if best.Upstream == nil || m.options.Admits && best.Late && i.overload.Refuses(&r.Request, m.Now()) {
		m.refuse(i, r)
		return
	}
	m.send(i, r, best)
}

// refuse refuses a request, which its caller retries once.
func (m *emulation) refuse(i *instance, r *request) {
	if r.hop != nil {
		m.returnHop(r, limit.Rejected)
		return
	}
	if len(m.options.Regions) > 0 && m.Now().Sub(r.startedAt) < r.kind.Target/capacityWaitPart {
		m.After(capacityPollInterval, func() { m.decide(i, r) })
		return
	}
	if r.retried {
		r.result.Refused++
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
	started, hop := &run{request: r, pendingTokens: r.kind.AnswerTokens}, r.hop
	started.onFirstToken = func(now time.Time) {
		flight.FirstByte()
		i.estimates.Observe(&to, now.Sub(sent), now)
		i.lateness.Observe(m.service, r.Route, i.region.Name, now.Sub(r.startedAt), now)
		m.begin(r, now)
	}
	started.onEnd = func(time.Time) {
		flight.Done(limit.Succeeded)
		if hop != nil {
			m.After(interRegionDelay, func() { hop.ended(limit.Succeeded) })
		}
	}
	m.notePlacement(i.region, r, false)
	m.At(sent.Add(r.kind.Patience), func() { m.cancel(started, flight) })
	engine.accept(started)
	m.run(engine)
}

// recordFirstToken counts an answer as in time or late.
func (m *emulation) recordFirstToken(r *request, now time.Time) {
	if now.Sub(r.arrivedAt) <= r.kind.Target {
		r.result.InTime++
	} else {
		r.result.Late++
	}
}

// cancel ends a request if its answer has not begun before its caller cancels.
func (m *emulation) cancel(r *run, flight *limit.Flight) {
	if r.unreadTokens == 0 || r.cancelled {
		return
	}
	r.cancelled = true
	flight.Done(limit.Abandoned)
	r.request.result.Cancelled++
	if hop := r.request.hop; hop != nil {
		hop.ended(limit.Abandoned)
	}
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

// reportLoads sends the requests in flight of every instance of a region to the others there, periodically.
func (m *emulation) reportLoads(r *region, end time.Time) {
	sums := m.loads(r)
	reports := make([][]peer.Load, len(r.instances))
	for n, i := range r.instances {
		reports[n] = slices.Clone(sums)
		for at := range reports[n] {
			own := i.tracker.Load(reports[n][at].Name)
			reports[n][at].InFlight -= own.InFlight
			reports[n][at].Prefill -= own.Prefill
		}
	}
	m.At(m.Now().Add(m.options.ReportDelay), func() { m.applyReports(r, reports) })
	next := m.Now().Add(m.options.ReportInterval)
	if next.Before(end) {
		m.At(next, func() { m.reportLoads(r, end) })
	}
}

// loads returns the work of all instances of a region at each of its engines.
func (m *emulation) loads(r *region) []peer.Load {
	loads := make([]peer.Load, len(r.engines))
	for n, id := range r.engines {
		loads[n].Name = id
		for _, i := range r.instances {
			own := i.tracker.Load(id)
			loads[n].InFlight += own.InFlight
			loads[n].Prefill += own.Prefill
		}
	}
	return loads
}

// applyReports delivers to each instance of a region the reports of the others, and the last ones of other
// regions.
func (m *emulation) applyReports(r *region, reports [][]peer.Load) {
	known := m.knownPeers(r)
	for n, i := range r.instances {
		i.peers = peer.NewView(known, reports[n], m.Now().Add(-m.options.ReportDelay))
		for _, other := range m.regions {
			if report, ok := r.remote[other.Name]; ok {
				i.peers.AddService(other.Name, report.load)
			}
		}
	}
}
