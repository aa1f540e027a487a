package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// Interval and timeout of readiness checks.
const (
	waitPollInterval = 50 * time.Millisecond
	readyTimeout     = 2 * time.Second
)

// WaitCommand waits until gateways are in a state.
type WaitCommand struct {
	Gateway  []string      `short:"g" sep:"none" required:"" help:"Callers' address of a gateway; repeat for more."`
	State    []string      `default:"serving" help:"States to wait for, any of them."`
	Platform bool          `help:"Wait as well until the instance sees the platform."`
	Within   time.Duration `default:"30s" help:"How long to wait at most."`
	AuthorityFlag
}

// readiness is a gateway's answer about its readiness.
type readiness struct {
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Platform bool   `json:"platform"`
}

// NotReadyError reports the state of a gateway when the wait ended.
type NotReadyError struct {
	Gateway string
	// State is the last state; empty when the gateway did not answer.
	State string
	// Err is the reason why it did not answer.
	Err error
}

// Error implements error.
func (e *NotReadyError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s does not answer: %v", e.Gateway, e.Err)
	}
	return fmt.Sprintf("%s is %s", e.Gateway, e.State)
}

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Err }

// Run implements the command.
func (c *WaitCommand) Run(session *Session) error {
	ctx, cancel := context.WithTimeout(session.Context, c.Within)
	defer cancel()
	transport, scheme, err := c.AuthorityFlag.transport()
	if err != nil {
		return err
	}
	tick := time.NewTicker(waitPollInterval)
	defer tick.Stop()
	for _, gateway := range c.Gateway {
		for {
			err := c.checkReady(ctx, transport, scheme+"://"+gateway)
			if err == nil {
				break
			}
			select {
			case <-tick.C:
			case <-ctx.Done():
				session.Code = ExitUnknown
				return err
			}
		}
	}
	return nil
}

// checkReady returns nil when the gateway at the URL is in a wanted state.
func (c *WaitCommand) checkReady(ctx context.Context, transport *http.Client, gateway string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, gateway+"/readyz", nil)
	if err != nil {
		return &NotReadyError{Gateway: gateway, Err: err}
	}
	response, err := transport.Do(request)
	if err != nil {
		return &NotReadyError{Gateway: gateway, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	var found readiness
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReply)).Decode(&found); err != nil {
		return &NotReadyError{Gateway: gateway, Err: err}
	}
	if !slices.Contains(c.State, found.State) || (c.Platform && !found.Platform) {
		return &NotReadyError{Gateway: gateway, State: fmt.Sprintf("%s (platform %t)", found.State, found.Platform)}
	}
	return nil
}
