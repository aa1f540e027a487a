package decide

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/admission"
	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/route"
)

// Names in the modelled declaration.
const (
	model   = "m"
	version = "v1"
)

// gateway runs the real decision code of one gateway.
type gateway struct {
	sim           *simulation
	failureDomain *failureDomain
	name          string
	spill         *route.SpillState
	strategy      *route.Strategy
	head          *config.Head
	ejector       *limit.Ejector
	tracker       *limit.Tracker
	queue         *admission.Queue
	table         *route.Table
	rnd           *rand.Rand
	published     board.GatewayLoad // load last published to the others
	waiting       []*waiting
}

// waiting is a request in the admission queue.
type waiting struct {
	entry   *admission.Entry
	request *route.Request
	job     *job
}

// flight is a request at an engine.
type flight struct {
	gateway *gateway
	entry   *admission.Entry
	flight  *limit.Flight
	job     *job
	engine  *engine
}

func newGateway(s *simulation, fd *failureDomain, p policy, i int, seed uint64) *gateway {
	g := &gateway{
		sim: s, failureDomain: fd, name: fmt.Sprintf("gw-%s-%02d", fd.name, i),
		spill:   route.NewSpillState(),
		ejector: limit.NewEjector(s),
		queue:   admission.NewQueue(s),
		rnd:     rand.New(rand.NewPCG(seed, uint64(fd.index*s.options.Gateways+i))),
		head:    &config.Head{Revision: 1, Declaration: declaration(s)},
	}
	g.tracker = limit.NewTracker(s, g.ejector)
	if p.strategy != nil {
		g.strategy = p.strategy()
	}
	return g
}

func declaration(s *simulation) *config.Declaration {
	d := &config.Declaration{
		Models: []config.Model{{Name: model, Versions: []config.ModelVersion{{Name: version, Percent: 100}}}},
		Policy: config.Policy{CostWeight: s.options.CostWeight, SpillMargin: config.Duration(s.variant.margin)},
	}
	for _, from := range s.failureDomains {
		d.Regions = append(d.Regions, config.Region{Name: from.region, Domains: []string{from.name}})
		d.Models[0].Regions = append(d.Models[0].Regions, from.region)
		for _, to := range s.failureDomains {
			if from != to && s.variant.percent > 0 {
				d.Spill = append(d.Spill, config.Spill{From: from.region, To: to.region, Percent: s.variant.percent})
			}
		}
	}
	for _, e := range s.engines {
		d.Upstreams = append(d.Upstreams, config.Upstream{
			Name: e.name, Kind: config.KindEngine, Serves: model, Version: version, Domain: e.failureDomain.name, Concurrency: engineSlots,
		})
	}
	return d
}

// compile rebuilds the table from the information received so far.
func (g *gateway) compile() {
	g.table = route.Compile(route.Input{
		Head: g.head, Members: g.failureDomain.members(), Upstreams: g.failureDomain.polled, Domains: g.failureDomain.domains(g.sim),
		Self: g.name, Domain: g.failureDomain.name, Region: g.failureDomain.region,
		Previous: g.table, Strategy: g.strategy, Spill: g.spill, Now: g.sim.Now(),
	})
	g.tracker.SetShares(g.table.Shares())
	for _, pool := range g.table.Pools() {
		g.ejector.SetPool(pool.Key, pool.Upstreams)
		g.queue.SetCapacity(pool.Key, g.table.Slots(pool, g.tracker))
	}
	g.queue.Sweep()
	g.start()
}

// gossip publishes the current load; other gateways read it at their next compile.
func (g *gateway) gossip() {
	inFlight := g.tracker.Snapshot()
	waiting := g.queue.Waiting()
	g.published = board.GatewayLoad{
		InFlight: inFlight,
		Waiting:  map[string]int{model: waiting[route.PoolKey(model, version)]},
	}
}

// arrive handles a request in the order of a real gateway: first decision, queue,
// second decision, upstream. It also handles requests forwarded by other gateways,
// and its own that were returned.
func (g *gateway) arrive(j *job) {
	request := g.request(j)
	request.Waiting = g.queue.Predict(g.ticket(j, route.PoolKey(model, version), 0))
	decision, refusal := g.table.Pick(request, g.tracker, g.rnd, g.sim.Now())
	if refusal != nil {
		g.refuse(j, refusal)
		return
	}
	if decision.Domain != nil {
		g.forward(j, &decision)
		return
	}
	entry, refusal := g.queue.Submit(g.ticket(j, decision.Pool, decision.Run))
	if refusal != nil {
		g.refuse(j, refusal)
		return
	}
	g.waiting = append(g.waiting, &waiting{entry: entry, request: request, job: j})
	g.start()
}

func (g *gateway) request(j *job) *route.Request {
	r := &route.Request{
		Caller: g.caller(j), Serves: model, Kind: config.KindEngine,
		Prefixes: j.prefixes, PrefixTokens: j.tokens,
		PromptTokens: j.prompt(), MaxTokens: j.kind.answer, SplitRandom: j.roll,
		Deadline: j.deadline(),
	}
	if g.failureDomain.index != j.failureDomain {
		r.Class, r.Origin = route.ClassDomain, g.sim.failureDomains[j.failureDomain].name
		return r
	}
	r.Tried = j.tried
	return r
}

// caller returns the caller of a request with the regions that may process it.
func (g *gateway) caller(j *job) *config.Caller {
	home := g.sim.failureDomains[j.failureDomain].region
	caller := &config.Caller{Name: j.caller.Name, Home: home, Regions: []string{home}}
	if j.homeRegionOnly {
		return caller
	}
	for _, fd := range g.sim.failureDomains {
		if fd.region != home {
			caller.Regions = append(caller.Regions, fd.region)
		}
	}
	return caller
}

func (g *gateway) ticket(j *job, pool string, run time.Duration) admission.Ticket {
	return admission.Ticket{
		Caller: j.caller, Serves: pool, Cost: admission.Cost(j.prompt(), j.kind.answer),
		Run: run, Deadline: j.deadline(),
	}
}

// start handles the requests that the queue has granted or refused.
func (g *gateway) start() {
	kept := g.waiting[:0]
	var ready []*waiting
	for _, w := range g.waiting {
		select {
		case <-w.entry.Ready():
			ready = append(ready, w)
		default:
			kept = append(kept, w)
		}
	}
	g.waiting = kept
	for _, w := range ready {
		g.send(w)
	}
}

func (g *gateway) send(w *waiting) {
	if refusal := w.entry.Refusal(); refusal != nil {
		g.refuse(w.job, refusal)
		return
	}
	w.request.Waiting = 0
	w.request.Admitted = true
	decision, refusal := g.table.Pick(w.request, g.tracker, g.rnd, g.sim.Now())
	if refusal != nil {
		w.entry.Release()
		g.refuse(w.job, refusal)
		return
	}
	if decision.Domain != nil {
		w.entry.Release()
		g.forward(w.job, &decision)
		return
	}
	name := decision.Upstream.Name
	started, ok := g.tracker.Start(name, w.job.prompt(), decision.FirstToken)
	if !ok {
		w.entry.Release()
		g.sim.result.unplacedGrants++
		return
	}
	for _, e := range g.sim.engines {
		if e.name == name && e.rejects {
			g.rejected(w, started, name)
		} else if e.name == name {
			e.receive(g.sim, &flight{gateway: g, entry: w.entry, flight: started, job: w.job, engine: e})
		}
	}
}

// freeAttempts is the number of rejected attempts after which a request fails.
const freeAttempts = 2

// rejected retries on another engine, or refuses the request after freeAttempts.
func (g *gateway) rejected(w *waiting, started *limit.Flight, name string) {
	g.sim.result.rejections++
	started.Done(limit.Rejected)
	w.request.Tried = append(w.request.Tried, name)
	if len(w.request.Tried) < freeAttempts {
		g.send(w)
		return
	}
	w.entry.Release()
	g.refuse(w.job, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, 0, "rejected"))
}

func (g *gateway) refuse(j *job, refusal *outcome.Refusal) {
	if g.failureDomain.index != j.failureDomain {
		g.returnToOrigin(j)
		return
	}
	j.refused = true
	if g.sim.measured(j) {
		g.sim.result.refused(j, refusal)
	}
}
