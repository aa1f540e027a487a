package api

import (
	"errors"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/ingress"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/trace"
)

// Accepted request IDs. Other gateways forward the scoped form of IDs that callers
// chose.
var (
	callerIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,100}$`)
	peerIDPattern   = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,100}(` + trace.ScopeSeparator + `[A-Za-z0-9._:-]{1,100}){0,2}$`)
)

// identifyRequest uses the request ID of the header, or generates one, and sets it on
// the response.
func (s *Server) identifyRequest(c echo.Context, request *dispatch.Request, pattern *regexp.Regexp) *outcome.Refusal {
	given := c.Request().Header.Get(header.RequestID)
	valid := pattern.MatchString(given)
	request.ID = given
	if !valid {
		request.ID = s.source.NewRequestID()
	}
	request.CallerID = request.ID
	c.Response().Header().Set(header.RequestID, request.ID)
	if given != "" && !valid {
		return badRequest("the request ID must be 1 to 100 letters, digits or . _ : -")
	}
	return nil
}

func badRequest(detail string) *outcome.Refusal {
	return outcome.Refuse(http.StatusBadRequest, outcome.ReasonBadRequest, 0, detail)
}

// identifyCaller authenticates a caller by its key.
func (s *Server) identifyCaller(c echo.Context, index *Configuration, request *dispatch.Request) *outcome.Refusal {
	caller, refusal := authenticate(c, index)
	if refusal != nil {
		return refusal
	}
	request.Caller = caller
	if c.Request().Header.Get(header.RequestID) != "" {
		request.ID = trace.ScopedID(caller.Name, request.ID, request.SplitRandom)
	}
	return nil
}

func authenticate(c echo.Context, index *Configuration) (*config.Caller, *outcome.Refusal) {
	scheme, key, _ := strings.Cut(c.Request().Header.Get(header.Authorization), " ")
	if strings.EqualFold(scheme, "Bearer") {
		if caller, ok := index.CallerByKey(strings.TrimSpace(key)); ok {
			return caller, nil
		}
	}
	return nil, outcome.Refuse(http.StatusUnauthorized, outcome.ReasonUnauthenticated, 0, "the key is missing or not known")
}

// identifyPeer reads the headers that another domain's gateway sets, and refuses a
// request that was routed by a newer configuration than this gateway has.
func (s *Server) identifyPeer(c echo.Context, index *Configuration, request *dispatch.Request) *outcome.Refusal {
	fields := c.Request().Header
	request.Origin = fields.Get(header.Origin)
	if fields.Get(header.Class) != header.ClassDomain || request.Origin == "" || request.Origin == s.domain {
		return outcome.Refuse(http.StatusLoopDetected, outcome.ReasonLoop, 0, "a forwarded request must come from another failure domain with class domain")
	}
	revision, err := strconv.ParseUint(fields.Get(header.Revision), 10, 64)
	if err != nil {
		return badRequest("the revision header is not a number")
	}
	request.Revision = config.Revision(revision)
	if request.Revision > index.Revision {
		return outcome.Refuse(http.StatusConflict, outcome.ReasonStaleRevision, configurationRetry, "this domain has an older configuration than the sender")
	}
	caller, ok := index.Caller(fields.Get(header.Caller))
	if !ok {
		return outcome.Refuse(http.StatusForbidden, outcome.ReasonUnauthenticated, 0, "the caller is not declared here")
	}
	request.Caller = caller
	request.Version = fields.Get(header.Version)
	return readOffset(fields, request)
}

// readOffset reads the number of chunks that the sender already has.
func readOffset(fields http.Header, request *dispatch.Request) *outcome.Refusal {
	text := fields.Get(header.ResumeOffset)
	if text == "" {
		return nil
	}
	offset, err := strconv.Atoi(text)
	if err != nil || offset < 0 {
		return badRequest("the resume offset is not a count")
	}
	request.Offset = offset
	return nil
}

const priorityExpected = "the priority must be low, normal or high"

// maxDeadline bounds the deadline of a caller, so that adding it cannot overflow.
const maxDeadline = 24 * time.Hour

// readHeader reads the headers that both callers and gateways may set.
func (s *Server) readHeader(c echo.Context, request *dispatch.Request) *outcome.Refusal {
	fields := c.Request().Header
	request.Header = make(http.Header, len(fields))
	header.CopyEndToEnd(request.Header, fields)
	request.Header.Set(header.Caller, request.Caller.Name)
	request.IdempotencyKey = fields.Get(header.IdempotencyKey)
	priority, ok := parsePriority(fields.Get(header.Priority))
	if !ok {
		return badRequest(priorityExpected)
	}
	request.Priority = priority
	text := fields.Get(header.Deadline)
	if text == "" {
		return nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 0 {
		return badRequest("the deadline must be milliseconds from now")
	}
	remaining := min(time.Duration(min(milliseconds, maxDeadline.Milliseconds()))*time.Millisecond, maxDeadline)
	request.Deadline = s.now().Add(remaining)
	return nil
}

// readBody reads the whole body within the limits. It counts as held by the client until its Release.
func (s *Server) readBody(c echo.Context) (*ingress.Body, *outcome.Refusal) {
	body, err := s.guard.ReadBody(c.Response(), c.Request(), s.maxBody, s.now().Add(bodyTimeout))
	var sizeError *ingress.TooLargeError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &sizeError):
		return nil, tooLarge()
	case errors.Is(err, ingress.ErrMemory):
		return nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonClientMemory, memoryRetry, "too many request bodies are in hand")
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, ingress.ErrStalled):
		return nil, outcome.Refuse(http.StatusRequestTimeout, outcome.ReasonSlowCaller, 0, "the request's body came too slowly")
	default:
		return nil, badRequest("the request's body broke off")
	}
}

// limitHeader refuses requests with too large a header.
func (s *Server) limitHeader(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if len(c.Request().RequestURI)+header.Size(c.Request().Header) <= maxHeader {
			return next(c)
		}
		request := &dispatch.Request{CallerID: s.source.NewRequestID()}
		c.Response().Header().Set(header.RequestID, request.CallerID)
		return s.refuse(c, request, outcome.Refuse(http.StatusRequestHeaderFieldsTooLarge, outcome.ReasonTooLarge, 0, "the request's header is too large"))
	}
}

func tooLarge() *outcome.Refusal {
	return outcome.Refuse(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, 0, "the request's body is too large")
}
