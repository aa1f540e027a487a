package claim

import (
	"context"
	"slices"
	"sync"
	"time"

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
	if key.Domain == c.options.Self.Domain {
		search.inDomain(ctx, decision.Successor)
	} else {
		search.inRemoteDomain(ctx)
	}
	if search.decided == nil {
		c.withdraw(ctx, key, claim)
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

// withdraw abandons an attempt wherever its Begin may have been granted and the
// reply lost, so that the next attempt can get the key. Only the attempt's holder
// may do so, and it must not begin that attempt again.
func (c *Coordinator) withdraw(ctx context.Context, key Key, claim Claim) {
	ctx = context.WithoutCancel(ctx)
	c.options.Background(func() { c.finish(ctx, key, claim, notRun, nil) })
}

// search queries other gateways about one claim.
type search struct {
	coordinator *Coordinator
	key         Key
	claim       Claim
	queried     map[string]bool

	mu       sync.Mutex
	trail    trail
	bestCopy *Record
	decided  *Decision
	decider  *Decider
	// pending was named as a successor and does not decide yet.
	pending *Decider
	// unanswered is true if a possible decider did not reply, so a retry may help.
	unanswered bool
}

func (c *Coordinator) newSearch(key Key, claim Claim, copy *Record) *search {
	return &search{
		coordinator: c, key: key, claim: claim, queried: make(map[string]bool), bestCopy: copy,
		trail: trail{began: c.options.Clock.Now()},
	}
}

// inDomain queries the gateways of the own domain: the likely deciders in
// sequence, then all others concurrently.
func (s *search) inDomain(ctx context.Context, successor *Decider) {
	first, others := s.coordinator.localDeciders(s.key)
	if successor != nil {
		first = append([]Decider{*successor}, first...)
		s.pending = successor
	}
	s.unanswered = !s.coordinator.replaced(s.key.Origin)
	for _, decider := range first {
		if s.followSuccessors(ctx, decider) {
			return
		}
	}
	s.askAll(ctx, others)
	s.awaitHandover(ctx)
}

const (
	// handoverWait bounds the wait for a successor that has not adopted the keys yet: a handover
	// takes a call or two.
	handoverWait = 500 * time.Millisecond
	// handoverPoll separates the queries meanwhile.
	handoverPoll = 20 * time.Millisecond
)

// awaitHandover queries the pending successor until it decides, names another, or handoverWait
// has passed.
func (s *search) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverWait)
	defer cancel()
	for s.decided == nil && s.pending != nil && s.coordinator.options.Sleep(ctx, handoverPoll) == nil {
		if next := s.call(ctx, *s.pending, false); next != nil {
			s.pending = next
		}
	}
}

// followSuccessors queries a decider, then the chain of successors that the
// replies name.
func (s *search) followSuccessors(ctx context.Context, decider Decider) bool {
	next := &decider
	for next != nil && !s.queried[next.Control] {
		next = s.query(ctx, *next, false)
		if s.decided != nil {
			return true
		}
		if next != nil {
			s.pending = next
		}
	}
	return false
}

func (s *search) askAll(ctx context.Context, deciders []Decider) {
	var group sync.WaitGroup
	for _, decider := range deciders {
		if s.queried[decider.Control] {
			continue
		}
		s.queried[decider.Control] = true
		group.Go(func() { s.call(ctx, decider, false) })
	}
	group.Wait()
}

// inRemoteDomain queries entry instances of the key's domain, which query that
// domain's gateways.
func (s *search) inRemoteDomain(ctx context.Context) {
	relays := s.coordinator.relays(s.key)
	s.unanswered = len(relays) == 0
	for _, relay := range relays {
		s.query(ctx, relay, true)
		if s.decided != nil {
			return
		}
	}
}

func (s *search) query(ctx context.Context, decider Decider, relay bool) *Decider {
	s.queried[decider.Control] = true
	return s.call(ctx, decider, relay)
}

// call sends the claim to one gateway and returns the successor that it names.
func (s *search) call(ctx context.Context, decider Decider, relay bool) *Decider {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(relay))
	defer cancel()
	var reply BeginReply
	args := BeginArgs{Claim: s.claim, Relay: relay}
	sent := s.coordinator.options.Clock.Now()
	err := s.coordinator.options.Peers.Call(ctx, decider.Control, MethodBegin, args, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trail.add(query{decider: decider, successor: reply.Decision.Successor, err: err}, sent, s.coordinator.options.Clock.Now())
	if err != nil {
		s.unanswered = true
		return nil
	}
	s.offerCopyLocked(reply.Copy)
	s.unanswered = s.unanswered || reply.Silent
	if reply.Decision.Verdict == VerdictNotMine {
		return reply.Decision.Successor
	}
	if s.decided == nil {
		s.decided, s.decider = &reply.Decision, &decider
	}
	return nil
}

// offerCopyLocked prefers a complete copy to any other.
func (s *search) offerCopyLocked(copy *Record) {
	if copy != nil && (s.bestCopy == nil || copy.State == StateComplete) {
		s.bestCopy = copy
	}
}

// answer returns the decision after all replies. Only a decider grants; without
// one the best answer is a copy, then unknown.
func (s *search) answer() (Decision, *Decider) {
	switch {
	case s.decided != nil:
		return *s.decided, s.decider
	case s.bestCopy != nil:
		return s.bestCopy.answer(s.claim), nil
	}
	s.logLost()
	return Decision{Verdict: VerdictRefused, Refusal: unknownOwnerLost(s.retryAfter())}, nil
}

// retryAfter returns when a repeat may find the decider; zero means never.
func (s *search) retryAfter() time.Duration {
	if s.unanswered {
		return RetryOwnerLost
	}
	return 0
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
