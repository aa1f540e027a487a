// Package gateway assembles the data path of one entry instance: the blackboard
// that its agent fills, the routing table compiled from it, and the listeners for
// callers, other gateways and control calls.
//
// Guarantees: the configuration's revision never goes down; requests read snapshots
// without a lock; a graceful shutdown interrupts no request.
package gateway

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/admission"
	"github.com/lilacweir/lilacweir/pkg/api"
	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/claim"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/ingress"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/logging"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/relay"
	"github.com/lilacweir/lilacweir/pkg/route"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/trace"
)

// traceSize is the number of requests that Why can look up.
const traceSize = 4096

// Gateway is the data path of one entry instance.
type Gateway struct {
	settings    *settings.Instance
	network     *control.Network
	log         zerolog.Logger
	clock       clock.Clock
	incarnation uint64

	board    board.Board
	exchange sync.Mutex
	config   atomic.Pointer[api.Configuration]
	table    atomic.Pointer[route.Table]
	spill    *route.SpillState

	registry metrics.Registry
	metrics  *dispatch.Metrics
	trace    *trace.Log
	queue    *admission.Queue
	claims   *claim.Coordinator
	peers    *control.Clients
	ejector  *limit.Ejector
	tracker  *limit.Tracker
	retries  limit.RetryBudget
	quota    *quota.Gate
	marks    leavingMarks
	suspects *suspects
	client   *relay.Client
	// guard bounds what clients hold, at the ports.
	guard                    *ingress.Guard
	callersPort, gatewayPort *ingress.Port

	// running is cancelled by halt when the gateway stops.
	running context.Context
	halt    context.CancelFunc

	// ending is cancelled by endRequests when running requests are to end.
	ending      context.Context
	endRequests context.CancelFunc

	phase atomic.Int32
	// leavingReported and successorReported are set once a reply to the agent has reported that the
	// gateway is leaving, and its successor.
	leavingReported, successorReported signal
}

// Phases of a gateway.
const (
	phaseServing int32 = iota
	// phaseLeaving is the time in which the domain is notified and requests are still
	// accepted.
	phaseLeaving
	// phaseDraining is the time in which new requests are refused and running ones
	// end.
	phaseDraining
)

// New returns a gateway that has no configuration yet. keyValue holds the claims
// of opaque idempotency keys.
func New(instance *settings.Instance, network *control.Network, keyValue platform.KeyValue, log zerolog.Logger) *Gateway {
	system := clock.System{}
	registry := metrics.NewRegistry()
	ejector := limit.NewEjector(system)
	g := &Gateway{
		settings:    instance,
		network:     network,
		log:         log,
		clock:       system,
		incarnation: uint64(system.Now().UnixNano()),
		spill:       route.NewSpillState(),
		registry:    registry,
		metrics:     dispatch.NewMetrics(registry),
		trace:       trace.NewLog(traceSize),
		queue:       admission.NewQueue(system),
		peers:       control.NewClients(network),
		ejector:     ejector,
		tracker:     limit.NewTracker(system, ejector),
		quota:       quota.NewGate(system),
		client:      relay.NewClient(network.DialPlain, network.Dial),

		leavingReported:   newSignal(),
		successorReported: newSignal(),
	}
	g.ending, g.endRequests = context.WithCancel(context.Background())
	g.running, g.halt = context.WithCancel(context.Background())
	g.suspects = newSuspects(g.running, g.client.Probe)
	g.claims = claim.New(g.claimOptions(keyValue))
	g.openPorts()
	g.registerGauges()
	network.Credentials().Register(registry)
	g.compile()
	return g
}

// claimOptions returns the options by which this gateway decides idempotency keys.
func (g *Gateway) claimOptions(keyValue platform.KeyValue) claim.Options {
	return claim.Options{
		Self:     claim.Origin{Domain: g.settings.Domain, Instance: g.settings.Instance, Incarnation: g.incarnation},
		Clock:    g.clock,
		Random:   cryptorand.Reader,
		Peers:    g.peers,
		Members:  g.board.Members.Load,
		Domains:  g.board.Domains.Load,
		KeyValue: keyValue,
		TTL:      g.keyTTL,
		Log:      g.log,
	}
}

// keyTTL returns the lifetime of an idempotency key.
func (g *Gateway) keyTTL() time.Duration {
	head := g.board.Config.Load()
	if head == nil || head.Declaration.Policy.KeyTTL == 0 {
		return config.DefaultKeyTTL
	}
	return head.Declaration.Policy.KeyTTL.Std()
}

// listeners holds the three listeners of a gateway.
type listeners struct {
	callers, peers net.Listener
	control        *control.Server
}

// Run serves until ctx ends, then shuts down gracefully. It returns nil after a
// graceful shutdown.
func (g *Gateway) Run(ctx context.Context) error {
	sockets, err := g.listen()
	if err != nil {
		return err
	}
	if err := g.register(sockets.control); err != nil {
		return errors.Join(err, sockets.close())
	}
	server := g.newServer()
	callers, peers := server.Callers(), server.Peers()
	g.callersPort.Apply(callers)
	g.gatewayPort.Apply(peers)
	callers.ErrorLog, peers.ErrorLog = logging.ServerErrors(g.log), logging.ServerErrors(g.log)
	defer g.halt()
	group, failed := errgroup.WithContext(g.running)
	group.Go(func() error { return serve(callers, g.callersPort.Over(sockets.callers)) })
	group.Go(func() error { return serve(peers, g.gatewayPort.Over(sockets.peers)) })
	group.Go(func() error { g.guard.Run(failed); return nil })
	group.Go(func() error { sockets.control.Serve(); return nil })
	group.Go(func() error { g.compileLoop(failed); return nil })
	group.Go(func() error { g.network.Credentials().Run(failed, g.log); return nil })
	g.log.Info().Str("callers", sockets.callers.Addr().String()).Msg("ready")
	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	g.leave(callers, peers)
	g.halt()
	err = sockets.control.Close()
	g.peers.Close()
	g.client.Close()
	g.log.Info().Msg("stopped")
	return errors.Join(group.Wait(), err)
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", listener.Addr(), err)
	}
	return nil
}

func (g *Gateway) listen() (sockets listeners, err error) {
	addresses := g.settings.Gateway
	if sockets.callers, err = g.network.ListenPublic(addresses.Callers, addresses.CallersTLS); err != nil {
		return sockets, fmt.Errorf("listen for callers: %w", err)
	}
	if sockets.peers, err = g.network.Listen(addresses.Peers); err != nil {
		return sockets, errors.Join(fmt.Errorf("listen for gateways: %w", err), sockets.close())
	}
	if sockets.control, err = control.NewServer(g.network, addresses.Control); err != nil {
		return sockets, errors.Join(fmt.Errorf("listen for control: %w", err), sockets.close())
	}
	return sockets, nil
}

func (l listeners) close() error {
	var failed error
	for _, listener := range []net.Listener{l.callers, l.peers} {
		if listener != nil {
			failed = errors.Join(failed, listener.Close())
		}
	}
	if l.control != nil {
		failed = errors.Join(failed, l.control.Close())
	}
	return failed
}

func (g *Gateway) newServer() *api.Server {
	maxBody := g.settings.Gateway.MaxBody
	if maxBody == 0 {
		maxBody = settings.DefaultMaxBody
	}
	return api.NewServer(api.Options{
		Source:     g,
		Dispatcher: g.newDispatcher(),
		Quota:      g.quota,
		Metrics:    g.metrics,
		Registry:   g.registry,
		MaxBody:    maxBody,
		Guard:      g.guard,
		Now:        g.clock.Now,
		Domain:     g.settings.Domain,
	})
}

func (g *Gateway) newDispatcher() *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Router:  g,
		Claims:  g.claims,
		Client:  g.client,
		Log:     g.log,
		Trace:   g.trace,
		Metrics: g.metrics,
		Now:     g.clock.Now,
		Domain:  g.settings.Domain,
		Ending:  g.ending,
	}
}

// Handlers returns the HTTP handlers for callers and for other gateways, so that
// a test or a benchmark can drive the data path without its listeners.
func (g *Gateway) Handlers() (callers, peers http.Handler) {
	server := g.newServer()
	return server.Callers().Handler, server.Peers().Handler
}

// NewRequestID implements api.Source.
func (g *Gateway) NewRequestID() string {
	return g.settings.Instance + "-" + strconv.FormatUint(rand.Uint64(), 36)
}

// Roll implements api.Source.
func (g *Gateway) Roll() uint64 { return rand.Uint64() }

// Leaving implements api.Source.
func (g *Gateway) Leaving() bool { return g.phase.Load() == phaseDraining }

// Configuration implements api.Source.
func (g *Gateway) Configuration() *api.Configuration { return g.config.Load() }
