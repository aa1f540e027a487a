package engine

import (
	"container/list"
	"strconv"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/prefix"
)

const (
	// eventLimit bounds the retained cache events.
	eventLimit = 2048
	// eventGap is the period at which an event is dropped.
	eventGap = 8
	// maxReportedPrefixes bounds the prefixes of a load report.
	maxReportedPrefixes = 64
	// hexadecimal is the base in which prefixes are written.
	hexadecimal = 16
)

// cache is an LRU cache of prompt prefixes, bounded in tokens.
type cache struct {
	clock    clock.Clock
	capacity int
	lag      time.Duration

	mu       sync.Mutex
	used     int
	order    *list.List
	byHash   map[uint64]*list.Element
	sequence int64
	events   []timedEvent
}

type cacheEntry struct {
	hash uint64
	// tokens is the number of tokens that this prefix adds to the previous one.
	tokens int
}

type timedEvent struct {
	at    time.Time
	event engineapi.CacheEvent
}

func newCache(c clock.Clock, capacity int, lag time.Duration) *cache {
	return &cache{clock: c, capacity: capacity, lag: lag, order: list.New(), byHash: make(map[uint64]*list.Element)}
}

// admit returns the number of prompt tokens after the cached prefix, and caches the
// whole prompt.
func (c *cache) admit(messages []prefix.Message) int {
	hashes := prefix.Hashes(messages)
	c.mu.Lock()
	defer c.mu.Unlock()
	uncached, missed := 0, false
	for i, hash := range hashes {
		tokens := prefix.Tokens(messages[i : i+1])
		element, ok := c.byHash[hash]
		missed = missed || !ok
		if missed {
			uncached += tokens
		}
		if ok {
			c.order.MoveToFront(element)
			continue
		}
		c.byHash[hash] = c.order.PushFront(cacheEntry{hash: hash, tokens: tokens})
		c.used += tokens
		c.recordEvent(engineapi.CacheStored, hash)
	}
	c.evict()
	return uncached
}

func (c *cache) evict() {
	for c.used > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Back()
		entry := oldest.Value.(cacheEntry)
		c.order.Remove(oldest)
		delete(c.byHash, entry.hash)
		c.used -= entry.tokens
		c.recordEvent(engineapi.CacheEvicted, entry.hash)
	}
}

func (c *cache) recordEvent(kind string, hash uint64) {
	c.sequence++
	if c.sequence%eventGap == 0 {
		return
	}
	event := engineapi.CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: strconv.FormatUint(hash, hexadecimal)}
	c.events = append(c.events, timedEvent{at: c.clock.Now(), event: event})
	if len(c.events) > eventLimit {
		c.events = c.events[len(c.events)-eventLimit:]
	}
}

// eventsAfter returns the events after a sequence number that are at least lag old.
func (c *cache) eventsAfter(sequence int64) []engineapi.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	cutoff := c.clock.Now().Add(-c.lag)
	found := []engineapi.CacheEvent{}
	for _, timed := range c.events {
		if timed.event.Sequence > sequence && !timed.at.After(cutoff) {
			found = append(found, timed.event)
		}
	}
	return found
}

// recentPrefixes returns the most recently used prefixes.
func (c *cache) recentPrefixes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for element := c.order.Front(); element != nil && len(found) < maxReportedPrefixes; element = element.Next() {
		found = append(found, strconv.FormatUint(element.Value.(cacheEntry).hash, hexadecimal))
	}
	return found
}

// clear empties the cache, as a restart does.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.Init()
	clear(c.byHash)
	c.used = 0
}
