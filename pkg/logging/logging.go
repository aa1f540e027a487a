// Package logging writes one line of key=value pairs for each event.
//
// Use it as log.Info().Str("request", id).Msg("request-complete"): the message
// is the event's name, a constant in lower case with hyphens.
package logging

import (
	"fmt"
	"io"
	"log"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// LevelError reports an unknown log level.
type LevelError struct {
	// Level is the requested level.
	Level string
}

// Error implements error.
func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q: expected debug, info, warn or error", e.Level)
}

// codeLocationField replaces zerolog's field name for code locations. Its default, "caller", is the
// key of the sender of a request here, and the console writer would format that as a location.
const codeLocationField = "code_place"

func init() { zerolog.CallerFieldName = codeLocationField }

// New returns a logger that writes key=value lines to w. An empty level means info.
func New(w io.Writer, program, instance, level string) (zerolog.Logger, error) {
	if level == "" {
		level = zerolog.LevelInfoValue
	}
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), &LevelError{Level: level}
	}
	console := zerolog.ConsoleWriter{
		Out:             zerolog.SyncWriter(w),
		NoColor:         true,
		FormatTimestamp: func(value any) string { return fmt.Sprintf("time=%s", value) },
		FormatLevel:     func(value any) string { return fmt.Sprintf("level=%s", value) },
		FormatMessage:   func(value any) string { return fmt.Sprintf("event=%s", value) },
	}
	logger := zerolog.New(console).Level(parsed).With().
		Str("program", program).
		Str("instance", instance).
		Logger().
		Hook(timestamp{})
	return logger, nil
}

// SetLevel sets the minimum level of all loggers of the process, in addition to the level of
// each logger. An empty level means info.
func SetLevel(level string) error {
	if level == "" {
		level = zerolog.LevelInfoValue
	}
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return &LevelError{Level: level}
	}
	zerolog.SetGlobalLevel(parsed)
	return nil
}

// timestamp is a hook that adds the time to each event, in UTC with milliseconds.
type timestamp struct{}

// TimeLayout is the layout of times in lines, RFC 3339 with milliseconds.
const TimeLayout = "2006-01-02T15:04:05.000Z07:00"

// Run implements zerolog.Hook.
func (timestamp) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(TimeLayout))
}

// ServerErrors returns a logger for the ErrorLog of net/http's server. Each error is a debug
// event, since unauthenticated clients can cause any number of them.
func ServerErrors(to zerolog.Logger) *log.Logger { return log.New(serverErrors{to}, "", 0) }

type serverErrors struct{ to zerolog.Logger }

// Write implements io.Writer.
func (s serverErrors) Write(line []byte) (int, error) {
	s.to.Debug().Str("detail", strings.TrimSpace(string(line))).Msg("http-server-error")
	return len(line), nil
}
