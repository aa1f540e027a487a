package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// StorePrefix is the prefix of opaque claims in the key-value service.
const StorePrefix = "claim/"

// DefaultRetention is the minimum time that an opaque claim is stored.
const DefaultRetention = time.Hour

// MaxStoredOpaqueBody is the longest answer, in bytes, that is stored in the
// key-value service.
const MaxStoredOpaqueBody = 4 << 10

// storeTimeout bounds all of a claim's calls together.
const storeTimeout = time.Second

// storeTries bounds the attempts to write a claim when replies are lost.
const storeTries = 2

// Store claims opaque keys in the key-value service, with one write before the run
// and one after it.
type Store struct {
	keyValue platform.KeyValue
	leases   *leases
}

// NewStore returns a store that keeps claims for at least retention.
func NewStore(keyValue platform.KeyValue, now clock.Clock, retention time.Duration) *Store {
	return &Store{keyValue: keyValue, leases: newLeases(keyValue, now, retention)}
}

// Ticket is a granted claim in the store.
type Ticket struct {
	record   Record
	lease    platform.LeaseID
	revision int64
}

// Begin claims an opaque key. Without a ticket, the decision gives the reason. If
// the reply to the write is lost, Begin reads the claim back and compares its
// attempt ID.
func (s *Store) Begin(ctx context.Context, claim Claim) (*Ticket, Decision) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := s.leases.current(ctx)
	if err != nil {
		return nil, unknownStore(err)
	}
	ticket := &Ticket{record: Record{Claim: claim, State: StateGranted}, lease: lease.id}
	for range storeTries {
		var stored *Record
		stored, err = s.put(ctx, ticket)
		if err != nil {
			continue
		}
		if stored == nil {
			return s.granted(ctx, ticket, lease)
		}
		return nil, stored.answerOpaque(claim)
	}
	return nil, unknownStore(err)
}

// put writes the claim if the key has none. It returns the conflicting record, or
// nil if the claim is this ticket's. After an error neither is known; a retry is
// safe, since the attempt ID is unique.
func (s *Store) put(ctx context.Context, ticket *Ticket) (*Record, error) {
	revision, err := s.write(ctx, ticket, 0)
	if err == nil {
		ticket.revision = revision
		return nil, nil
	}
	stored, revision, readErr := s.read(ctx, ticket.record.Claim)
	if readErr != nil || stored == nil {
		return nil, errors.Join(err, readErr)
	}
	if stored.Attempt != ticket.record.Attempt {
		return stored, nil
	}
	ticket.revision = revision
	return nil, nil
}

// granted returns the ticket. It releases the claim instead if the write took so
// long that the lease would expire before the end of the retention.
func (s *Store) granted(ctx context.Context, ticket *Ticket, lease lease) (*Ticket, Decision) {
	if s.leases.usable(lease) {
		return ticket, Decision{Verdict: VerdictGranted}
	}
	s.Finish(ctx, ticket, notRun)
	return nil, unknownStore(platform.ErrLeaseLost)
}

// Finish writes the result of the attempt. If the write is lost the claim stays
// running, and repeats get unknown until it expires.
func (s *Store) Finish(ctx context.Context, ticket *Ticket, result Result) {
	ticket.record.finish(dropLongBody(result, MaxStoredOpaqueBody))
	_, _ = s.write(ctx, ticket, ticket.revision)
}

// write stores the ticket's record, or deletes the entry if the record is free.
func (s *Store) write(ctx context.Context, ticket *Ticket, expected int64) (int64, error) {
	key := storeKey(ticket.record.Claim)
	value, err := json.Marshal(ticket.record)
	if err != nil {
		return 0, err
	}
	put := platform.Put{Key: key, Value: value, Lease: ticket.lease}
	if ticket.record.State == StateFree {
		put = platform.Put{Key: key, Delete: true}
	}
	return s.keyValue.Swap(ctx, map[string]int64{key: expected}, []platform.Put{put})
}

func (s *Store) read(ctx context.Context, claim Claim) (*Record, int64, error) {
	entry, ok, err := s.keyValue.Get(ctx, storeKey(claim))
	if err != nil || !ok {
		return nil, 0, err
	}
	record := &Record{}
	if err := json.Unmarshal(entry.Value, record); err != nil {
		return nil, 0, err
	}
	return record, entry.ModRevision, nil
}

// answerOpaque returns the decision that a stored record supports for a repeat.
func (r *Record) answerOpaque(claim Claim) Decision {
	decision := r.answer(claim)
	if r.State == StateGranted && r.Fingerprint == claim.Fingerprint {
		decision.Refusal, decision.Holder = unknownInProgress(), r.Holder
	}
	return decision
}

// storeKey returns the entry's key, with a hash in place of the caller's key.
func storeKey(claim Claim) string {
	hash := sha256.Sum256([]byte(claim.Key))
	return StorePrefix + claim.Caller + "/" + hex.EncodeToString(hash[:])
}

func unknownStore(err error) Decision {
	refusal := unknownStoreDown()
	refusal.Err = err
	return Decision{Verdict: VerdictRefused, Refusal: refusal}
}
