package agent

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/command"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// Bounds of operators' commands that are passed on.
const (
	// AskTimeout bounds a command passed to another failure domain, WhyTimeout the
	// lookup of a request at a gateway.
	AskTimeout = 3 * time.Second
	WhyTimeout = 2 * time.Second
	// maxConcurrentWhy bounds the gateways that are queried concurrently.
	maxConcurrentWhy = 32
)

// UnreachableError means that no agent of a failure domain answered.
type UnreachableError struct {
	Domain string
	Err    error
}

// Error implements error.
func (e *UnreachableError) Error() string { return e.Domain + " is cut off from here" }

// Unwrap returns the last cause, or nil if no address is known.
func (e *UnreachableError) Unwrap() error { return e.Err }

// newExecutor returns the executor of operators' commands.
func (a *Agent) newExecutor() *command.Executor {
	pause := func(ctx context.Context, wait time.Duration) error {
		clock.Sleep(ctx, wait)
		return ctx.Err()
	}
	s := a.Settings
	return &command.Executor{
		Self:    command.Self{Instance: s.Instance, Domain: s.Domain, Region: s.Region},
		Board:   &a.board,
		Changes: config.NewStore(a.KeyValue, clock.System{}, pause, mathrand.Float64),
		Remote:  &remote{a},
		Clock:   clock.System{},
		Random:  rand.Reader,
		Accepted: func(head *config.Head) {
			a.keeper.Offer(head, spread.SourceChange)
		},
	}
}

// remote passes operators' commands to other instances.
type remote struct{ agent *Agent }

// Ask implements command.Remote.
func (r *remote) Ask(ctx context.Context, domain, operator, line string) (command.Reply, error) {
	a := r.agent
	ctx, cancel := context.WithTimeout(ctx, AskTimeout)
	defer cancel()
	unreachable := &UnreachableError{Domain: domain}
	for _, address := range a.addressesOf(domain) {
		var reply control.AskReply
		args := control.AskArgs{Operator: operator, Line: line}
		err := a.clients.Call(ctx, address, control.OperatorService+".Ask", &args, &reply)
		if err == nil {
			return command.Reply{Verdict: command.Verdict(reply.Verdict), Text: reply.Text}, nil
		}
		unreachable.Err = err
	}
	return command.Reply{}, unreachable
}

// Why implements command.Remote. It queries every gateway, as a request may have
// passed through several.
func (r *remote) Why(ctx context.Context, requestID string) ([]string, int, error) {
	ctx, cancel := context.WithTimeout(ctx, WhyTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentWhy)
	var mu sync.Mutex
	var lines []string
	unreached := 0
	for _, instance := range r.agent.allInstances() {
		group.Go(func() error {
			var reply control.WhyReply
			args := control.WhyArgs{RequestID: requestID}
			err := r.agent.clients.Call(ctx, instance.Addresses.Control, control.GatewayService+".Why", args, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreached++
				return nil
			}
			for _, line := range reply.Lines {
				lines = append(lines, fmt.Sprintf("%s %s", instance.Name, line))
			}
			return nil
		})
	}
	return lines, unreached, group.Wait()
}

// allInstances returns all instances that have a known address.
func (a *Agent) allInstances() []board.Instance {
	var all []board.Instance
	if members := a.board.Members.Load(); members != nil {
		for i := range members.Instances {
			if members.Instances[i].State != board.InstanceLeft && members.Instances[i].Addresses.Control != "" {
				all = append(all, members.Instances[i])
			}
		}
	}
	if domains := a.board.Domains.Load(); domains != nil {
		for i := range domains.Remote {
			all = append(all, domains.Remote[i].Entries...)
		}
	}
	return all
}

// operatorService runs operators' commands that another instance passes on.
type operatorService struct{ agent *Agent }

// Ask runs a query; changes are made by the instance that the operator called.
func (s *operatorService) Ask(args *control.AskArgs, reply *control.AskReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), AskTimeout)
	defer cancel()
	request := command.Request{Operator: args.Operator, Line: args.Line, Forwarded: true}
	answer := s.agent.executor.ExecuteRequest(ctx, request)
	reply.Verdict, reply.Text = string(answer.Verdict), answer.Text
	return nil
}
