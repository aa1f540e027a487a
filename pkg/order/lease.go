package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// claim is an attempt at the lease.
type leaseAttempt struct {
	lease platform.LeaseID
	// value is what the attempt writes; it names the holder and the lease.
	value string
	// begun is just before the lease was asked for.
	requested time.Time
}

// key is where the failure domain's order-giver is written.
func (c *Controller) key() string { return "order/" + c.Domain }

// hold takes the lease, renews it, or notices that it has ended.
func (c *Controller) maintainLease(ctx context.Context) {
	held := c.term.Load()
	now := c.Clock.Now()
	switch {
	case held == nil:
		if now.Before(c.nextCheck) {
			return
		}
		c.nextCheck = now.Add(checkInterval)
		c.acquire(ctx)
	case held.expired(now):
		c.endTerm(held, "expired")
	case held.renewalDue(now):
		c.renew(ctx, held, now)
	}
}

func (c *Controller) acquire(ctx context.Context) {
	if c.leaseAttempt == nil && !c.Source.Candidate() {
		return
	}
	entry, taken, err := c.KeyValue.Get(ctx, c.key())
	if err != nil {
		return
	}
	attempt := c.leaseAttempt
	c.leaseAttempt = nil
	if taken {
		if attempt != nil && string(entry.Value) == attempt.value {
			c.startTerm(attempt, entry.ModRevision)
		}
		return
	}
	if attempt != nil {
		// Should the attempt be still under way, it fails without its lease.
		_ = c.KeyValue.Revoke(ctx, attempt.lease)
	}
	if c.Source.Candidate() {
		c.requestLease(ctx)
	}
}

// ask asks for the lease. When the answer is lost, the next look at the key tells.
func (c *Controller) requestLease(ctx context.Context) {
	requested := c.Clock.Now()
	lease, err := c.KeyValue.Grant(ctx, LeaseTTL)
	if err != nil {
		return
	}
	attempt := &leaseAttempt{lease: lease, value: fmt.Sprintf("%s %d", c.Holder, lease), requested: requested}
	put := platform.Put{Key: c.key(), Value: []byte(attempt.value), Lease: lease}
	revision, err := c.KeyValue.Swap(ctx, map[string]int64{c.key(): 0}, []platform.Put{put})
	switch {
	case err == nil:
		c.startTerm(attempt, revision)
	case errors.Is(err, platform.ErrConflict):
		// Nobody else can use this lease; left alone it ends by itself.
		_ = c.KeyValue.Revoke(ctx, lease)
	default:
		c.leaseAttempt = attempt
	}
}

func (c *Controller) startTerm(attempt *leaseAttempt, revision int64) {
	fresh := &term{
		lease: attempt.lease, revision: revision, acquired: c.Clock.Now(), renewed: attempt.requested, ttl: LeaseTTL,
	}
	c.term.Store(fresh)
	c.Log.Info().Str("domain", c.Domain).Int64("revision", revision).Msg("order-lease-taken")
}

// renew renews the lease. A failed call changes nothing: the lease runs on from
// the last renewal that was answered.
func (c *Controller) renew(ctx context.Context, held *term, requested time.Time) {
	ttl, err := c.KeyValue.KeepAlive(ctx, held.lease)
	if errors.Is(err, platform.ErrLeaseLost) {
		c.endTerm(held, "lost")
		return
	}
	if err != nil {
		return
	}
	longer := *held
	longer.renewed, longer.ttl = requested, ttl
	c.term.CompareAndSwap(held, &longer)
}

// drop ends a tenure here.
func (c *Controller) endTerm(held *term, cause string) {
	if c.term.CompareAndSwap(held, nil) {
		c.Log.Warn().Str("domain", c.Domain).Int64("revision", held.revision).Str("cause", cause).Msg("order-lease-ended")
	}
}

// release ends a tenure here and at the service.
func (c *Controller) release(ctx context.Context, held *term, cause string) {
	c.endTerm(held, cause)
	// Unanswered, the lease ends by itself.
	_ = c.KeyValue.Revoke(ctx, held.lease)
}
