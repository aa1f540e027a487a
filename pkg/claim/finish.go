package claim

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

var notRun = Result{Outcome: outcome.NotRun}

func timeoutOf(relay bool) time.Duration {
	if relay {
		return DefaultRelayTimeout
	}
	return DefaultCallTimeout
}

// finish reports the result of an attempt to the decider that granted it, which is
// nil if it is this gateway or unknown. If that fails it reports to all gateways
// that may decide the key or answer for it.
func (c *Coordinator) finish(ctx context.Context, key Key, claim Claim, result Result, granted *Decider) {
	if decided, _ := c.record(key, claim, result); decided {
		return
	}
	remote := key.Domain != c.options.Self.Domain
	if granted != nil && c.reportTo(ctx, *granted, claim, result, remote) {
		return
	}
	if remote {
		c.reportToRelays(ctx, key, claim, result)
		return
	}
	c.reportToDomain(ctx, key, claim, result)
}

// record stores the result of an attempt, either as the decider, which also
// replicates it to a peer, or as a copy.
func (c *Coordinator) record(key Key, claim Claim, result Result) (decided bool, successor *Decider) {
	result = dropLongBody(result, MaxStoredBody)
	ended := c.owner.Finish(key, claim, result)
	if !ended.Decided {
		c.storeCopy(claim, result)
		return false, ended.Successor
	}
	if ended.Changed && result.Outcome != outcome.NotRun {
		c.options.Background(func() { c.replicate(key, claim, result) })
	}
	return true, nil
}

func (c *Coordinator) storeCopy(claim Claim, result Result) {
	if result.Outcome != outcome.NotRun {
		c.copies.Put(claim, result)
	}
}

// reportTo asks one gateway, and the successors that the replies name, to record
// the result of an attempt. It returns false unless a decider confirmed it.
func (c *Coordinator) reportTo(ctx context.Context, decider Decider, claim Claim, result Result, relay bool) bool {
	queried := make(map[string]bool)
	for next := &decider; next != nil && !queried[next.Control]; {
		queried[next.Control] = true
		reply, err := c.callFinish(ctx, *next, claim, result, relay)
		if err != nil {
			return false
		}
		if reply.Decided {
			return true
		}
		next = reply.Successor
	}
	return false
}

func (c *Coordinator) callFinish(ctx context.Context, decider Decider, claim Claim, result Result, relay bool) (FinishReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(relay))
	defer cancel()
	var reply FinishReply
	args := FinishArgs{Claim: claim, Result: result, Relay: relay}
	err := c.options.Peers.Call(ctx, decider.Control, MethodFinish, args, &reply)
	return reply, err
}

// reportToDomain reports to all gateways of the own domain concurrently: a decider
// records the result, all others store a copy.
func (c *Coordinator) reportToDomain(ctx context.Context, key Key, claim Claim, result Result) bool {
	first, others := c.localDeciders(key)
	results := make([]bool, len(first)+len(others))
	var group sync.WaitGroup
	for i, decider := range append(first, others...) {
		group.Go(func() { results[i] = c.reportTo(ctx, decider, claim, result, false) })
	}
	group.Wait()
	return slices.Contains(results, true)
}

func (c *Coordinator) reportToRelays(ctx context.Context, key Key, claim Claim, result Result) {
	for _, relay := range c.relays(key) {
		if c.reportTo(ctx, relay, claim, result, true) {
			return
		}
	}
}

// replicate copies an ended attempt to one peer of the domain, chosen by
// rendezvous hashing, so that repeats can be answered if this gateway crashes.
func (c *Coordinator) replicate(key Key, claim Claim, result Result) {
	_, others := c.localDeciders(key)
	if len(others) == 0 {
		return
	}
	peer := rendezvousOrder(claim.Key, others)[0]
	_, _ = c.callFinish(context.Background(), peer, claim, result, false)
}

// rendezvousOrder sorts deciders by rendezvous hash for a text, first choice first.
func rendezvousOrder(text string, deciders []Decider) []Decider {
	ranked := slices.Clone(deciders)
	weight := func(d Decider) uint64 { return xxhash.Sum64String(text + "/" + d.Instance) }
	slices.SortFunc(ranked, func(a, b Decider) int { return cmp.Compare(weight(b), weight(a)) })
	return ranked
}
