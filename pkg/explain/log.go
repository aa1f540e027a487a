package explain

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
)

// Log holds the lines from the logs of several instances that concern one request.
type Log struct {
	// Request is the request's ID.
	Request string
	// Own are the lines about the request. Others may explain it: state changes of an
	// instance and failed attempts of other requests.
	Own, Others []*Line
	// Cut is the number of lines that cannot be parsed, OwnCut that of those about the request.
	Cut, OwnCut int
	// Read is the number of lines read, including those that cannot be parsed.
	Read int
	// spans holds the times of the first and last line of each instance.
	spans map[string]span
	seen  map[string]bool
}

type span struct{ first, last time.Time }

// NewLog returns a Log without lines.
func NewLog(request string) *Log {
	return &Log{Request: request, spans: make(map[string]span), seen: make(map[string]bool)}
}

// longestLine is the maximum length of a line in bytes.
const longestLine = 1 << 20

// Add reads lines until the end of r. Lines may come in any order, within and across readers.
// Duplicates count once.
func (l *Log) Add(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		l.add(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read line %d: %w", l.Read+1, err)
	}
	return nil
}

func (l *Log) add(text string) {
	if strings.TrimSpace(text) == "" {
		return
	}
	l.Read++
	line, err := Parse(text)
	if err != nil {
		l.addCut(text, err)
		return
	}
	l.extend(line)
	request := line.Get(event.KeyRequest)
	mine := request == l.Request
	if !mine && request != "" && line.Event != event.AttemptFailed {
		return
	}
	if l.seen[text] {
		return
	}
	l.seen[text] = true
	if mine {
		l.Own = append(l.Own, line)
	} else {
		l.Others = append(l.Others, line)
	}
}

func (l *Log) addCut(text string, err error) {
	l.Cut++
	var cut *CutError
	if errors.As(err, &cut) && cut.Request == l.Request || strings.Contains(text, event.KeyRequest+"="+l.Request) {
		l.OwnCut++
	}
}

// extend extends the time range of the line's instance to include the line.
func (l *Log) extend(line *Line) {
	known, ok := l.spans[line.Instance]
	if !ok {
		known = span{line.Time, line.Time}
	}
	if line.Time.Before(known.first) {
		known.first = line.Time
	}
	if line.Time.After(known.last) {
		known.last = line.Time
	}
	l.spans[line.Instance] = known
}

// sort sorts the lines by time.
func (l *Log) sort() {
	byTime := func(a, b *Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(attempt(a), attempt(b)), cmp.Compare(phase(a), phase(b)))
	}
	slices.SortStableFunc(l.Own, byTime)
	slices.SortStableFunc(l.Others, byTime)
}

// attempt returns the number of the attempt that a line is about. It orders lines with the same
// time; the end of the request comes last.
func attempt(line *Line) int {
	switch {
	case line.Event == event.RequestEnded, line.Event == event.RequestFailed:
		return math.MaxInt
	case line.Event == event.AttemptFailed && line.Is(event.KeyUnsent):
		return line.Int(event.KeySend) + 1
	default:
		return line.Int(event.KeySend)
	}
}

// phase orders the lines of one attempt that have the same time: the routing step comes first,
// although a deferred line is written after the lines that follow from it.
func phase(line *Line) int {
	if line.Event == event.RequestRouted {
		return 0
	}
	return 1
}

// near returns the lines of Others with an event between two times, both included.
func (l *Log) near(name event.Name, from, to time.Time) []*Line {
	start, _ := slices.BinarySearchFunc(l.Others, from, func(line *Line, at time.Time) int { return line.Time.Compare(at) })
	var found []*Line
	for _, line := range l.Others[start:] {
		if line.Time.After(to) {
			break
		}
		if line.Event == name {
			found = append(found, line)
		}
	}
	return found
}

// last returns the instance's last line with one of the events at or before a time, or nil.
func (l *Log) last(instance string, before time.Time, names ...event.Name) *Line {
	for i := len(l.Others) - 1; i >= 0; i-- {
		line := l.Others[i]
		if line.Instance == instance && !line.Time.After(before) && slices.Contains(names, line.Event) {
			return line
		}
	}
	return nil
}
