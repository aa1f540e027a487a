// Package api is the HTTP API of a gateway, for callers and for the gateways of other
// failure domains, with the limits that apply to them.
//
// Guarantees: a request is dispatched only after it was read completely, its caller is
// known and its resource is declared; every refusal has the same JSON form.
package api

import (
	"context"
	"errors"
	"net/http"
	"regexp"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/ingress"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/relay"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

// Limits of API clients.
const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 30 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the header of a request in bytes. A larger one gets a refusal
	// up to maxReadHeader; beyond, a plain status 431 and the connection is closed.
	maxHeader     = 32 << 10
	maxReadHeader = 128 << 10
)

// Dispatcher serves accepted requests.
type Dispatcher interface {
	Serve(ctx context.Context, request *dispatch.Request, sink *relay.Sink)
}

// Quota enforces the limits of callers. *quota.Gate implements it.
type Quota interface {
	// Admit admits a request of about the given tokens. Done must be called on the
	// pass, which may be nil.
	Admit(caller *config.Caller, tokens int) (*quota.Pass, *outcome.Refusal)
}

// Source is the state of the gateway that the API belongs to.
type Source interface {
	// Configuration returns the configuration in force; nil if there is none.
	Configuration() *Configuration
	// Instances returns the instances that the caller may use, best first, and the
	// prefix of idempotency keys.
	Instances(caller *config.Caller) Instances
	// Ready returns whether and in which state the gateway serves.
	Ready() Readiness
	// NewRequestID returns a new request ID.
	NewRequestID() string
	// Roll returns a random number.
	Roll() uint64
	// Leaving returns whether new requests are refused because the instance is leaving.
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
	guard      *ingress.Guard
	now        func() time.Time
	// domain is sent to callers as the failure domain that made a refusal.
	domain string
}

// Configuration is an accepted configuration, compiled for lookups.
type Configuration struct {
	*config.Index
	Revision config.Revision
}

// Options are the dependencies and settings of a Server.
type Options struct {
	Source     Source
	Dispatcher Dispatcher
	Quota      Quota
	Metrics    *dispatch.Metrics
	Registry   metrics.Registry
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
	// Guard bounds what all clients together hold.
	Guard  *ingress.Guard
	Now    func() time.Time
	Domain string
}

// NewServer returns a server with the given options.
func NewServer(options Options) *Server {
	return &Server{
		source:     options.Source,
		dispatcher: options.Dispatcher,
		quota:      options.Quota,
		metrics:    options.Metrics,
		registry:   options.Registry,
		maxBody:    options.MaxBody,
		guard:      options.Guard,
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
	router.POST(engineapi.PathChat, s.accept(s.callerEntry(), s.chat))
	router.Any("/*", s.accept(s.callerEntry(), s.service))
	return newHTTPServer(router)
}

// Peers returns the HTTP server for the gateways of other failure domains.
func (s *Server) Peers() *http.Server {
	router := s.router()
	router.GET(relay.HealthPath, healthy)
	router.POST(engineapi.PathChat, s.accept(s.peerEntry(), s.chat))
	router.Any("/*", s.accept(s.peerEntry(), s.service))
	return newHTTPServer(router)
}

func healthy(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (s *Server) router() *echo.Echo {
	router := echo.New()
	router.HTTPErrorHandler = s.handleError
	router.Use(s.limitHeader)
	return router
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      relay.WriteTimeout, // extended while a response is relayed
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxReadHeader,
	}
}

// decodeStep fills in a request from one part of the HTTP request.
type decodeStep func(c echo.Context, index *Configuration, request *dispatch.Request) *outcome.Refusal

// entryPoint holds what differs between requests of callers and those of other gateways.
type entryPoint struct {
	idPattern *regexp.Regexp
	identify  decodeStep
}

func (s *Server) callerEntry() entryPoint {
	return entryPoint{idPattern: callerIDPattern, identify: s.identifyCaller}
}

func (s *Server) peerEntry() entryPoint {
	return entryPoint{idPattern: peerIDPattern, identify: s.identifyPeer}
}

// accept reads a request and dispatches it.
func (s *Server) accept(entry entryPoint, decode decodeStep) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.metrics.Active.Inc(1)
		defer s.metrics.Active.Dec(1)
		request := &dispatch.Request{Method: c.Request().Method, URI: c.Request().URL.RequestURI(), SplitRandom: s.source.Roll()}
		index, refusal := s.checkHeader(c, request, entry)
		if refusal != nil {
			return s.refuse(c, request, refusal)
		}
		body, refusal := s.readBody(c)
		if refusal != nil {
			return s.refuse(c, request, refusal)
		}
		defer body.Release()
		request.Body = body.Bytes
		refusal = decode(c, index, request)
		// Decoding may have replaced the bytes.
		body.Bytes = request.Body
		var pass *quota.Pass
		if refusal == nil {
			pass, refusal = s.admit(request)
		}
		if refusal != nil {
			// The caller may take its time for the refusal.
			request.Body = []byte{}
			body.Release()
			return s.refuse(c, request, refusal)
		}
		sink := relay.NewSink(c.Response().Writer, s.now) // echo's writer mistakes an interim response for the final one
		defer settle(pass, request, sink)
		if request.Origin != "" {
			defer sink.KeepAlive()()
		}
		s.dispatcher.Serve(c.Request().Context(), request, sink)
		return nil
	}
}

// checkHeader performs all checks that need no body.
func (s *Server) checkHeader(c echo.Context, request *dispatch.Request, entry entryPoint) (*Configuration, *outcome.Refusal) {
	if refusal := s.identifyRequest(c, request, entry.idPattern); refusal != nil {
		return nil, refusal
	}
	if s.source.Leaving() {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonDraining, leavingRetry, "this instance is leaving: use another one")
	}
	index := s.source.Configuration()
	if index == nil {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, configurationRetry, "this instance has no configuration yet")
	}
	if refusal := entry.identify(c, index, request); refusal != nil {
		return nil, refusal
	}
	if refusal := s.readHeader(c, request); refusal != nil {
		return nil, refusal
	}
	return index, nil
}

// Retry delays that refusals suggest.
const (
	leavingRetry       = 100 * time.Millisecond
	configurationRetry = time.Second
	memoryRetry        = time.Second
)

// refuse sends a refusal of a request that was not dispatched.
func (s *Server) refuse(c echo.Context, request *dispatch.Request, refusal *outcome.Refusal) error {
	refusal.RequestID = request.CallerID
	if mayBeRetry(c, request) && refusal.RetryAfter > 0 {
		refusal.Outcome = outcome.Unknown
	}
	s.metrics.Refuse(refusal.Reason)
	if request.Body == nil {
		ingress.EndEarly(c.Response(), c.Request())
	}
	c.Response().Header().Set(header.Domain, s.domain)
	relay.NewSink(c.Response(), s.now).Refuse(refusal)
	return nil
}

// mayBeRetry returns whether the request may be a retry of one that ran. A temporary
// refusal before the lookup of its idempotency key then does not prove that it did not.
func mayBeRetry(c echo.Context, request *dispatch.Request) bool {
	return request.Origin == "" && c.Request().Header.Get(header.IdempotencyKey) != ""
}

// handleError turns errors of the HTTP router into refusals.
func (s *Server) handleError(err error, c echo.Context) {
	refusal := outcome.Refuse(http.StatusInternalServerError, outcome.ReasonInternal, 0, "the request could not be handled")
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		refusal = outcome.Refuse(httpError.Code, outcome.ReasonUnknownRoute, 0, http.StatusText(httpError.Code))
	}
	if !c.Response().Committed {
		_ = s.refuse(c, &dispatch.Request{CallerID: s.source.NewRequestID()}, refusal)
	}
}
