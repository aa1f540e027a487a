package explain

import (
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
)

// Story is one request's way.
type Story struct {
	Request string
	// Visits are in the order in which they began.
	Visits []*Visit
	// Missing tells what the logs lack, one sentence each.
	Missing []string
}

// Visit is what one instance did for the request. A caller that comes back with the
// same ID, and an instance that asks one of another region, make further visits.
type Visit struct {
	Instance string
	// Steps are its lines, in the order of time; End is the last of them, or nil when it
	// is not known how the visit ended.
	Steps []*Line
	End   *Line
	// Causes tell why it ended as it did, one sentence each, the nearest first; empty
	// when it went well.
	Causes []string
}

// UnknownRequestError: no line is about the request.
type UnknownRequestError struct {
	Request string
	// Read is how many lines were read, of so many instances; Cut were not whole.
	Read, Instances, Cut int
	// Starts is how many instances began, which lose what they had in work at their end;
	// LeftOut how many lines of requests were over the budgets.
	Starts, LeftOut int
}

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line about request %s in %d lines of %d instances: the ID may be wrong, a log missing, or one of %d lines that were left out or %d that could not be read was about it, or one of %d instances that began had been killed with it",
		e.Request, e.Read, e.Instances, e.LeftOut, e.Cut, e.Starts)
}

// Reconstruct puts a request's way together. The error is an *UnknownRequestError.
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

// visits divides lines, in the order of time, into visits: each ends with the line of
// its end.
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

// Failed says whether the visit ended other than well, as far as is known.
func (v *Visit) Failed() bool { return v.End == nil || v.End.Event == event.RequestFailed }

// last is when the visit ended, as far as is known.
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
