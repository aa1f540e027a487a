package explain

import (
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
)

// Trace is the path of one request through the instances.
type Trace struct {
	Request string
	// Spans are in order of their first line.
	Spans []*Span
	// Missing describes what the logs lack, one sentence each.
	Missing []string
}

// Span is the part of a request that one instance handled. A retry by the caller with the
// same ID, and forwarding to another instance, start further spans.
type Span struct {
	Instance string
	// Steps are its lines in order of time. End is the last of them, or nil if the end of
	// the span is not logged.
	Steps []*Line
	End   *Line
	// Causes explain its outcome, one sentence each, the most direct first. They are empty
	// if it succeeded without delay.
	Causes []string
}

// UnknownRequestError reports that no line is about the request.
type UnknownRequestError struct {
	Request string
	// Read counts the lines read, Instances their instances, and Incomplete the lines that
	// cannot be parsed.
	Read, Instances, Incomplete int
	// Starts counts instance starts, since a killed instance loses its requests in flight.
	// LeftOut counts the request lines that were dropped.
	Starts, LeftOut int
}

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line about request %s in %d lines of %d instances: the ID may be wrong, a log missing, or one of %d lines that were left out or %d that could not be read was about it, or one of %d instances that began had been killed with it",
		e.Request, e.Read, e.Instances, e.LeftOut, e.Incomplete, e.Starts)
}

// Reconstruct returns the path of the request. The error is an *UnknownRequestError.
func (l *Log) Reconstruct() (*Trace, error) {
	l.sort()
	if len(l.Own) == 0 {
		return nil, l.unknown()
	}
	trace := &Trace{Request: l.Request, Spans: spans(l.Own)}
	for _, span := range trace.Spans {
		span.Causes = l.causes(span)
	}
	trace.Missing = l.missing(trace)
	return trace, nil
}

func (l *Log) unknown() error {
	e := &UnknownRequestError{Request: l.Request, Read: l.Read, Instances: len(l.timeRanges), Incomplete: l.Incomplete}
	for _, line := range l.Others {
		switch line.Event {
		case event.Start:
			e.Starts++
		case event.LinesLeftOut:
			e.LeftOut += line.Int(event.KeyGood) + line.Int(event.KeySteps) + line.Int(event.KeyFailed) + line.Int(event.KeyReaderStalled)
		}
	}
	return e
}

// spans divides the sorted lines into spans. The line that ends the request at an instance
// closes its span.
func spans(lines []*Line) []*Span {
	var all []*Span
	open := make(map[string]*Span)
	for _, line := range lines {
		span := open[line.Instance]
		if span == nil {
			span = &Span{Instance: line.Instance}
			open[line.Instance] = span
			all = append(all, span)
		}
		span.Steps = append(span.Steps, line)
		if line.Event == event.RequestEnded || line.Event == event.RequestFailed {
			span.End = line
			delete(open, line.Instance)
		}
	}
	return all
}

// Failed reports whether the span failed or its end is not logged.
func (s *Span) Failed() bool { return s.End == nil || s.End.Event == event.RequestFailed }

// last returns the time of the span's last line.
func (s *Span) last() time.Time { return s.Steps[len(s.Steps)-1].Time }

// steps returns the span's lines with an event.
func (s *Span) steps(name event.Name) []*Line {
	var found []*Line
	for _, line := range s.Steps {
		if line.Event == name {
			found = append(found, line)
		}
	}
	return found
}
