package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/command"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/ingress"
	"github.com/lilacweir/lilacweir/pkg/logging"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

// Bounds of the operators' HTTP server.
const (
	headerTimeout = 5 * time.Second
	// requestTimeout bounds reading a request.
	requestTimeout = 30 * time.Second
	// maxHeader bounds a request's header in bytes. A header of up to maxRead is read
	// and refused; beyond that, the server closes the connection with a plain status
	// 431.
	maxHeader = 16 << 10
	maxRead   = 128 << 10
	// writeTimeout bounds a request and its answer, which may wait until a change is in force.
	writeTimeout = requestTimeout + command.InForceBound
	// maxOperators bounds the open connections of operators and of health and metrics clients.
	maxOperators = 1024
	// operatorMemory bounds what they hold together, in bytes: one of the largest declarations.
	operatorMemory = 2 * maxDeclaration
	// maxClientMetrics bounds the labelled metrics about them.
	maxClientMetrics = 64
	// closeTimeout bounds requests in progress while stopping: the answer to a change
	// waits for command.InForceBound.
	closeTimeout = command.InForceBound + 2*time.Second
)

// serveOperators starts the operators' HTTP server.
func (a *Agent) serveOperators(ctx context.Context, group *errgroup.Group) error {
	address := a.Settings.Agent.Operators
	listener, err := a.Mesh.ListenPublic(address, a.Settings.Agent.OperatorsTLS)
	if err != nil {
		return &ListenError{Address: address, Err: err}
	}
	server := &http.Server{
		Handler:           a.operatorRoutes(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       ingress.DefaultIdleTime,
		MaxHeaderBytes:    maxRead,
		ErrorLog:          logging.ServerErrors(a.Log),
	}
	port := a.guard.Port("operators", min(maxOperators, ingress.ClientDescriptors(ingress.Descriptors())))
	port.Apply(server)
	group.Go(func() error { a.guard.Run(ctx); return nil })
	group.Go(func() error {
		err := server.Serve(port.Over(listener))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return &ListenError{Address: address, Err: err}
	})
	group.Go(func() error {
		<-ctx.Done()
		shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownContext); err != nil {
			_ = server.Close()
		}
		return nil
	})
	return nil
}

// newGuard returns the guard of the operators' server.
func newGuard(options *Options) *ingress.Guard {
	return ingress.New(ingress.Options{
		Memory: operatorMemory, Now: time.Now, Log: options.Log, Series: telemetry.NewSeries(options.Registry, maxClientMetrics),
	})
}

func (a *Agent) operatorRoutes() http.Handler {
	router := echo.New()
	router.Use(limitHeader)
	router.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", a.serveReadiness)
	router.GET("/metrics", echo.WrapHandler(telemetry.Handler(a.Registry)))
	router.POST("/v1/command", a.serveCommand)
	router.POST("/v1/apply", a.serveApply)
	router.GET("/v1/declaration", a.serveDeclaration)
	return router
}

// limitHeader refuses requests with a header above maxHeader.
func limitHeader(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if len(c.Request().RequestURI)+header.Size(c.Request().Header) <= maxHeader {
			return next(c)
		}
		return reject(c, http.StatusRequestHeaderFieldsTooLarge, "the request's header is too large")
	}
}

// Readiness is the body of /readyz.
type Readiness struct {
	// State is serving, isolated, no-configuration or leaving.
	State    string          `json:"state"`
	Revision config.Revision `json:"revision"`
	// Platform is whether the domain reaches the key-value service.
	Platform bool `json:"platform"`
	// Gateway is whether the own gateway answers.
	Gateway bool `json:"gateway"`
	// SilentDomains are the failure domains without a recent digest.
	SilentDomains []string `json:"silent_domains"`
	// SilentInstances are the instances of the own domain without a recent heartbeat.
	SilentInstances []string `json:"silent_instances"`
}

// States of readiness.
const (
	StateServing         = "serving"
	StateIsolated        = "isolated"
	StateNoConfiguration = "no-configuration"
	StateLeaving         = "leaving"
)

func (a *Agent) serveReadiness(c echo.Context) error {
	readiness := a.readiness(time.Now())
	status := http.StatusOK
	if readiness.State == StateNoConfiguration || readiness.State == StateLeaving {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, readiness)
}

func (a *Agent) readiness(now time.Time) Readiness {
	up, _ := a.gateway.state()
	r := Readiness{
		State:           StateServing,
		Revision:        a.keeper.Revision(),
		Platform:        a.board.Platform.Load().KeyValue,
		Gateway:         up,
		SilentDomains:   a.silentDomains(now),
		SilentInstances: a.silentInstances(),
	}
	switch {
	case a.mesh.state(a.Settings.Instance, now) == board.InstanceLeaving:
		r.State = StateLeaving
	case r.Revision == 0:
		r.State = StateNoConfiguration
	case !r.Platform || len(r.SilentDomains) > 0:
		r.State = StateIsolated
	}
	return r
}

func (a *Agent) silentDomains(now time.Time) []string {
	silent := []string{}
	for _, domain := range a.remoteDomains() {
		d, ok := a.mesh.digest(domain)
		if !ok || now.Sub(d.HeardAt) > board.DomainSilentAfter {
			silent = append(silent, domain)
		}
	}
	return silent
}

func (a *Agent) silentInstances() []string {
	silent := []string{}
	if members := a.board.Members.Load(); members != nil {
		for i := range members.Instances {
			if members.Instances[i].State == board.InstanceSilent {
				silent = append(silent, members.Instances[i].Name)
			}
		}
	}
	return silent
}
