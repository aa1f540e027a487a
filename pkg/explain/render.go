package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/origin"
)

// Widths of the text, in characters.
const (
	// Phone is the width of an operator's phone.
	Phone = 40
	// Screen is the width of a terminal.
	Screen = 100
	// indent is one level of indentation; continuation lines have two.
	indent = "  "
)

// Text formats the trace in lines of at most width characters.
func (t *Trace) Text(width int) string {
	p := &page{width: width, start: t.Spans[0].Steps[0].Time}
	p.add("", "request "+t.Request)
	p.add("", "from "+p.start.UTC().Format("2006-01-02 15:04:05.000 MST"))
	for _, span := range t.Spans {
		p.span(span)
	}
	p.list("cause", t.causes())
	p.list("missing", t.Missing)
	return p.text.String()
}

// causes returns the causes of all spans, those of the last span first, without duplicates. If
// there are several spans, each cause names its instance.
func (t *Trace) causes() []string {
	var all []string
	seen := make(map[string]bool)
	for i := len(t.Spans) - 1; i >= 0; i-- {
		for _, cause := range t.Spans[i].Causes {
			if len(t.Spans) > 1 {
				cause = t.Spans[i].Instance + ": " + cause
			}
			if !seen[cause] {
				seen[cause] = true
				all = append(all, cause)
			}
		}
	}
	return all
}

// page collects the lines of the text.
type page struct {
	width int
	// start is the time that other times are relative to.
	start time.Time
	text  strings.Builder
}

// add writes a text after a prefix, wrapped at spaces.
func (p *page) add(prefix, text string) {
	line := prefix
	for _, word := range strings.Fields(text) {
		for {
			separator := ""
			if strings.TrimSpace(line) != "" && !strings.HasSuffix(line, " ") {
				separator = " "
			}
			if space := p.width - len([]rune(line)) - len(separator); len([]rune(word)) <= space {
				line += separator + word
				break
			}
			if strings.TrimSpace(line) != "" {
				p.line(line)
				line = indent + indent
				continue
			}
			space := p.width - len([]rune(line))
			p.line(line + string([]rune(word)[:space]))
			word, line = string([]rune(word)[space:]), indent+indent
		}
	}
	p.line(line)
}

func (p *page) line(text string) {
	p.text.WriteString(strings.TrimRight(text, " "))
	p.text.WriteByte('\n')
}

func (p *page) list(title string, items []string) {
	if len(items) == 0 {
		return
	}
	p.line(title + ":")
	for _, item := range items {
		p.add("- ", item)
	}
}

func (p *page) span(span *Span) {
	forwarded := ""
	if span.Steps[0].Is(event.KeyForwarded) {
		forwarded = " (sent by another instance)"
	}
	p.add("", "at "+span.Instance+forwarded)
	for _, step := range span.Steps {
		after := fmt.Sprintf("%s%+.3f ", indent, step.Time.Sub(p.start).Seconds())
		p.add(after, describe(step))
	}
	if span.End == nil {
		p.add(indent, "(no end is logged)")
	}
}

// describe summarises a step.
func describe(step *Line) string {
	switch step.Event {
	case event.RequestRouted:
		return describeRoute(step)
	case event.StreamOrigin:
		return describeOrigin(step)
	case event.AttemptRejected:
		return fmt.Sprintf("%s rejected it, status %d", step.Get(event.KeyTarget), step.Int(event.KeyStatus))
	case event.RequestHedged:
		return fmt.Sprintf("%s is silent; %s gets the request as well", step.Get(event.KeyUpstream), step.Get(event.KeyTarget))
	case event.AttemptOvertaken:
		return step.Get(event.KeyTarget) + " was overtaken by another attempt and cancelled"
	case event.AttemptFailed:
		return step.Get(event.KeyTarget) + " " + describeAttemptFailure(step)
	case event.AnswerUnframed:
		return step.Get(event.KeyTarget) + " ended its answer with the connection"
	case event.AnswerOdd:
		return fmt.Sprintf("%s: %s, status %d", step.Get(event.KeyTarget), step.Get(event.KeyProblem), step.Int(event.KeyStatus))
	case event.RequestFailed:
		return describeFailure(step)
	case event.RequestEnded:
		if step.Get(event.KeyOutcome) == callerGone {
			return fmt.Sprintf("the caller left after %d ms; first part after %s, status %d", step.Int(event.KeyMS), firstPart(step), step.Int(event.KeyStatus))
		}
		return fmt.Sprintf("answered %d; first part after %d ms, all after %d ms", step.Int(event.KeyStatus), step.Int(event.KeyFirstMS), step.Int(event.KeyMS))
	default:
		return string(step.Event)
	}
}

// callerGone is the outcome of a request if the caller disconnected before its end.
const callerGone = "caller-gone"

// firstPart formats the time to the first part of the answer.
func firstPart(step *Line) string {
	if ms := step.Int(event.KeyFirstMS); ms >= 0 {
		return fmt.Sprintf("%d ms", ms)
	}
	return "none"
}

func describeRoute(step *Line) string {
	text := fmt.Sprintf("send %d to %s in %s:", step.Int(event.KeySend), step.Get(event.KeyTarget), step.Get(event.KeyDomain))
	if heard := step.Get(event.KeyHeardMS); heard != "" {
		text += fmt.Sprintf(" an instance heard of %s ms ago;", heard)
	} else {
		text += fmt.Sprintf(" %d in work;", step.Int(event.KeyInFlight))
	}
	if prompt := step.Int(event.KeyPrompt); prompt > 0 {
		text += fmt.Sprintf(" %d prompt tokens ahead of it, %d of its %d uncached;", step.Int(event.KeyPrefill), step.Int(event.KeyUncached), prompt)
	}
	text += fmt.Sprintf(" %d usable, configuration %d, store heard %s ms ago",
		step.Int(event.KeyUsable), step.Int(event.KeyVersion), step.Get(event.KeyStoreAgeMS))
	if after := step.Get(event.KeyAfter); after != "" {
		text += ", goes on after event " + after
	}
	if software := step.Get(event.KeySoftware); software != "" {
		text += ", software " + software
	}
	return text
}

// originSources describes how the origin of a stream is known.
var originSources = map[origin.Source]string{
	origin.Recorded:  "recorded here",
	origin.Told:      "told by another instance",
	origin.Proved:    "as the service has no other version",
	origin.Forwarded: "as the forwarding instance says",
}

func describeOrigin(step *Line) string {
	text := fmt.Sprintf("takes up the stream of %s after event %s, ", step.Get(event.KeyFirst), step.Get(event.KeyAfter))
	known, found := originSources[origin.Source(step.Get(event.KeySource))]
	if !found {
		return text + fmt.Sprintf("begun by an unknown software version: of %d instances asked %d did not answer, the others have no record", step.Int(event.KeyAsked), step.Int(event.KeySilent))
	}
	return text + fmt.Sprintf("begun by software %s of %s, %s", step.Get(event.KeySoftware), step.Get(event.KeyService), known)
}

func describeFailure(step *Line) string {
	text := fmt.Sprintf("%s, %s, status %d after %d ms: %s; %d sends, may have run %d times",
		step.Get(event.KeyOutcome), step.Get(event.KeyReason), step.Int(event.KeyStatus), step.Int(event.KeyMS),
		step.Get(event.KeyDetail), step.Int(event.KeySends), step.Int(event.KeyRuns))
	if step.Is(event.KeyBegun) {
		return text + "; part of the answer was out, so the connection was broken off" + endedBy(step)
	}
	if retry := step.Int(event.KeyRetryMS); retry > 0 {
		text += fmt.Sprintf("; asked to come back in %d ms", retry)
	}
	return text
}
