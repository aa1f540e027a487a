package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"golang.org/x/sync/semaphore"

	"github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"
)

// AuthenticationError reports that no token could be obtained from the service.
type AuthenticationError struct {
	// User is the user that requested the token.
	User string
	// Err is the cause. It contains no password.
	Err error
}

// Error implements error.
func (e *AuthenticationError) Error() string {
	return fmt.Sprintf("authenticate %q: %v", e.User, e.Err)
}

// Unwrap returns the cause.
func (e *AuthenticationError) Unwrap() error { return e.Err }

// session caches the user's token.
type session struct {
	// lock guards token, also while a new one is requested. It is a semaphore so that
	// waiting for it ends with the call's context.
	lock  *semaphore.Weighted
	token string
}

func newSession() session { return session{lock: semaphore.NewWeighted(1)} }

// authorized runs one exchange with the endpoint. If the service rejects the token, so
// that nothing was run, it retries once with a new token.
func (c *Client) authorized(ctx context.Context, index int, exchange func(token string) error) error {
	if c.options.User == "" {
		return exchange("")
	}
	token, err := c.token(ctx, index, "")
	if err != nil {
		return err
	}
	if err = exchange(token); !rejectsToken(err) {
		return err
	}
	token, err = c.token(ctx, index, token)
	if err != nil {
		return err
	}
	return exchange(token)
}

// token returns the cached token. It requests a new one if there is none or the cached
// one is the rejected one.
func (c *Client) token(ctx context.Context, index int, rejected string) (string, error) {
	if err := c.session.lock.Acquire(ctx, 1); err != nil {
		return "", &AuthenticationError{User: c.options.User, Err: err}
	}
	defer c.session.lock.Release(1)
	if c.session.token != rejected {
		return c.session.token, nil
	}
	c.session.token = ""
	renewed, err := c.authenticate(ctx, index)
	if err != nil {
		return "", &AuthenticationError{User: c.options.User, Err: err}
	}
	c.session.token = renewed
	return renewed, nil
}

func (c *Client) authenticate(ctx context.Context, index int) (string, error) {
	request := wire.AuthenticateRequest{Name: c.options.User, Password: c.options.Password()}
	body, err := json.Marshal(request)
	if err != nil {
		return "", fmt.Errorf("request: %w", err)
	}
	var response wire.AuthenticateResponse
	if err := c.exchange(ctx, index, wire.PathAuthenticate, "", body, &response); err != nil {
		return "", err
	}
	if response.Token == "" {
		return "", ErrNoToken
	}
	return response.Token, nil
}

// ErrNoToken means that the service accepted the password but returned no token.
var ErrNoToken = errors.New("no token in the answer")

// rejectsToken reports whether the token was rejected as unknown or as issued under older
// permissions. Nothing was run then.
func rejectsToken(err error) bool {
	var status *StatusError
	if !errors.As(err, &status) {
		return false
	}
	return status.Code == wire.CodeUnauthenticated || status.Message == wire.MessageOldAuthRevision
}
