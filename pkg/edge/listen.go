package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/ingress"
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

const (
	// maxHeader bounds a request's header in bytes, whatever is declared. net/http allows 4 KiB more.
	maxHeader = 64 << 10
	// maxEndpointHeader is that of an endpoint without upstreams.
	maxEndpointHeader = 16 << 10
)

func (e *Edge) openListeners() (*listenerSet, error) {
	listen := e.settings.Listen
	metrics := &http.Server{Handler: e.metricsHandler()}
	LimitEndpoint(metrics)
	servers := []struct {
		address string
		port    *ingress.Port
		server  *http.Server
	}{
		{listen.Callers, e.ports.callers, requestServer(e.serveCaller)},
		{listen.Peers, e.ports.peers, requestServer(e.servePeer)},
		{listen.Metrics, e.ports.metrics, metrics},
	}
	all := &listenerSet{}
	for _, s := range servers {
		if s.address == "" {
			continue
		}
		opened, err := e.listen(s.address, s.port, s.server)
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

// requestServer returns the server of a handler of requests. The port limits the time for heads and between requests,
// the handler that for bodies and answers.
func requestServer(handler http.HandlerFunc) *http.Server {
	return &http.Server{Handler: handler, MaxHeaderBytes: maxHeader, WriteTimeout: maxRequestTime + writeSlack}
}

func (e *Edge) listen(address string, port *ingress.Port, server *http.Server) (*httpListener, error) {
	listener, err := e.options.transport().Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	server.ErrorLog = logging.ServerErrors(e.log)
	port.Apply(server)
	return &httpListener{listener: port.Over(listener), server: server}, nil
}
