package agent

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// Timing of the link to the own gateway.
const (
	// ExchangeInterval is the longest time between two exchanges, ExchangeSpacing
	// the shortest.
	ExchangeInterval = 400 * time.Millisecond
	ExchangeSpacing  = 20 * time.Millisecond
	// ExchangeTimeout bounds one exchange.
	ExchangeTimeout = time.Second
	// GatewayLostAfter is the time without contact to the gateway after which the
	// instance counts as one without a gateway.
	GatewayLostAfter = 2 * time.Second
)

// gatewayState is the gateway's last reply and what was sent to it. Safe for
// concurrent use.
type gatewayState struct {
	mu      sync.Mutex
	reached time.Time
	up      bool
	reply   control.ExchangeReply
	sent    sentSections
	marked  map[string]bool
}

// sentSections holds the snapshots that the gateway's incarnation has received.
type sentSections struct {
	incarnation uint64
	members     *board.Members
	upstreams   *board.Upstreams
	domains     *board.Domains
	platform    *board.PlatformHealth
}

func (g *gatewayState) revision() config.Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.up {
		return 0
	}
	return g.reply.Revision
}

// state reports whether the gateway is up, and returns its last reply.
func (g *gatewayState) state() (bool, control.ExchangeReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up, g.reply
}

// exchangeLoop exchanges state with the gateway.
func (a *Agent) exchangeLoop(ctx context.Context) {
	for {
		a.exchangeOnce(ctx)
		if !clock.Sleep(ctx, ExchangeSpacing) {
			return
		}
		timer := time.NewTimer(ExchangeInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-a.exchange:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (a *Agent) exchangeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	args, sections := a.exchangeArgs()
	args.Depart(time.Now())
	var reply control.ExchangeReply
	err := a.local.Call(ctx, a.Settings.Gateway.Control, control.GatewayService+".Exchange", args, &reply)
	if err != nil {
		a.gatewayFailed(err)
		return
	}
	a.gatewayReplied(reply, sections)
}

// exchangeArgs returns the arguments with what the gateway is not known to have,
// and the sections that they are made from.
func (a *Agent) exchangeArgs() (*control.ExchangeArgs, sentSections) {
	up, reply := a.gateway.state()
	a.gateway.mu.Lock()
	sent := a.gateway.sent
	a.gateway.mu.Unlock()
	current := sentSections{
		members:   a.board.Members.Load(),
		upstreams: a.board.Upstreams.Load(),
		domains:   a.board.Domains.Load(),
		platform:  a.board.Platform.Load(),
	}
	args := &control.ExchangeArgs{WantHead: reply.Revision > a.keeper.Revision() || a.keeper.Head() == nil}
	if head := a.keeper.Head(); head != nil && (!up || head.Revision > reply.Revision) {
		args.Head = head
	}
	args.Members = nilIfSame(current.members, sent.members)
	args.Upstreams = nilIfSame(current.upstreams, sent.upstreams)
	args.Domains = nilIfSame(current.domains, sent.domains)
	args.Platform = nilIfSame(current.platform, sent.platform)
	return args, current
}

func nilIfSame[T any](now, sent *T) *T {
	if now == sent {
		return nil
	}
	return now
}

func (a *Agent) gatewayReplied(reply control.ExchangeReply, sections sentSections) {
	a.gateway.mu.Lock()
	before, wasUp := a.gateway.reply, a.gateway.up
	sections.incarnation = reply.Incarnation
	restarted := a.gateway.sent.incarnation != reply.Incarnation
	if restarted {
		// The sections left out of this exchange had been sent to another
		// incarnation.
		sections = sentSections{incarnation: reply.Incarnation}
	}
	a.gateway.sent = sections
	a.gateway.reply, a.gateway.up, a.gateway.reached = reply, true, time.Now()
	a.gateway.mu.Unlock()
	if restarted {
		a.Log.Info().Uint64("incarnation", reply.Incarnation).Msg("gateway-met")
		a.exchange.raise()
	}
	a.keeper.Offer(reply.Head, spread.SourceGateway)
	a.updateRevisions()
	if a.mesh.setGateway(reply.Incarnation, reply.Leaving, time.Now()) {
		a.beat.raise()
	}
	var earlier *board.GatewayLoad
	if wasUp && !restarted {
		earlier = &before.Load
	}
	a.mesh.setLoad(reply.Load, earlier)
	a.applyObservations(reply.Observations)
	if reply.Revision < a.keeper.Revision() {
		a.exchange.raise()
	}
}

// applyObservations turns the gateway's observations into leaving marks.
func (a *Agent) applyObservations(seen map[string]control.Observation) {
	if a.gateway.marked == nil {
		a.gateway.marked = make(map[string]bool)
	}
	for name, observation := range seen {
		if observation.Leaving {
			a.gateway.marked[name] = true
			a.publishMark(name, true)
		}
	}
	for name := range a.gateway.marked {
		if !seen[name].Leaving {
			delete(a.gateway.marked, name)
			a.publishMark(name, false)
		}
	}
}

func (a *Agent) publishMark(upstream string, leaving bool) {
	if a.mesh.setMark(upstream, leaving) {
		a.beat.raise()
	}
}

func (a *Agent) gatewayFailed(err error) {
	a.gateway.mu.Lock()
	// A gateway that reported that it was leaving and refuses connections has
	// stopped.
	stopped := a.gateway.reply.Leaving && errors.Is(err, syscall.ECONNREFUSED)
	lost := a.gateway.up && (stopped || time.Since(a.gateway.reached) > GatewayLostAfter)
	if lost {
		a.gateway.up = false
		a.gateway.sent = sentSections{}
	}
	a.gateway.mu.Unlock()
	if !lost {
		return
	}
	a.Log.Warn().Err(err).Msg("gateway-lost")
	a.mesh.setGateway(0, false, time.Now())
	a.updateRevisions()
	a.beat.raise()
}
