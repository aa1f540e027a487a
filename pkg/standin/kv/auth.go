package kv

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"
)

// Errors with the messages of etcd.
var (
	errAuthFailed   = errors.New(wire.MessageAuthFailed)
	errInvalidToken = errors.New(wire.MessageInvalidToken)
)

// tokens issues and validates authentication tokens.
type tokens struct {
	mu     sync.Mutex
	users  map[string]string
	issued map[string]bool
}

// ForgetTokens invalidates all tokens, as their expiry does.
func (s *Service) ForgetTokens() {
	s.tokens.mu.Lock()
	defer s.tokens.mu.Unlock()
	clear(s.tokens.issued)
}

// SetPassword changes a user's password; issued tokens stay valid.
func (s *Service) SetPassword(user, password string) {
	s.tokens.mu.Lock()
	defer s.tokens.mu.Unlock()
	s.tokens.users[user] = password
}

func (t *tokens) issue(request wire.AuthenticateRequest) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	password, ok := t.users[request.Name]
	if !ok || password != request.Password {
		return "", false
	}
	token := rand.Text()
	t.issued[token] = true
	return token, true
}

func (t *tokens) valid(token string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.users) == 0 || t.issued[token]
}

func (s *Service) handleAuthenticate(c echo.Context) error {
	var request wire.AuthenticateRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return respondError(c, http.StatusBadRequest, wire.CodeInvalidArgument, err)
	}
	token, ok := s.tokens.issue(request)
	if !ok {
		return respondError(c, http.StatusBadRequest, wire.CodeInvalidArgument, errAuthFailed)
	}
	return c.JSON(http.StatusOK, wire.AuthenticateResponse{Token: token})
}

// requireToken rejects calls without an issued token, except authentication.
func (s *Service) requireToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		authenticating := c.Path() == wire.PathAuthenticate
		if authenticating || s.tokens.valid(c.Request().Header.Get(echo.HeaderAuthorization)) {
			return next(c)
		}
		return respondError(c, http.StatusUnauthorized, wire.CodeUnauthenticated, errInvalidToken)
	}
}
