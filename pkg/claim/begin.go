package claim

import (
	"context"
	"slices"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// begin finds the decider of a key and returns its decision and the decider, which
// is nil for this gateway. Without a decider it answers from a copy, else unknown.
func (c *Coordinator) begin(ctx context.Context, key Key, claim Claim) (Decision, *Decider) {
	decision := c.decide(key, claim)
	if decision.Verdict != VerdictNotMine {
		return decision, nil
	}
	search := c.newSearch(key, claim, c.copies.Get(claim))
	search.run(ctx, decision.Successor)
	if search.decided == nil {
		search.withdraw(ctx)
	}
	return search.answer()
}

// decide returns this gateway's own decision. If the record is still running, a
// copy of the result may have been stored here while the decider was unreachable,
// or the holder may have crashed.
func (c *Coordinator) decide(key Key, claim Claim) Decision {
	decision := c.owner.Begin(key, claim)
	if decision.Verdict != VerdictRefused || decision.Refusal.Reason != outcome.ReasonKeyInProgress {
		return decision
	}
	if held := c.copies.Get(claim); held != nil {
		return held.answer(claim)
	}
	c.fetchResult(key, claim, decision.Holder)
	return c.markLostHolder(decision)
}

// fetchResult asks the holder of a running attempt for its result, for the next
// repeat, since the holder's report may have been lost.
func (c *Coordinator) fetchResult(key Key, claim Claim, holder Origin) {
	instances := c.knownInstances(holder.Domain)
	i := slices.IndexFunc(instances, func(instance board.Instance) bool { return deciderOf(&instance).Origin == holder })
	if i < 0 || holder == c.options.Self {
		return
	}
	c.options.Background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), DefaultRelayTimeout)
		defer cancel()
		var reply CopyReply
		err := c.options.Peers.Call(ctx, instances[i].Addresses.Control, MethodCopy, CopyArgs{Claim: claim}, &reply)
		if err == nil && reply.Copy != nil {
			c.record(key, reply.Copy.Claim, reply.Copy.finalResult())
		}
	})
}

// finalResult returns the result of an ended record's attempt.
func (r *Record) finalResult() Result {
	if r.State == StateComplete {
		return r.Result
	}
	return Result{Outcome: outcome.Unknown}
}

// markLostHolder changes in-progress to unresolved if the holder was replaced,
// since a retry does not help then. A late report of the result is still recorded.
func (c *Coordinator) markLostHolder(decision Decision) Decision {
	if c.replaced(decision.Holder) {
		decision.Refusal = unknownUnresolved()
	}
	return decision
}

// answer returns the decision that a copy supports. It never grants.
func (r *Record) answer(claim Claim) Decision {
	if r.Fingerprint != claim.Fingerprint {
		return Decision{Verdict: VerdictRefused, Refusal: unknownReused()}
	}
	if r.State == StateComplete {
		return Decision{Verdict: VerdictRecorded, Recorded: r.recorded()}
	}
	return Decision{Verdict: VerdictRefused, Refusal: unknownUnresolved()}
}
