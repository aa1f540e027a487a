package api

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// service describes a call of a plain service.
func (s *Server) service(c echo.Context, index *Configuration, request *dispatch.Request) *outcome.Refusal {
	path := c.Request().URL.Path
	if !plainPath(path) {
		return badRequest("the path must not hold empty, . or .. segments")
	}
	service, route := index.Match(request.Method, path)
	if route == nil {
		return outcome.Refuse(http.StatusNotFound, outcome.ReasonUnknownRoute, 0, "no declared service has this method and path")
	}
	request.Serves = service.Name
	request.Kind = config.KindService
	request.Repeatable = route.Repeatable
	return nil
}

// plainPath says whether a decoded path means the same to the gateway and to the
// service: a segment that one of them resolves could reach another route.
func plainPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\\x00") {
		return false
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		last := i == len(segments)-1
		if segment == "." || segment == ".." || (segment == "" && !last) {
			return false
		}
	}
	return true
}
