package claim

import (
	"context"
	"encoding/hex"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Default bounds in time.
const (
	// DefaultCallTimeout bounds one call to a gateway of the own domain.
	DefaultCallTimeout = 500 * time.Millisecond
	// DefaultRelayTimeout bounds one call to a gateway of another domain, which
	// may have to query its own domain.
	DefaultRelayTimeout = 1500 * time.Millisecond
	// DefaultTransferTimeout bounds one attempt to hand over to a successor.
	DefaultTransferTimeout = 2 * time.Second
)

// Peers calls methods of other gateways; control.Clients is one. An error
// leaves open whether the call took effect.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options configures a Coordinator.
type Options struct {
	// Self is this gateway's incarnation.
	Self Origin
	// Clock carries a monotonic reading (see clock.Clock).
	Clock clock.Clock
	// Random provides the IDs of attempts and transfers; crypto/rand.Reader except
	// in tests.
	Random io.Reader
	// Peers reaches other gateways.
	Peers Peers
	// Members and Domains return the current snapshots, or nil while there is none.
	Members func() *board.Members
	Domains func() *board.Domains
	// KeyValue holds the claims of opaque keys.
	KeyValue platform.KeyValue
	// TTL returns the lifetime of a key. It is called for each decision.
	TTL func() time.Duration
	// Limits bounds the memory.
	Limits Limits
	// Background runs work that no caller waits for; nil means a goroutine.
	Background func(func())
	// Log receives one line for each claim that found no decider.
	Log zerolog.Logger
	// Sleep waits between retries until ctx ends; nil means a system timer.
	Sleep func(ctx context.Context, pause time.Duration) error
}

// Coordinator finds the decider of a key, local or remote, for its gateway. It is
// safe for concurrent use.
type Coordinator struct {
	options Options
	started time.Time
	owner   *Owner
	copies  *Copies
	store   *Store
}

// New returns the coordinator of a new incarnation.
func New(options Options) *Coordinator {
	if options.Background == nil {
		options.Background = func(work func()) { go work() }
	}
	if options.Sleep == nil {
		options.Sleep = sleep
	}
	return &Coordinator{
		options: options,
		started: options.Clock.Now(),
		owner:   NewOwner(options.Self, options.Clock, options.TTL, options.Limits),
		copies:  NewCopies(options.Clock, options.TTL, 0),
		store:   NewStore(options.KeyValue, options.Clock, DefaultRetention),
	}
}

// Prefix returns the key prefix for callers; ok is false once this gateway has
// stopped deciding.
func (c *Coordinator) Prefix() (prefix string, ok bool) { return c.owner.Prefix() }

// Successor returns the name of the instance that this gateway's keys were handed
// to, or an empty string.
func (c *Coordinator) Successor() string {
	if successor, _ := c.owner.Stopped(); successor != nil {
		return successor.Instance
	}
	return ""
}

// Records returns the number of records that this gateway holds as decider.
func (c *Coordinator) Records() int { return c.owner.Records() }

// Begin requests the right to run a request. Exactly one of the results is set: a
// grant, the recorded answer of the earlier run, or a refusal. It never waits for
// a running request.
//
// Call it before any check that can refuse a request as not-run for a transient
// cause (queues, limits): a repeat of a request that ran must not get not-run.
// Begin fills in an empty Attempt, and always sets Holder.
func (c *Coordinator) Begin(ctx context.Context, claim Claim) (*Grant, *Recorded, *outcome.Refusal) {
	if claim.Attempt == "" {
		claim.Attempt = c.newID()
	}
	claim.Holder = c.options.Self
	if len(claim.Key) > MaxKeyLength {
		return nil, nil, refuseInvalid(errKeyLength)
	}
	if IsOpaque(claim.Key) {
		return c.beginOpaque(ctx, claim)
	}
	key, err := ParseKey(claim.Key)
	if err != nil {
		return nil, nil, refuseInvalid(err)
	}
	decision, decider := c.begin(ctx, key, claim)
	switch decision.Verdict {
	case VerdictGranted:
		return NewGrant(decider == nil, func(ctx context.Context, result Result) {
			c.finish(ctx, key, claim, result, decider)
		}), nil, nil
	case VerdictRecorded:
		return nil, decision.Recorded, nil
	default:
		return nil, nil, decision.Refusal
	}
}

func (c *Coordinator) beginOpaque(ctx context.Context, claim Claim) (*Grant, *Recorded, *outcome.Refusal) {
	ticket, decision := c.store.Begin(ctx, claim)
	if ticket == nil {
		decision = c.markLostHolder(decision)
		return nil, decision.Recorded, decision.Refusal
	}
	return NewGrant(false, func(ctx context.Context, result Result) { c.store.Finish(ctx, ticket, result) }), nil, nil
}

const idBytes = 16 // 128 random bits

func (c *Coordinator) newID() string {
	var id [idBytes]byte
	if _, err := io.ReadFull(c.options.Random, id[:]); err != nil {
		panic(err) // crypto/rand never fails; test sources must not either.
	}
	return hex.EncodeToString(id[:])
}

// errKeyLength rejects overlong keys before they are parsed or hashed.
var errKeyLength = &KeyError{Field: FieldWhole, Offset: MaxKeyLength, Expected: "at most 255 bytes"}

func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
