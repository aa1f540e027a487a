package gateway

import (
	"github.com/lilacweir/lilacweir/pkg/api"
	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/claim"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/route"
)

// Service is the net/rpc service that a gateway offers to its agent, and for
// operators' lookups of requests.
type Service struct{ gateway *Gateway }

func (g *Gateway) register(server *control.Server) error {
	if err := server.Register(control.GatewayService, &Service{gateway: g}); err != nil {
		return err
	}
	return server.Register(claim.ServiceName, g.claims.Service())
}

// Exchange applies the agent's state and returns the gateway's.
func (s *Service) Exchange(args control.ExchangeArgs, reply *control.ExchangeReply) error {
	args.Arrive(s.gateway.clock.Now())
	*reply = s.gateway.Exchange(args)
	return nil
}

// Why returns the log of a request.
func (s *Service) Why(args control.WhyArgs, reply *control.WhyReply) error {
	record := s.gateway.trace.Find(args.RequestID)
	if record == nil {
		return nil
	}
	*reply = control.WhyReply{Found: true, Lines: record.Lines()}
	return nil
}

// Exchange is the only writer of the gateway's blackboard. It ignores a
// configuration with a revision that is not higher than the current one.
func (g *Gateway) Exchange(args control.ExchangeArgs) control.ExchangeReply {
	g.exchange.Lock()
	defer g.exchange.Unlock()
	g.applyHead(args.Head)
	storeIfGiven(&g.board.Members, args.Members)
	storeIfGiven(&g.board.Upstreams, args.Upstreams)
	storeIfGiven(&g.board.Domains, args.Domains)
	storeIfGiven(&g.board.Platform, args.Platform)
	if args.Upstreams != nil {
		g.marks.clearReported(args.Upstreams)
	}
	g.compile()
	reply := control.ExchangeReply{
		Incarnation:  g.incarnation,
		Load:         g.load(),
		Leaving:      g.phase.Load() != phaseServing,
		Observations: g.observations(),
	}
	if head := g.board.Config.Load(); head != nil {
		reply.Revision = head.Revision
		if args.WantHead {
			reply.Head = head
		}
	}
	g.recordReported(&reply)
	return reply
}

// applyHead brings a newer configuration into force. The lookups are in place
// before the revision is published.
func (g *Gateway) applyHead(head *config.Head) {
	if head == nil || head.Declaration == nil {
		return
	}
	current := g.board.Config.Load()
	if current != nil && head.Revision <= current.Revision {
		return
	}
	g.config.Store(&api.Configuration{Index: config.NewIndex(head.Declaration), Revision: head.Revision})
	g.board.Config.Store(head)
	g.log.Info().Uint64("revision", uint64(head.Revision)).Msg("configuration-in-force")
}

func storeIfGiven[T any](section *board.Section[T], value *T) {
	if value != nil {
		section.Store(value)
	}
}

// load returns the gateway's load as it is published.
func (g *Gateway) load() board.GatewayLoad {
	inFlight := g.tracker.Snapshot()
	return board.GatewayLoad{
		InFlight:  inFlight,
		Waiting:   waitingByName(g.queue.Waiting()),
		Successor: g.claims.Successor(),
		Requests:  uint64(g.metrics.Requests.Count()),
		Forwarded: uint64(g.metrics.Forwarded.Count()),
		Refused:   uint64(g.metrics.Refused.Count()),
		Demand:    g.quota.Demand(),
	}
}

// waitingByName adds up the queued requests of a model's versions.
func waitingByName(byPool map[string]int) map[string]int {
	byName := make(map[string]int, len(byPool))
	for pool, waiting := range byPool {
		byName[route.PoolServes(pool)] += waiting
	}
	return byName
}

// observations returns what the gateway saw of its upstreams that other instances
// need to know.
func (g *Gateway) observations() map[string]control.Observation {
	seen := make(map[string]control.Observation)
	for _, name := range g.marks.names() {
		seen[name] = control.Observation{Leaving: true}
	}
	index := g.config.Load()
	if index == nil {
		return seen
	}
	for _, upstream := range g.board.Config.Load().Declaration.Upstreams {
		if g.ejector.Ejected(upstream.Name) {
			observation := seen[upstream.Name]
			observation.Ejected = true
			seen[upstream.Name] = observation
		}
	}
	return seen
}
