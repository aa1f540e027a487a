// Package emulator emulates a deployment of model engines and instances in virtual time,
// without a network. Engines prefill prompts in chunks in the steps that decode other
// requests; instances route with the production code and receive delayed reports of each
// other. Runs with the same seed are identical.
package emulator

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/steer"
)

// EngineModel holds the parameters of all engines of a deployment.
type EngineModel struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// Step is the duration of a step, in which every running request gets a token, and
	// StepPerContext the time that each 1,000 tokens of context of those requests add.
	Step, StepPerContext time.Duration
	// PrefillRate is the prompt tokens prefilled in a millisecond, PrefillChunk the
	// largest number of them in a step.
	PrefillRate  float64
	PrefillChunk int
	// CacheTokens is the capacity of the cache of prompt segments.
	CacheTokens int
}

// run is a request at an engine.
type run struct {
	request *request
	// unreadTokens is the number of prompt tokens still to be prefilled, pendingTokens that
	// of answer tokens still to be generated.
	unreadTokens, pendingTokens int
	onFirstToken                func(now time.Time)
	onEnd                       func(now time.Time)
	cancelled                   bool
}

// engine is an emulated engine.
type engine struct {
	id       string
	model    *EngineModel
	slow     float64
	queue    []*run
	running  []*run
	cache    *cache
	stepping bool
}

// accept queues a request by its priority.
func (e *engine) accept(r *run) {
	r.unreadTokens = max(1, r.request.prompt()-e.cache.cachedTokens(r.request.Segments))
	at, _ := slices.BinarySearchFunc(e.queue, r.request.rank()+1, func(other *run, rank int) int {
		return cmp.Compare(other.request.rank(), rank)
	})
	e.queue = slices.Insert(e.queue, at, r)
}

// step executes one step and returns its duration, zero if there is no work, with the
// requests that it started and ended.
func (e *engine) step() (took time.Duration, started, ended []*run) {
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return r.cancelled })
	e.queue = slices.DeleteFunc(e.queue, func(r *run) bool { return r.cancelled })
	for len(e.queue) > 0 && len(e.running) < e.model.Slots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return 0, nil, nil
	}
	read, context := 0, 0
	for _, r := range e.running {
		if r.unreadTokens > 0 {
			part := min(r.unreadTokens, e.model.PrefillChunk-read)
			r.unreadTokens -= part
			read += part
			if r.unreadTokens > 0 {
				continue
			}
			e.cache.add(r.request.Segments)
			started = append(started, r)
		}
		context += r.request.prompt()
		r.pendingTokens--
		if r.pendingTokens <= 0 {
			ended = append(ended, r)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return r.unreadTokens == 0 && r.pendingTokens <= 0 })
	took = e.model.Step + time.Duration(context)*e.model.StepPerContext/1000
	took += time.Duration(float64(read) / e.model.PrefillRate * float64(time.Millisecond))
	return time.Duration(float64(took) * max(1, e.slow)), started, ended
}

// cache is an LRU cache of prompt segments.
type cache struct {
	capacity, used int
	order          *list.List
	byID           map[string]*list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), byID: make(map[string]*list.Element)}
}

// cachedTokens returns the number of tokens in the prompt's leading cached segments.
func (c *cache) cachedTokens(parts []steer.Segment) int {
	cachedTokens := 0
	for _, part := range parts {
		element := c.byID[part.ID]
		if element == nil {
			return cachedTokens
		}
		c.order.MoveToFront(element)
		cachedTokens += part.Tokens
	}
	return cachedTokens
}

// add caches the segments of a prompt.
func (c *cache) add(parts []steer.Segment) {
	for _, part := range parts {
		if element := c.byID[part.ID]; element != nil {
			c.order.MoveToFront(element)
			continue
		}
		c.byID[part.ID] = c.order.PushFront(part)
		c.used += part.Tokens
	}
	for c.used > c.capacity {
		last := c.order.Remove(c.order.Back()).(steer.Segment)
		delete(c.byID, last.ID)
		c.used -= last.Tokens
	}
}
