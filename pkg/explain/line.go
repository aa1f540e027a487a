// Package explain reads the logs of several instances and reconstructs the path of one
// request through them, in order of time, with the causes of its outcome.
//
// It works with incomplete logs: truncated and missing lines are reported, and lines may come
// in any order.
package explain

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/lilacweir/lilacweir/pkg/event"
)

// Line is one line of an instance's log.
type Line struct {
	// Time is the time of the event by the instance's clock.
	Time     time.Time
	Instance string
	Event    event.Name
	values   []value
}

type value struct{ key, text string }

// IncompleteLineError reports a log line that cannot be parsed, for instance a truncated one.
type IncompleteLineError struct {
	// Request is the request ID on the line, or empty if there is none or it cannot be read.
	Request string
	Err     error
}

// Error implements error.
func (e *IncompleteLineError) Error() string { return fmt.Sprintf("incomplete log line: %v", e.Err) }

// Unwrap returns the cause.
func (e *IncompleteLineError) Unwrap() error { return e.Err }

// Causes of an IncompleteLineError.
var (
	errNoTime     = errors.New("time is missing")
	errNoEvent    = errors.New("event is missing")
	errNoInstance = errors.New("instance is missing")
)

// linePrefix is the start of a line. A prefix that a log collector added is skipped.
const linePrefix = event.KeyTime + "="

// Parse parses a line. The error is an *IncompleteLineError.
func Parse(text string) (*Line, error) {
	line := &Line{}
	at := strings.Index(text, linePrefix)
	if at < 0 {
		return nil, &IncompleteLineError{Err: errNoTime}
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text[at:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.values = append(line.values, value{string(decoder.Key()), string(decoder.Value())})
		}
	}
	err := decoder.Err()
	if err == nil {
		err = line.setFields()
	}
	if err != nil {
		return nil, &IncompleteLineError{Request: line.Get(event.KeyRequest), Err: err}
	}
	return line, nil
}

// setFields sets the fields that every line has.
func (l *Line) setFields() error {
	l.Event = event.Name(l.Get(event.KeyEvent))
	l.Instance = l.Get(event.KeyInstance)
	switch {
	case l.Event == "":
		return errNoEvent
	case l.Instance == "":
		return errNoInstance
	}
	timestamp := l.Get(event.KeyAt)
	if timestamp == "" {
		timestamp = l.Get(event.KeyTime)
	}
	var err error
	l.Time, err = time.Parse(time.RFC3339Nano, timestamp)
	return err
}

// Get returns the value of a key, or an empty string if there is none.
func (l *Line) Get(key string) string {
	for i := range l.values {
		if l.values[i].key == key {
			return l.values[i].text
		}
	}
	return ""
}

// Int returns the value of a key truncated to an integer, or zero if it is not a number.
func (l *Line) Int(key string) int {
	number, err := strconv.ParseFloat(l.Get(key), 64)
	if err != nil {
		return 0
	}
	return int(number)
}

// Is reports whether the value of a key is "true".
func (l *Line) Is(key string) bool { return l.Get(key) == "true" }
