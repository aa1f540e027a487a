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
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/logging"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// Board is the instance's blackboard. Each section has one writer.
type Board struct {
	// Routes is the configuration in force.
	Routes board.Section[httproute.Configuration]
	// Fleet is the discovered upstreams and the registered instances.
	Fleet board.Section[fleet.View]
}

// Options of an Edge.
type Options struct {
	Settings *Settings
	Dialect  Dialect
	// Store is this instance's copy of the platform's store, and Registrar the store.
	Store     *mirror.Mirror
	Registrar mirror.Registrar
	// Key is under which the instance is registered, and Value encodes it.
	Key   string
	Value func(fleet.Instance) ([]byte, error)
	Log   zerolog.Logger
	// Sampler bounds the lines of single requests; nil: all are written.
	Sampler zerolog.Sampler
}

// Edge is one instance.
type Edge struct {
	settings *Settings
	dialect  Dialect
	options  Options
	log      zerolog.Logger
	// requests is log for what concerns single requests.
	requests zerolog.Logger
	clock    clock.Clock
	self     fleet.Instance
	sequence atomic.Uint64
	leaving  atomic.Pointer[departure]
	// began is when the process began.
	began  time.Time
	active atomic.Int64

	board     Board
	store     *mirror.Mirror
	tracker   *limit.Tracker
	ejector   *limit.Ejector
	retries   *limit.RetryShares
	cold      *limit.ColdShares
	recent    *steer.Recent
	upstreams *exchange.Pool
	peers     *exchange.Pool
	gossip    *peer.Gossip
	clients   *control.Clients
	registry  metrics.Registry
	counts    counters
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
	network, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, nil)
	if err != nil {
		return nil, err
	}
	system := clock.System{}
	ejector := limit.NewEjector(system)
	e := &Edge{
		settings: s,
		dialect:  options.Dialect,
		options:  options,
		log:      options.Log,
		requests: options.Log.Sample(options.Sampler),
		clock:    system,
		self: fleet.Instance{
			Name: s.Instance, Domain: s.FailureDomain, Region: s.Region,
			Incarnation: uint64(system.Now().UnixNano()),
			Callers:     s.Listen.Callers, Peers: s.Listen.Peers, Gossip: s.Listen.Gossip,
		},
		began:     system.Now(),
		store:     options.Store,
		ejector:   ejector,
		tracker:   limit.NewTracker(system, ejector),
		retries:   limit.NewRetryShares(s.Limits.RetryRatio, s.Limits.RetrySlack, s.Limits.RetryWindow, system.Now),
		cold:      limit.NewColdShares(system.Now),
		recent:    steer.NewRecent(),
		upstreams: exchange.NewPool(dialer(), upstreamDial, system.Now),
		peers:     exchange.NewPool(dialer(), peerDial, system.Now),
		clients:   control.NewClients(network),
		registry:  metrics.NewRegistry(),
	}
	e.counts = newCounters(e.registry)
	e.gossip = peer.New(peer.Options{
		Self: e.self, Report: e.report, Fleet: &e.board.Fleet, Store: e.store, Client: e.clients, Clock: system, Log: e.log,
	})
	e.registerGauges()
	return e, nil
}

// dialer connects with keep-alive probes.
func dialer() exchange.Dialer {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return d.DialContext
}

// Board returns the instance's blackboard, for the reconcilers that fill it.
func (e *Edge) Board() *Board { return &e.board }

func (e *Edge) now() time.Time { return e.clock.Now() }

// Run serves until ctx ends, then leaves gracefully.
func (e *Edge) Run(ctx context.Context) error {
	if mb := e.settings.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * memoryPart / 100)
	}
	doors, err := e.open()
	if err != nil {
		return err
	}
	running, halt := context.WithCancel(context.Background())
	defer halt()
	group, failed := errgroup.WithContext(running)
	for _, door := range doors.http {
		group.Go(func() error { return door.serve() })
	}
	group.Go(func() error { doors.control.Serve(); return nil })
	group.Go(func() error { e.gossip.Run(running); return nil })
	group.Go(func() error { e.sweep(running); return nil })
	group.Go(func() error { e.followFleet(running); return nil })
	registered, deregister := context.WithCancel(running)
	registrations := e.register(registered)
	e.log.Info().Str("callers", e.settings.Listen.Callers).Str("region", e.settings.Region).Str("peers", e.settings.Listen.Peers).Msg("start")
	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	e.leave(doors, deregister)
	registrations()
	halt()
	err = doors.control.Close()
	e.clients.Close()
	e.upstreams.Close()
	e.peers.Close()
	err = errors.Join(group.Wait(), err)
	e.log.Info().Err(err).Msg("stop")
	return err
}

// memoryPart of the process's memory, in percent, is what the garbage collector
// aims to stay below; the rest is for sockets and other threads.
const memoryPart = 60

// register keeps the instance's entry in the store; the returned function waits for
// its removal.
func (e *Edge) register(ctx context.Context) (wait func()) {
	value, err := e.options.Value(e.self)
	if err != nil {
		e.log.Error().Err(err).Msg("registration-failed")
		return func() {}
	}
	registration := &mirror.Registration{
		Store: e.options.Registrar,
		Key:   e.options.Key,
		Value: value,
		TTL:   max(registrationTTL, e.settings.Store.MinimumTTL),
		Log:   e.log,
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		registration.Run(ctx)
	}()
	return func() { <-ended }
}

// sweep closes connections that are no longer needed.
func (e *Edge) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepEvery) {
		e.upstreams.Sweep()
		e.peers.Sweep()
	}
}

// followFleet tells the ejector which upstreams stand in for each other.
func (e *Edge) followFleet(ctx context.Context) {
	known := make(map[string]bool)
	for {
		changed := e.board.Fleet.Changed()
		if view := e.board.Fleet.Load(); view != nil {
			e.setPools(view, known)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// setPools makes a pool of each service's upstreams in the own region. Known holds the
// services of earlier views, whose upstreams may all be gone.
func (e *Edge) setPools(view *fleet.View, known map[string]bool) {
	pools := make(map[string][]string)
	for i := range view.Upstreams {
		if upstream := &view.Upstreams[i]; upstream.Region == e.settings.Region {
			pools[upstream.Service] = append(pools[upstream.Service], upstream.ID)
			known[upstream.Service] = true
		}
	}
	for service := range known {
		e.ejector.SetPool(service, pools[service])
	}
}

// Times of leaving.
const (
	// staleTTL is how many times the directory's time some callers keep its answer;
	// until then new requests come to a leaving instance.
	staleTTL = 3
	// drainPart of the grace is when requests that still run are cut off; the rest is
	// for the end of the process.
	drainPart = 0.97
	// drainPoll is how often a leaving instance looks whether it is idle.
	drainPoll = 20 * time.Millisecond
)

// departure is when a leaving instance stops taking and serving requests.
type departure struct {
	// accept is until when it takes every request, cut when it cuts off what runs.
	accept, cut time.Time
}

func (e *Edge) depart(started time.Time) *departure {
	grace := e.settings.Limits.Grace
	return &departure{
		accept: started.Add(min(staleTTL*e.settings.Limits.DirectoryTTL, grace/2)),
		cut:    started.Add(time.Duration(float64(grace) * drainPart)),
	}
}

// takes says whether a request that ends by the deadline at the latest can still be
// served whole.
func (d *departure) takes(now, deadline time.Time) bool {
	return d == nil || now.Before(d.accept) || deadline.Before(d.cut)
}

// leave tells everyone, serves on until callers have gone elsewhere, and stops.
func (e *Edge) leave(doors *doors, deregister context.CancelFunc) {
	leaving := e.depart(e.now())
	e.leaving.Store(leaving)
	e.log.Info().Int64("active", e.active.Load()).Msg("leaving")
	deregister()
	e.gossip.Tell(context.Background())
	clock.Sleep(context.Background(), leaving.accept.Sub(e.now()))
	for e.active.Load() > 0 && e.now().Before(leaving.cut) {
		clock.Sleep(context.Background(), drainPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), leaving.cut)
	defer cancel()
	var all errgroup.Group
	for _, door := range doors.http {
		all.Go(func() error { return door.server.Shutdown(ctx) })
	}
	if err := all.Wait(); err != nil {
		e.log.Warn().Err(err).Int64("active", e.active.Load()).Msg("requests-cut-off")
	}
}

// report is what the instance says of itself.
func (e *Edge) report() peer.Report {
	return peer.Report{
		Name:        e.self.Name,
		Incarnation: e.self.Incarnation,
		Sequence:    e.sequence.Add(1),
		Leaving:     e.Leaving(),
		Ready:       e.board.Routes.Load() != nil,
		Store:       e.store.Revision(),
		Upstreams:   e.loads(),
	}
}

// loads is the work in hand by upstream, those without any left out.
func (e *Edge) loads() []peer.Load {
	view := e.board.Fleet.Load()
	if view == nil {
		return nil
	}
	var loads []peer.Load
	for i := range view.Upstreams {
		id := view.Upstreams[i].ID
		if own := e.tracker.Load(id); own.InFlight > 0 {
			loads = append(loads, peer.Load{Name: id, InFlight: own.InFlight, Prefill: own.Prefill})
		}
	}
	return loads
}

// Watches says whether the instance should follow the store itself.
func (e *Edge) Watches() bool { return e.gossip.Watches() }

// instances is how many instances there are, this one included; never fewer than
// are registered.
func (e *Edge) instances() int { return e.countInstances(func(string) bool { return true }) }

// regionInstances is how many there are in the own region.
func (e *Edge) regionInstances() int {
	return e.countInstances(func(region string) bool { return region == e.settings.Region })
}

func (e *Edge) countInstances(counts func(region string) bool) int {
	names := map[string]bool{e.self.Name: true}
	if view := e.board.Fleet.Load(); view != nil {
		for i := range view.Instances {
			if counts(view.Instances[i].Region) {
				names[view.Instances[i].Name] = true
			}
		}
	}
	if peers := e.gossip.View().Load(); peers != nil {
		now := e.now()
		for i := range peers.Others {
			known := &peers.Others[i]
			if counts(known.Instance.Region) && known.Live(now) {
				names[known.Instance.Name] = true
			}
		}
	}
	return len(names)
}

// leastInstances is how many instances of a region are taken to exist as long as
// none other is known: after a restart of everything each knows only itself.
const leastInstances = 3

// coldStart is for how long after its start an instance sends nothing to cold
// upstreams: what it sent before a restart still counts for that long.
const coldStart = limit.ColdWindow

// coldLeft says whether a cold upstream may get one more request of this instance.
func (e *Edge) coldLeft(upstream *fleet.Upstream, service *httproute.Service) bool {
	if service.ColdRate == 0 {
		return true
	}
	if e.now().Sub(e.began) < coldStart {
		return false
	}
	allowed := service.ColdRate*e.settings.Limits.ColdFactor + e.settings.Limits.ColdSlack
	return e.cold.Left(upstream.ID, allowed, max(leastInstances, e.regionInstances()))
}

// Roster returns the instances that callers of a host in a region should use: the
// live ones there, else those of regions that all of the host's routes permit, else
// all.
func (e *Edge) Roster(region, host string) []fleet.Instance {
	all := e.usable()
	if near := inRegions(all, func(r string) bool { return r == region }); len(near) > 0 {
		return near
	}
	if config := e.board.Routes.Load(); config != nil {
		permitted := func(r string) bool { return config.HostPermits(host, r) }
		if homes := inRegions(all, permitted); len(homes) > 0 {
			return homes
		}
	}
	return all
}

func inRegions(all []fleet.Instance, wanted func(region string) bool) []fleet.Instance {
	var kept []fleet.Instance
	for _, instance := range all {
		if wanted(instance.Region) {
			kept = append(kept, instance)
		}
	}
	return kept
}

// usable lists the instances that take callers, this one included unless it leaves.
func (e *Edge) usable() []fleet.Instance {
	byName := make(map[string]fleet.Instance)
	if view := e.board.Fleet.Load(); view != nil {
		for _, instance := range view.Instances {
			byName[instance.Name] = instance
		}
	}
	now := e.now()
	if peers := e.gossip.View().Load(); peers != nil {
		for i := range peers.Others {
			known := &peers.Others[i]
			registered, ok := byName[known.Instance.Name]
			if ok && registered.Incarnation > known.Instance.Incarnation {
				continue
			}
			if known.Leaving || !known.Live(now) {
				delete(byName, known.Instance.Name)
				continue
			}
			byName[known.Instance.Name] = known.Instance
		}
	}
	delete(byName, e.self.Name)
	if !e.Leaving() {
		byName[e.self.Name] = e.self
	}
	list := make([]fleet.Instance, 0, len(byName))
	for _, instance := range byName {
		list = append(list, instance)
	}
	return list
}

// Ready says whether the instance takes callers: it has a configuration and does
// not leave.
func (e *Edge) Ready() bool { return !e.Leaving() && e.board.Routes.Load() != nil }

// Leaving says whether the instance is on its way out.
func (e *Edge) Leaving() bool { return e.leaving.Load() != nil }

// DirectoryTTL is how long callers may keep what Roster says.
func (e *Edge) DirectoryTTL() time.Duration { return e.settings.Limits.DirectoryTTL }

// door is one listener with what serves it.
type door struct {
	listener net.Listener
	server   *http.Server
}

func (d *door) serve() error {
	if err := d.server.Serve(d.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", d.listener.Addr(), err)
	}
	return nil
}

// doors are the listeners of an instance.
type doors struct {
	http    []*door
	control *control.Server
}

// Times that callers' connections may take; the declared limits are enforced on each
// request as well.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader bounds a request's header, in bytes; net/http allows 4 KiB more.
	maxHeader = 64 << 10
)

func (e *Edge) open() (*doors, error) {
	listen := e.settings.Listen
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{listen.Callers, http.HandlerFunc(e.serveCaller)},
		{listen.Peers, http.HandlerFunc(e.servePeer)},
		{listen.Metrics, e.metricsHandler()},
	}
	all := &doors{}
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		opened, err := e.listen(h.address, h.handler)
		if err != nil {
			return nil, err
		}
		all.http = append(all.http, opened)
	}
	network, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, nil)
	if err != nil {
		return nil, err
	}
	if all.control, err = control.NewServer(network, listen.Gossip); err != nil {
		return nil, err
	}
	return all, e.gossip.Register(all.control)
}

func (e *Edge) listen(address string, handler http.Handler) (*door, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          logging.ServerErrors(e.log),
	}
	return &door{listener: listener, server: server}, nil
}

// path is the path of a request without its query, as it was sent.
func path(uri string) string {
	bare, _, _ := strings.Cut(uri, "?")
	return bare
}
