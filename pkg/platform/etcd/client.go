// Package etcd implements platform.KeyValue with the JSON gateway of etcd's v3 API
// over HTTP.
//
// Every call ends by its deadline. A write is sent to a second endpoint only if no
// byte of it was sent to the first. A write without an answer fails with
// platform.ErrUnavailable.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/credential"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"
	"github.com/lilacweir/lilacweir/pkg/responsehead"
)

// Default and fixed bounds of a client.
const (
	// DefaultCallTimeout bounds each call that is not a watch.
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchIdle is the time without a message after which a watch is reopened,
	// since an idle watch cannot be told from a connection that was lost silently.
	DefaultWatchIdle = 4 * time.Second
	// maxResponseBytes bounds an answer. It fits a value of a megabyte in base64 and
	// leaves space for a transaction.
	maxResponseBytes = 8 << 20
	// idleConnections bounds the connections kept for each endpoint.
	idleConnections = 8
)

// service names the service in errors.
const service = "key-value"

// Options of a client.
type Options struct {
	// Endpoints lists the service's host:port addresses, at least one.
	Endpoints []string
	// Prefix is prepended to every key and trimmed from every returned key.
	Prefix string
	// Dial opens all connections.
	Dial credential.Dial
	// TLS secures the connections; nil means plain text.
	TLS *credential.Client
	// User is the user that requests tokens, or empty if the service requires none.
	// Password returns the user's current password.
	User     string
	Password func() string
	// CallTimeout and WatchIdle default to the package's constants.
	CallTimeout, WatchIdle time.Duration
}

// Client is a platform.KeyValue.
type Client struct {
	options Options
	http    *http.Client
	scheme  string
	session session
	// preferred is the index of the endpoint that is tried first.
	preferred atomic.Int64
}

var _ platform.KeyValue = (*Client)(nil)

// New returns a client. It connects at the first call.
func New(options Options) *Client {
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.WatchIdle == 0 {
		options.WatchIdle = DefaultWatchIdle
	}
	transport := &http.Transport{
		DialContext:         options.Dial,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	client := &Client{options: options, scheme: "http://", session: newSession()}
	if options.TLS != nil {
		client.scheme = "https://"
		transport.DialTLSContext = options.TLS.Secure(options.Dial)
	}
	client.http = &http.Client{Transport: responsehead.NewTransport(transport)}
	return client
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// StatusError reports a status other than 200, or an error in a stream.
type StatusError struct {
	// Status is the HTTP status, Code the gRPC code.
	Status, Code int
	// Message is the service's error message.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d, code %d: %s", e.Status, e.Code, e.Message)
}

// call posts one message and decodes the answer. A read that an endpoint did not answer
// is retried at the next one, a write only if the connection could not be opened.
func (c *Client) call(ctx context.Context, name, path string, write bool, input, output any) error {
	body, err := json.Marshal(input)
	if err != nil {
		return &platform.Error{Service: service, Call: name, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	first := int(c.preferred.Load())
	for i := range c.options.Endpoints {
		index := (first + i) % len(c.options.Endpoints)
		err = c.authorized(ctx, index, func(token string) error { return c.exchange(ctx, index, path, token, body, output) })
		if err == nil {
			return nil
		}
		if !tryNext(ctx, err, write) {
			break
		}
		c.preferred.CompareAndSwap(int64(index), int64((index+1)%len(c.options.Endpoints)))
	}
	return &platform.Error{Service: service, Call: name, Err: classify(err)}
}

func tryNext(ctx context.Context, err error, write bool) bool {
	if ctx.Err() != nil {
		return false
	}
	var status *StatusError
	if errors.As(err, &status) {
		return !write && status.Code == wire.CodeUnavailable
	}
	var dial *net.OpError
	notSent := errors.As(err, &dial) && dial.Op == "dial"
	return notSent || !write
}

func (c *Client) exchange(ctx context.Context, index int, path, token string, body []byte, output any) error {
	response, err := c.post(ctx, index, path, token, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	limited := io.LimitReader(response.Body, maxResponseBytes)
	if err := json.NewDecoder(limited).Decode(output); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, index int, path, token string, body []byte) (*http.Response, error) {
	url := c.scheme + c.options.Endpoints[index] + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", token)
	}
	// The transport retries a POST by itself only if no byte of it was written.
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, statusError(response)
	}
	return response, nil
}

func statusError(response *http.Response) error {
	var message wire.ErrorResponse
	limited := io.LimitReader(response.Body, maxResponseBytes)
	if err := json.NewDecoder(limited).Decode(&message); err != nil {
		message.Message = "body not readable"
	}
	return &StatusError{Status: response.StatusCode, Code: message.Code, Message: message.Message}
}

// classify wraps a cause in one of the errors of package platform.
func classify(err error) error {
	var status *StatusError
	if errors.As(err, &status) {
		switch status.Code {
		case wire.CodeNotFound:
			return fmt.Errorf("%w: %w", platform.ErrLeaseLost, err)
		case wire.CodeOutOfRange:
			return fmt.Errorf("%w: %w", platform.ErrCompacted, err)
		}
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
}
