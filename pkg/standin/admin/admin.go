// Package admin serves the fault injection commands and journals of the stand-ins
// over HTTP, and holds a client for them.
package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/standin/fleet"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
	"github.com/lilacweir/lilacweir/pkg/standin/kv"
	"github.com/lilacweir/lilacweir/pkg/standin/link"
)

// Paths of the API.
const (
	// PathCommand accepts a Command by POST and returns JSON lines.
	PathCommand = "/v1/command"
	// PathJournal returns the journal by GET, as JSON lines; ?upstream= filters it.
	PathJournal = "/journal"
	// PathProcessed returns the counts by failure domain and caller by GET.
	PathProcessed = "/processed"
	// PathHealth returns 204 by GET.
	PathHealth = "/healthz"
)

// Command injects a fault or reads a journal.
type Command struct {
	Verb string   `json:"verb"`
	Args []string `json:"args"`
}

// Failure is the response body of a rejected command.
type Failure struct {
	Error string `json:"error"`
}

// ErrNotInProcess is returned for a stand-in that the process does not run.
var ErrNotInProcess = errors.New("not run by this process")

// UsageError reports a command with wrong arguments.
type UsageError struct {
	// Usage is the syntax of the command.
	Usage string
}

// Error implements error.
func (e *UsageError) Error() string { return "usage: " + e.Usage }

// FaultInjector is an upstream that supports fault injection.
type FaultInjector interface {
	// Set applies the fault that verb names; argument is empty if the fault has none.
	Set(verb, argument string) error
}

// Controls holds the stand-ins of this process; those that it does not run are
// nil.
type Controls struct {
	Journal   *journal.Journal
	KeyValue  *kv.Service
	List      *fleet.List
	Network   *link.Network
	Upstreams map[string]FaultInjector
}

// New returns a Controls without any stand-in.
func New(j *journal.Journal) *Controls {
	return &Controls{Journal: j, Upstreams: make(map[string]FaultInjector)}
}

// Handler serves the API.
func (c *Controls) Handler() http.Handler {
	e := echo.New()
	e.POST(PathCommand, c.handleCommand)
	e.GET(PathJournal, func(x echo.Context) error { return writeLines(x, c.entries(x.QueryParam("upstream"))) })
	e.GET(PathProcessed, func(x echo.Context) error { return writeLines(x, c.processed()) })
	e.GET(PathHealth, func(x echo.Context) error { return x.NoContent(http.StatusNoContent) })
	return e
}

func (c *Controls) handleCommand(x echo.Context) error {
	var command Command
	if err := x.Bind(&command); err != nil {
		return x.JSON(http.StatusBadRequest, Failure{Error: "expected verb and args"})
	}
	answer, err := c.Do(command)
	if err != nil {
		return x.JSON(http.StatusBadRequest, Failure{Error: err.Error()})
	}
	return writeLines(x, answer)
}

// writeLines writes one JSON value per line.
func writeLines(x echo.Context, values []any) error {
	x.Response().Header().Set(header.ContentType, "application/x-ndjson")
	x.Response().WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(x.Response())
	for _, value := range values {
		if err := encoder.Encode(value); err != nil {
			return fmt.Errorf("answer: %w", err)
		}
	}
	return nil
}

func (c *Controls) entries(upstream string) []any { return toAny(c.Journal.Entries(upstream)) }

func (c *Controls) processed() []any { return toAny(c.Journal.Counts()) }

func toAny[T any](values []T) []any {
	converted := make([]any, 0, len(values))
	for _, value := range values {
		converted = append(converted, value)
	}
	return converted
}
