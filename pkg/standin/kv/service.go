// Package kv is a stand-in for the platform's key-value service: the part of
// etcd's v3 JSON API that lilacweir uses, held in memory, with bounded rates and
// switches for the faults that the platform is known for.
//
// Guarantee: a transaction is atomic; a lost answer's write has taken effect.
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

// Settings of the service.
type Settings struct {
	// Address is where it listens.
	Address string `yaml:"address" validate:"required,hostport"`
	// WritesPerSecond and ReadsPerSecond bound its rates; a watch counts as one
	// read when it is opened. Calls beyond wait for QueueLimit at most.
	WritesPerSecond int `yaml:"writes_per_second" validate:"gte=1"`
	ReadsPerSecond  int `yaml:"reads_per_second" validate:"gte=1"`
	// Users holds passwords by user; with none, anyone may call.
	Users map[string]string `yaml:"users,omitempty"`
	// TLS is the service's certificate; empty means plain HTTP.
	TLS settings.Pair `yaml:"tls,omitempty"`
}

const (
	// queueLimit is how long a call waits for its turn before it is refused.
	queueTimeout = time.Second
	// expiryInterval is how often leases are looked at.
	expiryInterval = 50 * time.Millisecond
)

// Counts is how many calls came, by kind, since the service started, and what
// became of them.
type Counts struct {
	Range     int64 `json:"range"`
	Txn       int64 `json:"txn"`
	Conflicts int64 `json:"conflicts"`
	Watch     int64 `json:"watch"`
	Grant     int64 `json:"grant"`
	KeepAlive int64 `json:"keepalive"`
	Revoke    int64 `json:"revoke"`
	// Limited counts calls refused for the rates, Lost answers lost on purpose,
	// Refused calls that came while the service was down.
	Limited int64 `json:"limited"`
	Lost    int64 `json:"lost"`
	Refused int64 `json:"refused"`
	// Watching is how many watches wait now.
	Watching int `json:"watching"`
}

// Service is the stand-in.
type Service struct {
	store         *store
	reads, writes *rate.Limiter
	tokens        tokens

	mu          sync.Mutex
	counts      Counts
	slow        time.Duration
	dropAnswers int
	// up is done while the service is down.
	up     context.Context
	goDown context.CancelFunc
}

// New returns a service that is up and empty.
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

// Run ends leases that are due until ctx ends.
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

// SetDown makes the service drop every connection that asks, and its watches.
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

// LoseAnswers drops the connection in place of the answer of the next n writes,
// after they have taken effect.
func (s *Service) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAnswers = n
}

// Compact forgets the history, so that a watch can't begin in the past.
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

// begin decodes a call, counts it and holds it to the rates and switches. It
// returns the context that ends when the service goes down.
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

// answer writes a write's answer, or loses it.
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

// refuse answers an error of the store.
func respondStoreError(c echo.Context, err error) error {
	if errors.Is(err, errLeaseNotFound) {
		return respondError(c, http.StatusNotFound, wire.CodeNotFound, err)
	}
	return respondError(c, http.StatusBadRequest, wire.CodeInvalidArgument, err)
}
