package claim

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// shardCount is the number of locks that the records of one origin are split over.
const shardCount = 16

// sweepsPerTTL is the number of sweeps in one key lifetime.
const sweepsPerTTL = 16

// table holds the records of one origin. It determines their age by the origin's
// clock alone.
type table struct {
	clock  clock.Clock
	limits Limits
	// base and baseMillis map the local monotonic clock to the origin's clock.
	base       time.Time
	baseMillis int64
	// floor is the latest issue time with records that may have been dropped. Keys
	// issued up to then stay expired, even if operators lengthen the lifetime.
	floor  atomic.Int64
	swept  atomic.Int64
	count  atomic.Int64
	bodies atomic.Int64
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	records map[identity]*Record
}

func newTable(now clock.Clock, base time.Time, baseMillis, floor int64, limits Limits) *table {
	t := &table{clock: now, limits: limits, base: base, baseMillis: baseMillis}
	t.floor.Store(floor)
	t.swept.Store(baseMillis)
	for i := range t.shards {
		t.shards[i].records = make(map[identity]*Record)
	}
	return t
}

// now returns the origin's clock in Unix milliseconds. It never steps back.
func (t *table) now() int64 {
	return t.baseMillis + t.clock.Now().Sub(t.base).Milliseconds()
}

func (t *table) shard(id identity) *shard {
	return &t.shards[xxhash.Sum64String(id.key)%shardCount]
}

func (t *table) begin(key Key, claim Claim, ttl time.Duration) Decision {
	now := t.now()
	t.sweep(now, ttl)
	s := t.shard(claim.identity())
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.records[claim.identity()]; record != nil && key.Issued > t.floor.Load() {
		return record.decide(claim, now)
	}
	if key.Issued <= max(t.floor.Load(), now-ttl.Milliseconds()) {
		return Decision{Verdict: VerdictRefused, Refusal: unknownExpired()}
	}
	if key.Issued > now {
		return Decision{Verdict: VerdictRefused, Refusal: refuseFuture()}
	}
	if t.count.Load() >= int64(t.limits.MaxRecords) {
		return Decision{Verdict: VerdictRefused, Refusal: refuseFull()}
	}
	t.put(s, &Record{Claim: claim, State: StateGranted, Issued: key.Issued, Granted: now})
	return Decision{Verdict: VerdictGranted}
}

// decide returns the decision for a claim on a key that has a record.
func (r *Record) decide(claim Claim, now int64) Decision {
	if r.State == StateFree && r.Attempt != claim.Attempt {
		r.Claim, r.State, r.Granted = claim, StateGranted, now
		return Decision{Verdict: VerdictGranted}
	}
	if r.Fingerprint != claim.Fingerprint {
		return Decision{Verdict: VerdictRefused, Refusal: unknownReused()}
	}
	switch r.State {
	case StateGranted:
		if r.Attempt == claim.Attempt {
			return Decision{Verdict: VerdictGranted}
		}
		return Decision{Verdict: VerdictRefused, Refusal: unknownInProgress(), Holder: r.Holder}
	case StateComplete:
		return Decision{Verdict: VerdictRecorded, Recorded: r.recorded()}
	default:
		return Decision{Verdict: VerdictRefused, Refusal: unknownUnresolved()}
	}
}

func (r *Record) recorded() *Recorded {
	return &Recorded{Result: r.Result}
}

// finish records the result of an attempt. For an attempt that was never granted
// here it leaves a tombstone, which refuses a delayed Begin of that attempt.
func (t *table) finish(key Key, claim Claim, result Result) (changed bool) {
	s := t.shard(claim.identity())
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[claim.identity()]
	if record == nil {
		t.tombstone(s, key, claim)
		return false
	}
	if record.Attempt != claim.Attempt || record.State != StateGranted {
		return false
	}
	record.finish(result)
	t.accountBody(record)
	return true
}

// tombstone adds a free record, so that a delayed Begin of an ended attempt is not
// granted.
func (t *table) tombstone(s *shard, key Key, claim Claim) {
	if key.Issued <= t.floor.Load() || t.count.Load() >= int64(t.limits.MaxRecords) {
		return
	}
	t.put(s, &Record{Claim: claim, State: StateFree, Issued: key.Issued, Granted: t.now()})
}

func (t *table) put(s *shard, record *Record) {
	s.records[record.identity()] = record
	t.count.Add(1)
}

// accountBody adds a record's body to the stored total, or drops the body if the limit
// is exceeded.
func (t *table) accountBody(record *Record) {
	size := int64(len(record.Result.Body))
	if t.bodies.Add(size) <= int64(t.limits.MaxBodies) {
		return
	}
	t.bodies.Add(-size)
	record.Result.Body, record.Result.BodyDropped = nil, true
}

// sweep periodically drops expired records. It raises the floor first, so that a
// key with a dropped record cannot be granted again.
func (t *table) sweep(now int64, ttl time.Duration) {
	last := t.swept.Load()
	if now-last < ttl.Milliseconds()/sweepsPerTTL || !t.swept.CompareAndSwap(last, now) {
		return
	}
	floor := t.raiseFloor(now - ttl.Milliseconds())
	for i := range t.shards {
		t.sweepShard(&t.shards[i], floor)
	}
}

func (t *table) raiseFloor(floor int64) int64 {
	for {
		current := t.floor.Load()
		if floor <= current {
			return current
		}
		if t.floor.CompareAndSwap(current, floor) {
			return floor
		}
	}
}

func (t *table) sweepShard(s *shard, floor int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, record := range s.records {
		if record.Issued > floor {
			continue
		}
		delete(s.records, id)
		t.count.Add(-1)
		t.bodies.Add(-int64(len(record.Result.Body)))
	}
}
