package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// leaseAttempt is an attempt to acquire the lease.
type leaseAttempt struct {
	lease platform.LeaseID
	// value is the entry that the attempt writes; it names the holder and the lease.
	value string
	// requested is the time just before the lease request.
	requested time.Time
}

// key returns the key of the failure domain's lease holder.
func (c *Controller) key() string { return "order/" + c.Domain }

// maintainLease acquires the lease, renews it, or detects its expiry.
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
		// If the attempt's write is still in flight, it fails without its lease.
		_ = c.KeyValue.Revoke(ctx, attempt.lease)
	}
	if c.Source.Candidate() {
		c.requestLease(ctx)
	}
}

// requestLease requests the lease. If the reply is lost, the next check of the key
// shows the result.
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
		// No other process uses this lease; if the call fails the lease expires.
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

// renew renews the lease. After a failed call the lease still lasts from the last
// confirmed renewal.
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

// endTerm ends a term locally.
func (c *Controller) endTerm(held *term, cause string) {
	if c.term.CompareAndSwap(held, nil) {
		c.Log.Warn().Str("domain", c.Domain).Int64("revision", held.revision).Str("cause", cause).Msg("order-lease-ended")
	}
}

// release ends a term locally and in the key-value service.
func (c *Controller) release(ctx context.Context, held *term, cause string) {
	c.endTerm(held, cause)
	// If the call fails the lease expires.
	_ = c.KeyValue.Revoke(ctx, held.lease)
}
