package decide

import (
	"container/list"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// Parameters of a modelled engine, those of the stand-in engine's deployments.
const (
	engineSlots       = 8
	engineDecodeRate  = 60.0 // tokens per second of a single stream
	engineBatchCost   = 0.06 // relative increase of the time per token for each further stream
	enginePrefillRate = 8000.0
	engineCacheTokens = 60000
	reportedPrefixes  = 64
)

// engine is a simulated model engine with slots, one prompt in prefill at a time and
// a prefix cache with least-recently-used eviction.
type engine struct {
	name          string
	failureDomain *failureDomain
	// lost engines report that they are unreachable and receive no new work.
	lost bool
	// slowdown multiplies all processing times; zero means 1. An engine that
	// misreports appears fast and idle.
	slowdown            float64
	misreports, rejects bool
	running             int
	queue, prefilling   []*flight
	prefillBusy         bool
	cache               cache
	// prefillSeconds sums the prefill time, wasted the share of it that a warm
	// cache would have saved.
	prefillSeconds, wasted float64
	decodeSeconds          float64
	reports                [2]board.UpstreamLoad
	loadHistory            loadHistory
}

func newEngine(fd *failureDomain, i int) *engine {
	return &engine{name: fmt.Sprintf("engine-%s-%02d", fd.name, i), failureDomain: fd, cache: newCache()}
}

// tokenTime returns the time per token at the current batch size.
func (e *engine) tokenTime() time.Duration {
	others := float64(max(0, e.running-1))
	return time.Duration(max(1, e.slowdown) * (1 + engineBatchCost*others) / engineDecodeRate * float64(time.Second))
}

// tokenCost returns the engine-seconds per token in a full batch.
func tokenCost() float64 {
	return (1 + engineBatchCost*(engineSlots-1)) / engineDecodeRate / engineSlots
}

// prefillTime admits a prompt to the cache and returns the duration of its prefill.
func (e *engine) prefillTime(j *job) time.Duration {
	missing, reusable := e.cache.admit(j)
	seconds := float64(missing) / enginePrefillRate
	e.prefillSeconds += seconds
	e.wasted += float64(reusable) / enginePrefillRate
	return time.Duration(max(1, e.slowdown) * seconds * float64(time.Second))
}

// sample makes the report that polls return after the next sample.
func (e *engine) sample(now time.Time) {
	e.reports[0] = e.reports[1]
	e.reports[1] = board.UpstreamLoad{
		Name: e.name, State: e.state(),
		Running: e.running, Queued: len(e.queue),
		DecodeRate:  1 / e.tokenTime().Seconds(),
		PrefillRate: enginePrefillRate,
		Version:     version,
		ReportedAt:  now,
		Prefixes:    e.cache.recent(),
	}
	if e.misreports {
		e.reports[1].Running, e.reports[1].Queued = 0, 0
		e.reports[1].DecodeRate = engineDecodeRate
	}
}

func (e *engine) state() board.UpstreamState {
	if e.lost {
		return board.UpstreamSilent
	}
	return board.UpstreamLive
}

// cache is a prefix cache with least-recently-used eviction.
type cache struct {
	used   int
	order  *list.List
	byHash map[uint64]*list.Element
}

type cached struct {
	hash   uint64
	tokens int
}

func newCache() cache {
	return cache{order: list.New(), byHash: map[uint64]*list.Element{}}
}

// admit caches a prompt. It returns the number of its tokens that were missing, and
// the number of those in messages before the last, which other prompts may share.
func (c *cache) admit(j *job) (missing, reusable int) {
	before, broken := 0, false
	for i, hash := range j.prefixes {
		tokens := j.tokens[i] - before
		before = j.tokens[i]
		element, ok := c.byHash[hash]
		broken = broken || !ok
		if broken {
			missing += tokens
			if i < len(j.prefixes)-1 {
				reusable += tokens
			}
		}
		if ok {
			c.order.MoveToFront(element)
			continue
		}
		c.byHash[hash] = c.order.PushFront(cached{hash, tokens})
		c.used += tokens
	}
	c.evict()
	return missing, reusable
}

func (c *cache) evict() {
	for c.used > engineCacheTokens {
		last := c.order.Back()
		entry := c.order.Remove(last).(cached)
		delete(c.byHash, entry.hash)
		c.used -= entry.tokens
	}
}

// recent returns the most recently used prefixes.
func (c *cache) recent() []uint64 {
	var found []uint64
	for e := c.order.Front(); e != nil && len(found) < reportedPrefixes; e = e.Next() {
		found = append(found, e.Value.(cached).hash)
	}
	return found
}

func hashOf(parts ...any) uint64 { return xxhash.Sum64String(fmt.Sprint(parts...)) }
