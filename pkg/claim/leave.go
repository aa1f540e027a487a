package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// ErrNoSuccessor means that no live peer of the domain could take over.
var ErrNoSuccessor = errors.New("no successor for idempotency keys")

// Handover stops deciding and passes all records and the authority over them to
// one live peer. Once the authority was sent it retries that peer until ctx ends,
// and tries another only if the first itself refused. Without any live peer it
// continues to decide and returns ErrNoSuccessor. After any other error no instance
// may decide these keys: repeats are answered from copies, or with unknown.
func (c *Coordinator) Handover(ctx context.Context) (Decider, error) {
	candidates := c.candidates()
	for _, candidate := range candidates {
		transfer, parts, err := c.owner.Export(c.newID(), candidate)
		if err != nil {
			return Decider{}, err
		}
		adopted, err := c.transfer(ctx, candidate, transfer, parts)
		if err != nil {
			return candidate, err
		}
		if adopted {
			return candidate, nil
		}
	}
	return Decider{}, ErrNoSuccessor
}

// retryTransfer is the pause between attempts to reach the successor.
const retryTransfer = 100 * time.Millisecond

// candidates returns the live peers in rendezvous order for this origin.
func (c *Coordinator) candidates() []Decider {
	var live []Decider
	instances := c.knownInstances(c.options.Self.Domain)
	for i := range instances {
		instance := &instances[i]
		if c.canQuery(instance) && instance.State == board.InstanceLive {
			live = append(live, deciderOf(instance))
		}
	}
	return rendezvousOrder(c.options.Self.String(), live)
}

// transfer stages the records, then sends the authority until the successor replies
// or ctx ends. False means that this successor has not adopted and never will: it
// refused, or the authority was not sent to it.
func (c *Coordinator) transfer(ctx context.Context, successor Decider, transfer *Transfer, parts []Part) (bool, error) {
	for i := range parts {
		if c.callSuccessor(ctx, successor, MethodStage, &parts[i], &StageReply{}) != nil {
			c.owner.Unsent(transfer)
			return false, nil
		}
	}
	for {
		var reply TransferReply
		err := c.callSuccessor(ctx, successor, MethodAdopt, transfer, &reply)
		if err == nil {
			return c.adopted(transfer, reply)
		}
		if stop := c.options.Sleep(ctx, retryTransfer); stop != nil {
			return false, fmt.Errorf("hand over idempotency keys to %s: %w", successor.Instance, errors.Join(stop, err))
		}
	}
}

func (c *Coordinator) adopted(transfer *Transfer, reply TransferReply) (bool, error) {
	if reply.By == transfer.Successor && reply.Fault == FaultNone {
		return true, nil
	}
	if c.owner.Refused(transfer, reply) {
		return false, nil
	}
	return false, &TransferError{Successor: transfer.Successor, Fault: reply.Fault}
}

func (c *Coordinator) callSuccessor(ctx context.Context, successor Decider, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, DefaultTransferTimeout)
	defer cancel()
	return c.options.Peers.Call(ctx, successor.Control, method, args, reply)
}

// TransferError means that the successor's address is now served by another
// incarnation. Whether the addressed one had adopted the keys is unknown.
type TransferError struct {
	// Successor is the addressed incarnation.
	Successor Origin
	Fault     TransferFault
}

// Error implements error.
func (e *TransferError) Error() string {
	return fmt.Sprintf("hand over idempotency keys to %s: %s", e.Successor.Instance, e.Fault)
}
