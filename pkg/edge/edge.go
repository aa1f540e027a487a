// Package edge implements one instance of the gateway for declared HTTP routes: it accepts callers'
// requests as they are, forwards them to an upstream that was discovered through the platform's
// store, or to another instance that can serve them, and passes the answer on.
//
// Guarantees: a request that may not be repeated is not sent again once its first byte was sent,
// unless the server states that it did not run it. "Not run" is reported only if it is true. An
// answer is passed on complete or visibly broken. A request is forwarded to another instance
// at most once on its path. The configuration never reverts to an older version.
//
// The package is independent of the platform: a Dialect reads and writes headers, and the program
// that assembles the instance fills its Board.
package edge

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"
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
	"github.com/lilacweir/lilacweir/pkg/fairshare"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/ingress"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/origin"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/room"
	"github.com/lilacweir/lilacweir/pkg/steer"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
	"github.com/lilacweir/lilacweir/pkg/warmth"
)

// Board is the instance's blackboard. Each section has one writer.
type Board struct {
	// Routes is the configuration in force.
	Routes board.Section[httproute.Configuration]
	// Fleet holds the discovered upstreams and the registered instances.
	Fleet board.Section[fleet.View]
	// Quarantined holds the store's records of quarantined requests.
	Quarantined board.Section[quarantine.Stored]
}

// Options are the options of an Edge.
type Options struct {
	Settings *Settings
	Dialect  Dialect
	// Store is this instance's replica of the platform's store, and Registrar the store itself.
	Store     *mirror.Mirror
	Registrar mirror.Registrar
	// Transport carries all connections except those to the store. If it is nil they use TCP with
	// keep-alive probes.
	Transport control.Transport
	// Key is the store key of the instance's registration, and Value encodes the registration.
	Key   string
	Value func(fleet.Instance) ([]byte, error)
	// ListCurrent reports whether the list of upstreams is up to date. If it is nil that is derived
	// from Store and the reports of other instances.
	ListCurrent func() bool
	// QuarantineKey returns the store key of a quarantined request. If it is nil no quarantine is
	// stored.
	QuarantineKey func(quarantine.Fingerprint) string
	Log           zerolog.Logger
	// Registry holds the instance's metrics, and Series those with labels.
	Registry metrics.Registry
	Series   *telemetry.Series
	// SuccessSampler, StepSampler and FailureSampler bound the log lines of successful requests, of
	// the steps of failed ones, and of the ends of failed ones. If they are nil all are written.
	SuccessSampler, StepSampler, FailureSampler zerolog.Sampler
}

// Edge is one instance.
type Edge struct {
	settings *Settings
	dialect  Dialect
	options  Options
	log      zerolog.Logger
	// goodLog, stepLog and failedLog are log with the budgets for lines of single requests.
	goodLog, stepLog, failedLog zerolog.Logger
	clock                       clock.Clock
	self                        fleet.Instance
	sequence                    atomic.Uint64
	leaving                     atomic.Pointer[drainSchedule]
	// graceOver ends when running requests are to end; endRequests ends it.
	graceOver   context.Context
	endRequests context.CancelFunc
	// startedAt is the start time of the process.
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
	// invalidLimits holds the upstreams for which an invalid advertisement was logged.
	invalidLimits sync.Map
	// places counts the requests at upstreams, lines holds those that wait for a place, and members
	// are the instances that divide what upstreams accept.
	places  *room.Places
	lines   *room.Lines
	members *room.Members
	guards  *room.Guards
	// replaces is true if another process of this instance was registered when this one started.
	replaces    atomic.Bool
	departures  *limit.Departures
	warmth      *warmth.Register
	streams     *streamMonitor
	paths       *paths
	hopRefusals *hopRefusals
	// unresponsiveRegions are other regions.
	unresponsiveRegions *unresponsiveRegions
	quarantine          *quarantine.Table
	crashProbes         *crashProbes
	// quarantineWrites holds the requests with quarantine records to be written to the store.
	quarantineWrites chan quarantineWrite
	overload         *steer.Overload
	shares           *fairshare.Shares
	recent           *steer.RecentPlacements
	pace             *steer.CallTimes
	estimates        *steer.Estimator
	lateness         *steer.Lateness
	acceptance       *limit.Acceptance
	flow             *steer.Flow
	upstreams        *exchange.Pool
	peers            *exchange.Pool
	gossip           *peer.Gossip
	origins          *origin.Keeper
	// beginnings shows on which routes it is known for how long callers wait.
	beginnings     beginnings
	clients        *control.Clients
	replicaClients *control.Clients
	// guard bounds what clients hold of the process, at the ports.
	guard    *ingress.Guard
	ports    ports
	registry metrics.Registry
	counts   counters
	// latestCounts holds the newest counts of the instances.
	latestCounts atomic.Pointer[instanceCounts]
	// mostInstances is the largest number of instances known lately.
	mostInstances recentMaximum
	// mostInRegion is the same for the own region.
	mostInRegion recentMaximum
}

// Timeouts and intervals of connections.
const (
	// upstreamDial bounds the dialling of an upstream inside the region: a round trip there takes
	// milliseconds, and an unresponsive server does not answer at all.
	upstreamDial = 250 * time.Millisecond
	// peerDial bounds the dialling of an instance in another region.
	peerDial = 500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect connections that fail silently
	// within about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// sweepEvery is the interval at which idle connections are checked.
	sweepEvery = time.Second
	// registrationTTL is the time for which an instance stays registered after its end. It is
	// below the time after which callers must not be directed to it any more.
	registrationTTL = 4 * time.Second
)

// New returns an instance that does not serve yet.
func New(options Options) (*Edge, error) {
	s := options.Settings
	transport := options.transport()
	network := control.NewNetworkOver(transport)
	system := clock.System{}
	ejector := limit.NewEjector(system)
	ejector.Changed = func(change limit.Ejection) { logEjection(options.Log, change) }
	e := &Edge{
		settings:  s,
		dialect:   options.Dialect,
		options:   options,
		log:       options.Log,
		goodLog:   options.Log.Sample(options.SuccessSampler),
		stepLog:   options.Log.Sample(options.StepSampler),
		failedLog: options.Log.Sample(options.FailureSampler),
		clock:     system,
		self: fleet.Instance{
			Name: s.Instance, Domain: s.FailureDomain, Region: s.Region,
			Incarnation: uint64(system.Now().UnixNano()),
			Callers:     s.Listen.Callers, Peers: s.Listen.Peers, Gossip: s.Listen.Gossip,
		},
		startedAt:      system.Now(),
		store:          options.Store,
		ejector:        ejector,
		tracker:        limit.NewTracker(system, ejector),
		retries:        limit.NewRetryShares(s.Limits.RetryRatio, s.Limits.RetrySlack, s.Limits.RetryWindow, system.Now),
		limiter:        quota.NewLimiter(system, s.Limits.usageTolerance()),
		cold:           limit.NewColdShares(system.Now),
		upstreamLimits: limit.NewNamedLimits(system.Now),
		departures:     limit.NewDepartures(system.Now),
		places:         room.NewPlaces(system.Now),
		lines:          room.NewLines(),
		guards:         room.NewGuards(system.Now),
		members:        room.NewMembers(system.Now),
		warmth:         warmth.NewRegister(),
		streams:        newStreamMonitor(),
		paths:          newPaths(),
		hopRefusals:    newHopRefusals(),

		unresponsiveRegions: newUnresponsiveRegions(),
		quarantine:          quarantine.NewTable(system),
		crashProbes:         newCrashProbes(),
		quarantineWrites:    make(chan quarantineWrite, maxPendingWrites),
		overload:            steer.NewOverload(),
		shares:              fairshare.New(),
		recent:              steer.NewRecentPlacements(),
		pace:                steer.NewCallTimes(),
		estimates:           steer.NewEstimator(),
		lateness:            steer.NewLateness(),
		acceptance:          limit.NewAcceptance(),
		flow:                steer.NewFlow(),
		upstreams:           exchange.NewPool(transport.Dial, upstreamDial, system.Now),
		peers:               exchange.NewPool(transport.Dial, peerDial, system.Now),
		clients:             control.NewClients(network),
		replicaClients:      control.NewClients(network),
		registry:            options.Registry,
		counts:              counters{series: options.Series, organisations: &organisationLabels{}},
	}
	e.graceOver, e.endRequests = context.WithCancel(context.Background())
	e.gossip = peer.New(peer.Options{
		Self: e.self, Report: e.report, Placed: e.recent.Learn, Usage: e.limiter, Evidence: e.mergeObservations, Limits: e.upstreamLimits, LearnLimits: e.mergeLimits, Departures: e.reportedDepartures, LearnDepartures: e.mergeDepartures, Warmth: e.reportedWarmth, LearnWarmth: e.mergeWarmth, Fleet: &e.board.Fleet, Store: e.store, Client: e.clients, Copies: e.replicaClients, Clock: system, Log: e.log,
	})
	if options.ListCurrent == nil {
		options.ListCurrent = e.gossip.ReplicaCurrent
	}
	e.origins = origin.New(origin.Options{
		Self: e.self, Fleet: &e.board.Fleet, Live: e.liveInstances, Known: e.otherInstances, Current: options.ListCurrent, Client: e.clients, Clock: system, Log: e.log,
	})
	e.openPorts()
	e.registerGauges(e.registry)
	return e, nil
}

// Board returns the instance's blackboard, for the reconcilers that fill it.
func (e *Edge) Board() *Board { return &e.board }

func (e *Edge) now() time.Time { return e.clock.Now() }

// Run serves until ctx ends, then drains and stops.
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
	group.Go(func() error { e.origins.Run(running); return nil })
	group.Go(func() error { e.sweep(running); return nil })
	group.Go(func() error { e.followFleet(running); return nil })
	group.Go(func() error { e.watchStreams(running); return nil })
	group.Go(func() error { e.probePaths(running); return nil })
	group.Go(func() error { e.reportRetries(running); return nil })
	group.Go(func() error { e.followLimits(running); return nil })
	group.Go(func() error { e.sweepQuarantine(running); return nil })
	group.Go(func() error { e.judgeSegments(running); return nil })
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

// memoryLimitPercent is the share of the process's memory, in percent, below which the garbage
// collector tries to stay. The rest is for sockets and other threads.
const memoryLimitPercent = 60

// register maintains the instance's entry in the store. The returned function waits for its
// removal.
func (e *Edge) register(ctx context.Context) (wait func()) {
	value, err := e.options.Value(e.self)
	if err != nil {
		e.log.Error().Err(err).Msg(string(event.RegistrationFailed))
		return func() {}
	}
	registration := &mirror.Registration{
		Store:   e.options.Registrar,
		Key:     e.options.Key,
		Value:   value,
		TTL:     max(registrationTTL, e.settings.Store.MinimumTTL),
		Replica: e.store,
		Log:     e.log,
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		registration.Run(ctx)
	}()
	return func() { <-ended }
}

// minLoggedStep is the smallest step of the time of day that is logged: it is also adjusted gradually.
const minLoggedStep = 250 * time.Millisecond

// logClockStep logs by how much the time of day has stepped.
func (e *Edge) logClockStep(by time.Duration) {
	if by.Abs() >= minLoggedStep {
		e.log.Warn().Int64(event.KeyByMS, by.Milliseconds()).Msg(string(event.ClockStepped))
	}
}

// sweep closes connections that are no longer needed or whose clients take too long, and forgets upstreams that
// were leaving and are removed.
func (e *Edge) sweep(ctx context.Context) {
	var steps clock.StepDetector
	for clock.Sleep(ctx, sweepEvery) {
		e.logClockStep(steps.Observe(e.now()))
		e.upstreams.Sweep()
		e.peers.Sweep()
		e.guard.Sweep()
		e.departures.Sweep(e.discovered)
	}
}
