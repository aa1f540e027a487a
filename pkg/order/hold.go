package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// claim is an attempt at the lease.
type claim struct {
	lease platform.LeaseID
	// value is what the attempt writes; it names the holder and the lease.
	value string
	// begun is just before the lease was asked for.
	begun time.Time
}

// key is where the failure domain's order-giver is written.
func (c *Controller) key() string { return "order/" + c.Domain }

// hold takes the lease, renews it, or notices that it has ended.
func (c *Controller) hold(ctx context.Context) {
	held := c.tenure.Load()
	now := c.Clock.Now()
	switch {
	case held == nil:
		if now.Before(c.look) {
			return
		}
		c.look = now.Add(lookInterval)
		c.acquire(ctx)
	case held.expired(now):
		c.drop(held, "expired")
	case held.due(now):
		c.renew(ctx, held, now)
	}
}

func (c *Controller) acquire(ctx context.Context) {
	if c.claim == nil && !c.Source.Candidate() {
		return
	}
	entry, taken, err := c.KeyValue.Get(ctx, c.key())
	if err != nil {
		return
	}
	attempt := c.claim
	c.claim = nil
	if taken {
		if attempt != nil && string(entry.Value) == attempt.value {
			c.begin(attempt, entry.ModRevision)
		}
		return
	}
	if attempt != nil {
		// Should the attempt be still under way, it fails without its lease.
		_ = c.KeyValue.Revoke(ctx, attempt.lease)
	}
	if c.Source.Candidate() {
		c.ask(ctx)
	}
}

// ask asks for the lease. When the answer is lost, the next look at the key tells.
func (c *Controller) ask(ctx context.Context) {
	begun := c.Clock.Now()
	lease, err := c.KeyValue.Grant(ctx, LeaseTTL)
	if err != nil {
		return
	}
	attempt := &claim{lease: lease, value: fmt.Sprintf("%s %d", c.Holder, lease), begun: begun}
	put := platform.Put{Key: c.key(), Value: []byte(attempt.value), Lease: lease}
	revision, err := c.KeyValue.Swap(ctx, map[string]int64{c.key(): 0}, []platform.Put{put})
	switch {
	case err == nil:
		c.begin(attempt, revision)
	case errors.Is(err, platform.ErrConflict):
		// Nobody else can use this lease; left alone it ends by itself.
		_ = c.KeyValue.Revoke(ctx, lease)
	default:
		c.claim = attempt
	}
}

func (c *Controller) begin(attempt *claim, revision int64) {
	fresh := &tenure{
		lease: attempt.lease, revision: revision, acquired: c.Clock.Now(), renewed: attempt.begun, ttl: LeaseTTL,
	}
	c.tenure.Store(fresh)
	c.Log.Info().Str("domain", c.Domain).Int64("revision", revision).Msg("order-lease-taken")
}

// renew renews the lease. A failed call changes nothing: the lease runs on from
// the last renewal that was answered.
func (c *Controller) renew(ctx context.Context, held *tenure, begun time.Time) {
	ttl, err := c.KeyValue.KeepAlive(ctx, held.lease)
	if errors.Is(err, platform.ErrLeaseLost) {
		c.drop(held, "lost")
		return
	}
	if err != nil {
		return
	}
	longer := *held
	longer.renewed, longer.ttl = begun, ttl
	c.tenure.CompareAndSwap(held, &longer)
}

// drop ends a tenure here.
func (c *Controller) drop(held *tenure, cause string) {
	if c.tenure.CompareAndSwap(held, nil) {
		c.Log.Warn().Str("domain", c.Domain).Int64("revision", held.revision).Str("cause", cause).Msg("order-lease-ended")
	}
}

// release ends a tenure here and at the service.
func (c *Controller) release(ctx context.Context, held *tenure, cause string) {
	c.drop(held, cause)
	// Unanswered, the lease ends by itself.
	_ = c.KeyValue.Revoke(ctx, held.lease)
}
