package claim

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

const testTTL = 15 * time.Minute

// fakeClock is a clock that the test advances.
type fakeClock struct{ offset atomic.Int64 }

var epoch = time.UnixMilli(1_800_000_000_000)

func (c *fakeClock) Now() time.Time          { return epoch.Add(time.Duration(c.offset.Load())) }
func (c *fakeClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

func fixedTTL() time.Duration { return testTTL }

var ownOrigin = Origin{Domain: "hn-a", Instance: "hn-1", Incarnation: 7}

func keyAt(origin Origin, issued time.Time, random string) Key {
	return Key{Origin: origin, Issued: issued.UnixMilli(), Random: random}
}

func claimOf(key Key, caller, attempt string) Claim {
	return Claim{Key: key.String(), Caller: caller, Attempt: attempt, Fingerprint: FingerprintOf("POST", "/", nil)}
}

var answered = Result{Outcome: outcome.Complete, Status: 201, Body: []byte("stored")}

// verdictOf returns a decision's verdict, or the outcome and reason of its refusal.
func verdictOf(decision Decision) string {
	switch decision.Verdict {
	case VerdictGranted:
		return "granted"
	case VerdictRecorded:
		return "recorded"
	case VerdictRefused:
		return string(decision.Refusal.Outcome) + " " + string(decision.Refusal.Reason)
	default:
		return "not mine"
	}
}

func TestOwnerDecides(t *testing.T) {
	key := keyAt(ownOrigin, epoch, randomPart)
	first, second := claimOf(key, "desk", "a"), claimOf(key, "desk", "b")
	other := second
	other.Fingerprint = FingerprintOf("POST", "/", []byte("other"))
	finish := func(o *Owner, result Result) { o.Finish(key, first, result) }
	cases := []struct {
		name string
		do   func(o *Owner, clock *fakeClock)
		ask  Claim
		key  Key
		want string
	}{
		{"nothing before", func(*Owner, *fakeClock) {}, second, key, "granted"},
		{"same attempt again", func(o *Owner, _ *fakeClock) { o.Begin(key, first) }, first, key, "granted"},
		{"repeat while running", func(o *Owner, _ *fakeClock) { o.Begin(key, first) }, second, key,
			"unknown idempotency-key-in-progress"},
		{"repeat after the end", func(o *Owner, _ *fakeClock) { o.Begin(key, first); finish(o, answered) }, second, key, "recorded"},
		{"repeat after abandoning", func(o *Owner, _ *fakeClock) { o.Begin(key, first); finish(o, notRun) }, second, key, "granted"},
		{"abandoning comes before its begin", func(o *Owner, _ *fakeClock) { finish(o, notRun) }, first, key,
			"unknown idempotency-key-unresolved"},
		{"abandoning comes after the end", func(o *Owner, _ *fakeClock) {
			o.Begin(key, first)
			finish(o, answered)
			finish(o, notRun)
		}, second, key, "recorded"},
		{"another attempt abandons", func(o *Owner, _ *fakeClock) {
			o.Begin(key, first)
			o.Finish(key, second, notRun)
		}, second, key, "unknown idempotency-key-in-progress"},
		{"repeat after an unknown end", func(o *Owner, _ *fakeClock) {
			o.Begin(key, first)
			finish(o, Result{Outcome: outcome.Unknown})
		}, second, key, "unknown idempotency-key-unresolved"},
		{"another body", func(o *Owner, _ *fakeClock) { o.Begin(key, first); finish(o, answered) }, other, key,
			"unknown idempotency-key-reused"},
		{"another caller", func(o *Owner, _ *fakeClock) { o.Begin(key, first) }, claimOf(key, "clinic", "b"), key, "granted"},
		{"expired", func(_ *Owner, c *fakeClock) { c.advance(testTTL) }, first, key, "unknown idempotency-key-expired"},
		{"expired with a record", func(o *Owner, c *fakeClock) {
			o.Begin(key, first)
			finish(o, answered)
			c.advance(testTTL)
		}, second, key, "unknown idempotency-key-expired"},
		{"before the incarnation", func(*Owner, *fakeClock) {}, first,
			keyAt(ownOrigin, epoch.Add(-time.Second), randomPart), "unknown idempotency-key-expired"},
		{"in the future", func(*Owner, *fakeClock) {}, first,
			keyAt(ownOrigin, epoch.Add(time.Second), randomPart), "not-run idempotency-key-invalid"},
		{"another incarnation", func(*Owner, *fakeClock) {}, first,
			keyAt(Origin{Domain: "hn-a", Instance: "hn-1", Incarnation: 6}, epoch, randomPart), "not mine"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := &fakeClock{}
			owner := NewOwner(ownOrigin, clock, fixedTTL, Limits{})
			c.do(owner, clock)
			is.Equal(verdictOf(owner.Begin(c.key, c.ask)), c.want)
		})
	}
}

// If operators shorten and then lengthen the key lifetime, keys with records that
// were dropped in between must not become valid again.
func TestDroppedRecordNeverGrantedAgain(t *testing.T) {
	is := is.New(t)
	clock, ttl := &fakeClock{}, testTTL
	owner := NewOwner(ownOrigin, clock, func() time.Duration { return ttl }, Limits{})
	key := keyAt(ownOrigin, epoch, randomPart)
	is.Equal(verdictOf(owner.Begin(key, claimOf(key, "desk", "a"))), "granted")
	owner.Finish(key, claimOf(key, "desk", "a"), answered)
	clock.advance(2 * time.Minute)
	ttl = time.Minute
	owner.Begin(keyAt(ownOrigin, clock.Now(), randomPart), claimOf(key, "desk", "x"))
	ttl = testTTL
	is.Equal(verdictOf(owner.Begin(key, claimOf(key, "desk", "b"))), "unknown idempotency-key-expired")
}

func TestOwnerMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	owner := NewOwner(ownOrigin, clock, fixedTTL, Limits{MaxRecords: 2, MaxBodies: len(answered.Body)})
	keys := []Key{keyAt(ownOrigin, epoch, randomPart), keyAt(ownOrigin, epoch, randomPart+"1"), keyAt(ownOrigin, epoch, randomPart+"2")}
	for _, key := range keys[:2] {
		is.Equal(verdictOf(owner.Begin(key, claimOf(key, "desk", "a"))), "granted")
		owner.Finish(key, claimOf(key, "desk", "a"), answered)
	}
	is.Equal(verdictOf(owner.Begin(keys[2], claimOf(keys[2], "desk", "a"))), "not-run overloaded")
	kept := owner.Begin(keys[0], claimOf(keys[0], "desk", "b"))
	is.Equal(string(kept.Recorded.Body), "stored")
	dropped := owner.Begin(keys[1], claimOf(keys[1], "desk", "b"))
	is.True(dropped.Recorded.BodyDropped) // complete, but its body exceeded the limit
	clock.advance(testTTL)
	fresh := keyAt(ownOrigin, clock.Now(), randomPart)
	is.Equal(verdictOf(owner.Begin(fresh, claimOf(fresh, "desk", "a"))), "granted")
	is.Equal(owner.Records(), 1)
}
