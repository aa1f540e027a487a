package mirror_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// leaser counts its calls. The store is restored from a backup during the call with the number
// restores.
type leaser struct {
	era      uint64
	restores int
	calls    int
	revoked  []platform.LeaseID
}

func (l *leaser) call() {
	if l.calls++; l.calls == l.restores {
		l.era++
	}
}

func (l *leaser) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	l.call()
	return 7, nil
}

func (l *leaser) KeepAlive(context.Context, platform.LeaseID) (time.Duration, error) {
	l.call()
	return time.Second, nil
}

func (l *leaser) Revoke(_ context.Context, id platform.LeaseID) error {
	l.call()
	l.revoked = append(l.revoked, id)
	return nil
}

// TestLeasesAreFencedByTheEpoch guards against using another owner's lease because the restored
// store reused its number, for a restore before each of the calls.
func TestLeasesAreFencedByTheEpoch(t *testing.T) {
	for restores, c := range map[int]struct{ granted, renewed, revoked bool }{
		1: {}, // with the grant: unknown whether before or after
		2: {granted: true},
		3: {granted: true, renewed: true},
		9: {granted: true, renewed: true, revoked: true},
	} {
		is := is.New(t)
		l := &leaser{era: 4, restores: restores}
		leases := mirror.Leases{Store: l, Epoch: func() uint64 { return l.era }}
		lease, err := leases.Grant(t.Context(), time.Second)
		is.Equal(err == nil, c.granted)
		if err != nil {
			is.True(errors.Is(err, platform.ErrLeaseLost))
			continue
		}
		err = leases.Renew(t.Context(), lease)
		is.Equal(err == nil, c.renewed)
		is.True(err == nil || errors.Is(err, platform.ErrLeaseLost))
		is.NoErr(leases.Revoke(t.Context(), lease))
		is.Equal(len(l.revoked) > 0, c.revoked)
	}
}
