package command

import (
	"context"
	"io"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// Changer accepts changes and keeps the audit trail; config.Store is one.
type Changer interface {
	// Change proposes a change and says what became of it.
	Change(ctx context.Context, proposal config.Proposal) config.Decision
	// Lookup says what became of a change by its ID.
	Lookup(ctx context.Context, id string) (config.Decision, error)
	// Revision returns an accepted change by its number.
	Revision(ctx context.Context, revision config.Revision) (*config.Change, error)
	// Log returns accepted changes, newest first.
	Log(ctx context.Context, n int, keep func(*config.Change) bool) ([]config.Change, error)
}

// Remote isQuery other instances.
type Remote interface {
	// Ask passes a line to an instance of another failure domain.
	Ask(ctx context.Context, domain, operator, line string) (Reply, error)
	// Why returns what any instance that can be reached remembers of a request,
	// one event a line; unreached counts the instances that did not answer.
	Why(ctx context.Context, requestID string) (lines []string, unreached int, err error)
}

// Self says which instance answers.
type Self struct {
	Instance, Domain, Region string
}

// Executor answers operators' lines. It is safe for concurrent use.
type Executor struct {
	Self    Self
	Board   *board.Board
	Changes Changer
	Remote  Remote
	Clock   clock.Clock
	// Random is the source of changes' IDs.
	Random io.Reader
	// Accepted, when set, is given each head that a change made here, so that it
	// is in force without waiting for the watch.
	Accepted func(*config.Head)
}

// Request is a line with who typed it.
type Request struct {
	Operator, Line string
	// ID is the change's identity when the operator's program made one, so that
	// it can ask what became of it; empty to have one made here.
	ID string
	// Repeated says that the line was sent before under the same ID.
	Repeated bool
	// Seen is the revision that the operator saw; 0 means this instance's.
	Seen config.Revision
	// PassedOn is true when another instance passes on the line. It is answered
	// from here, and changes nothing: two instances that hold different revisions
	// would otherwise pass it to and fro.
	PassedOn bool
}

// Execute answers a line.
func (e *Executor) Execute(ctx context.Context, operator, line string) Reply {
	return e.ExecuteRequest(ctx, Request{Operator: operator, Line: line})
}

// ExecuteRequest answers a line whose change has an identity already.
func (e *Executor) ExecuteRequest(ctx context.Context, request Request) Reply {
	line, err := Parse(request.Line)
	if err != nil {
		return refuse(err)
	}
	if line.Help != nil {
		return reply(OK, helpLines()...)
	}
	if head := e.Board.Config.Load(); head == nil || head.Revision == 0 {
		return reply(Refused, "no configuration here", "first: lilacweir apply FILE")
	}
	if line.isQuery() {
		return e.answer(ctx, request, line)
	}
	if request.PassedOn {
		return refuse(&PassedOnError{})
	}
	return e.change(ctx, request, line)
}

// PassedOnError refuses a change that another instance passes on: a change is
// proposed by the instance that knows its operator.
type PassedOnError struct{}

// Error implements error.
func (*PassedOnError) Error() string { return "only questions are passed on" }

// isQuery tells questions from changes.
func (l *Line) isQuery() bool {
	return l.Status != nil || l.Pools != nil || l.Who != nil || l.Log != nil || l.Why != nil || l.Help != nil
}

// Changes tells changes from questions.
func (l *Line) Changes() bool { return !l.isQuery() }

func (e *Executor) answer(ctx context.Context, request Request, line *Line) Reply {
	switch {
	case line.Status != nil:
		return e.status(line.Status)
	case line.Pools != nil:
		return e.pools(ctx, request, line.Pools)
	case line.Who != nil:
		return e.who(request, line.Who)
	case line.Log != nil:
		return e.log(ctx, line.Log)
	default:
		return e.why(ctx, line.Why)
	}
}

// names resolves names against the configuration in force here.
func (e *Executor) names() names { return names{decl: e.Board.Config.Load().Declaration} }

// refuse says why nothing was done.
func refuse(err error) Reply { return reply(Refused, err.Error()) }

// helpLines is the help screen; the last word of the usage is help itself.
func helpLines() []string {
	lines := make([]string, 0, len(usage))
	for _, entry := range usage {
		if entry.purpose != "" {
			lines = append(lines, usageOf(entry.word)+": "+entry.purpose)
		}
	}
	return lines
}
