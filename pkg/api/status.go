package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Instances is what a caller learns of where to send requests.
type Instances struct {
	// Instances is in the order in which a caller should try them.
	Instances []platform.DirectoryEntry `json:"instances"`
	// ValidMS is how long the answer holds, in milliseconds.
	ValidMS int64 `json:"valid_ms"`
	// KeyPrefix begins idempotency keys: append "." and at least 16 random
	// hexadecimal characters. Empty when this instance gives out none.
	KeyPrefix string `json:"key_prefix,omitempty"`
}

// State says in one word how a gateway serves.
type State string

// States of a gateway.
const (
	StateServing         State = "serving"
	StateIsolated        State = "isolated"
	StateNoConfiguration State = "no-configuration"
	StateLeaving         State = "leaving"
)

// Readiness is the answer of the readiness page.
type Readiness struct {
	State    State           `json:"state"`
	Revision config.Revision `json:"revision"`
	// Platform is whether the domain sees the platform's key-value service.
	Platform bool `json:"platform"`
	// Silent names the failure domains that have not been heard of lately.
	Silent []string `json:"silent"`
}

// ready answers 200 while requests are served, isolated or not.
func (s *Server) ready(c echo.Context) error {
	readiness := s.source.Ready()
	status := http.StatusOK
	if readiness.State == StateNoConfiguration || readiness.State == StateLeaving {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, readiness)
}

// instances tells a caller which instances to use.
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
