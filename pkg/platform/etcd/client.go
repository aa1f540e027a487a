// Package etcd adapts platform.KeyValue to the published JSON form of etcd's v3
// API over HTTP.
//
// Guarantees: every call ends by its deadline; a write is sent to a second
// endpoint only when no byte of it left for the first; a write whose answer was
// lost is platform.ErrUnavailable.
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
)

// Bounds of a client whose options are silent.
const (
	// DefaultCallTimeout bounds each call that is not a watch.
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchIdle is how long a watch may be silent before it is opened anew:
	// a connection that was cut without a sign looks the same.
	DefaultWatchIdle = 4 * time.Second
	// maxAnswer bounds an answer that is read, in bytes: a value of a megabyte in
	// base64 and a transaction's worth of room.
	maxAnswer = 8 << 20
	// idleConnections bounds the connections kept for each endpoint.
	idleConnections = 8
)

// service names the service in errors.
const service = "key-value"

// Options of a client.
type Options struct {
	// Endpoints lists the service's host:port addresses; one at least.
	Endpoints []string
	// Prefix is put before every key and taken off every key that is returned.
	Prefix string
	// Dial makes all connections.
	Dial credential.Dial
	// TLS makes the connections secure; nil means plain text.
	TLS *credential.Client
	// User is who asks for tokens; empty means that the service asks for none.
	// Password returns the user's present password.
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
	// preferred is the index of the endpoint that answered last.
	preferred atomic.Int64
}

var _ platform.KeyValue = (*Client)(nil)

// New returns a client; it connects at the first call.
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
	client := &Client{options: options, http: &http.Client{Transport: transport}, scheme: "http://", session: newSession()}
	if options.TLS != nil {
		client.scheme = "https://"
		transport.DialTLSContext = options.TLS.Secure(options.Dial)
	}
	return client
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// StatusError is an answer other than 200.
type StatusError struct {
	// Status is the HTTP status, Code the gRPC code.
	Status, Code int
	// Message is the service's.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d, code %d: %s", e.Status, e.Code, e.Message)
}

// call posts one message and decodes the answer. A read that an endpoint did not
// answer is tried at the next; a write only when the connection was not made.
func (c *Client) call(ctx context.Context, name, path string, write bool, ask, answer any) error {
	body, err := json.Marshal(ask)
	if err != nil {
		return &platform.Error{Service: service, Call: name, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	first := int(c.preferred.Load())
	for i := range c.options.Endpoints {
		index := (first + i) % len(c.options.Endpoints)
		err = c.authorized(ctx, index, func(token string) error { return c.once(ctx, index, path, token, body, answer) })
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

func (c *Client) once(ctx context.Context, index int, path, token string, body []byte, answer any) error {
	response, err := c.post(ctx, index, path, token, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	limited := io.LimitReader(response.Body, maxAnswer)
	if err := json.NewDecoder(limited).Decode(answer); err != nil {
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
	// The transport repeats a POST by itself only when none of it was written.
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
	limited := io.LimitReader(response.Body, maxAnswer)
	if err := json.NewDecoder(limited).Decode(&message); err != nil {
		message.Message = "body not readable"
	}
	return &StatusError{Status: response.StatusCode, Code: message.Code, Message: message.Message}
}

// classify puts one of the platform's errors around a cause.
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
