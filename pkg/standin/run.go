package standin

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/standin/admin"
	"github.com/lilacweir/lilacweir/pkg/standin/engine"
	"github.com/lilacweir/lilacweir/pkg/standin/fleet"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
	"github.com/lilacweir/lilacweir/pkg/standin/kv"
	"github.com/lilacweir/lilacweir/pkg/standin/link"
	"github.com/lilacweir/lilacweir/pkg/standin/service"
)

// shutdownTimeout bounds running requests at a shutdown and the reading of headers.
const shutdownTimeout = 2 * time.Second

// ListenError reports an address on which listening failed.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// SelectionError reports a name in a Selection that the settings do not define.
type SelectionError struct {
	Name string
}

// Error implements error.
func (e *SelectionError) Error() string { return fmt.Sprintf("no group or upstream named %q", e.Name) }

// process holds the servers and loops of one process before they are started.
type process struct {
	settings  Settings
	selection Selection
	clock     clock.Clock
	controls  *admin.Controls
	servers   []server
	loops     []func(context.Context)
	links     []*net.TCPListener
}

type server struct {
	address string
	handler http.Handler
	// pair is the TLS certificate and key; empty means plain HTTP.
	pair settings.Pair
}

// Run runs the selected stand-ins until ctx ends.
func Run(ctx context.Context, settings Settings, selection Selection, log zerolog.Logger) error {
	p := &process{settings: settings, selection: selection, clock: clock.System{}, controls: admin.New(journal.New())}
	if err := p.check(); err != nil {
		return err
	}
	p.addPlatform()
	p.addUpstreams()
	if err := p.addLinks(); err != nil {
		return err
	}
	p.add(p.adminAddress(), p.controls.Handler())
	return p.serve(ctx, log)
}

func (p *process) includesGroup(group Group) bool {
	return len(p.selection.Groups) == 0 || slices.Contains(p.selection.Groups, group)
}

func (p *process) includesUpstream(upstream string) bool {
	return len(p.selection.Upstreams) == 0 || slices.Contains(p.selection.Upstreams, upstream)
}

func (p *process) check() error {
	for _, group := range p.selection.Groups {
		if !slices.Contains([]Group{GroupPlatform, GroupUpstreams, GroupLinks}, group) {
			return &SelectionError{Name: string(group)}
		}
	}
	for _, name := range p.selection.Upstreams {
		isEngine := slices.ContainsFunc(p.settings.Engines, func(s engine.Settings) bool { return s.Name == name })
		isService := slices.ContainsFunc(p.settings.Services, func(s service.Settings) bool { return s.Name == name })
		if !isEngine && !isService {
			return &SelectionError{Name: name}
		}
	}
	return nil
}

func (p *process) adminAddress() string {
	switch {
	case p.selection.Admin != "":
		return p.selection.Admin
	case p.includesGroup(GroupPlatform):
		return p.settings.Admin.Platform
	case p.includesGroup(GroupUpstreams):
		return p.settings.Admin.Upstreams
	}
	return p.settings.Admin.Links
}

func (p *process) add(address string, handler http.Handler) {
	p.servers = append(p.servers, server{address: address, handler: handler})
}

func (p *process) addPlatform() {
	if !p.includesGroup(GroupPlatform) {
		return
	}
	platform := p.settings.Platform
	keyValue := kv.New(platform.KeyValue, p.clock)
	list := fleet.NewList(p.clock, platform.List.Lag, platform.List.listed())
	p.controls.KeyValue, p.controls.List = keyValue, list
	p.loops = append(p.loops, keyValue.Run)
	p.servers = append(p.servers, server{platform.KeyValue.Address, keyValue.Handler(), platform.KeyValue.TLS})
	p.add(platform.List.Address, list.Handler())
	p.add(platform.Directory.Address, fleet.NewDirectory(p.clock).Handler())
	p.add(platform.Weights.Address, fleet.NewWeights(p.clock, platform.Weights.LoadsPerMinute).Handler())
}

func (p *process) addUpstreams() {
	if !p.includesGroup(GroupUpstreams) {
		return
	}
	for _, settings := range p.settings.Engines {
		if !p.includesUpstream(settings.Name) {
			continue
		}
		upstream := engine.New(settings, p.clock, p.controls.Journal)
		p.controls.Upstreams[settings.Name] = upstream
		p.loops = append(p.loops, upstream.Run)
		p.add(settings.Address, upstream.Handler())
	}
	for _, settings := range p.settings.Services {
		if !p.includesUpstream(settings.Name) {
			continue
		}
		upstream := service.New(settings, p.clock, p.controls.Journal)
		p.controls.Upstreams[settings.Name] = upstream
		p.add(settings.Address, upstream.Handler())
	}
}

func (p *process) addLinks() error {
	if !p.includesGroup(GroupLinks) {
		return nil
	}
	network := link.New(p.settings.Links)
	listeners, err := network.Listen()
	if err != nil {
		return fmt.Errorf("links: %w", err)
	}
	p.controls.Network = network
	p.loops = append(p.loops, func(ctx context.Context) { network.Serve(ctx, listeners) })
	p.links = listeners
	return nil
}

// serve opens every listener before it logs that the process is ready.
func (p *process) serve(ctx context.Context, log zerolog.Logger) error {
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range p.loops {
		group.Go(func() error { loop(ctx); return nil })
	}
	for i, listener := range listeners {
		srv := &http.Server{Handler: p.servers[i].handler, ReadHeaderTimeout: shutdownTimeout}
		group.Go(func() error { return serveListener(srv, listener) })
		group.Go(func() error { return shutdown(ctx, srv) })
	}
	log.Info().Int("servers", len(p.servers)).Int("links", len(p.links)).Str("admin", p.adminAddress()).Msg("ready")
	err = group.Wait()
	log.Info().Msg("stopped")
	return err
}

func (p *process) listen() ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(p.servers))
	for _, srv := range p.servers {
		listener, err := srv.listen()
		if err != nil {
			closeAll(listeners)
			closeAll(p.links)
			return nil, &ListenError{Address: srv.address, Err: err}
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func (s server) listen() (net.Listener, error) {
	if s.pair == (settings.Pair{}) {
		return net.Listen("tcp", s.address)
	}
	pair, err := tls.LoadX509KeyPair(s.pair.Certificate, s.pair.Key)
	if err != nil {
		return nil, err
	}
	return tls.Listen("tcp", s.address, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13})
}

func closeAll[L net.Listener](listeners []L) {
	for _, listener := range listeners {
		_ = listener.Close()
	}
}

func serveListener(srv *http.Server, listener net.Listener) error {
	if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// shutdown waits for running requests up to shutdownTimeout, then aborts those that
// last longer, such as watches.
func shutdown(ctx context.Context, srv *http.Server) error {
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(drainCtx); err != nil {
		_ = srv.Close()
	}
	return nil
}
