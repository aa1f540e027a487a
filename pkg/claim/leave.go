package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// ErrNoSuccessor: no live peer of the domain could take over.
var ErrNoSuccessor = errors.New("no successor for idempotency keys")

// Handover stops deciding and passes all records and the authority over them to
// one live peer. It keeps trying that peer until ctx ends, and turns to another
// only when the first itself refused. While there is no live peer at all it
// does not stop deciding and returns ErrNoSuccessor. After any other error no
// one may decide these keys: repeats are answered from copies, or unknown.
func (c *Coordinator) Handover(ctx context.Context) (Decider, error) {
	candidates := c.candidates()
	for _, candidate := range candidates {
		transfer, err := c.owner.Export(c.newID(), candidate)
		if err != nil {
			return Decider{}, err
		}
		adopted, err := c.transfer(ctx, candidate, transfer)
		if err != nil {
			return candidate, err
		}
		if adopted {
			return candidate, nil
		}
	}
	return Decider{}, ErrNoSuccessor
}

// retryTransfer is the pause between two tries to reach the successor.
const retryTransfer = 100 * time.Millisecond

// candidates lists the live peers in rendezvous order of this origin.
func (c *Coordinator) candidates() []Decider {
	members := c.options.Members()
	if members == nil {
		return nil
	}
	var live []Decider
	for i := range members.Instances {
		instance := &members.Instances[i]
		if c.askable(instance) && instance.State == board.InstanceLive {
			live = append(live, deciderOf(instance))
		}
	}
	return rank(c.options.Self.String(), live)
}

// transfer sends until the successor answers or ctx ends. False means that the
// successor itself refused for good.
func (c *Coordinator) transfer(ctx context.Context, successor Decider, transfer *Transfer) (bool, error) {
	for {
		reply, err := c.callAdopt(ctx, successor, transfer)
		if err == nil && reply.By == transfer.Successor && reply.Fault == FaultNone {
			return true, nil
		}
		if err == nil && c.owner.Refused(transfer, reply) {
			return false, nil
		}
		if err == nil {
			return false, &TransferError{Successor: successor.Origin, Fault: reply.Fault}
		}
		if stop := c.options.Sleep(ctx, retryTransfer); stop != nil {
			return false, fmt.Errorf("hand over idempotency keys to %s: %w", successor.Instance, errors.Join(stop, err))
		}
	}
}

func (c *Coordinator) callAdopt(ctx context.Context, successor Decider, transfer *Transfer) (TransferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTransferTimeout)
	defer cancel()
	var reply TransferReply
	err := c.options.Peers.Call(ctx, successor.Control, MethodAdopt, transfer, &reply)
	return reply, err
}

// TransferError is a successor that is no longer the incarnation that was
// addressed. Whether that one had adopted the keys cannot be known.
type TransferError struct {
	// Successor is the incarnation that was addressed.
	Successor Origin
	Fault     TransferFault
}

// Error implements error.
func (e *TransferError) Error() string {
	return fmt.Sprintf("hand over idempotency keys to %s: %s", e.Successor.Instance, e.Fault)
}
