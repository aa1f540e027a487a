package explain

import (
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
)

// toldWithin is the maximum delay between dropping lines and logging their count.
const toldWithin = 6 * time.Second

// missing describes what the logs lack of a story.
func (l *Log) missing(story *Story) []string {
	var all []string
	for _, visit := range story.Visits {
		all = append(all, l.missingOf(visit)...)
		all = append(all, l.unheard(story, visit)...)
	}
	if l.OwnCut > 0 {
		all = append(all, fmt.Sprintf("parts of %d lines about it, which are cut off", l.OwnCut))
	}
	if rest := l.Cut - l.OwnCut; rest > 0 {
		all = append(all, fmt.Sprintf("%d other lines that could not be read", rest))
	}
	return append(all, l.leftOut(story)...)
}

// missingOf describes what the logs lack of one visit.
func (l *Log) missingOf(visit *Visit) []string {
	var all []string
	if visit.End == nil {
		all = append(all, "its end at "+visit.Instance)
	}
	sent := 0
	if visit.End != nil {
		sent = visit.End.Int(event.KeySends)
	}
	for _, line := range visit.Steps {
		sent = max(sent, line.Int(event.KeySend))
	}
	if routed := len(visit.steps(event.RequestRouted)); routed == 0 && sent > 0 {
		all = append(all, fmt.Sprintf("where %s sent it (%d sends)", visit.Instance, sent))
	}
	return all
}

// unheard lists the instances that the request was sent to and that logged nothing about it.
func (l *Log) unheard(story *Story, visit *Visit) []string {
	var all []string
	for _, line := range visit.steps(event.RequestRouted) {
		target := line.Get(event.KeyTarget)
		if line.Get(event.KeyHeardMS) == "" || story.visited(target) {
			continue
		}
		if _, ok := l.spans[target]; ok {
			all = append(all, "lines of "+target+" about it; its log is here")
		} else {
			all = append(all, "the log of "+target)
		}
	}
	return all
}

func (s *Story) visited(instance string) bool {
	for _, visit := range s.Visits {
		if visit.Instance == instance {
			return true
		}
	}
	return false
}

// leftOut describes the lines that the visited instances dropped around that time.
func (l *Log) leftOut(story *Story) []string {
	var all []string
	first, last := story.Visits[0].Steps[0].Time, time.Time{}
	for _, visit := range story.Visits {
		if visit.last().After(last) {
			last = visit.last()
		}
	}
	for _, line := range l.near(event.LinesLeftOut, first, last.Add(toldWithin)) {
		failures, steps, stalled := line.Int(event.KeyFailed), line.Int(event.KeySteps), line.Int(event.KeyReaderStalled)
		if story.visited(line.Instance) && failures+steps+stalled > 0 {
			all = append(all, fmt.Sprintf("%s left out %d lines of failures, %d of their steps and %d that nobody read, about then",
				line.Instance, failures, steps, stalled))
		}
	}
	return all
}
