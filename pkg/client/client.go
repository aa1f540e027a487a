// Package client is a client of lilacweir for callers. It fetches the list of entry
// instances, sends chat requests and calls of plain services, and returns the outcome
// of each.
//
// Guarantee: NotRun is returned only if the gateway reported it, or if no connection
// was made.
package client

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/credential"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/responsehead"
)

// maxAnswer bounds the bytes that are read of a plain answer.
const maxAnswer = 64 << 20

// keyRandomBytes is the length of the random part of an idempotency key.
const keyRandomBytes = 12

// Client sends requests as one caller. It is safe for concurrent use.
type Client struct {
	// Key is the caller's secret key.
	Key string
	// HTTP sends the requests. It should have no overall timeout.
	HTTP *http.Client
	// Scheme is https, or http for gateways without TLS. Empty means http.
	Scheme string
}

// New returns a client for plain HTTP with its own connections, made by dial, or by a
// net.Dialer if dial is nil.
func New(key string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &Client{Key: key, HTTP: &http.Client{Transport: responsehead.NewTransport(transport)}}
}

// NewTLS is New for HTTPS. The certificates of gateways are verified against the
// authority.
func NewTLS(key string, dial credential.Dial, authority *credential.Authority) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	secure := &credential.Client{Authority: authority}
	transport := &http.Transport{DialTLSContext: secure.Secure(dial), MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &Client{Key: key, HTTP: &http.Client{Transport: responsehead.NewTransport(transport)}, Scheme: "https"}
}

func (c *Client) url(gateway, path string) string {
	return cmp.Or(c.Scheme, "http") + "://" + gateway + path
}

// Options are the headers that a caller may set. Zero values are not sent.
type Options struct {
	RequestID      string
	Deadline       time.Duration
	IdempotencyKey string
	Priority       string
}

// Answer is the result of one request.
type Answer struct {
	// Outcome is what the caller may rely on.
	Outcome outcome.Outcome
	// Status is the HTTP status; zero if there was no response.
	Status int
	// Refusal is the gateway's typed error, if it sent one.
	Refusal RefusalBody
	// RequestID, Domain and Upstream are from the response headers.
	RequestID, Domain, Upstream string
	// Body is the plain answer, or the whole text of a stream.
	Body []byte
	// Chunks is the number of chunks of a stream.
	Chunks int
	// Err is the error of sending or reading, if any.
	Err error
}

// RefusalBody is the error that a gateway sends as JSON.
type RefusalBody struct {
	Type         outcome.Reason  `json:"type"`
	Outcome      outcome.Outcome `json:"outcome"`
	Message      string          `json:"message"`
	RequestID    string          `json:"request_id"`
	RetryAfterMS int64           `json:"retry_after_ms"`
}

// RetryAfter returns the delay before a retry; zero if the gateway gave none.
func (r RefusalBody) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}

type refusalEnvelope struct {
	Error RefusalBody `json:"error"`
}

// Instance is one entry instance that a caller may use.
type Instance struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	Region   string `json:"region"`
	Address  string `json:"address"`
}

// Instances lists the entry instances that a caller may use.
type Instances struct {
	// Instances has those of the gateway's own failure domain first.
	Instances []Instance `json:"instances"`
	// ValidMS is the validity of the list, in milliseconds.
	ValidMS int64 `json:"valid_ms"`
	// KeyPrefix is the prefix of idempotency keys; see NewKey.
	KeyPrefix string `json:"key_prefix"`
}

// NewKey returns a new idempotency key with the prefix that a gateway issued.
func (i Instances) NewKey() string {
	random := make([]byte, keyRandomBytes)
	_, _ = rand.Read(random)
	return i.KeyPrefix + "." + hex.EncodeToString(random)
}

// StatusError is a response with an unexpected HTTP status.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.URL, e.Status, e.Body)
}

// Instances fetches the list of instances from a gateway.
func (c *Client) Instances(ctx context.Context, gateway string) (Instances, error) {
	var list Instances
	answer := c.Call(ctx, gateway, http.MethodGet, "/v1/instances", nil, Options{})
	if answer.Err != nil {
		return list, fmt.Errorf("instances from %s: %w", gateway, answer.Err)
	}
	if answer.Status != http.StatusOK {
		return list, &StatusError{URL: gateway + "/v1/instances", Status: answer.Status, Body: string(answer.Body)}
	}
	if err := json.Unmarshal(answer.Body, &list); err != nil {
		return list, fmt.Errorf("instances from %s: %w", gateway, err)
	}
	return list, nil
}

// Call calls a plain service through a gateway.
func (c *Client) Call(ctx context.Context, gateway, method, path string, body []byte, options Options) *Answer {
	response, answer := c.send(ctx, gateway, method, path, body, options)
	if answer.Err != nil {
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	// One byte beyond the maximum shows that an answer is too long.
	read, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	answer.Body = read
	if err == nil && !isWhole(response, len(read)) {
		err = ErrNotWhole
	}
	if err != nil {
		answer.Outcome = outcome.Unknown
		answer.Err = fmt.Errorf("read answer: %w", err)
		return answer
	}
	answer.classify()
	return answer
}

// ErrNotWhole is returned if nothing shows that a success is whole: it has neither a length nor chunks, or it is longer
// than what is read.
var ErrNotWhole = errors.New("the answer is not known to be whole")

// isWhole reports whether a body that was read to its end is known to be the whole one. Refusals tell their outcome in
// their head.
func isWhole(response *http.Response, length int) bool {
	if response.StatusCode >= http.StatusBadRequest || response.Request.Method == http.MethodHead {
		return true
	}
	return length <= maxAnswer && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
}

// classify sets the outcome of an answer that was read completely.
func (a *Answer) classify() {
	if a.Outcome == "" && a.Status < http.StatusBadRequest {
		a.Outcome = outcome.Complete
	}
	var envelope refusalEnvelope
	if a.Outcome != outcome.Complete && json.Unmarshal(a.Body, &envelope) == nil {
		a.Refusal = envelope.Error
	}
	if a.Outcome == "" {
		a.Outcome = a.Refusal.Outcome
	}
	if a.Outcome == "" {
		a.Outcome = outcome.Unknown
	}
}

// send sends a request and reads the response header.
func (c *Client) send(ctx context.Context, gateway, method, path string, body []byte, options Options) (*http.Response, *Answer) {
	request, err := http.NewRequestWithContext(ctx, method, c.url(gateway, path), strings.NewReader(string(body)))
	if err != nil {
		return nil, &Answer{Outcome: outcome.NotRun, Err: fmt.Errorf("make request: %w", err)}
	}
	c.setHeaders(request, options)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, &Answer{Outcome: outcomeOfSend(err), Err: fmt.Errorf("send to %s: %w", gateway, err)}
	}
	got := response.Header
	return response, &Answer{
		Outcome:   outcome.Outcome(got.Get(header.Outcome)),
		Status:    response.StatusCode,
		RequestID: got.Get(header.RequestID),
		Domain:    got.Get(header.Domain),
		Upstream:  got.Get(header.Upstream),
	}
}

func (c *Client) setHeaders(request *http.Request, options Options) {
	request.Header.Set(header.Authorization, "Bearer "+c.Key)
	if request.Method != http.MethodGet {
		request.Header.Set(header.ContentType, "application/json")
	}
	if options.RequestID != "" {
		request.Header.Set(header.RequestID, options.RequestID)
	}
	if options.Deadline > 0 {
		request.Header.Set(header.Deadline, strconv.FormatInt(options.Deadline.Milliseconds(), 10))
	}
	if options.IdempotencyKey != "" {
		request.Header.Set(header.IdempotencyKey, options.IdempotencyKey)
	}
	if options.Priority != "" {
		request.Header.Set(header.Priority, options.Priority)
	}
}

// outcomeOfSend returns NotRun if no connection was made, and Unknown if the request may
// have been sent.
func outcomeOfSend(err error) outcome.Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return outcome.NotRun
	}
	return outcome.Unknown
}
