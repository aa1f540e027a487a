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

// StorePrefix starts the key-value service's keys of opaque claims.
const StorePrefix = "claim/"

// DefaultRetention is the least time for which an opaque key is remembered.
const DefaultRetention = time.Hour

// MaxStoredOpaqueBody is the longest answer in bytes kept in the key-value service.
const MaxStoredOpaqueBody = 4 << 10

// storeTimeout bounds all of a claim's calls together.
const storeTimeout = time.Second

// storeTries is how often a claim whose write went unanswered is tried.
const storeTries = 2

// Store claims opaque keys in the key-value service: one write before the run
// and one after it.
type Store struct {
	keyValue platform.KeyValue
	leases   *leases
}

// NewStore returns a store that remembers keys for at least retention.
func NewStore(keyValue platform.KeyValue, now clock.Clock, retention time.Duration) *Store {
	return &Store{keyValue: keyValue, leases: newLeases(keyValue, now, retention)}
}

// Ticket is a claim that was won in the store.
type Ticket struct {
	record   Record
	lease    platform.LeaseID
	revision int64
}

// Begin claims an opaque key. Without a ticket the decision says why.
// A write whose answer was lost is read back by the attempt's name.
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

// put writes the claim where there is none. It returns the record that stood
// there instead, or nil when the claim is this ticket's. An error means that
// neither is known; trying again is safe, since the attempt's name is unique.
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

// granted gives the claim back when so much time passed while it was written
// that the service will forget it sooner than promised.
func (s *Store) granted(ctx context.Context, ticket *Ticket, lease lease) (*Ticket, Decision) {
	if s.leases.usable(lease) {
		return ticket, Decision{Verdict: VerdictGranted}
	}
	s.Finish(ctx, ticket, notRun)
	return nil, unknownStore(platform.ErrLeaseLost)
}

// Finish writes how the attempt ended. A lost write leaves the claim as running,
// so that repeats are told unknown until it is forgotten.
func (s *Store) Finish(ctx context.Context, ticket *Ticket, result Result) {
	ticket.record.finish(bounded(result, MaxStoredOpaqueBody))
	_, _ = s.write(ctx, ticket, ticket.revision)
}

// write puts the ticket's record; a free one is removed.
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

// answerOpaque is what the stored record says to a repeat.
func (r *Record) answerOpaque(claim Claim) Decision {
	decision := r.answer(claim)
	if r.State == StateGranted && r.Fingerprint == claim.Fingerprint {
		decision.Refusal, decision.Holder = unknownInProgress(), r.Holder
	}
	return decision
}

// storeKey hides the caller's key behind a hash.
func storeKey(claim Claim) string {
	hash := sha256.Sum256([]byte(claim.Key))
	return StorePrefix + claim.Caller + "/" + hex.EncodeToString(hash[:])
}

func unknownStore(err error) Decision {
	refusal := unknownStoreDown()
	refusal.Err = err
	return Decision{Verdict: VerdictRefused, Refusal: refusal}
}
