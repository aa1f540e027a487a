// Package api is the HTTP face of a gateway: what callers, and the gateways of
// other failure domains, may ask, and the bounds that hold for them.
//
// Guarantees: a request is passed on only when it was read as a whole, its caller
// is known and its resource is declared; every refusal has the same JSON form.
package api

import (
	"context"
	"errors"
	"net/http"
	"regexp"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/relay"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

// Bounds of what a client of the API may use.
const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 30 * time.Second
	// idleTimeout ends connections without requests.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the header of a request in bytes. Up to maxRead it is read
	// and refused; of more, the connection is closed with a plain status 431.
	maxHeader = 32 << 10
	maxRead   = 128 << 10
	// bodyMemory bounds the bodies of all requests in hand, in bytes.
	bodyMemory = 256 << 20
)

// Dispatcher serves accepted requests.
type Dispatcher interface {
	Serve(ctx context.Context, request *dispatch.Request, sink *relay.Sink)
}

// Quota bounds callers. *quota.Gate implements it.
type Quota interface {
	// Admit lets in a request of about the given tokens; Done must be called on
	// the pass, which may be nil.
	Admit(caller *config.Caller, tokens int) (*quota.Pass, *outcome.Refusal)
}

// Source is what the API knows of the gateway that it belongs to.
type Source interface {
	// Configuration is what is in force; nil when there is none.
	Configuration() *Configuration
	// Instances lists where the caller may send requests, best first, and the
	// beginning of idempotency keys.
	Instances(caller *config.Caller) Instances
	// Ready says whether and how the gateway serves.
	Ready() Readiness
	// NewRequestID returns a fresh ID.
	NewRequestID() string
	// Roll returns a random number.
	Roll() uint64
	// Leaving is true when no new requests are taken.
	Leaving() bool
}

// Server answers callers and other gateways.
type Server struct {
	source     Source
	dispatcher Dispatcher
	quota      Quota
	metrics    *dispatch.Metrics
	registry   metrics.Registry
	maxBody    int64
	memory     *semaphore.Weighted
	now        func() time.Time
	// Domain is told to callers as the place where a refusal was made.
	domain string
}

// Configuration is one accepted configuration, compiled for lookups.
type Configuration struct {
	*config.Index
	Revision config.Revision
}

// Options are the parts of a Server.
type Options struct {
	Source     Source
	Dispatcher Dispatcher
	Quota      Quota
	Metrics    *dispatch.Metrics
	Registry   metrics.Registry
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
	Now     func() time.Time
	Domain  string
}

// NewServer returns a server with the given parts.
func NewServer(options Options) *Server {
	return &Server{
		source:     options.Source,
		dispatcher: options.Dispatcher,
		quota:      options.Quota,
		metrics:    options.Metrics,
		registry:   options.Registry,
		maxBody:    options.MaxBody,
		memory:     semaphore.NewWeighted(bodyMemory),
		now:        options.Now,
		domain:     options.Domain,
	}
}

// Callers returns the HTTP server for callers.
func (s *Server) Callers() *http.Server {
	router := s.router()
	router.GET(relay.HealthPath, healthy)
	router.GET("/readyz", s.ready)
	router.GET("/metrics", echo.WrapHandler(telemetry.Handler(s.registry)))
	router.GET("/v1/instances", s.instances)
	router.POST(engineapi.PathChat, s.accept(s.callersDoor(), s.chat))
	router.Any("/*", s.accept(s.callersDoor(), s.service))
	return bounded(router)
}

// Peers returns the HTTP server for the gateways of other failure domains.
func (s *Server) Peers() *http.Server {
	router := s.router()
	router.GET(relay.HealthPath, healthy)
	router.POST(engineapi.PathChat, s.accept(s.peersDoor(), s.chat))
	router.Any("/*", s.accept(s.peersDoor(), s.service))
	return bounded(router)
}

func healthy(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (s *Server) router() *echo.Echo {
	router := echo.New()
	router.HTTPErrorHandler = s.handleError
	router.Use(s.boundHeader)
	return router
}

func bounded(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      relay.WriteTimeout, // moved on while an answer is passed on
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxRead,
	}
}

// step adds to a request what one part of the HTTP request says.
type step func(c echo.Context, index *Configuration, request *dispatch.Request) *outcome.Refusal

// door is what tells callers' requests from those of other gateways.
type door struct {
	ids      *regexp.Regexp
	identify step
}

func (s *Server) callersDoor() door { return door{ids: callerIDPattern, identify: s.fromCaller} }

func (s *Server) peersDoor() door { return door{ids: peerIDPattern, identify: s.fromPeer} }

// accept reads a request and dispatches it.
func (s *Server) accept(from door, describe step) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.metrics.Active.Inc(1)
		defer s.metrics.Active.Dec(1)
		request := &dispatch.Request{Method: c.Request().Method, URI: c.Request().URL.RequestURI(), SplitRandom: s.source.Roll()}
		index, refusal := s.open(c, request, from)
		if refusal != nil {
			return s.refuse(c, request, refusal)
		}
		release, refusal := s.readBody(c, request)
		if refusal != nil {
			return s.refuse(c, request, refusal)
		}
		defer release()
		if refusal := describe(c, index, request); refusal != nil {
			return s.refuse(c, request, refusal)
		}
		pass, refusal := s.admit(request)
		if refusal != nil {
			return s.refuse(c, request, refusal)
		}
		sink := relay.NewSink(c.Response().Writer, s.now) // echo takes an interim response for the final one
		defer settle(pass, request, sink)
		if request.Origin != "" {
			defer sink.KeepAlive()()
		}
		s.dispatcher.Serve(c.Request().Context(), request, sink)
		return nil
	}
}

// open checks all that can be checked before the body is read.
func (s *Server) open(c echo.Context, request *dispatch.Request, from door) (*Configuration, *outcome.Refusal) {
	if refusal := s.identifyRequest(c, request, from.ids); refusal != nil {
		return nil, refusal
	}
	if s.source.Leaving() {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonDraining, leavingRetry, "this instance is leaving: use another one")
	}
	index := s.source.Configuration()
	if index == nil {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, configurationRetry, "this instance has no configuration yet")
	}
	if refusal := from.identify(c, index, request); refusal != nil {
		return nil, refusal
	}
	if refusal := s.readHeader(c, request); refusal != nil {
		return nil, refusal
	}
	return index, nil
}

// Waiting times that refusals suggest.
const (
	leavingRetry       = 100 * time.Millisecond
	configurationRetry = time.Second
	memoryRetry        = time.Second
)

// refuse answers with a refusal before the request was dispatched.
func (s *Server) refuse(c echo.Context, request *dispatch.Request, refusal *outcome.Refusal) error {
	refusal.RequestID = request.CallerID
	if repeats(c, request) && refusal.RetryAfter > 0 {
		refusal.Outcome = outcome.Unknown
	}
	s.metrics.Refuse(refusal.Reason)
	if c.Request().ContentLength != 0 && request.Body == nil {
		// The rest of the body is not waited for.
		c.Response().Header().Set("Connection", "close")
	}
	c.Response().Header().Set(header.Domain, s.domain)
	relay.NewSink(c.Response(), s.now).Refuse(refusal)
	return nil
}

// repeats says whether the request may be the repeat of one that ran: then a
// passing cause, met before its key was asked for, does not mean that it did not.
func repeats(c echo.Context, request *dispatch.Request) bool {
	return request.Origin == "" && c.Request().Header.Get(header.IdempotencyKey) != ""
}

// handleError gives the errors of the HTTP router the form of refusals.
func (s *Server) handleError(err error, c echo.Context) {
	refusal := outcome.Refuse(http.StatusInternalServerError, outcome.ReasonInternal, 0, "the request could not be handled")
	var known *echo.HTTPError
	if errors.As(err, &known) {
		refusal = outcome.Refuse(known.Code, outcome.ReasonUnknownRoute, 0, http.StatusText(known.Code))
	}
	if !c.Response().Committed {
		_ = s.refuse(c, &dispatch.Request{CallerID: s.source.NewRequestID()}, refusal)
	}
}
