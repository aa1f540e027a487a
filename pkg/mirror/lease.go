package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Leases are leases of the store that are fenced by its era: after its return from a copy the store
// may have given the number of a lease to another owner.
type Leases struct {
	Store platform.Leaser
	// Era is the highest of the store's eras that was heard.
	Era func() uint64
}

// Lease is a lease in the era in which it was granted.
type Lease struct {
	ID  platform.LeaseID
	Era uint64
}

// errFormerEra: the lease was granted before the store's return from a copy.
var errFormerEpoch = errors.Join(platform.ErrLeaseLost, errors.New("granted in a former era of the store"))

// Grant makes a lease. The caller's answer to errors is to try again.
func (l Leases) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	before := l.Era()
	id, err := l.Store.Grant(ctx, ttl)
	if err != nil {
		return Lease{}, err
	}
	if epoch := l.Era(); epoch != before && before != 0 {
		// Whether it was granted before or after the return is not known.
		return Lease{}, errFormerEpoch
	}
	return Lease{ID: id, Era: l.Era()}, nil
}

// Renew renews a lease once; platform.ErrLeaseLost when it has ended, or is one of a former era.
func (l Leases) Renew(ctx context.Context, lease Lease) error {
	if lease.Era != l.Era() {
		return errFormerEpoch
	}
	if _, err := l.Store.KeepAlive(ctx, lease.ID); err != nil {
		return err
	}
	// The answer tells the era. One that was renewed for another owner lasts a little longer.
	if lease.Era != l.Era() {
		return errFormerEpoch
	}
	return nil
}

// End ends a lease, unless it is one of a former era: what was written under that one ends with
// the copy's. It is renewed before, since only an answer tells the era.
func (l Leases) End(ctx context.Context, lease Lease) error {
	if err := l.Renew(ctx, lease); err != nil {
		if errors.Is(err, platform.ErrLeaseLost) {
			return nil
		}
		return err
	}
	return l.Store.Revoke(ctx, lease.ID)
}
