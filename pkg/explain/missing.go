package explain

import (
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
)

// dropReportDelay is the maximum delay between dropping lines and logging their count.
const dropReportDelay = 6 * time.Second

// missing describes what the logs lack of a trace.
func (l *Log) missing(trace *Trace) []string {
	var all []string
	for _, span := range trace.Spans {
		all = append(all, l.missingFromSpan(span)...)
		all = append(all, l.missingTargetLines(trace, span)...)
	}
	if l.OwnIncomplete > 0 {
		all = append(all, fmt.Sprintf("parts of %d lines about it, which are cut off", l.OwnIncomplete))
	}
	if rest := l.Incomplete - l.OwnIncomplete; rest > 0 {
		all = append(all, fmt.Sprintf("%d other lines that could not be read", rest))
	}
	return append(all, l.droppedLines(trace)...)
}

// missingFromSpan describes what the logs lack of one span.
func (l *Log) missingFromSpan(span *Span) []string {
	var all []string
	if span.End == nil {
		all = append(all, "its end at "+span.Instance)
	}
	sent := 0
	if span.End != nil {
		sent = span.End.Int(event.KeySends)
	}
	for _, line := range span.Steps {
		sent = max(sent, line.Int(event.KeySend))
	}
	if routed := len(span.steps(event.RequestRouted)); routed == 0 && sent > 0 {
		all = append(all, fmt.Sprintf("where %s sent it (%d sends)", span.Instance, sent))
	}
	return all
}

// missingTargetLines lists the target instances without lines about the request.
func (l *Log) missingTargetLines(trace *Trace, span *Span) []string {
	var all []string
	for _, line := range span.steps(event.RequestRouted) {
		target := line.Get(event.KeyTarget)
		if line.Get(event.KeyHeardMS) == "" || trace.includes(target) {
			continue
		}
		if _, ok := l.timeRanges[target]; ok {
			all = append(all, "lines of "+target+" about it; its log is here")
		} else {
			all = append(all, "the log of "+target)
		}
	}
	return all
}

func (t *Trace) includes(instance string) bool {
	for _, span := range t.Spans {
		if span.Instance == instance {
			return true
		}
	}
	return false
}

// droppedLines describes the lines that the instances of the trace dropped around that time.
func (l *Log) droppedLines(trace *Trace) []string {
	var all []string
	first, last := trace.Spans[0].Steps[0].Time, time.Time{}
	for _, span := range trace.Spans {
		if span.last().After(last) {
			last = span.last()
		}
	}
	for _, line := range l.between(event.LinesLeftOut, first, last.Add(dropReportDelay)) {
		failures, steps, stalled := line.Int(event.KeyFailed), line.Int(event.KeySteps), line.Int(event.KeyReaderStalled)
		if trace.includes(line.Instance) && failures+steps+stalled > 0 {
			all = append(all, fmt.Sprintf("%s left out %d lines of failures, %d of their steps and %d that nobody read, about then",
				line.Instance, failures, steps, stalled))
		}
	}
	return all
}
