// Package agent is the control path of one entry instance: it follows the accepted
// configuration, maintains the membership of its failure domain, exchanges load
// digests with other domains, updates its gateway, and serves operators.
//
// Guarantees: the configuration never goes to a lower revision; the platform is
// called at a bounded rate whether it answers or not; a request in the gateway does
// not depend on this process.
package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/command"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/ingress"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/order"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/responsehead"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// Intervals of the controllers.
const (
	// ReconcileInterval is the longest time between two reconciliations of the
	// running jobs and the blackboard.
	ReconcileInterval = 250 * time.Millisecond
	// RefreshInterval is how often unchanged sections are stored again, so that the
	// gateway sees current timestamps.
	RefreshInterval = time.Second
	// SettleTime is the time that a fresh agent waits for heartbeats of its domain
	// before it takes on the platform's watch and other domains' digests.
	SettleTime = 500 * time.Millisecond
)

// Options configures an agent.
type Options struct {
	Settings *settings.Instance
	// Mesh carries the links to other agents, Local those to the own gateway. The
	// agent reloads Mesh's credentials; Local should share them.
	Mesh, Local *control.Network
	KeyValue    platform.KeyValue
	// HeadKey is the key of the accepted configuration.
	HeadKey string
	// Directory and List are nil if the platform has none.
	Directory platform.Directory
	List      platform.InstanceList
	// Engines carries orders to engines; nil disables orders. Weights is nil if the
	// platform has no weight store.
	Engines  order.Engines
	Weights  platform.WeightStore
	Log      zerolog.Logger
	Registry metrics.Registry
	// Epoch identifies this start of the agent; it grows from start to start
	// (nanoseconds of the clock).
	Epoch uint64
}

// Agent is the control path of one entry instance.
type Agent struct {
	Options
	board   board.Board
	keeper  *spread.Keeper
	mesh    *mesh
	clients *control.Clients
	local   *control.Clients
	http    *http.Client
	// guard bounds what clients of the operators' server hold.
	guard *ingress.Guard
	// executor runs operators' commands.
	executor *command.Executor
	started  time.Time
	gateway  gatewayState
	calls    calls
	updates  updates
	// updating is held while a received configuration is decoded.
	updating sync.Mutex
	// published is used by the reconcile loop alone.
	published published

	dirty    signal
	beat     signal
	exchange signal
	catchUp  signal
	revising sync.Mutex
	wakers   sync.Map
}

// signal wakes a loop; signals that are raised before it wakes are merged.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) raise() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// New returns an agent that is not yet running.
func New(options Options) *Agent {
	s := options.Settings
	now := time.Now()
	a := &Agent{
		Options:  options,
		clients:  control.NewClients(options.Mesh),
		local:    control.NewClients(options.Local),
		http:     &http.Client{Transport: responsehead.NewTransport(&http.Transport{DialContext: options.Mesh.DialPlain, MaxIdleConnsPerHost: 1})},
		started:  now,
		dirty:    newSignal(),
		beat:     newSignal(),
		exchange: newSignal(),
		catchUp:  newSignal(),
	}
	a.guard = newGuard(&options)
	a.calls.register(options.Registry)
	registerBytes(options.Registry, options.Mesh.Meter(), options.Local.Meter())
	options.Mesh.Credentials().Register(options.Registry)
	a.mesh = newMesh(member.Identity{
		Name: s.Instance, Domain: s.Domain, Region: s.Region, Epoch: options.Epoch,
		Addresses: board.Addresses{
			Callers: s.Gateway.Callers, Peers: s.Gateway.Peers, Control: s.Gateway.Control,
			Mesh: s.Agent.Mesh, Operators: s.Agent.Operators,
		},
	}, now)
	a.mesh.changed = a.dirty.raise
	a.mesh.behind = a.catchUp.raise
	a.keeper = spread.NewKeeper(&a.board.Config, a.headAccepted)
	a.executor = a.newExecutor()
	a.board.Platform.Store(&board.PlatformHealth{Since: now})
	return a
}

// Run serves until ctx ends, then leaves: it notifies the domain and the directory
// first, and gives a gateway that is leaving too the time to finish.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	if err := a.serve(work, group); err != nil {
		return err
	}
	a.Log.Info().Str("mesh", a.Settings.Agent.Mesh).Str("operators", a.Settings.Agent.Operators).Msg("ready")
	loops := []func(context.Context){
		a.reconcileLoop, a.exchangeLoop, a.catchUpLoop, a.watch, a.register, a.listLoop,
		func(ctx context.Context) { a.Mesh.Credentials().Run(ctx, a.Log) },
	}
	for _, loop := range loops {
		group.Go(func() error {
			loop(work)
			return nil
		})
	}
	group.Go(func() error {
		a.runOrders(ctx) // ctx, so that a leaving instance releases the lease at once
		return nil
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
			a.leave(work)
		case <-work.Done():
		}
		stop()
		return nil
	})
	err := group.Wait()
	a.clients.Close()
	a.local.Close()
	a.Log.Info().Msg("stopped")
	return err
}

// serve opens the listeners.
func (a *Agent) serve(ctx context.Context, group *errgroup.Group) error {
	server, err := control.NewServer(a.Mesh, a.Settings.Agent.Mesh)
	if err != nil {
		return &ListenError{Address: a.Settings.Agent.Mesh, Err: err}
	}
	services := map[string]any{
		control.MeshService:     &meshService{a},
		control.DomainService:   &domainService{a},
		control.OperatorService: &operatorService{a},
	}
	for name, service := range services {
		if err := server.Register(name, service); err != nil {
			return &ListenError{Address: a.Settings.Agent.Mesh, Err: err}
		}
	}
	group.Go(func() error {
		server.Serve()
		return nil
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return a.serveOperators(ctx, group)
}

// headAccepted is called by the keeper after each head that it accepted.
func (a *Agent) headAccepted(head *config.Head, source spread.Source) {
	a.Log.Info().Uint64("revision", uint64(head.Revision)).Str("source", string(source)).Msg("configuration-taken")
	a.updateRevisions()
	a.exchange.raise()
	a.dirty.raise()
	if source != spread.SourceMesh {
		go a.offerPeers(head)
	}
}

// updateRevisions computes the configuration in force here and publishes it in the
// domain.
func (a *Agent) updateRevisions() {
	// Serialised, so that a revision that was read earlier is not stored after a
	// newer one.
	a.revising.Lock()
	defer a.revising.Unlock()
	agent := a.keeper.Revision()
	if a.mesh.setRevisions(agent, min(agent, a.gateway.revision()), time.Now()) {
		a.beat.raise()
	}
}

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
