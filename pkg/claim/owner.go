package claim

import (
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// DefaultMaxRecords bounds the records of one origin.
const DefaultMaxRecords = 200_000

// DefaultMaxBodies bounds the stored answers of one origin, in bytes.
const DefaultMaxBodies = 64 << 20

// Limits bounds an Owner's memory.
type Limits struct {
	// MaxRecords bounds the records of one origin; zero means DefaultMaxRecords.
	MaxRecords int
	// MaxBodies bounds the stored bodies of one origin in bytes; zero means
	// DefaultMaxBodies. Beyond it only the fact of completion is kept.
	MaxBodies int
}

func (l Limits) orDefault() Limits {
	if l.MaxRecords == 0 {
		l.MaxRecords = DefaultMaxRecords
	}
	if l.MaxBodies == 0 {
		l.MaxBodies = DefaultMaxBodies
	}
	return l
}

// Verdict is the kind of a decision.
type Verdict uint8

// The verdicts of a decision.
const (
	// VerdictNotMine means that the queried instance does not decide this key, so
	// the absence of a record there proves nothing.
	VerdictNotMine Verdict = iota
	// VerdictGranted means that the attempt may run.
	VerdictGranted
	// VerdictRecorded means that the request is complete; Recorded holds its answer.
	VerdictRecorded
	// VerdictRefused means that the attempt must not run.
	VerdictRefused
)

// Decision is the result of a claim. Verdict determines which other field is set.
type Decision struct {
	Verdict  Verdict
	Recorded *Recorded
	Refusal  *outcome.Refusal
	// Successor, with VerdictNotMine, decides in place of the queried instance; nil
	// if unknown.
	Successor *Decider
	// Holder, with an in-progress refusal, has the grant.
	Holder Origin
}

// Decider identifies a gateway that decides keys, and its address.
type Decider struct {
	Origin
	// Control is the gateway's net/rpc address.
	Control string
}

// Owner decides the keys of its own origin and of origins handed over to it. It is
// safe for concurrent use.
type Owner struct {
	self   Origin
	clock  clock.Clock
	ttl    func() time.Duration
	limits Limits

	// mu is read-locked by every decision, and write-locked by changes of the
	// decider.
	mu        sync.RWMutex
	tables    map[Origin]*table
	stopped   bool
	successor *Decider
	// outstanding is the ID of the transfer that may have been adopted, or empty.
	outstanding string
	transfers   map[string]TransferReply
	staged      map[Origin]*staging
}

// NewOwner returns the decider of a new incarnation's keys. ttl is called for each
// decision, since operators may change it.
func NewOwner(self Origin, now clock.Clock, ttl func() time.Duration, limits Limits) *Owner {
	limits = limits.orDefault()
	start := now.Now()
	own := newTable(now, start, start.UnixMilli(), start.UnixMilli()-1, limits)
	return &Owner{
		self:      self,
		clock:     now,
		ttl:       ttl,
		limits:    limits,
		tables:    map[Origin]*table{self: own},
		transfers: make(map[string]TransferReply),
		staged:    make(map[Origin]*staging),
	}
}

// Prefix returns the key prefix to issue now; ok is false once the owner has
// stopped deciding.
func (o *Owner) Prefix() (prefix string, ok bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if o.stopped {
		return "", false
	}
	return Prefix(o.self, o.tables[o.self].now()), true
}

// Begin decides a claim on a key. It is idempotent for an attempt until that
// attempt ends.
func (o *Owner) Begin(key Key, claim Claim) Decision {
	o.mu.RLock()
	defer o.mu.RUnlock()
	records, successor := o.decides(key.Origin)
	if records == nil {
		return Decision{Verdict: VerdictNotMine, Successor: successor}
	}
	return records.begin(key, claim, o.ttl())
}

// FinishStatus is the result of Owner.Finish.
type FinishStatus struct {
	// Decided is true if this owner decides the key; otherwise nothing was
	// recorded, and Successor is as in Decision.
	Decided   bool
	Successor *Decider
	// Changed is true for the first Finish of a granted attempt.
	Changed bool
}

// Finish records the result of a granted attempt. It is idempotent.
func (o *Owner) Finish(key Key, claim Claim, result Result) FinishStatus {
	o.mu.RLock()
	defer o.mu.RUnlock()
	records, successor := o.decides(key.Origin)
	if records == nil {
		return FinishStatus{Successor: successor}
	}
	return FinishStatus{Decided: true, Changed: records.finish(key, claim, result)}
}

// decides returns the records of an origin that this owner decides; otherwise nil
// and the decider, if known.
func (o *Owner) decides(origin Origin) (*table, *Decider) {
	records := o.tables[origin]
	if records == nil {
		return nil, nil
	}
	if o.stopped {
		return nil, o.successor
	}
	return records, nil
}

// Records returns the number of records of all origins.
func (o *Owner) Records() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	total := 0
	for _, records := range o.tables {
		total += int(records.count.Load())
	}
	return total
}
