// Package orderhttp sends orders to model engines over HTTP.
//
// Guarantees: permit is called after the connection is established, immediately before
// the order is written; a call that ends early resets its connection, so that the
// kernel does not send the rest of the order.
package orderhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/order"
	"github.com/lilacweir/lilacweir/pkg/responsehead"
)

const (
	// callTimeout bounds each call, within order.FlightMargin.
	callTimeout = order.FlightMargin * 3 / 4
	// maxAnswer bounds the size of an answer, in bytes.
	maxAnswer = 1 << 20
)

// Dial opens a connection to an engine.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client implements order.Engines over HTTP.
type Client struct{ http *http.Client }

var _ order.Engines = (*Client)(nil)

// New returns a client that opens its connections with dial.
func New(dial Dial) *Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialAbortive(ctx, dial, network, address)
		},
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &Client{http: &http.Client{Transport: responsehead.NewTransport(transport)}}
}

// abortive is a connection that can discard unsent data when closed.
type abortive interface{ SetLinger(seconds int) error }

// ErrNotAbortive means that dial returned a connection that cannot discard unsent data
// when closed.
var ErrNotAbortive = errors.New("connection can't be reset")

func dialAbortive(ctx context.Context, dial Dial, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	able, ok := conn.(abortive)
	if !ok {
		return nil, errors.Join(ErrNotAbortive, conn.Close())
	}
	if err := able.SetLinger(0); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return conn, nil
}

// StatusError is an unexpected answer of an engine.
type StatusError struct {
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("engine answered with status %d", e.Status) }

// State implements order.Engines.
func (c *Client) State(ctx context.Context, engine config.Upstream) (order.State, error) {
	var state engineapi.OrderState
	if err := c.call(ctx, http.MethodGet, engine.Address, http.NoBody, 0, &state); err != nil {
		return order.State{}, fmt.Errorf("read state of %s: %w", engine.Name, err)
	}
	return order.State{Version: state.Version, Loading: state.Loading, Fence: state.Fence}, nil
}

// Send implements order.Engines.
func (c *Client) Send(ctx context.Context, load order.Load, permit func() error) error {
	message := engineapi.Order{
		ID: load.ID, Kind: engineapi.OrderLoad, Model: load.Model, Version: load.Version, Fence: load.Fence,
	}
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	guarded := &guardedBody{permit: permit, rest: bytes.NewReader(body)}
	if err := c.call(ctx, http.MethodPost, load.Upstream.Address, guarded, int64(len(body)), nil); err != nil {
		return fmt.Errorf("send order to %s: %w", load.Upstream.Name, err)
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, address string, body io.Reader, length int64, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+engineapi.PathOrders, body)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	request.ContentLength = length
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("call engine: %w", err)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusPreconditionFailed:
		return order.ErrStaleFence
	case response.StatusCode != http.StatusOK:
		return &StatusError{Status: response.StatusCode}
	case answer == nil:
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// guardedBody calls permit before each read. The transport reads a body once its
// connection is established, and writes what it read immediately.
type guardedBody struct {
	permit func() error
	rest   *bytes.Reader
}

// Read implements io.Reader.
func (b *guardedBody) Read(into []byte) (int, error) {
	if err := b.permit(); err != nil {
		return 0, err
	}
	return b.rest.Read(into)
}
