package agent

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"go.yaml.in/yaml/v3"

	"github.com/lilacweir/lilacweir/pkg/command"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/ingress"
)

// Bounds of operators' request bodies, in bytes.
const (
	maxLine        = 4 << 10
	maxDeclaration = 8 << 20
)

const bearer = "Bearer "

// serveCommand handles POST /v1/command. The query may carry the change's identity
// as "id" and the revision that the operator saw as "seen"; "again=1" marks a
// repetition with the same id.
func (a *Agent) serveCommand(c echo.Context) error {
	body, err := a.readBody(c, maxLine)
	if err != nil {
		return rejectBody(c, err, "the line is too long")
	}
	defer body.Release()
	operator, ok := a.operator(c, nil)
	if !ok {
		return reject(c, http.StatusUnauthorized, a.unauthenticated())
	}
	seen, err := revisionOf(c.QueryParam("seen"))
	if err != nil {
		return reject(c, http.StatusBadRequest, "seen: expected a revision number")
	}
	reply := a.executor.ExecuteRequest(c.Request().Context(), command.Request{
		Operator: operator, Line: strings.TrimSpace(string(body.Bytes)), ID: c.QueryParam("id"), Seen: seen,
		Repeated: c.QueryParam("again") == "1",
	})
	c.Response().Header().Set(header.Revision, strconv.FormatUint(uint64(a.keeper.Revision()), 10))
	a.Log.Info().Str("operator", operator).Str("verdict", string(reply.Verdict)).Msg("command")
	return answer(c, reply)
}

// serveApply handles POST /v1/apply: the body is the declaration's YAML. Once a
// configuration is in force, the body of an unauthenticated request is not read.
func (a *Agent) serveApply(c echo.Context) error {
	if _, ok := a.operator(c, nil); !ok && a.board.Config.Load() != nil {
		ingress.EndEarly(c.Response(), c.Request())
		return reject(c, http.StatusUnauthorized, a.unauthenticated())
	}
	body, err := a.readBody(c, maxDeclaration)
	if err != nil {
		return rejectBody(c, err, "the declaration is too large")
	}
	defer body.Release()
	operator, ok := a.operator(c, body.Bytes)
	if !ok {
		return reject(c, http.StatusUnauthorized, a.unauthenticated())
	}
	seen, err := revisionOf(c.QueryParam("seen"))
	if err != nil {
		return reject(c, http.StatusBadRequest, "seen: expected a revision number")
	}
	difference := a.executor.Apply(c.Request().Context(), command.ApplyRequest{
		Operator: operator, File: fileName(c.QueryParam("file")), Data: body.Bytes, Seen: seen,
		First: c.QueryParam("seen") == "0",
		ID:    c.QueryParam("id"), DryRun: c.QueryParam("dry") == "1", Force: c.QueryParam("force") == "1",
	})
	c.Response().Header().Set(header.Revision, strconv.FormatUint(uint64(difference.Revision), 10))
	a.Log.Info().Str("operator", operator).Str("verdict", string(difference.Verdict)).Msg("apply")
	return answer(c, difference.Reply)
}

// serveDeclaration handles GET /v1/declaration: it returns the declaration in force
// here.
func (a *Agent) serveDeclaration(c echo.Context) error {
	if _, ok := a.operator(c, nil); !ok {
		return reject(c, http.StatusUnauthorized, a.unauthenticated())
	}
	head := a.keeper.Head()
	if head == nil {
		return reject(c, http.StatusServiceUnavailable, "no configuration here")
	}
	data, err := yaml.Marshal(head.Declaration)
	if err != nil {
		return err
	}
	c.Response().Header().Set(header.Revision, strconv.FormatUint(uint64(head.Revision), 10))
	return c.Blob(http.StatusOK, "application/yaml", data)
}

// operator returns the operator's name if the key is right by the configuration in
// force here, or by the file that is to make revision 1.
func (a *Agent) operator(c echo.Context, file []byte) (string, bool) {
	name := c.Request().Header.Get(header.Operator)
	key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), bearer)
	if !ok || name == "" {
		return "", false
	}
	return name, a.executor.VerifyKey(name, key, file)
}

// unauthenticated returns the message for a rejected key: without a configuration
// no key can be right.
func (a *Agent) unauthenticated() string {
	if a.keeper.Head() == nil {
		return "no configuration here, so no operator is known\nfirst: lilacweir apply FILE"
	}
	return "operator or key not known"
}

func revisionOf(text string) (config.Revision, error) {
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	return config.Revision(number), err
}

func fileName(name string) string {
	if name == "" {
		return "declaration.yaml"
	}
	return name
}

// readBody reads a body of at most limit bytes.
func (a *Agent) readBody(c echo.Context, limit int64) (*ingress.Body, error) {
	return a.guard.ReadBody(c.Response(), c.Request(), limit, time.Now().Add(requestTimeout))
}

// rejectBody answers a request with a body that was too large, too slow or
// incomplete, or for which there was no memory.
func rejectBody(c echo.Context, err error, tooLarge string) error {
	ingress.EndEarly(c.Response(), c.Request())
	var over *ingress.TooLargeError
	switch {
	case errors.As(err, &over):
		return reject(c, http.StatusRequestEntityTooLarge, tooLarge)
	case errors.Is(err, ingress.ErrMemory):
		c.Response().Header().Set(header.RetryAfter, "1")
		return reject(c, http.StatusServiceUnavailable, "too many declarations are being read")
	}
	return reject(c, http.StatusBadRequest, "the request's body broke off")
}

func reject(c echo.Context, status int, text string) error {
	c.Response().Header().Set(header.Verdict, string(command.Refused))
	return c.String(status, text+"\n")
}

func answer(c echo.Context, reply command.Reply) error {
	c.Response().Header().Set(header.Verdict, string(reply.Verdict))
	return c.String(http.StatusOK, reply.Text+"\n")
}
