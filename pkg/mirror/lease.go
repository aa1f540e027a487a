package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Leases are leases of the store that are fenced by its epoch: a store that was restored from a
// backup may have given the number of a lease to another owner.
type Leases struct {
	Store platform.Leaser
	// Epoch returns the highest observed epoch of the store.
	Epoch func() uint64
}

// Lease is a lease and the epoch in which it was granted.
type Lease struct {
	ID    platform.LeaseID
	Epoch uint64
}

// errFormerEpoch means that the lease was granted before the store was restored.
var errFormerEpoch = errors.Join(platform.ErrLeaseLost, errors.New("granted in a former epoch of the store"))

// Grant creates a lease. The caller should retry after any error.
func (l Leases) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	before := l.Epoch()
	id, err := l.Store.Grant(ctx, ttl)
	if err != nil {
		return Lease{}, err
	}
	if epoch := l.Epoch(); epoch != before && before != 0 {
		// It is unknown whether the grant was before or after the restore.
		return Lease{}, errFormerEpoch
	}
	return Lease{ID: id, Epoch: l.Epoch()}, nil
}

// Renew renews a lease once. The error is platform.ErrLeaseLost if it has expired or belongs to
// a former epoch.
func (l Leases) Renew(ctx context.Context, lease Lease) error {
	if lease.Epoch != l.Epoch() {
		return errFormerEpoch
	}
	if _, err := l.Store.KeepAlive(ctx, lease.ID); err != nil {
		return err
	}
	// The answer carries the epoch. A renewal of another owner's lease only extends it a little.
	if lease.Epoch != l.Epoch() {
		return errFormerEpoch
	}
	return nil
}

// Revoke revokes a lease unless it belongs to a former epoch, in which case its entries expire with
// the lease that the backup contains. It renews the lease first, because only an answer reveals the
// epoch.
func (l Leases) Revoke(ctx context.Context, lease Lease) error {
	if err := l.Renew(ctx, lease); err != nil {
		if errors.Is(err, platform.ErrLeaseLost) {
			return nil
		}
		return err
	}
	return l.Store.Revoke(ctx, lease.ID)
}
