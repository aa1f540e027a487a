package command

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/config"
)

const (
	// logDefault is the number of changes that "log" shows, logMost its maximum.
	logDefault = 5
	logMost    = Rows
	// timeLayout is the format of times, which are in UTC.
	timeLayout = "01-02 15:04"
)

// log answers "log [N] [WORD]".
func (e *Executor) log(ctx context.Context, line *Log) Reply {
	count, word := logArguments(line)
	changes, err := e.Changes.Log(ctx, count, config.Mentions(word))
	var incomplete *config.HistoryError
	if err != nil && !errors.As(err, &incomplete) {
		return reply(Refused, "the platform gives no answer", "log needs it; st does not")
	}
	var lines []string
	for _, change := range changes {
		lines = append(lines, logLine(&change))
	}
	if incomplete != nil {
		lines = append(lines, incomplete.Error())
	}
	if len(lines) == 0 {
		lines = append(lines, "no such change")
	}
	return reply(OK, lines...)
}

// logArguments reads a count and a word, in either order.
func logArguments(line *Log) (count int, word string) {
	count = logDefault
	for _, argument := range []*Name{line.First, line.Second} {
		if argument == nil {
			continue
		}
		if number, err := strconv.Atoi(argument.Text); err == nil && number > 0 {
			count = min(number, logMost)
			continue
		}
		word = argument.Text
	}
	return count, word
}

// logLine formats a change as one line, truncated to the screen.
func logLine(change *config.Change) string {
	text := fmt.Sprintf("%d %s %s", change.Revision, change.Operator, change.Line)
	runes := []rune(text)
	if len(runes) <= Columns {
		return text
	}
	return string(runes[:Columns-1]) + "~"
}

// why answers "why" for a request, a change or a revision.
func (e *Executor) why(ctx context.Context, line *Why) Reply {
	subject := line.Subject.Text
	if _, isChange := config.ParseID(strings.ToLower(subject)); isChange {
		return e.whyChange(ctx, strings.ToLower(subject))
	}
	if revision, err := strconv.ParseUint(subject, 10, 64); err == nil {
		return e.whyRevision(ctx, config.Revision(revision))
	}
	return e.whyRequest(ctx, subject)
}

func (e *Executor) whyChange(ctx context.Context, id string) Reply {
	decision, err := e.Changes.Lookup(ctx, id)
	switch {
	case err != nil || decision.State == config.Unknown:
		return reply(Unknown, "still unknown, ask again:", "why "+id)
	case decision.State == config.Refused:
		return reply(Refused, "not accepted, and never will be")
	default:
		s := e.rollout(decision.Revision)
		lines := append([]string{fmt.Sprintf("accepted as %d", decision.Revision)}, s.lines()...)
		return reply(Accepted, lines...)
	}
}

func (e *Executor) whyRevision(ctx context.Context, revision config.Revision) Reply {
	change, err := e.revision(ctx, revision)
	var absent *config.AbsentError
	if errors.As(err, &absent) {
		return refuse(err)
	}
	if err != nil {
		return reply(Refused, "the platform gives no answer")
	}
	lines := []string{
		fmt.Sprintf("%d %s by %s", change.Revision, change.At.Format(timeLayout), change.Operator),
		change.Line,
		fmt.Sprintf("seen %d, %s", change.Seen, change.ID),
	}
	for _, op := range change.Ops {
		if text := op.String(); text != change.Line {
			lines = append(lines, text)
		}
	}
	return reply(OK, lines...)
}

func (e *Executor) whyRequest(ctx context.Context, id string) Reply {
	lines, unreached, err := e.Remote.Why(ctx, id)
	if err != nil {
		return refuse(err)
	}
	if len(lines) == 0 {
		lines = append(lines, "nobody remembers "+clip(id))
	}
	if unreached > 0 {
		lines = append([]string{instances(unreached) + " gave no answer"}, lines...)
	}
	return reply(OK, lines...)
}

// who answers "who" with all callers, or one caller.
func (e *Executor) who(request Request, line *Who) Reply {
	decl := e.Board.Config.Load().Declaration
	if line.Caller != nil {
		return e.whoCaller(*line.Caller)
	}
	lines := []string{fmt.Sprintf("you: %s at %s, %s", request.Operator, e.Self.Instance, e.Self.Domain)}
	for _, caller := range decl.Callers {
		lines = append(lines, caller.Name+": "+regionsText(caller))
	}
	return reply(OK, lines...)
}

// regionsText lists a caller's regions, its home first.
func regionsText(caller config.Caller) string {
	if len(caller.Regions) == 0 {
		return "nowhere"
	}
	text := caller.Home
	for _, region := range caller.Regions {
		if region != caller.Home {
			text += " " + region
		}
	}
	return text
}

func (e *Executor) whoCaller(name Name) Reply {
	names := e.names()
	found, err := names.caller(name)
	if err != nil {
		return refuse(err)
	}
	caller, _ := names.decl.Caller(found)
	models := "all"
	if len(caller.Models) > 0 {
		models = strings.Join(caller.Models, " ")
	}
	return reply(OK,
		caller.Name,
		"home "+caller.Home,
		"regions "+regionsText(caller),
		"models "+models,
		fmt.Sprintf("share %d", max(1, caller.Share)),
	)
}
