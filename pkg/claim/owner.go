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

// Verdict is how a decider answered.
type Verdict uint8

// The verdicts of a decision.
const (
	// VerdictNotMine: the asked instance does not decide this key. Absence of a
	// record there means nothing.
	VerdictNotMine Verdict = iota
	// VerdictGranted: the attempt may run.
	VerdictGranted
	// VerdictRecorded: the request is complete, and this is its answer.
	VerdictRecorded
	// VerdictRefused: the attempt must not run.
	VerdictRefused
)

// Decision answers a claim. One of the fields is set, as Verdict says.
type Decision struct {
	Verdict  Verdict
	Recorded *Recorded
	Refusal  *outcome.Refusal
	// Successor decides in the place of the asked instance, with VerdictNotMine;
	// nil when that is not known.
	Successor *Decider
	// Holder has the grant, with a refusal for a running request.
	Holder Origin
}

// Decider names a gateway that decides keys, and where to reach it.
type Decider struct {
	Origin
	// Control is the net/rpc address of its gateway.
	Control string
}

// Owner decides the keys of its own origin and of those handed over to it. It
// is safe for concurrent use.
type Owner struct {
	self   Origin
	clock  clock.Clock
	ttl    func() time.Duration
	limits Limits

	// gate is held for reading by every decision, and for writing by what
	// changes who decides.
	mu        sync.RWMutex
	tables    map[Origin]*table
	stopped   bool
	successor *Decider
	// outstanding is the transfer that may have been adopted; empty: none.
	outstanding string
	transfers   map[string]TransferReply
	staged      map[Origin]*staging
}

// NewOwner returns the decider of a fresh incarnation's keys. ttl is asked at
// each decision, since operators may change it.
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

// Prefix returns the key prefix to give out now; ok is false once the owner has
// stopped deciding.
func (o *Owner) Prefix() (prefix string, ok bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if o.stopped {
		return "", false
	}
	return Prefix(o.self, o.tables[o.self].now()), true
}

// Begin decides a claim on a key. Asking again with the same attempt gives the
// same answer, as long as the attempt has not ended.
func (o *Owner) Begin(key Key, claim Claim) Decision {
	o.mu.RLock()
	defer o.mu.RUnlock()
	records, successor := o.decides(key.Origin)
	if records == nil {
		return Decision{Verdict: VerdictNotMine, Successor: successor}
	}
	return records.begin(key, claim, o.ttl())
}

// Ended says what became of a Finish.
type FinishStatus struct {
	// Decided is true when this owner decides the key; otherwise nothing was
	// recorded, and Successor is as in Decision.
	Decided   bool
	Successor *Decider
	// Changed is true for the first Finish of a granted attempt.
	Changed bool
}

// Finish records what became of a granted attempt. Repeating it changes nothing.
func (o *Owner) Finish(key Key, claim Claim, result Result) FinishStatus {
	o.mu.RLock()
	defer o.mu.RUnlock()
	records, successor := o.decides(key.Origin)
	if records == nil {
		return FinishStatus{Successor: successor}
	}
	return FinishStatus{Decided: true, Changed: records.finish(key, claim, result)}
}

// decides returns the records of an origin that this owner decides, else nil
// and, where it is known, the one that does.
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

// Records counts the records held, of all origins.
func (o *Owner) Records() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	total := 0
	for _, records := range o.tables {
		total += int(records.count.Load())
	}
	return total
}
