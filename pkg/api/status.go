package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Instances lists the instances that a caller may send requests to.
type Instances struct {
	// Instances is in the order in which a caller should try them.
	Instances []platform.DirectoryEntry `json:"instances"`
	// ValidMS is the validity of the list, in milliseconds.
	ValidMS int64 `json:"valid_ms"`
	// KeyPrefix is the prefix of idempotency keys, to which "." and at least 16 random
	// hexadecimal characters are appended. It is empty if this instance issues none.
	KeyPrefix string `json:"key_prefix,omitempty"`
}

// State is the serving state of a gateway.
type State string

// States of a gateway.
const (
	StateServing         State = "serving"
	StateIsolated        State = "isolated"
	StateNoConfiguration State = "no-configuration"
	StateLeaving         State = "leaving"
)

// Readiness is the response of the readiness endpoint.
type Readiness struct {
	State    State           `json:"state"`
	Revision config.Revision `json:"revision"`
	// Platform is whether the domain reaches the platform's key-value service.
	Platform bool `json:"platform"`
	// Silent names the failure domains without a recent report.
	Silent []string `json:"silent"`
}

// ready responds with status 200 while requests are served, isolated or not.
func (s *Server) ready(c echo.Context) error {
	readiness := s.source.Ready()
	status := http.StatusOK
	if readiness.State == StateNoConfiguration || readiness.State == StateLeaving {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, readiness)
}

// instances sends a caller the list of instances to use.
func (s *Server) instances(c echo.Context) error {
	request := &dispatch.Request{CallerID: s.source.NewRequestID()}
	index := s.source.Configuration()
	if index == nil {
		return s.refuse(c, request, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, configurationRetry, "this instance has no configuration yet"))
	}
	caller, refusal := authenticate(c, index)
	if refusal != nil {
		return s.refuse(c, request, refusal)
	}
	return c.JSON(http.StatusOK, s.source.Instances(caller))
}
