package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"golang.org/x/sync/semaphore"

	"github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"
)

// AuthenticationError: the service gave no token.
type AuthenticationError struct {
	// User is who asked.
	User string
	// Err is the cause; it holds no password.
	Err error
}

// Error implements error.
func (e *AuthenticationError) Error() string {
	return fmt.Sprintf("authenticate %q: %v", e.User, e.Err)
}

// Unwrap returns the cause.
func (e *AuthenticationError) Unwrap() error { return e.Err }

// session keeps the token of the user.
type session struct {
	// asking is held while the token is read or asked for; waiting for it ends with
	// the call's context.
	asking *semaphore.Weighted
	token  string
}

func newSession() session { return session{asking: semaphore.NewWeighted(1)} }

// authorized runs one exchange with the endpoint. When its token is refused, so
// that nothing was run, it runs once more with a new one.
func (c *Client) authorized(ctx context.Context, index int, exchange func(token string) error) error {
	if c.options.User == "" {
		return exchange("")
	}
	token, err := c.token(ctx, index, "")
	if err != nil {
		return err
	}
	if err = exchange(token); !refusesToken(err) {
		return err
	}
	token, err = c.token(ctx, index, token)
	if err != nil {
		return err
	}
	return exchange(token)
}

// token returns the present token, and asks for a new one when there is none or
// the present one is the refused one.
func (c *Client) token(ctx context.Context, index int, refused string) (string, error) {
	if err := c.session.asking.Acquire(ctx, 1); err != nil {
		return "", &AuthenticationError{User: c.options.User, Err: err}
	}
	defer c.session.asking.Release(1)
	if c.session.token != refused {
		return c.session.token, nil
	}
	c.session.token = ""
	fresh, err := c.authenticate(ctx, index)
	if err != nil {
		return "", &AuthenticationError{User: c.options.User, Err: err}
	}
	c.session.token = fresh
	return fresh, nil
}

func (c *Client) authenticate(ctx context.Context, index int) (string, error) {
	ask := wire.AuthenticateRequest{Name: c.options.User, Password: c.options.Password()}
	body, err := json.Marshal(ask)
	if err != nil {
		return "", fmt.Errorf("request: %w", err)
	}
	var answer wire.AuthenticateResponse
	if err := c.once(ctx, index, wire.PathAuthenticate, "", body, &answer); err != nil {
		return "", err
	}
	if answer.Token == "" {
		return "", ErrNoToken
	}
	return answer.Token, nil
}

// ErrNoToken: the service accepted the password and gave no token.
var ErrNoToken = errors.New("no token in the answer")

// refusesToken tells a token that the service does not know, or that was given out
// under earlier permissions, from other failures. Nothing was run then.
func refusesToken(err error) bool {
	var status *StatusError
	if !errors.As(err, &status) {
		return false
	}
	return status.Code == wire.CodeUnauthenticated || status.Message == wire.MessageOldAuthRevision
}
