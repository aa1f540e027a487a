package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/lilacweir/lilacweir/pkg/config"
)

func (e *Executor) change(ctx context.Context, request Request, line *Line) Reply {
	intent, err := e.intent(ctx, line)
	if err != nil {
		return refuse(err)
	}
	seen := request.Seen
	if seen == 0 {
		seen = e.Board.Config.Load().Revision
	}
	return e.propose(ctx, config.Proposal{
		ID:       request.ID,
		Operator: request.Operator,
		Line:     intent.line,
		Seen:     seen,
		Since:    intent.since,
		Build:    intent.build,
		Force:    line.Force,
		Repeated: request.Repeated,
	})
}

// propose generates an ID if there is none, proposes and formats the decision.
func (e *Executor) propose(ctx context.Context, proposal config.Proposal) Reply {
	if proposal.ID == "" {
		id, err := config.NewID(proposal.Seen, e.Random)
		if err != nil {
			return refuse(err)
		}
		proposal.ID = id
	}
	if _, ok := config.ParseID(proposal.ID); !ok {
		return refuse(&IDError{Given: proposal.ID})
	}
	decision := e.Changes.Change(ctx, proposal)
	return e.changeReply(ctx, proposal, decision)
}

// IDError reports a malformed change identity.
type IDError struct {
	Given string
}

// Error implements error.
func (e *IDError) Error() string { return clip(e.Given) + " is not a change's ID" }

// changeReply returns the reply for a decision.
func (e *Executor) changeReply(ctx context.Context, proposal config.Proposal, decision config.Decision) Reply {
	switch decision.State {
	case config.Accepted:
		if decision.Head != nil && e.Accepted != nil {
			e.Accepted(decision.Head)
		}
		s := e.waitInForce(ctx, decision.Revision)
		lines := s.lines()
		for _, danger := range decision.Dangers {
			lines = append(lines, "it "+danger.String())
		}
		return reply(Accepted, lines...)
	case config.Unknown:
		return reply(Unknown, "unknown: the platform gave no answer", "ask later:", "why "+decision.ID)
	default:
		return refusal(proposal, decision.Reason)
	}
}

// refusal formats why nothing was changed and what the operator can do.
func refusal(proposal config.Proposal, reason error) Reply {
	lines := []string{"refused, nothing changed"}
	var conflict *config.ConflictError
	var danger *config.DangerError
	var unreachable *config.UnreachableError
	var invalid *config.InvalidError
	switch {
	case errors.As(reason, &conflict):
		obstacle := conflict.Obstacle
		lines = append(lines, fmt.Sprintf("in the way: %d by %s", obstacle.Revision, obstacle.Operator), obstacle.Line)
		if errors.As(reason, &danger) {
			lines = append(lines, "together it "+danger.Error(), "to do it:", proposal.Line+" !")
		} else if errors.As(reason, &invalid) {
			lines = append(lines, "together they would be invalid:", invalid.Error())
		}
	case errors.As(reason, &danger):
		lines = append(lines, "it "+danger.Error(), "to do it:", proposal.Line+" !")
	case errors.As(reason, &unreachable):
		lines = append(lines, "the platform gives no answer")
	case errors.As(reason, &invalid):
		lines = append(lines, "the result would be invalid:", invalid.Error())
	default:
		lines = append(lines, reason.Error())
	}
	return reply(Refused, lines...)
}
