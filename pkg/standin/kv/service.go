// Package kv is a stand-in for the platform's key-value service: the part of
// etcd's v3 JSON API that lilacweir uses, in memory, with rate limits and injection
// of the faults that the platform is known to have.
//
// A transaction is atomic. A write with a lost response has taken effect.
package kv

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// Settings configures the service.
type Settings struct {
	Address string `yaml:"address" validate:"required,hostport"`
	// WritesPerSecond and ReadsPerSecond are rate limits; opening a watch counts as
	// one read. Calls over the limit wait up to queueTimeout.
	WritesPerSecond int `yaml:"writes_per_second" validate:"gte=1"`
	ReadsPerSecond  int `yaml:"reads_per_second" validate:"gte=1"`
	// Users maps users to passwords; if empty, calls need no authentication.
	Users map[string]string `yaml:"users,omitempty"`
	// TLS is the service's certificate and key; empty means plain HTTP.
	TLS settings.Pair `yaml:"tls,omitempty"`
}

const (
	// queueTimeout bounds the wait of a call for the rate limiter.
	queueTimeout = time.Second
	// expiryInterval is the interval of checks for expired leases.
	expiryInterval = 50 * time.Millisecond
)

// Counts counts the calls since the service started, by kind and outcome.
type Counts struct {
	Range     int64 `json:"range"`
	Txn       int64 `json:"txn"`
	Conflicts int64 `json:"conflicts"`
	Watch     int64 `json:"watch"`
	Grant     int64 `json:"grant"`
	KeepAlive int64 `json:"keepalive"`
	Revoke    int64 `json:"revoke"`
	// Limited counts calls rejected by the rate limits, Lost responses dropped by
	// LoseAnswers, Refused calls received while the service was down.
	Limited int64 `json:"limited"`
	Lost    int64 `json:"lost"`
	Refused int64 `json:"refused"`
	// Watching is the number of open watches.
	Watching int `json:"watching"`
}

// Service is a stand-in key-value service.
type Service struct {
	store         *store
	reads, writes *rate.Limiter
	tokens        tokens

	mu          sync.Mutex
	counts      Counts
	slow        time.Duration
	dropAnswers int
	// up is cancelled while the service is down.
	up     context.Context
	goDown context.CancelFunc
}

// New returns an empty service that is up.
func New(settings Settings, c clock.Clock) *Service {
	s := &Service{
		tokens: tokens{users: maps.Clone(settings.Users), issued: map[string]bool{}},
		store:  newStore(c),
		reads:  rate.NewLimiter(rate.Limit(settings.ReadsPerSecond), settings.ReadsPerSecond),
		writes: rate.NewLimiter(rate.Limit(settings.WritesPerSecond), settings.WritesPerSecond),
	}
	s.up, s.goDown = context.WithCancel(context.Background())
	return s
}

// Run deletes expired leases periodically until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.store.expireLeases()
		case <-ctx.Done():
			return
		}
	}
}

// SetDown makes the service drop the connections of all calls and watches, or
// brings it up again.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.goDown()
	if !down {
		s.up, s.goDown = context.WithCancel(context.Background())
	}
}

// SetSlow delays each call.
func (s *Service) SetSlow(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = delay
}

// LoseAnswers drops the connection instead of answering the next n writes, after
// they have taken effect.
func (s *Service) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAnswers = n
}

// Compact deletes the history, so that a watch cannot start at a past revision.
func (s *Service) Compact() { s.store.compact() }

// Counts returns the counters.
func (s *Service) Counts() Counts {
	watcherCount := s.store.watcherCount()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Watching = watcherCount
	return counts
}

// Handler serves the API.
func (s *Service) Handler() http.Handler {
	e := echo.New()
	e.Use(s.requireToken)
	e.POST(wire.PathAuthenticate, s.handleAuthenticate)
	e.POST(wire.PathRange, s.handleRange)
	e.POST(wire.PathTxn, s.handleTxn)
	e.POST(wire.PathWatch, s.handleWatch)
	e.POST(wire.PathGrant, s.handleGrant)
	e.POST(wire.PathKeepAlive, s.handleKeepAlive)
	e.POST(wire.PathRevoke, s.handleRevoke)
	return e
}

func (s *Service) count(counter *int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
}

// admit decodes and counts a call, and applies rate limits and injected faults. It
// returns the context that ends when the service goes down, or nil for a rejected
// call.
func (s *Service) admit(c echo.Context, counter *int64, limiter *rate.Limiter, request any) (context.Context, error) {
	s.mu.Lock()
	up, slow := s.up, s.slow
	*counter++
	s.mu.Unlock()
	if up.Err() != nil {
		s.count(&s.counts.Refused)
		panic(http.ErrAbortHandler)
	}
	if err := json.NewDecoder(c.Request().Body).Decode(request); err != nil {
		return nil, c.JSON(http.StatusBadRequest, wire.ErrorResponse{Error: err.Error(), Message: err.Error()})
	}
	wait(c.Request().Context(), up, slow)
	limited, cancel := context.WithTimeout(c.Request().Context(), queueTimeout)
	defer cancel()
	if err := limiter.Wait(limited); err != nil {
		s.count(&s.counts.Limited)
		return nil, respondError(c, http.StatusTooManyRequests, wire.CodeResourceExhausted, err)
	}
	if up.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	return up, nil
}

func wait(ctx, up context.Context, delay time.Duration) {
	if delay == 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-up.Done():
	}
}

// answer sends the response for a write, or drops it under LoseAnswers.
func (s *Service) answer(c echo.Context, message any) error {
	s.mu.Lock()
	lost := s.dropAnswers > 0
	if lost {
		s.dropAnswers--
		s.counts.Lost++
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, message)
}

func respondError(c echo.Context, status, code int, err error) error {
	return c.JSON(status, wire.ErrorResponse{Error: err.Error(), Code: code, Message: err.Error()})
}

// respondStoreError sends the response for an error of the store.
func respondStoreError(c echo.Context, err error) error {
	if errors.Is(err, errLeaseNotFound) {
		return respondError(c, http.StatusNotFound, wire.CodeNotFound, err)
	}
	return respondError(c, http.StatusBadRequest, wire.CodeInvalidArgument, err)
}
