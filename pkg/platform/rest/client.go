// Package rest adapts the platform's directory, instance list and weight store,
// which use small JSON protocols over HTTP:
//
//	GET    /v1/entries              → {"entries":[DirectoryEntry…]}
//	PUT    /v1/entries/INSTANCE     ← {"entry":DirectoryEntry,"ttl_ms":n} → 204
//	DELETE /v1/entries/INSTANCE     → 204
//	GET    /v1/instances?domain=D   → {"instances":[ListedInstance…]}
//	POST   /v1/reservations         ← {"model":m,"version":v} → {"wait_ms":n}
//
// The types are those of package platform. A reservation with a wait above zero
// has reserved nothing. Any other status is an error with the body {"error":"…"}.
//
// Every call ends by its deadline.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/credential"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/responsehead"
)

// Paths of the protocols.
const (
	PathEntries      = "/v1/entries"
	PathInstances    = "/v1/instances"
	PathReservations = "/v1/reservations"
)

const (
	// callTimeout bounds each call.
	callTimeout = 2 * time.Second
	// maxResponseBytes bounds the size of an answer in bytes.
	maxResponseBytes = 4 << 20
)

// Entries is the directory's response.
type Entries struct {
	Entries []platform.DirectoryEntry `json:"entries"`
}

// Registration creates or renews an entry of the directory.
type Registration struct {
	Entry platform.DirectoryEntry `json:"entry"`
	// TTLMillis is the lifetime of the entry in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}

// Instances is the response of the instance list.
type Instances struct {
	Instances []platform.ListedInstance `json:"instances"`
}

// ReservationRequest requests permission to read a version's weights.
type ReservationRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// ReservationAnswer returns the time to wait before a retry. Zero means that the
// weights may be read now.
type ReservationAnswer struct {
	WaitMillis int64 `json:"wait_ms"`
}

// ErrorAnswer is the body of a failed call.
type ErrorAnswer struct {
	Error string `json:"error"`
}

// Access configures TLS and authentication. The zero value is plain text without a token.
type Access struct {
	// TLS secures the connections; nil means plain text.
	TLS *credential.Client
	// Token returns the current bearer token; nil means none.
	Token func() string
}

// StatusError reports a response with an unexpected status.
type StatusError struct {
	// Status is the HTTP status, Message the service's error message.
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

// client is an HTTP client of one service.
type client struct {
	service, base string
	token         func() string
	http          *http.Client
}

func newClient(service, address string, dial credential.Dial, access Access) client {
	transport := &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute, DisableCompression: true}
	base := "http://" + address
	if access.TLS != nil {
		base = "https://" + address
		transport.DialTLSContext = access.TLS.Secure(dial)
	}
	return client{service: service, base: base, token: access.Token, http: &http.Client{Transport: responsehead.NewTransport(transport)}}
}

// call sends input and decodes the response into output, unless output is nil. All errors wrap
// platform.ErrUnavailable.
func (c client) call(ctx context.Context, method, path string, input, output any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.exchange(ctx, method, path, input, output); err != nil {
		wrapped := fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		return &platform.Error{Service: c.service, Call: method + " " + path, Err: wrapped}
	}
	return nil
}

func (c client) exchange(ctx context.Context, method, path string, input, output any) error {
	body, err := json.Marshal(input)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != nil {
		request.Header.Set("Authorization", "Bearer "+c.token())
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("exchange: %w", err)
	}
	defer response.Body.Close()
	return read(response, output)
}

func read(response *http.Response, output any) error {
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode >= http.StatusMultipleChoices {
		var failure ErrorAnswer
		if err := decoder.Decode(&failure); err != nil {
			failure.Error = "body not readable"
		}
		return &StatusError{Status: response.StatusCode, Message: failure.Error}
	}
	if output == nil {
		return nil
	}
	if err := decoder.Decode(output); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	return nil
}
