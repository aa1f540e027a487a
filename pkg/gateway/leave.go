package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// Times of a graceful shutdown.
const (
	// drainPoll is how often the number of running requests is checked.
	drainPoll = 20 * time.Millisecond
	// closeTimeout bounds the closing of connections after requests have ended.
	closeTimeout = 2 * time.Second
)

// leave takes the gateway out of service: it notifies the domain and callers while
// requests are still accepted; then new requests are refused as not run, and
// running ones end. Those that run for too long get their final answer.
func (g *Gateway) leave(servers ...*http.Server) {
	g.phase.Store(phaseLeaving)
	g.log.Info().Msg("leaving")
	g.awaitPropagation()
	g.phase.Store(phaseDraining)
	g.log.Info().Int64("active", g.metrics.Active.Count()).Msg("draining")
	g.awaitRequests()
	g.endRequests()
	g.awaitIdle(closeTimeout)
	g.handOver()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			g.log.Warn().Err(err).Msg("requests-cut")
			_ = server.Close()
		}
	}
}

// awaitPropagation waits until the lists that callers hold have expired, and until
// the agent has learned that the gateway is leaving, if it calls at all.
func (g *Gateway) awaitPropagation() {
	<-time.After(instancesValid)
	g.leavingReported.wait(agentTimeout)
}

// agentTimeout bounds the wait for an agent that may have stopped.
const agentTimeout = 500 * time.Millisecond

// recordReported records what a reply reports to the agent.
func (g *Gateway) recordReported(reply *control.ExchangeReply) {
	if reply.Leaving {
		g.leavingReported.set()
	}
	if reply.Load.Successor != "" {
		g.successorReported.set()
	}
}

// signal can be set once and waited for.
type signal struct {
	once *sync.Once
	done chan struct{}
}

func newSignal() signal { return signal{once: new(sync.Once), done: make(chan struct{})} }

func (s signal) set() { s.once.Do(func() { close(s.done) }) }

func (s signal) wait(bound time.Duration) {
	select {
	case <-s.done:
	case <-time.After(bound):
	}
}

// awaitRequests waits for running requests, up to the bound in the settings.
func (g *Gateway) awaitRequests() {
	bound := g.settings.Gateway.Drain
	if bound == 0 {
		bound = settings.DefaultDrain
	}
	g.awaitIdle(bound)
}

// awaitIdle waits until no request runs, up to a bound.
func (g *Gateway) awaitIdle(bound time.Duration) {
	deadline := time.NewTimer(bound)
	defer deadline.Stop()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for g.metrics.Active.Count() > 0 {
		select {
		case <-ticker.C:
		case <-deadline.C:
			return
		}
	}
}

// handoverTimeout bounds the handover of idempotency keys.
const handoverTimeout = 5 * time.Second

// handOver transfers the idempotency keys to a peer. Without one, repeated requests
// are answered from copies, or as unknown.
func (g *Gateway) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	successor, err := g.claims.Handover(ctx)
	if err != nil {
		g.log.Warn().Err(err).Int("records", g.claims.Records()).Msg("keys-not-handed-over")
		return
	}
	g.log.Info().Str("successor", successor.Instance).Msg("keys-handed-over")
	g.successorReported.wait(agentTimeout)
}
