package order

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

const (
	// interval is how often the lease and the engines are looked at.
	interval = time.Second
	// releaseTimeout bounds the giving back of the lease at the end.
	releaseTimeout = time.Second
)

// Engines reaches model engines. Every call has a deadline.
type Engines interface {
	// State reads an engine's state.
	State(ctx context.Context, engine config.Upstream) (State, error)
	// Send sends an order. It calls permit right before the order's bytes leave,
	// and sends nothing when that returns an error. An answer of the engine that
	// refuses the fencing number is ErrStaleFence; after any other error the
	// order may have taken effect.
	Send(ctx context.Context, load Load, permit func() error) error
}

// Source is what the controller reads of the agent.
type Source interface {
	// Declaration returns the declaration in force, or nil.
	Declaration() *config.Declaration
	// Reported returns the version in an engine's last load report.
	Reported(upstream string) (version string, ok bool)
	// Candidate reports whether this instance may take the lease. A few
	// candidates for each failure domain keep the calls of the key-value service few.
	Candidate() bool
}

// Dependencies of a controller.
type Dependencies struct {
	// Domain is the failure domain, Holder this instance's name and incarnation.
	Domain, Holder string
	KeyValue       platform.KeyValue
	// Weights staggers the loads; nil when the platform has no weight store.
	Weights platform.WeightStore
	Engines Engines
	Source  Source
	Clock   clock.Clock
	Log     zerolog.Logger
}

// Controller takes and keeps the lease of its failure domain, and while it holds
// that, brings the engines to their declared versions.
type Controller struct {
	Dependencies
	term atomic.Pointer[term]
	// claim is the last attempt at the lease whose answer was lost, look when to
	// look at the key again; they belong to the loop of hold.
	leaseAttempt *leaseAttempt
	nextCheck    time.Time

	// The rest belongs to the loop of give.
	current termState
}

// New returns a controller.
func New(dependencies Dependencies) *Controller {
	return &Controller{Dependencies: dependencies}
}

// Holding reports whether this instance is the order-giver.
func (c *Controller) Holding() bool {
	held := c.term.Load()
	return held != nil && !held.expired(c.Clock.Now())
}

// Run works until ctx ends; then it gives the lease back.
func (c *Controller) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { every(ctx, func() { c.maintainLease(ctx) }, func() time.Duration { return interval }) })
	loops.Go(func() { every(ctx, func() { c.sendOrders(ctx) }, c.sendPause) })
	loops.Wait()
	held := c.term.Load()
	if held == nil {
		return
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	c.release(bounded, held, "stopping")
}

// pause is how long the loop of give waits for its next round. It is short when
// the weight store is free before long: a holder that asks later than it was told
// to may find the store busy time after time, with loads of other domains.
func (c *Controller) sendPause() time.Duration {
	busy := c.current.nextReserve.Sub(c.Clock.Now())
	if busy <= 0 || busy > interval {
		return interval
	}
	return busy
}

// every repeats a step until ctx ends, with a pause after each.
func every(ctx context.Context, step func(), pause func() time.Duration) {
	for ctx.Err() == nil {
		step()
		timer := time.NewTimer(pause())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}
