// Package edge is one instance of the gateway for declared HTTP routes: it takes
// callers' requests as they are, picks an upstream that was discovered through the
// platform's store, or an instance of another region, and passes the answer on.
//
// Guarantees: a request that may not be repeated is sent once after its first byte
// has left, unless the server states that it did not run it; "not run" is said only
// where it is true; an answer is passed on whole or visibly broken; a request is sent
// to another region at most once on its way; the configuration never goes back.
//
// The package knows no platform: a Dialect reads and writes headers, and whoever
// assembles the instance fills its Board.
package edge

import (
	"context"
	"errors"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/steer"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

// Board is the instance's blackboard. Each section has one writer.
type Board struct {
	// Routes is the configuration in force.
	Routes board.Section[httproute.Configuration]
	// Fleet is the discovered upstreams and the registered instances.
	Fleet board.Section[fleet.View]
	// Quarantined is what the store holds of quarantined requests.
	Quarantined board.Section[quarantine.Stored]
}

// Options of an Edge.
type Options struct {
	Settings *Settings
	Dialect  Dialect
	// Store is this instance's copy of the platform's store, and Registrar the store.
	Store     *mirror.Mirror
	Registrar mirror.Registrar
	// Medium carries all connections but those to the store; nil: TCP with keep-alive
	// probes.
	Medium control.Medium
	// Key is under which the instance is registered, and Value encodes it.
	Key   string
	Value func(fleet.Instance) ([]byte, error)
	// QuarantineKey is under which a quarantined request is kept in the store; nil: none is.
	QuarantineKey func(quarantine.Fingerprint) string
	Log           zerolog.Logger
	// Registry holds the instance's metrics, Series those with labels.
	Registry metrics.Registry
	Series   *telemetry.Series
	// Good, Steps and Failed bound the lines of requests that go well, of the steps of
	// those that do not, and of their ends; nil: all are written.
	Good, Steps, Failed zerolog.Sampler
}

// Edge is one instance.
type Edge struct {
	settings *Settings
	dialect  Dialect
	options  Options
	log      zerolog.Logger
	// goodLog, stepLog and failedLog are log for what concerns single requests.
	goodLog, stepLog, failedLog zerolog.Logger
	clock                       clock.Clock
	self                        fleet.Instance
	sequence                    atomic.Uint64
	leaving                     atomic.Pointer[drainSchedule]
	// began is when the process began.
	startedAt time.Time
	active    atomic.Int64

	board          Board
	store          *mirror.Mirror
	tracker        *limit.Tracker
	ejector        *limit.Ejector
	retries        *limit.RetryShares
	limiter        *quota.Limiter
	cold           *limit.ColdShares
	upstreamLimits *limit.NamedLimits
	departures     *limit.Departures
	suspicions     *suspicions
	streams        *streamMonitor
	quarantine     *quarantine.Table
	crashProbes    *crashProbes
	// toKeep holds the requests whose quarantine is to be written to the store.
	quarantineWrites chan quarantineWrite
	overload         *steer.Overload
	recent           *steer.Recent
	pace             *steer.Pace
	estimates        *steer.Estimator
	flow             *steer.Flow
	upstreams        *exchange.Pool
	peers            *exchange.Pool
	gossip           *peer.Gossip
	clients          *control.Clients
	replicaClients   *control.Clients
	registry         metrics.Registry
	counts           counters
	// tally is the newest count of the instances.
	latestCounts atomic.Pointer[instanceCounts]
}

// Times of connections.
const (
	// upstreamDial bounds the making of a connection inside the region: a round trip
	// there takes milliseconds, and a server that is dark does not answer at all.
	upstreamDial = 250 * time.Millisecond
	// peerDial bounds it between regions.
	peerDial = 500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find connections that fell
	// silent, within about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = time.Second
	// registrationTTL is how long an instance stays registered after its end: below
	// the time after which callers must not be told of it.
	registrationTTL = 4 * time.Second
)

// New returns an instance that serves nothing yet.
func New(options Options) (*Edge, error) {
	s := options.Settings
	medium := options.medium()
	network := control.NewNetworkOver(medium)
	system := clock.System{}
	ejector := limit.NewEjector(system)
	ejector.Changed = func(change limit.Ejection) { logEjection(options.Log, change) }
	e := &Edge{
		settings:  s,
		dialect:   options.Dialect,
		options:   options,
		log:       options.Log,
		goodLog:   options.Log.Sample(options.Good),
		stepLog:   options.Log.Sample(options.Steps),
		failedLog: options.Log.Sample(options.Failed),
		clock:     system,
		self: fleet.Instance{
			Name: s.Instance, Domain: s.FailureDomain, Region: s.Region,
			Incarnation: uint64(system.Now().UnixNano()),
			Callers:     s.Listen.Callers, Peers: s.Listen.Peers, Gossip: s.Listen.Gossip,
		},
		startedAt:        system.Now(),
		store:            options.Store,
		ejector:          ejector,
		tracker:          limit.NewTracker(system, ejector),
		retries:          limit.NewRetryShares(s.Limits.RetryRatio, s.Limits.RetrySlack, s.Limits.RetryWindow, system.Now),
		limiter:          quota.NewLimiter(system, s.Limits.usageTolerance()),
		cold:             limit.NewColdShares(system.Now),
		upstreamLimits:   limit.NewNamedLimits(system.Now),
		departures:       limit.NewDepartures(system.Now),
		suspicions:       newSuspicions(),
		streams:          newStreamMonitor(),
		quarantine:       quarantine.NewTable(system),
		crashProbes:      newCrashProbes(),
		quarantineWrites: make(chan quarantineWrite, maxPendingWrites),
		overload:         steer.NewOverload(),
		recent:           steer.NewRecent(),
		pace:             steer.NewPace(),
		estimates:        steer.NewEstimator(),
		flow:             steer.NewFlow(),
		upstreams:        exchange.NewPool(medium.Dial, upstreamDial, system.Now),
		peers:            exchange.NewPool(medium.Dial, peerDial, system.Now),
		clients:          control.NewClients(network),
		replicaClients:   control.NewClients(network),
		registry:         options.Registry,
		counts:           counters{series: options.Series},
	}
	e.gossip = peer.New(peer.Options{
		Self: e.self, Report: e.report, Placed: e.recent.Learn, Usage: e.limiter, Evidence: e.mergeObservations, Limits: e.upstreamLimits, LearnLimits: e.mergeLimits, Departures: e.reportedDepartures, LearnDepartures: e.mergeDepartures, Fleet: &e.board.Fleet, Store: e.store, Client: e.clients, Copies: e.replicaClients, Clock: system, Log: e.log,
	})
	e.registerGauges(e.registry)
	return e, nil
}

// Board returns the instance's blackboard, for the reconcilers that fill it.
func (e *Edge) Board() *Board { return &e.board }

func (e *Edge) now() time.Time { return e.clock.Now() }

// Run serves until ctx ends, then leaves gracefully.
func (e *Edge) Run(ctx context.Context) error {
	if mb := e.settings.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * memoryLimitPercent / 100)
	}
	listeners, err := e.openListeners()
	if err != nil {
		return err
	}
	running, halt := context.WithCancel(context.Background())
	defer halt()
	group, failed := errgroup.WithContext(running)
	for _, listener := range listeners.http {
		group.Go(func() error { return listener.serve() })
	}
	group.Go(func() error { listeners.control.Serve(); return nil })
	group.Go(func() error { e.gossip.Run(running); return nil })
	group.Go(func() error { e.sweep(running); return nil })
	group.Go(func() error { e.followFleet(running); return nil })
	group.Go(func() error { e.watchStreams(running); return nil })
	group.Go(func() error { e.followLimits(running); return nil })
	group.Go(func() error { e.sweepQuarantine(running); return nil })
	group.Go(func() error { e.writeQuarantines(running); return nil })
	group.Go(func() error { e.followQuarantines(running); return nil })
	group.Go(func() error { e.followEpochs(running); return nil })
	registered, deregister := context.WithCancel(running)
	registrations := e.register(registered)
	e.log.Info().Str(event.KeyCallers, e.settings.Listen.Callers).Str(event.KeyRegion, e.settings.Region).Str(event.KeyPeers, e.settings.Listen.Peers).Msg(string(event.Start))
	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	e.leave(listeners, deregister)
	registrations()
	halt()
	err = listeners.control.Close()
	e.clients.Close()
	e.replicaClients.Close()
	e.upstreams.Close()
	e.peers.Close()
	err = errors.Join(group.Wait(), err)
	e.log.Info().Err(err).Msg(string(event.Stop))
	return err
}

// memoryPart of the process's memory, in percent, is what the garbage collector
// aims to stay below; the rest is for sockets and other threads.
const memoryLimitPercent = 60

// register keeps the instance's entry in the store; the returned function waits for
// its removal.
func (e *Edge) register(ctx context.Context) (wait func()) {
	value, err := e.options.Value(e.self)
	if err != nil {
		e.log.Error().Err(err).Msg(string(event.RegistrationFailed))
		return func() {}
	}
	registration := &mirror.Registration{
		Store: e.options.Registrar,
		Key:   e.options.Key,
		Value: value,
		TTL:   max(registrationTTL, e.settings.Store.MinimumTTL),
		Copy:  e.store,
		Log:   e.log,
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		registration.Run(ctx)
	}()
	return func() { <-ended }
}

// sweep closes connections that are no longer needed, and forgets upstreams that left and are gone.
func (e *Edge) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepEvery) {
		e.upstreams.Sweep()
		e.peers.Sweep()
		e.departures.Sweep(e.discovered)
	}
}
