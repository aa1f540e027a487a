package explain

import (
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
)

// Story is the path of one request through the instances.
type Story struct {
	Request string
	// Visits are in order of their first line.
	Visits []*Visit
	// Missing describes what the logs lack, one sentence each.
	Missing []string
}

// Visit is the part of a request that one instance handled. A retry by the caller with the
// same ID, and forwarding to another instance, start further visits.
type Visit struct {
	Instance string
	// Steps are its lines in order of time. End is the last of them, or nil if the end of
	// the visit is not logged.
	Steps []*Line
	End   *Line
	// Causes explain its outcome, one sentence each, the most direct first. They are empty
	// if it succeeded without delay.
	Causes []string
}

// UnknownRequestError reports that no line is about the request.
type UnknownRequestError struct {
	Request string
	// Read is the number of lines read, Instances that of their instances, and Cut that of
	// the lines that cannot be parsed.
	Read, Instances, Cut int
	// Starts is the number of instance starts; a killed instance logs nothing about its
	// requests in flight. LeftOut is the number of request lines that the loggers dropped.
	Starts, LeftOut int
}

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line about request %s in %d lines of %d instances: the ID may be wrong, a log missing, or one of %d lines that were left out or %d that could not be read was about it, or one of %d instances that began had been killed with it",
		e.Request, e.Read, e.Instances, e.LeftOut, e.Cut, e.Starts)
}

// Reconstruct returns the path of the request. The error is an *UnknownRequestError.
func (l *Log) Reconstruct() (*Story, error) {
	l.sort()
	if len(l.Own) == 0 {
		return nil, l.unknown()
	}
	story := &Story{Request: l.Request, Visits: visits(l.Own)}
	for _, visit := range story.Visits {
		visit.Causes = l.causes(visit)
	}
	story.Missing = l.missing(story)
	return story, nil
}

func (l *Log) unknown() error {
	e := &UnknownRequestError{Request: l.Request, Read: l.Read, Instances: len(l.spans), Cut: l.Cut}
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

// visits divides the sorted lines into visits. The line that ends the request at an instance
// closes its visit.
func visits(lines []*Line) []*Visit {
	var all []*Visit
	open := make(map[string]*Visit)
	for _, line := range lines {
		visit := open[line.Instance]
		if visit == nil {
			visit = &Visit{Instance: line.Instance}
			open[line.Instance] = visit
			all = append(all, visit)
		}
		visit.Steps = append(visit.Steps, line)
		if line.Event == event.RequestEnded || line.Event == event.RequestFailed {
			visit.End = line
			delete(open, line.Instance)
		}
	}
	return all
}

// Failed reports whether the visit failed or its end is not logged.
func (v *Visit) Failed() bool { return v.End == nil || v.End.Event == event.RequestFailed }

// last returns the time of the visit's last line.
func (v *Visit) last() time.Time { return v.Steps[len(v.Steps)-1].Time }

// steps returns the visit's lines with an event.
func (v *Visit) steps(name event.Name) []*Line {
	var found []*Line
	for _, line := range v.Steps {
		if line.Event == name {
			found = append(found, line)
		}
	}
	return found
}
