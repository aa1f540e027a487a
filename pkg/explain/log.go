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

// Log holds the lines of several logs that concern one request.
type Log struct {
	// Request is the request's ID.
	Request string
	// Own are the lines about the request. Others may explain it: state changes of an
	// instance and failed attempts of other requests.
	Own, Others []*Line
	// Incomplete is the number of lines that cannot be parsed, OwnIncomplete that of those about the request.
	Incomplete, OwnIncomplete int
	// Read is the number of lines read, including those that cannot be parsed.
	Read int
	// timeRanges holds the times of the first and last line of each instance.
	timeRanges map[string]timeRange
	seen       map[string]bool
}

type timeRange struct{ first, last time.Time }

// NewLog returns a Log without lines.
func NewLog(request string) *Log {
	return &Log{Request: request, timeRanges: make(map[string]timeRange), seen: make(map[string]bool)}
}

// maxLineBytes is the maximum length of a line in bytes.
const maxLineBytes = 1 << 20

// Add reads lines until the end of r. Lines may come in any order, within and across readers.
// Duplicates count once.
func (l *Log) Add(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
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
		l.addIncomplete(text, err)
		return
	}
	l.extendTimeRange(line)
	request := line.Get(event.KeyRequest)
	own := request == l.Request
	if !own && request != "" && line.Event != event.AttemptFailed {
		return
	}
	if l.seen[text] {
		return
	}
	l.seen[text] = true
	if own {
		l.Own = append(l.Own, line)
	} else {
		l.Others = append(l.Others, line)
	}
}

func (l *Log) addIncomplete(text string, err error) {
	l.Incomplete++
	var incomplete *IncompleteLineError
	if errors.As(err, &incomplete) && incomplete.Request == l.Request || strings.Contains(text, event.KeyRequest+"="+l.Request) {
		l.OwnIncomplete++
	}
}

// extendTimeRange extends the time range of the line's instance to include the line.
func (l *Log) extendTimeRange(line *Line) {
	known, ok := l.timeRanges[line.Instance]
	if !ok {
		known = timeRange{line.Time, line.Time}
	}
	if line.Time.Before(known.first) {
		known.first = line.Time
	}
	if line.Time.After(known.last) {
		known.last = line.Time
	}
	l.timeRanges[line.Instance] = known
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

// phase orders the lines of one attempt at the same time. The routing step comes first, even if
// it was deferred and written later.
func phase(line *Line) int {
	if line.Event == event.RequestRouted {
		return 0
	}
	return 1
}

// between returns the lines of Others with an event between two times, both included.
func (l *Log) between(name event.Name, from, to time.Time) []*Line {
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
func (l *Log) last(instance string, until time.Time, names ...event.Name) *Line {
	for i := len(l.Others) - 1; i >= 0; i-- {
		line := l.Others[i]
		if line.Instance == instance && !line.Time.After(until) && slices.Contains(names, line.Event) {
			return line
		}
	}
	return nil
}
