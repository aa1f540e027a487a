package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/logging"
)

// httpListener is a listener with its HTTP server.
type httpListener struct {
	listener net.Listener
	server   *http.Server
}

func (d *httpListener) serve() error {
	if err := d.server.Serve(d.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", d.listener.Addr(), err)
	}
	return nil
}

// listenerSet holds the listeners of an instance.
type listenerSet struct {
	http    []*httpListener
	control *control.Server
}

// Bounds of callers' connections. The declared limits are enforced on each request as well.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader bounds a request's header in bytes. net/http allows 4 KiB more.
	maxHeader = 64 << 10
)

func (e *Edge) openListeners() (*listenerSet, error) {
	listen := e.settings.Listen
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{listen.Callers, http.HandlerFunc(e.serveCaller)},
		{listen.Peers, http.HandlerFunc(e.servePeer)},
		{listen.Metrics, e.metricsHandler()},
	}
	all := &listenerSet{}
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
	var err error
	if all.control, err = control.NewServer(control.NewNetworkOver(e.options.transport()), listen.Gossip); err != nil {
		return nil, err
	}
	return all, errors.Join(e.gossip.Register(all.control), e.origins.Register(all.control))
}

func (e *Edge) listen(address string, handler http.Handler) (*httpListener, error) {
	listener, err := e.options.transport().Listen(context.Background(), "tcp", address)
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
	return &httpListener{listener: listener, server: server}, nil
}
