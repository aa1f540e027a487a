package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// service decodes a call of a plain service.
func (s *Server) service(c echo.Context, index *Configuration, request *dispatch.Request) *outcome.Refusal {
	service, route := index.Match(request.Method, c.Request().URL.Path)
	if route == nil {
		return outcome.Refuse(http.StatusNotFound, outcome.ReasonUnknownRoute, 0, "no declared service has this method and path")
	}
	request.Serves = service.Name
	request.Kind = config.KindService
	request.Repeatable = route.Repeatable
	return nil
}
