package claim

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// searchWait bounds the rounds after the first, for a decider that does not answer.
	searchWait = 2 * time.Second
	// handoverWait is the bound while a handover is expected. It is longer than a leaving
	// instance's time to hand over, during which nobody decides.
	handoverWait = 8 * time.Second
	// The pause between two rounds doubles from searchPause to searchPauseMax.
	searchPause    = 20 * time.Millisecond
	searchPauseMax = 640 * time.Millisecond
	// relaySearchTimeout bounds a search for another domain, whose call has to get the reply.
	relaySearchTimeout = DefaultRelayTimeout - 300*time.Millisecond
)

// search queries other gateways about one claim, in rounds: a decider may be found in a
// later one, since authority moves, lists lag and calls are lost.
type search struct {
	coordinator *Coordinator
	key         Key
	claim       Claim
	// queried holds the addresses queried in this round.
	queried map[string]bool

	mu    sync.Mutex
	trail trail
	// silent holds, by address, the possible deciders whose last call failed. They are asked
	// again though the lists no longer name them: an instance may leave the lists before it ends.
	silent   map[string]Decider
	bestCopy *Record
	decided  *Decision
	// decider is nil if this gateway decides.
	decider *Decider
	// pending was named as a successor and does not decide yet.
	pending *Decider
	// handover is true if the owner was listed as leaving, or named a successor.
	handover bool
	// unanswered is true if a possible decider did not reply in this round, or may not be
	// known yet, so that a retry may help.
	unanswered bool
}

func (c *Coordinator) newSearch(key Key, claim Claim, copy *Record) *search {
	return &search{
		coordinator: c, key: key, claim: claim, bestCopy: copy,
		trail: trail{began: c.options.Clock.Now()}, silent: make(map[string]Decider),
	}
}

// run searches until a decider replies, none can be left, or its time since the first round has
// passed. successor is the one that this gateway knows.
func (s *search) run(ctx context.Context, successor *Decider) {
	s.round(ctx, successor)
	clock := s.coordinator.options.Clock
	began := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, handoverWait)
	defer cancel()
	for pause := searchPause; s.mayBeDecided() && clock.Now().Sub(began) < s.bound(); pause = min(2*pause, searchPauseMax) {
		if s.coordinator.options.Sleep(ctx, pause) != nil {
			return
		}
		own := s.coordinator.decide(s.key, s.claim)
		if own.Verdict != VerdictNotMine {
			s.decided = &own
			return
		}
		s.round(ctx, own.Successor)
	}
}

// bound returns the time for the rounds after the first.
func (s *search) bound() time.Duration {
	if s.handover || s.pending != nil {
		return handoverWait
	}
	return searchWait
}

// mayBeDecided reports whether another round may find a decider and is needed: the copy of a
// complete answer is as good as the decider's.
func (s *search) mayBeDecided() bool {
	if s.decided != nil || s.bestCopy != nil && s.bestCopy.State == StateComplete {
		return false
	}
	return s.unanswered || s.pending != nil
}

// round queries each possible decider of the current lists once.
func (s *search) round(ctx context.Context, successor *Decider) {
	s.queried = make(map[string]bool)
	if s.key.Domain == s.coordinator.options.Self.Domain {
		s.inDomain(ctx, successor)
	} else {
		s.inRemoteDomain(ctx)
	}
}

// inDomain queries the gateways of the own domain: the likely deciders in
// sequence, then all others concurrently.
func (s *search) inDomain(ctx context.Context, successor *Decider) {
	first, others := s.coordinator.localDeciders(s.key)
	if s.pending != nil {
		first = append([]Decider{*s.pending}, first...)
	}
	if successor != nil {
		first = append([]Decider{*successor}, first...)
		s.pending = successor
	}
	s.handover = s.handover || s.coordinator.isLeaving(s.key.Origin)
	others = slices.AppendSeq(others, maps.Values(s.silent))
	s.unanswered = !s.coordinator.replaced(s.key.Origin) || s.coordinator.mayMissNeighbours()
	for _, decider := range first {
		if s.followSuccessors(ctx, decider) {
			return
		}
	}
	s.askAll(ctx, others)
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
		s.silent[decider.Control] = decider
		return nil
	}
	delete(s.silent, decider.Control)
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

// withdraw abandons the attempt wherever its Begin may have been granted and the
// reply lost, so that the next attempt can get the key. Only the attempt's holder
// may do so, and it must not begin that attempt again.
func (s *search) withdraw(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	c, relay := s.coordinator, s.key.Domain != s.coordinator.options.Self.Domain
	c.options.Background(func() {
		c.finish(ctx, s.key, s.claim, notRun, nil)
		for _, decider := range s.silent {
			c.reportTo(ctx, decider, s.claim, notRun, relay)
		}
	})
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
