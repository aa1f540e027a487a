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

// ErrStaleFence means that an engine has seen a higher fencing number.
var ErrStaleFence = errors.New("engine has seen a higher fencing number")

// ErrWeightsBusy means that the weight store grants no further load now.
var ErrWeightsBusy = errors.New("weight store is busy")

// readLimit bounds the concurrent reads of engine states.
const readLimit = 8

// sendOrders reads the engines that are not known to be up to date and sends the
// orders that are due.
func (c *Controller) sendOrders(ctx context.Context) {
	held := c.term.Load()
	declaration := c.Source.Declaration()
	if held == nil || declaration == nil {
		return
	}
	if c.current.lease != held.lease {
		c.current = newTermState(held)
	}
	engines := declaredEngines(declaration, c.Domain)
	states := c.readStates(ctx, engines)
	if c.superseded(states) {
		c.stepDown(ctx)
		return
	}
	for _, engine := range plan(engines, states, c.current.possiblyLoading(c.Clock.Now()), declaration.Policy.WeightLoads) {
		if !c.sendOrder(ctx, engine) {
			return
		}
	}
}

// readStates returns the state of every engine that is not known to be up to date,
// and records the versions that it read.
func (c *Controller) readStates(ctx context.Context, engines []config.Upstream) map[string]State {
	var mu sync.Mutex
	states := make(map[string]State, len(engines))
	failed := make(map[string]error)
	var group errgroup.Group
	group.SetLimit(readLimit)
	for _, engine := range engines {
		if c.upToDate(engine) {
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
	c.recordUnread(failed)
	for name, state := range states {
		delete(c.current.unverified, name)
		delete(c.current.confirmed, name)
		if state.Loading == "" {
			c.current.confirmed[name] = state.Version
		}
	}
	return states
}

// recordUnread records the engines that could not be read, and logs the first of
// consecutive failures of each: without a state an engine gets no order.
func (c *Controller) recordUnread(failed map[string]error) {
	for name, err := range failed {
		if !c.current.unread[name] {
			c.Log.Warn().Str("upstream", name).Err(err).Msg("order-state-unread")
		}
	}
	clear(c.current.unread)
	for name := range failed {
		c.current.unread[name] = true
	}
}

// upToDate reports whether both an engine's last read state and its load report show
// the declared version.
func (c *Controller) upToDate(engine config.Upstream) bool {
	reported, ok := c.Source.Reported(engine.Name)
	agrees := ok && reported == engine.Version
	_, unverified := c.current.unverified[engine.Name]
	return agrees && !unverified && c.current.confirmed[engine.Name] == engine.Version
}

// superseded reports whether an engine has accepted an order of a later holder.
func (c *Controller) superseded(states map[string]State) bool {
	highest := c.current.fence()
	for _, state := range states {
		if state.Fence > highest {
			return true
		}
	}
	return false
}

// sendOrder sends one engine its order; false ends this round.
func (c *Controller) sendOrder(ctx context.Context, engine config.Upstream) bool {
	permit := func() error { return c.permit(c.current.lease, engine.ChecksFencing) }
	if err := permit(); err != nil {
		// This only saves a weight store call. Send makes the authoritative check.
		c.logHeld(engine, err)
		return true
	}
	if !c.reserve(ctx, engine) {
		return false
	}
	c.current.sent++
	c.current.heldReason = ""
	load := c.load(engine)
	c.current.unverified[engine.Name] = c.Clock.Now()
	err := c.Engines.Send(ctx, load, permit)
	c.Log.Info().Str("upstream", engine.Name).Str("version", load.Version).Int64("fence", load.Fence).AnErr("error", err).Msg("order-sent")
	if errors.Is(err, ErrStaleFence) {
		c.stepDown(ctx)
		return false
	}
	return true
}

func (c *Controller) load(engine config.Upstream) Load {
	fence := c.current.fence()
	return Load{
		ID:       fmt.Sprintf("%s-%d", c.Holder, fence),
		Upstream: engine,
		Model:    engine.Serves,
		Version:  engine.Version,
		Fence:    fence,
	}
}

// stepDown releases the lease that this loop used.
func (c *Controller) stepDown(ctx context.Context) {
	held := c.term.Load()
	if held != nil && held.lease == c.current.lease {
		c.release(ctx, held, "superseded")
	}
}

// permit returns an error unless an order may be sent now under the lease.
func (c *Controller) permit(lease platform.LeaseID, checks bool) error {
	held := c.term.Load()
	if held == nil || held.lease != lease {
		return ErrNoLease
	}
	return held.permit(c.Clock.Now(), checks)
}

// reserve reserves a load in the weight store; false if it is busy or unreachable.
func (c *Controller) reserve(ctx context.Context, engine config.Upstream) bool {
	if c.Weights == nil {
		return true
	}
	asked := c.Clock.Now()
	if asked.Before(c.current.nextReserve) {
		return false
	}
	wait, err := c.Weights.Reserve(ctx, engine.Serves, engine.Version)
	if err != nil {
		c.logHeld(engine, fmt.Errorf("weight store: %w", err))
		return false
	}
	if wait > 0 {
		c.current.nextReserve = c.current.reserveSchedule.nextAttempt(asked, wait)
		c.logHeld(engine, ErrWeightsBusy)
		return false
	}
	c.current.reserveSchedule.recordGrant()
	return true
}

// logHeld logs why an engine's order is held back, if the reason has changed.
func (c *Controller) logHeld(engine config.Upstream, reason error) {
	text := reason.Error()
	if c.current.heldReason == text {
		return
	}
	c.current.heldReason = text
	c.Log.Info().Str("upstream", engine.Name).Str("reason", text).Msg("order-held")
}
