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
	// interval is the time between checks of the lease and of the engines.
	interval = time.Second
	// releaseTimeout bounds the release of the lease at shutdown.
	releaseTimeout = time.Second
)

// Engines calls model engines. Every call has a deadline.
type Engines interface {
	// State reads an engine's state.
	State(ctx context.Context, engine config.Upstream) (State, error)
	// Send sends an order. It calls permit right before it writes the order, and
	// sends nothing if that returns an error. If the engine refuses the fencing
	// number the error is ErrStaleFence; after any other error the order may have
	// taken effect.
	Send(ctx context.Context, load Load, permit func() error) error
}

// Source is the agent's state that the controller reads.
type Source interface {
	// Declaration returns the declaration in force, or nil.
	Declaration() *config.Declaration
	// Reported returns the version in an engine's last load report.
	Reported(upstream string) (version string, ok bool)
	// Candidate reports whether this instance may take the lease. Only a few
	// instances per failure domain are candidates, to limit key-value calls.
	Candidate() bool
}

// Dependencies of a controller.
type Dependencies struct {
	// Domain is the failure domain, Holder this instance's name and incarnation.
	Domain, Holder string
	KeyValue       platform.KeyValue
	// Weights staggers the loads; nil if the platform has no weight store.
	Weights platform.WeightStore
	Engines Engines
	Source  Source
	Clock   clock.Clock
	Log     zerolog.Logger
}

// Controller acquires and renews the lease of its failure domain. While it holds the
// lease it brings the engines to their declared versions.
type Controller struct {
	Dependencies
	term atomic.Pointer[term]
	// leaseAttempt is the last lease request if its reply was lost, and nextCheck the
	// time of the next check of the key. Only the loop of maintainLease uses them.
	leaseAttempt *leaseAttempt
	nextCheck    time.Time

	// current is used only by the loop of sendOrders.
	current termState
}

func New(dependencies Dependencies) *Controller {
	return &Controller{Dependencies: dependencies}
}

// Holding reports whether this instance holds the order lease.
func (c *Controller) Holding() bool {
	held := c.term.Load()
	return held != nil && !held.expired(c.Clock.Now())
}

// Run maintains the lease and sends orders until ctx ends; then it releases the lease.
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

// sendPause returns the pause before the next round of sendOrders. It is shorter if
// the weight store becomes free sooner: a holder that retries later than the store
// stated may repeatedly find it busy with the loads of other domains.
func (c *Controller) sendPause() time.Duration {
	busy := c.current.nextReserve.Sub(c.Clock.Now())
	if busy <= 0 || busy > interval {
		return interval
	}
	return busy
}

// every repeats a step, followed by a pause, until ctx ends.
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
