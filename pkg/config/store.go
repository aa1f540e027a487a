package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// HeadKey holds the encoded head.
const HeadKey = "config/head"

// AuditPrefix starts the keys of the audit trail's segments; the rest is the
// segment's first revision in auditDigits digits.
const AuditPrefix = "config/audit/"

// Bounds of a change.
const (
	// ChangeBound is the time after which an undecided change is unknown.
	ChangeBound = 5 * time.Second
	// callBound is the timeout of one call of the platform's service.
	callBound = time.Second
	// firstPause and maxPause bound the pause between two attempts.
	firstPause = 5 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Pause waits, or returns the context's error when that ends first.
type Pause func(ctx context.Context, wait time.Duration) error

// Store accepts changes and stores the audit trail in the platform's key-value
// service. It is safe for concurrent use, by any number of processes.
//
// The service's reads of one key must be monotonic. A read that returns a
// modification revision then proves that no write which expected an earlier one
// can still take effect.
type Store struct {
	kv     platform.KeyValue
	clock  clock.Clock
	pause  Pause
	jitter func() float64
	// semaphore lets one change of this process at a time compete for the head.
	semaphore chan struct{}
}

// NewStore returns a store. The jitter function returns numbers in [0,1).
func NewStore(kv platform.KeyValue, clk clock.Clock, pause Pause, jitter func() float64) *Store {
	return &Store{kv: kv, clock: clk, pause: pause, jitter: jitter, semaphore: make(chan struct{}, 1)}
}

// Stored is the head as stored in the service.
type Stored struct {
	Head *Head
	// ModRevision is the modification revision of the head key, 0 when it is absent.
	ModRevision int64
	// newer is the reason why this version must not write the head back, or nil.
	newer error
}

// Read returns the head, or one of revision 0 when there is none yet. The error is
// the platform's or an *EncodingError.
func (s *Store) Read(ctx context.Context) (Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	entry, ok, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return Stored{}, fmt.Errorf("read head: %w", err)
	}
	if !ok {
		return Stored{Head: &Head{Declaration: new(Declaration)}}, nil
	}
	head, newer := decodeHead(entry.Value, strict)
	if newer != nil {
		head, err = DecodeHead(entry.Value)
	}
	if err != nil {
		return Stored{}, err
	}
	return Stored{Head: head, ModRevision: entry.ModRevision, newer: newer}, nil
}

// Change proposes a change and returns the decision, within ChangeBound.
func (s *Store) Change(ctx context.Context, proposal Proposal) Decision {
	ctx, cancel := context.WithTimeout(ctx, ChangeBound)
	defer cancel()
	select {
	case s.semaphore <- struct{}{}:
		defer func() { <-s.semaphore }()
	case <-ctx.Done():
		return unreachable(&proposal, false, ctx.Err())
	}
	attempt := &attempt{store: s, proposal: &proposal}
	return attempt.run(ctx)
}

// attempt is the state of one change while it competes for the head.
type attempt struct {
	store    *Store
	proposal *Proposal
	// pending is true while a write that was sent may still take effect, which it
	// can only over the head of modification revision pendingRevision.
	pending         bool
	pendingRevision int64
	// last is the last error of the service.
	last error
}

// run repeats read, decide and write until there is a decision. Repeating a write
// over the same head after a lost answer is safe: both writes expect the same
// modification revision, so at most one of them takes effect.
func (a *attempt) run(ctx context.Context) Decision {
	for round := 0; ; round++ {
		if err := a.wait(ctx, round); err != nil {
			return unreachable(a.proposal, a.pending, errors.Join(a.last, err))
		}
		stored, err := a.store.Read(ctx)
		var unreadable *EncodingError
		if errors.As(err, &unreadable) && !a.pending {
			return Decision{State: Refused, ID: a.proposal.ID, Reason: err}
		}
		if err != nil {
			a.last = err
			continue
		}
		decision, done := a.decide(ctx, stored)
		if done {
			return decision
		}
	}
}

func (a *attempt) wait(ctx context.Context, round int) error {
	if round == 0 {
		return ctx.Err()
	}
	wait := min(firstPause<<min(round, 16), maxPause)
	return a.store.pause(ctx, time.Duration(float64(wait)*a.store.jitter()))
}

// decide returns the decision found in the head, or else writes the next head.
func (a *attempt) decide(ctx context.Context, stored Stored) (Decision, bool) {
	if a.pending && stored.ModRevision != a.pendingRevision {
		a.pending = false
	}
	decision, done, err := a.store.history(ctx, stored.Head, a.proposal.ID)
	var incomplete *HistoryError
	if errors.As(err, &incomplete) {
		return Decision{State: Refused, ID: a.proposal.ID, Reason: err}, !a.pending
	}
	if err != nil {
		a.last = err
		return Decision{}, false
	}
	if done {
		return decision, true
	}
	next, err := a.store.prepare(stored, a.proposal)
	if err != nil {
		return Decision{State: Refused, ID: a.proposal.ID, Reason: err}, !a.pending
	}
	return a.write(ctx, stored, next)
}

func (a *attempt) write(ctx context.Context, stored Stored, next *prepared) (Decision, bool) {
	a.pending = true
	a.pendingRevision = stored.ModRevision
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	_, err := a.store.kv.Swap(ctx, next.expect, next.puts)
	if err != nil {
		a.last = err
		return Decision{}, false
	}
	return Decision{
		State:    Accepted,
		ID:       a.proposal.ID,
		Revision: next.head.Revision,
		Head:     next.head,
		Change:   &next.change,
		Dangers:  next.dangers,
	}, true
}

// unreachable returns the decision when the service did not answer in time. It is
// refused when no write of the ID was ever sent, and otherwise unknown.
func unreachable(proposal *Proposal, sent bool, err error) Decision {
	state := Refused
	if sent || proposal.Repeated {
		state = Unknown
	}
	return Decision{State: state, ID: proposal.ID, Reason: &UnreachableError{Sent: sent, Err: err}}
}
