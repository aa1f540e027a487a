package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
)

// maxCancels bounds the cancel calls that run at the same time.
const maxCancels = 64

// Client sends attempts. It pools connections for repeatable requests. Each request
// that may not be repeated gets a new connection, so that neither a connection that
// the other side is closing nor a replay by the HTTP transport can make its outcome
// uncertain.
type Client struct {
	upstreams, peers transports
	// idle is the idle timeout, peerIdle that of a peer while it should send
	// keep-alives.
	idle, peerIdle time.Duration
	cancels        chan struct{}
}

// transports are the two HTTP transports for one kind of target.
type transports struct{ pooled, atMostOnce *http.Transport }

// NewClient returns a client that connects to upstreams and to other gateways with
// the given dialers.
func NewClient(upstreams, peers Dialer) *Client {
	return &Client{
		upstreams: newTransports(upstreams),
		peers:     newTransports(peers),
		idle:      idleTimeout,
		peerIdle:  peerIdleTimeout,
		cancels:   make(chan struct{}, maxCancels),
	}
}

func newTransports(dial Dialer) transports {
	return transports{pooled: newTransport(dial, false), atMostOnce: newTransport(dial, true)}
}

func newTransport(dial Dialer, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            tracked(dial),
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleLifetime,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	for _, pair := range []transports{c.upstreams, c.peers} {
		pair.pooled.CloseIdleConnections()
		pair.atMostOnce.CloseIdleConnections()
	}
}

func (c *Client) transport(target Target, atMostOnce bool) *http.Transport {
	pair := c.upstreams
	if target.Peer {
		pair = c.peers
	}
	if atMostOnce {
		return pair.atMostOnce
	}
	return pair.pooled
}

// request builds the HTTP request of one attempt. GetBody stays unset, since the
// transport must not replay a request by itself.
func (c *Client) request(ctx context.Context, target Target, call *Call, offset int) *http.Request {
	fields := make(http.Header, len(call.Header)+2)
	for name, values := range call.Header {
		fields[name] = values
	}
	fields[header.RequestID] = []string{call.RequestID}
	if offset > 0 {
		fields[header.ResumeOffset] = []string{strconv.Itoa(offset)}
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+target.Address+call.URI, nil)
	if err != nil {
		return nil
	}
	request.Header = fields
	if len(call.Body) > 0 {
		request.Body = newBody(call.Body)
		request.ContentLength = int64(len(call.Body))
	}
	return request
}

// body is a request body that the transport cannot rewind.
type body struct{ *bytes.Reader }

func newBody(data []byte) body { return body{bytes.NewReader(data)} }

// Close implements io.Closer.
func (body) Close() error { return nil }

// Probe checks the health of the gateway at an address.
func (c *Client) Probe(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+HealthPath, nil)
	if err != nil {
		return fmt.Errorf("probe %s: %w", address, err)
	}
	response, err := c.peers.atMostOnce.RoundTrip(request)
	if err != nil {
		return fmt.Errorf("probe %s: %w", address, err)
	}
	_ = response.Body.Close()
	return nil
}

// HealthPath is the path of a gateway's health check.
const HealthPath = "/healthz"

// Cancel asks an engine, in the background, to stop working on a request. It is
// skipped while maxCancels are in flight: the broken connection has the same meaning.
func (c *Client) Cancel(target Target, requestID string) {
	select {
	case c.cancels <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.cancels }()
		c.cancel(target, requestID)
	}()
}

func (c *Client) cancel(target Target, requestID string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	message, err := json.Marshal(engineapi.Cancel{ID: requestID})
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+engineapi.PathCancel, bytes.NewReader(message))
	if err != nil {
		return
	}
	request.Header.Set(header.ContentType, "application/json")
	response, err := c.upstreams.pooled.RoundTrip(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}
