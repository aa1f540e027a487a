// Package explain reads the logs of several instances and tells one request's way
// through them, in the order of time, with what led to its end.
//
// It makes do with what there is: lines that were cut off, are out of order or missing
// are told of, not guessed.
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
	// Time is when it happened, by the instance's clock.
	Time     time.Time
	Instance string
	Event    event.Name
	values   []value
}

type value struct{ key, text string }

// CutError is a line that is not whole.
type CutError struct {
	// Request is the ID of the request it is about; empty: not known, or none.
	Request string
	Err     error
}

// Error implements error.
func (e *CutError) Error() string { return fmt.Sprintf("line is not whole: %v", e.Err) }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// Why a line is not whole.
var (
	errNoTime     = errors.New("no time")
	errNoEvent    = errors.New("no event")
	errNoInstance = errors.New("no instance")
)

// begin is what a line begins with; what collectors of logs put before it is skipped.
const begin = event.KeyTime + "="

// Parse reads a line. The error is a *CutError.
func Parse(text string) (*Line, error) {
	line := &Line{}
	at := strings.Index(text, begin)
	if at < 0 {
		return nil, &CutError{Err: errNoTime}
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text[at:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.values = append(line.values, value{string(decoder.Key()), string(decoder.Value())})
		}
	}
	err := decoder.Err()
	if err == nil {
		err = line.fill()
	}
	if err != nil {
		return nil, &CutError{Request: line.Get(event.KeyRequest), Err: err}
	}
	return line, nil
}

// fill reads the values that every line has.
func (l *Line) fill() error {
	l.Event = event.Name(l.Get(event.KeyEvent))
	l.Instance = l.Get(event.KeyInstance)
	switch {
	case l.Event == "":
		return errNoEvent
	case l.Instance == "":
		return errNoInstance
	}
	happened := l.Get(event.KeyAt)
	if happened == "" {
		happened = l.Get(event.KeyTime)
	}
	var err error
	l.Time, err = time.Parse(time.RFC3339Nano, happened)
	return err
}

// Get returns a value; empty when there is none.
func (l *Line) Get(key string) string {
	for i := range l.values {
		if l.values[i].key == key {
			return l.values[i].text
		}
	}
	return ""
}

// Int returns a value as a whole number; zero when it is none.
func (l *Line) Int(key string) int {
	number, err := strconv.ParseFloat(l.Get(key), 64)
	if err != nil {
		return 0
	}
	return int(number)
}

// Is says whether a value is true.
func (l *Line) Is(key string) bool { return l.Get(key) == "true" }
