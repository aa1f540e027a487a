package claim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// leaseWindow is how long one lease takes new claims. It keeps the calls for
// leases few: one in a window.
const leaseWindow = 5 * time.Minute

// leaseMargin is what a claim's own write may take beyond the window.
const leaseMargin = time.Minute

// leases hands out a lease that lives for at least the retention after the
// window in which claims are put under it. It is never renewed.
type leases struct {
	keyValue  platform.KeyValue
	clock     clock.Clock
	retention time.Duration

	grants singleflight.Group
	mu     sync.Mutex
	active lease
}

type lease struct {
	id      platform.LeaseID
	granted time.Time
}

func newLeases(keyValue platform.KeyValue, now clock.Clock, retention time.Duration) *leases {
	return &leases{keyValue: keyValue, clock: now, retention: retention}
}

// current returns the lease for a new claim. Many who need a new one at the
// same time ask the service once.
func (l *leases) current(ctx context.Context) (lease, error) {
	if held, ok := l.held(); ok {
		return held, nil
	}
	_, err, _ := l.grants.Do("", func() (any, error) { return nil, l.grant(ctx) })
	if err != nil {
		return lease{}, err
	}
	held, _ := l.held()
	return held, nil
}

func (l *leases) held() (lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active, l.active.id != 0 && l.clock.Now().Sub(l.active.granted) < leaseWindow
}

func (l *leases) grant(ctx context.Context) error {
	asked := l.clock.Now()
	id, err := l.keyValue.Grant(ctx, l.retention+leaseWindow+leaseMargin)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = lease{id: id, granted: asked}
	return nil
}

// usable reports whether a claim that was just written under the lease lives
// for the whole retention. It judges by the own monotonic clock, from before
// the lease was asked for.
func (l *leases) usable(held lease) bool {
	return l.clock.Now().Sub(held.granted) < leaseWindow+leaseMargin
}
