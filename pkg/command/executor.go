package command

import (
	"context"
	"io"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// Changer accepts changes and stores the audit trail. config.Store implements it.
type Changer interface {
	// Change proposes a change and returns the decision.
	Change(ctx context.Context, proposal config.Proposal) config.Decision
	// Lookup returns the decision on a change by its ID.
	Lookup(ctx context.Context, id string) (config.Decision, error)
	// Revision returns an accepted change by its number.
	Revision(ctx context.Context, revision config.Revision) (*config.Change, error)
	// Log returns accepted changes, newest first.
	Log(ctx context.Context, n int, keep func(*config.Change) bool) ([]config.Change, error)
}

// Remote sends queries to other instances.
type Remote interface {
	// Ask forwards a line to an instance of another failure domain.
	Ask(ctx context.Context, domain, operator, line string) (Reply, error)
	// Why returns the recorded events of a request from all reachable instances, one
	// a line; unreached counts the instances that did not answer.
	Why(ctx context.Context, requestID string) (lines []string, unreached int, err error)
}

// Self identifies the instance that answers.
type Self struct {
	Instance, Domain, Region string
}

// Executor executes operators' lines. It is safe for concurrent use.
type Executor struct {
	Self    Self
	Board   *board.Board
	Changes Changer
	Remote  Remote
	Clock   clock.Clock
	// Random is the random source for change IDs.
	Random io.Reader
	// Accepted, if set, receives the head of each change accepted here, which is then
	// in force without waiting for the watch.
	Accepted func(*config.Head)
}

// Request is a line with its operator.
type Request struct {
	Operator, Line string
	// ID is the change's identity if the operator's program generated one, by which
	// it can look up the decision. If empty, one is generated here.
	ID string
	// Repeated is true when the line was sent before under the same ID.
	Repeated bool
	// Seen is the revision that the operator saw; 0 means this instance's.
	Seen config.Revision
	// Forwarded is true when another instance forwarded the line. It is not forwarded
	// again, because two instances with different revisions could forward it back
	// and forth, and it changes nothing.
	Forwarded bool
}

// Execute executes a line.
func (e *Executor) Execute(ctx context.Context, operator, line string) Reply {
	return e.ExecuteRequest(ctx, Request{Operator: operator, Line: line})
}

// ExecuteRequest executes a line with its options.
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
	if request.Forwarded {
		return refuse(&ForwardedError{})
	}
	return e.change(ctx, request, line)
}

// ForwardedError refuses a change that another instance forwarded. A change must be
// proposed by the instance that authenticated its operator.
type ForwardedError struct{}

// Error implements error.
func (*ForwardedError) Error() string { return "only questions are passed on" }

// isQuery reports whether the line is a query.
func (l *Line) isQuery() bool {
	return l.Status != nil || l.Pools != nil || l.Who != nil || l.Log != nil || l.Why != nil || l.Help != nil
}

// Changes reports whether the line is a change.
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

// refuse returns the reply for an error before any change.
func refuse(err error) Reply { return reply(Refused, err.Error()) }

// helpLines returns the help screen, without help itself.
func helpLines() []string {
	lines := make([]string, 0, len(usage))
	for _, entry := range usage {
		if entry.purpose != "" {
			lines = append(lines, usageOf(entry.word)+": "+entry.purpose)
		}
	}
	return lines
}
