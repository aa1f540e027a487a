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
// and tries another only if the first itself refused. Until ctx ends it looks for a peer that
// adopts, as long as one may come back. Without any live peer it continues to decide and returns
// ErrNoSuccessor. After any other error no instance may decide these keys: repeats are answered
// from copies, or with unknown.
func (c *Coordinator) Handover(ctx context.Context) (Decider, error) {
	for {
		successor, err := c.offerAny(ctx, c.candidates())
		if successor != nil || err != nil {
			return *successor, err
		}
		restarted, allLeaving := c.probeUnlisted(ctx)
		successor, err = c.offerAny(ctx, restarted)
		if successor != nil || err != nil {
			return *successor, err
		}
		if allLeaving || c.options.Sleep(ctx, retryTransfer) != nil {
			return Decider{}, ErrNoSuccessor
		}
	}
}

// offerAny hands over to the first of the candidates that adopts, and returns it. It is not nil if
// there is an error.
func (c *Coordinator) offerAny(ctx context.Context, candidates []Decider) (*Decider, error) {
	for _, candidate := range candidates {
		adopted, err := c.offer(ctx, &candidate)
		if adopted || err != nil {
			return &candidate, err
		}
	}
	return nil, nil
}

// offer hands over to one peer. If a later incarnation serves at its address, it becomes the
// candidate. False means that the peer has not adopted and never will.
func (c *Coordinator) offer(ctx context.Context, candidate *Decider) (bool, error) {
	for {
		transfer, parts, err := c.owner.Export(c.newID(), *candidate)
		if err != nil {
			return false, err
		}
		present, err := c.stage(ctx, *candidate, parts)
		if err != nil {
			c.owner.Unsent(transfer)
			return false, nil
		}
		if !isLater(present, candidate.Origin) {
			return c.transfer(ctx, *candidate, transfer)
		}
		c.owner.Unsent(transfer)
		candidate.Origin = present
	}
}

// isLater reports whether an incarnation is a later one of the same instance.
func isLater(present, former Origin) bool {
	return present.Domain == former.Domain && present.Instance == former.Instance && present.Incarnation > former.Incarnation
}

// retryTransfer is the pause between attempts to reach the successor.
const retryTransfer = 100 * time.Millisecond

// candidates returns the live peers in rendezvous order for this origin.
func (c *Coordinator) candidates() []Decider { return c.peers(board.InstanceLive) }

// probeUnlisted returns the peers that are not listed as live, and at whose address a later
// incarnation serves. allLeaving is true if there is no other peer but those that are leaving
// themselves, which would wait for one another.
func (c *Coordinator) probeUnlisted(ctx context.Context) (restarted []Decider, allLeaving bool) {
	allLeaving = len(c.candidates()) == 0
	for _, state := range []board.InstanceState{board.InstanceLeaving, board.InstanceSilent, board.InstanceLeft} {
		for _, listed := range c.peers(state) {
			var reply StageReply
			// A part without an addressee is kept by none.
			err := c.callSuccessor(ctx, listed, DefaultCallTimeout, MethodStage, &Part{From: c.options.Self}, &reply)
			if err == nil && isLater(reply.By, listed.Origin) {
				restarted = append(restarted, Decider{Origin: reply.By, Control: listed.Control})
			}
			allLeaving = allLeaving && err == nil && state == board.InstanceLeaving
		}
	}
	return restarted, allLeaving
}

// peers returns the listed peers in a state, in rendezvous order for this origin.
func (c *Coordinator) peers(state board.InstanceState) []Decider {
	var peers []Decider
	instances := c.knownInstances(c.options.Self.Domain)
	for i := range instances {
		instance := &instances[i]
		known := instance.Addresses.Control != "" && (state != board.InstanceLive || instance.Incarnation != 0)
		if instance.Name != c.options.Self.Instance && instance.State == state && known {
			peers = append(peers, deciderOf(instance))
		}
	}
	return rendezvousOrder(c.options.Self.String(), peers)
}

// stage sends the records and returns the incarnation that received them, which is zero if its
// version does not say so. Records carry no authority.
func (c *Coordinator) stage(ctx context.Context, successor Decider, parts []Part) (Origin, error) {
	var reply StageReply
	for i := range parts {
		reply = StageReply{}
		if err := c.callSuccessor(ctx, successor, DefaultTransferTimeout, MethodStage, &parts[i], &reply); err != nil {
			return Origin{}, err
		}
	}
	return reply.By, nil
}

// transfer sends the authority until the successor replies or ctx ends. False means that this
// successor has not adopted and never will: it refused, or the only call reached another
// incarnation.
func (c *Coordinator) transfer(ctx context.Context, successor Decider, transfer *Transfer) (bool, error) {
	for inDoubt := false; ; inDoubt = true {
		var reply TransferReply
		err := c.callSuccessor(ctx, successor, DefaultTransferTimeout, MethodAdopt, transfer, &reply)
		if err == nil {
			return c.adopted(transfer, reply, inDoubt)
		}
		if stop := c.options.Sleep(ctx, retryTransfer); stop != nil {
			return false, fmt.Errorf("hand over idempotency keys to %s: %w", successor.Instance, errors.Join(stop, err))
		}
	}
}

// adopted evaluates the reply to a transfer. inDoubt is true if an earlier call may have reached
// the successor.
func (c *Coordinator) adopted(transfer *Transfer, reply TransferReply, inDoubt bool) (bool, error) {
	if reply.By == transfer.Successor && reply.Fault == FaultNone {
		return true, nil
	}
	if c.owner.Refused(transfer, reply) {
		return false, nil
	}
	if !inDoubt {
		c.owner.Unsent(transfer)
		return false, nil
	}
	return false, &TransferError{Successor: transfer.Successor, Fault: reply.Fault}
}

func (c *Coordinator) callSuccessor(ctx context.Context, successor Decider, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
