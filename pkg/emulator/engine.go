// Package emulator plays a deployment of model engines and instances in virtual time,
// without network: engines that read prompts in chunks between the tokens of others, and
// instances that decide with the real decision code and hear of each other late. A seed
// gives the same run each time.
package emulator

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/steer"
)

// EngineModel is what the engines of a deployment have in common.
type EngineModel struct {
	// Slots is how many requests run at once.
	Slots int
	// Step is how long a step takes in which every running request gets a token, and
	// StepPerContext what 1,000 tokens of context of those that run add to it.
	Step, StepPerContext time.Duration
	// ReadRate is prompt tokens read in a millisecond, Chunk how many are read in a step
	// at most.
	ReadRate float64
	Chunk    int
	// CacheTokens is the memory for cached prompt parts.
	CacheTokens int
}

// run is one request at an engine.
type run struct {
	request *request
	// unread is what is left of its prompt to be read, owed the tokens of its answer to
	// come.
	unread, owed int
	begun        func(now time.Time)
	ended        func(now time.Time)
	gone         bool
}

// engine is one modelled engine.
type engine struct {
	id       string
	model    *EngineModel
	slow     float64
	queue    []*run
	running  []*run
	cache    *cache
	stepping bool
}

// accept queues a request by its rank.
func (e *engine) accept(r *run) {
	r.unread = max(1, r.request.prompt()-e.cache.held(r.request.Segments))
	at, _ := slices.BinarySearchFunc(e.queue, r.request.rank()+1, func(other *run, rank int) int {
		return cmp.Compare(other.request.rank(), rank)
	})
	e.queue = slices.Insert(e.queue, at, r)
}

// step does one step and returns how long it takes; zero when there is nothing to do.
func (e *engine) step() (took time.Duration, begun, ended []*run) {
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return r.gone })
	e.queue = slices.DeleteFunc(e.queue, func(r *run) bool { return r.gone })
	for len(e.queue) > 0 && len(e.running) < e.model.Slots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return 0, nil, nil
	}
	read, context := 0, 0
	for _, r := range e.running {
		if r.unread > 0 {
			part := min(r.unread, e.model.Chunk-read)
			r.unread -= part
			read += part
			if r.unread > 0 {
				continue
			}
			e.cache.add(r.request.Segments)
			begun = append(begun, r)
		}
		context += r.request.prompt()
		r.owed--
		if r.owed <= 0 {
			ended = append(ended, r)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return r.unread == 0 && r.owed <= 0 })
	took = e.model.Step + time.Duration(context)*e.model.StepPerContext/1000
	took += time.Duration(float64(read) / e.model.ReadRate * float64(time.Millisecond))
	return time.Duration(float64(took) * max(1, e.slow)), begun, ended
}

// cache holds prompt parts and drops the least recently used.
type cache struct {
	room, used int
	order      *list.List
	byID       map[string]*list.Element
}

func newCache(room int) *cache {
	return &cache{room: room, order: list.New(), byID: make(map[string]*list.Element)}
}

// held is how many tokens of the prompt's first parts are cached.
func (c *cache) held(parts []steer.Segment) int {
	held := 0
	for _, part := range parts {
		element := c.byID[part.ID]
		if element == nil {
			return held
		}
		c.order.MoveToFront(element)
		held += part.Tokens
	}
	return held
}

// add caches the parts of a prompt.
func (c *cache) add(parts []steer.Segment) {
	for _, part := range parts {
		if element := c.byID[part.ID]; element != nil {
			c.order.MoveToFront(element)
			continue
		}
		c.byID[part.ID] = c.order.PushFront(part)
		c.used += part.Tokens
	}
	for c.used > c.room {
		last := c.order.Remove(c.order.Back()).(steer.Segment)
		delete(c.byID, last.ID)
		c.used -= last.Tokens
	}
}
