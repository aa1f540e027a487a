package claim

import (
	"container/list"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// DefaultMaxCopies bounds the copies that one gateway keeps for other deciders.
const DefaultMaxCopies = 50_000

// copyLifetimes is the retention of a copy, in key lifetimes.
const copyLifetimes = 2

// Copies stores ended attempts of keys that other gateways decide. A copy answers
// repeats if the decider is lost; the absence of a copy proves nothing. The oldest
// copies are evicted first. It is safe for concurrent use.
type Copies struct {
	clock clock.Clock
	ttl   func() time.Duration
	max   int

	mu     sync.Mutex
	byKey  map[identity]*list.Element
	oldest *list.List
}

type copyEntry struct {
	record  Record
	expires time.Time
}

// NewCopies returns an empty set; max zero means DefaultMaxCopies.
func NewCopies(now clock.Clock, ttl func() time.Duration, max int) *Copies {
	if max == 0 {
		max = DefaultMaxCopies
	}
	return &Copies{clock: now, ttl: ttl, max: max, byKey: make(map[identity]*list.Element), oldest: list.New()}
}

// Put stores the result of an attempt. A complete result is never replaced.
func (c *Copies) Put(claim Claim, result Result) {
	record := Record{Claim: claim}
	record.finish(result)
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.byKey[claim.identity()]; held != nil {
		if held.Value.(*copyEntry).record.State == StateComplete {
			return
		}
		c.remove(held)
	}
	expires := c.clock.Now().Add(copyLifetimes * c.ttl())
	c.byKey[claim.identity()] = c.oldest.PushBack(&copyEntry{record: record, expires: expires})
	c.trim()
}

// Get returns the copy of a key, or nil.
func (c *Copies) Get(claim Claim) *Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trim()
	held := c.byKey[claim.identity()]
	if held == nil {
		return nil
	}
	record := held.Value.(*copyEntry).record
	return &record
}

func (c *Copies) trim() {
	now := c.clock.Now()
	for first := c.oldest.Front(); first != nil; first = c.oldest.Front() {
		if c.oldest.Len() <= c.max && now.Before(first.Value.(*copyEntry).expires) {
			return
		}
		c.remove(first)
	}
}

func (c *Copies) remove(held *list.Element) {
	delete(c.byKey, held.Value.(*copyEntry).record.identity())
	c.oldest.Remove(held)
}
