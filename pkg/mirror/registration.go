package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Registrar is what a Registration needs of the store.
type Registrar interface {
	platform.Leaser
	Swap(ctx context.Context, expect map[string]int64, puts []platform.Put) (int64, error)
}

// Registration keeps one entry in the store for as long as its owner runs.
type Registration struct {
	Store Registrar
	// Key and Value are what is written.
	Key   string
	Value []byte
	// TTL is how long the entry outlives its owner.
	TTL time.Duration
	// Copy is a copy of the store that shows whether the entry is there: it may be taken
	// away while its lease lives on. Nil: the lease alone is looked at.
	Copy *Mirror
	Log  zerolog.Logger
	// revision is the store's when the entry was last written.
	revision int64
}

// Times of a Registration.
const (
	// keepPart of the time to live passes between renewals, so that two may fail.
	keepPart = 3
	// registerTimeout bounds each call.
	registerTimeout = time.Second
	// registerPause follows a first failed call; it doubles up to longestPause, of which a
	// random half is left out. With tries four times a second, failed ones were a
	// seventh of all calls on a day on which the store turned a third of 295 instances away
	// and later answered nobody for 4 s; the others know an instance without an entry from
	// its peers meanwhile.
	registerPause = 250 * time.Millisecond
	longestPause  = 2 * time.Second
)

// Run registers and renews until ctx ends, then removes the entry.
func (r *Registration) Run(ctx context.Context) {
	pause := registerPause
	for ctx.Err() == nil {
		lease, err := r.register(ctx)
		if err != nil {
			r.Log.Warn().Err(err).Str(event.KeyKey, r.Key).Msg(string(event.RegistrationFailed))
			clock.Sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(longestPause, 2*pause)
			continue
		}
		pause = registerPause
		r.keep(ctx, lease)
	}
}

func (r *Registration) register(ctx context.Context) (platform.LeaseID, error) {
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	lease, err := r.Store.Grant(limited, r.TTL)
	if err != nil {
		return 0, err
	}
	revision, err := r.Store.Swap(limited, nil, []platform.Put{{Key: r.Key, Value: r.Value, Lease: lease}})
	if err != nil {
		// The write may have taken effect all the same: without its lease it cannot last.
		return 0, errors.Join(err, r.revoke(context.WithoutCancel(ctx), lease))
	}
	r.revision = revision
	r.Log.Info().Str(event.KeyKey, r.Key).Msg(string(event.Registered))
	return lease, nil
}

// keep renews the lease until it is lost, or ends it when ctx ends.
func (r *Registration) keep(ctx context.Context, lease platform.LeaseID) {
	for clock.Sleep(ctx, r.TTL/keepPart) {
		if r.missing() {
			r.Log.Warn().Str(event.KeyKey, r.Key).Msg(string(event.RegistrationTaken))
			return
		}
		if err := r.renew(ctx, lease); errors.Is(err, platform.ErrLeaseLost) {
			r.Log.Warn().Str(event.KeyKey, r.Key).Msg(string(event.RegistrationLost))
			return
		}
	}
	if err := r.revoke(context.WithoutCancel(ctx), lease); err != nil {
		r.Log.Warn().Err(err).Str(event.KeyKey, r.Key).Msg(string(event.DeregistrationFailed))
	}
}

// missing says whether a copy that is newer than the entry does not hold it.
func (r *Registration) missing() bool {
	if r.Copy == nil {
		return false
	}
	snapshot := r.Copy.Snapshot().Load()
	if snapshot == nil || snapshot.Revision < r.revision {
		return false
	}
	_, there := snapshot.Entries[r.Key]
	return !there
}

func (r *Registration) renew(ctx context.Context, lease platform.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := r.Store.KeepAlive(ctx, lease)
	return err
}

func (r *Registration) revoke(ctx context.Context, lease platform.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return r.Store.Revoke(ctx, lease)
}
