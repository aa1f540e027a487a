package claim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// leaseWindow is the period in which one lease accepts new claims, so that leases
// cost one call per window.
const leaseWindow = 5 * time.Minute

// leaseMargin is the time that a claim's write may take beyond the window.
const leaseMargin = time.Minute

// leases provides a lease that lasts for at least the retention after the window
// in which it accepts claims. It is never renewed.
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

// current returns the lease for a new claim. Concurrent requests for a new lease
// make one call to the service.
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

// usable reports whether a claim just written under the lease lasts for the whole
// retention. It uses the local monotonic clock, starting before the lease request.
func (l *leases) usable(held lease) bool {
	return l.clock.Now().Sub(held.granted) < leaseWindow+leaseMargin
}
