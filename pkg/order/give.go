package order

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// ErrStaleFence: an engine has seen a higher fencing number.
var ErrStaleFence = errors.New("engine has seen a higher fencing number")

// ErrWeightsBusy: the weight store lends no further load now.
var ErrWeightsBusy = errors.New("weight store is busy")

// readLimit bounds the engines that are read at the same time.
const readLimit = 8

// give reads the engines that need it and sends the orders that are due.
func (c *Controller) give(ctx context.Context) {
	held := c.tenure.Load()
	declaration := c.Source.Declaration()
	if held == nil || declaration == nil {
		return
	}
	if c.last.lease != held.lease {
		c.last = newTally(held)
	}
	engines := wanted(declaration, c.Domain)
	states := c.read(ctx, engines)
	if c.superseded(states) {
		c.stepDown(ctx)
		return
	}
	for _, engine := range plan(engines, states, c.last.recentDoubt(c.Clock.Now()), declaration.Policy.WeightLoads) {
		if !c.sendOne(ctx, engine) {
			return
		}
	}
}

// read returns the state of every engine that is not known to be as declared,
// and remembers those that are.
func (c *Controller) read(ctx context.Context, engines []config.Upstream) map[string]State {
	var mu sync.Mutex
	states := make(map[string]State, len(engines))
	failed := make(map[string]error)
	var group errgroup.Group
	group.SetLimit(readLimit)
	for _, engine := range engines {
		if c.settled(engine) {
			continue
		}
		group.Go(func() error {
			state, err := c.Engines.State(ctx, engine)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed[engine.Name] = err
				return nil
			}
			states[engine.Name] = state
			return nil
		})
	}
	_ = group.Wait()
	c.noteUnread(failed)
	for name, state := range states {
		delete(c.last.doubt, name)
		delete(c.last.confirmed, name)
		if state.Loading == "" {
			c.last.confirmed[name] = state.Version
		}
	}
	return states
}

// noteUnread remembers which engines could not be read, and logs the first failure of each
// in a row: without a state an engine gets no order.
func (c *Controller) noteUnread(failed map[string]error) {
	for name, err := range failed {
		if !c.last.unread[name] {
			c.Log.Warn().Str("upstream", name).Err(err).Msg("order-state-unread")
		}
	}
	clear(c.last.unread)
	for name := range failed {
		c.last.unread[name] = true
	}
}

// settled reports whether an engine was read to be as declared, and its load
// report says the same.
func (c *Controller) settled(engine config.Upstream) bool {
	reported, ok := c.Source.Reported(engine.Name)
	agrees := ok && reported == engine.Version
	_, doubt := c.last.doubt[engine.Name]
	return agrees && !doubt && c.last.confirmed[engine.Name] == engine.Version
}

// superseded reports whether an engine has taken an order of a later holder.
func (c *Controller) superseded(states map[string]State) bool {
	highest := c.last.fence()
	for _, state := range states {
		if state.Fence > highest {
			return true
		}
	}
	return false
}

// sendOne sends an engine its order; false ends this round.
func (c *Controller) sendOne(ctx context.Context, engine config.Upstream) bool {
	permit := func() error { return c.permit(c.last.lease, engine.ChecksFencing) }
	if err := permit(); err != nil {
		// The weight store need not be asked. The check that counts is in Send.
		c.noteHeld(engine, err)
		return true
	}
	if !c.reserve(ctx, engine) {
		return false
	}
	c.last.sent++
	c.last.held = ""
	load := c.load(engine)
	c.last.doubt[engine.Name] = c.Clock.Now()
	err := c.Engines.Send(ctx, load, permit)
	c.Log.Info().Str("upstream", engine.Name).Str("version", load.Version).Int64("fence", load.Fence).AnErr("error", err).Msg("order-sent")
	if errors.Is(err, ErrStaleFence) {
		c.stepDown(ctx)
		return false
	}
	return true
}

func (c *Controller) load(engine config.Upstream) Load {
	fence := c.last.fence()
	return Load{
		ID:       fmt.Sprintf("%s-%d", c.Holder, fence),
		Upstream: engine,
		Model:    engine.Serves,
		Version:  engine.Version,
		Fence:    fence,
	}
}

// stepDown gives up the lease that this loop worked under.
func (c *Controller) stepDown(ctx context.Context) {
	held := c.tenure.Load()
	if held != nil && held.lease == c.last.lease {
		c.release(ctx, held, "superseded")
	}
}

// permit says whether an order may leave now under the lease.
func (c *Controller) permit(lease platform.LeaseID, checks bool) error {
	held := c.tenure.Load()
	if held == nil || held.lease != lease {
		return ErrNoLease
	}
	return held.permit(c.Clock.Now(), checks)
}

// reserve asks the weight store for a load; false when it is busy or silent.
func (c *Controller) reserve(ctx context.Context, engine config.Upstream) bool {
	if c.Weights == nil {
		return true
	}
	asked := c.Clock.Now()
	if asked.Before(c.last.wait) {
		return false
	}
	wait, err := c.Weights.Reserve(ctx, engine.Serves, engine.Version)
	if err != nil {
		c.noteHeld(engine, fmt.Errorf("weight store: %w", err))
		return false
	}
	if wait > 0 {
		c.last.wait = c.last.turns.next(asked, wait)
		c.noteHeld(engine, ErrWeightsBusy)
		return false
	}
	c.last.turns.served()
	return true
}

// noteHeld logs why an engine's order is held back, when the reason is another than before.
func (c *Controller) noteHeld(engine config.Upstream, reason error) {
	text := reason.Error()
	if c.last.held == text {
		return
	}
	c.last.held = text
	c.Log.Info().Str("upstream", engine.Name).Str("reason", text).Msg("order-held")
}
