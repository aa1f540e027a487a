// Package service is a stand-in for a plain HTTP service. It accepts every call, and
// records each call that runs in the journal before it sends any of the answer.
package service

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/standin/fault"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// Settings configures a service.
type Settings struct {
	Name    string `yaml:"name" validate:"required,name"`
	Domain  string `yaml:"domain" validate:"required,name"`
	Address string `yaml:"address" validate:"required,hostport"`
	// Serves is the service's name in the declaration.
	Serves string `yaml:"serves" validate:"required,name"`
	// Concurrency is the number of calls that run at once; the others wait.
	Concurrency int `yaml:"concurrency" validate:"gte=1"`
	// Latency is the duration of a call.
	Latency time.Duration `yaml:"latency" validate:"gte=0"`
}

const (
	// maxBody bounds a call's body, in bytes.
	maxBody = 32 << 20
	// maxExport bounds the answer size that a caller may request, in bytes.
	maxExport = 64 << 20
	// exportLine is the line that an export repeats.
	exportLine = "22:47 asleep, 06:12 awake, 3 wakings\n"
)

// Fault injection verbs of a service.
const (
	// verbOK clears all faults.
	verbOK = "ok"
	// verbSlow sets the latency in milliseconds.
	verbSlow = "slow"
	// verbFail runs the next N calls and answers 500.
	verbFail = "fail"
	// verbRefuse rejects the next N calls with 503 and the not-started header.
	verbRefuse = "refuse"
	// verbDie runs the next N calls and drops the connection.
	verbDie = "die"
	// verbStall runs the next N calls and never answers.
	verbStall = "stall"
	// verbLeave announces that the service is leaving and rejects new calls.
	verbLeave = "leave"
)

// Service is a stand-in plain service.
type Service struct {
	settings Settings
	clock    clock.Clock
	journal  *journal.Journal
	slots    chan struct{}

	mu     sync.Mutex
	faults faults
	runs   int
}

type faults struct {
	latency                         time.Duration
	fail, refuse, disconnect, stall int
	leave                           bool
}

// Answer is the response body of a call.
type Answer struct {
	Service   string `json:"service"`
	Upstream  string `json:"upstream"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Bytes is the length of the call's body, Run its sequence number at this upstream.
	Bytes int64 `json:"bytes"`
	Run   int   `json:"run"`
}

// New returns a service that records the calls that it runs in the journal.
func New(settings Settings, c clock.Clock, j *journal.Journal) *Service {
	return &Service{
		settings: settings, clock: c, journal: j,
		slots:  make(chan struct{}, settings.Concurrency),
		faults: faults{latency: settings.Latency},
	}
}

// Set applies the fault that verb names, with its argument if it has one.
func (s *Service) Set(verb, argument string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch verb {
	case verbOK:
		s.faults = faults{latency: s.settings.Latency}
		return nil
	case verbLeave:
		s.faults.leave = true
		return nil
	case verbSlow:
		millis := 0
		if err := fault.SetCount(&millis, argument); err != nil {
			return err
		}
		s.faults.latency = time.Duration(millis) * time.Millisecond
		return nil
	}
	target := map[string]*int{
		verbFail: &s.faults.fail, verbRefuse: &s.faults.refuse, verbDie: &s.faults.disconnect, verbStall: &s.faults.stall,
	}[verb]
	if target == nil {
		return &fault.VerbError{Verb: verb}
	}
	return fault.SetCount(target, argument)
}

// PathHealth is the health check. It is not journaled and consumes no fault.
const PathHealth = "/healthz"

// Handler serves every path.
func (s *Service) Handler() http.Handler {
	e := echo.New()
	e.GET(PathHealth, s.health)
	e.Any("/*", s.handle)
	return e
}

// consume decrements a fault counter and reports whether it was above zero.
func (s *Service) consume(counter *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}

func (s *Service) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.leave
}

func (s *Service) health(c echo.Context) error {
	if s.leaving() {
		c.Response().Header().Set(header.Leaving, header.True)
		return rejectNotStarted(c)
	}
	return c.NoContent(http.StatusOK)
}

func (s *Service) handle(c echo.Context) error {
	responseHeader := c.Response().Header()
	responseHeader.Set(header.RequestID, c.Request().Header.Get(header.RequestID))
	leaving := s.leaving()
	if leaving {
		responseHeader.Set(header.Leaving, header.True)
	}
	if leaving || s.consume(&s.faults.refuse) {
		return rejectNotStarted(c)
	}
	read, err := io.Copy(io.Discard, io.LimitReader(c.Request().Body, maxBody+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if read > maxBody {
		return c.JSON(http.StatusRequestEntityTooLarge, engineapi.ErrorAnswer{Error: "body too large"})
	}
	ctx := c.Request().Context()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return rejectNotStarted(c)
	}
	defer func() { <-s.slots }()
	return s.run(ctx, c, read)
}

func rejectNotStarted(c echo.Context) error {
	c.Response().Header().Set(header.NotStarted, header.True)
	c.Response().Header().Set(header.RetryAfter, "1")
	return c.JSON(http.StatusServiceUnavailable, engineapi.ErrorAnswer{Error: "not started"})
}

// run performs the call. Its effect is the journal entry, which remains even if the
// caller disconnects.
func (s *Service) run(ctx context.Context, c echo.Context, bytes int64) error {
	request := c.Request()
	number := s.journal.Add(journal.Entry{
		Upstream: s.settings.Name, Domain: s.settings.Domain, Kind: journal.KindCall,
		RequestID: request.Header.Get(header.RequestID), Caller: request.Header.Get(header.Caller),
		Method: request.Method, Path: request.URL.Path,
		IdempotencyKey: request.Header.Get(header.IdempotencyKey),
		Started:        s.clock.Now(), Result: journal.ResultRunning,
	})
	s.mu.Lock()
	s.runs++
	run, latency := s.runs, s.faults.latency
	s.mu.Unlock()
	sleep(ctx, latency)
	s.journal.Update(number, func(entry *journal.Entry) {
		entry.Finished, entry.Result = s.clock.Now(), journal.ResultFinished
	})
	switch {
	case s.consume(&s.faults.disconnect):
		panic(http.ErrAbortHandler)
	case s.consume(&s.faults.stall):
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case s.consume(&s.faults.fail):
		return c.JSON(http.StatusInternalServerError, engineapi.ErrorAnswer{Error: "failed on purpose"})
	}
	return s.respond(c, bytes, run)
}

// respond sends the call's answer, or an export of the requested number of bytes.
func (s *Service) respond(c echo.Context, bytes int64, run int) error {
	request := c.Request()
	if size, err := strconv.Atoi(c.QueryParam("bytes")); err == nil && size > 0 {
		size = min(size, maxExport)
		body := strings.NewReader(strings.Repeat(exportLine, size/len(exportLine)+1)[:size])
		return c.Stream(http.StatusOK, "text/plain", body)
	}
	return c.JSON(http.StatusOK, Answer{
		Service: s.settings.Serves, Upstream: s.settings.Name,
		RequestID: request.Header.Get(header.RequestID),
		Method:    request.Method, Path: request.URL.Path, Bytes: bytes, Run: run,
	})
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
