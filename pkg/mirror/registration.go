package mirror

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/freshness"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Registrar is the part of the store that a Registration uses.
type Registrar interface {
	platform.Leaser
	Swap(ctx context.Context, expect map[string]int64, puts []platform.Put) (int64, error)
}

// Registration keeps one entry in the store while its owner runs.
type Registration struct {
	Store Registrar
	// Key and Value are the entry.
	Key   string
	Value []byte
	// TTL is the time for which the entry outlives its owner.
	TTL time.Duration
	// Replica is a replica of the store that shows whether the entry exists, since it may be
	// deleted while its lease is valid. If it is nil, only the lease is checked.
	Replica *Mirror
	Log     zerolog.Logger
	// written is the store's position at the last write of the entry.
	written Position
}

// Times of a Registration.
const (
	// renewalsPerTTL is the number of renewals within the TTL, so that two may fail.
	renewalsPerTTL = 3
	// registerTimeout bounds each call.
	registerTimeout = time.Second
	// registerPause follows a first failed call. It doubles up to maxRegisterPause, and each wait
	// is shortened at random by up to half. With four attempts a second, failed ones were a seventh
	// of all calls in a scenario in which the store rejected a third of 295 instances and later was
	// unavailable for 4 s. Instances without an entry stay known through their peers meanwhile.
	registerPause    = 250 * time.Millisecond
	maxRegisterPause = 2 * time.Second
	// registerSpread is the time over which entries are written again. An event that deletes one
	// instance's entry deletes those of all, and hundreds would be written within a tenth of a
	// second.
	registerSpread = 500 * time.Millisecond
)

// Run registers and renews until ctx ends, then removes the entry.
func (r *Registration) Run(ctx context.Context) {
	pause := registerPause
	for ctx.Err() == nil {
		lease, err := r.register(ctx)
		if err != nil {
			r.Log.Warn().Err(err).Str(event.KeyKey, r.Key).Msg(string(event.RegistrationFailed))
			clock.Sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(maxRegisterPause, 2*pause)
			continue
		}
		pause = registerPause
		r.maintain(ctx, lease)
		clock.Sleep(ctx, rand.N(registerSpread))
	}
}

// leases returns the store's leases, fenced by its epoch if a replica provides it.
func (r *Registration) leases() Leases {
	epoch := func() uint64 { return 0 }
	if r.Replica != nil {
		epoch = r.Replica.Epoch
	}
	return Leases{Store: r.Store, Epoch: epoch}
}

func (r *Registration) register(ctx context.Context) (Lease, error) {
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	lease, err := r.leases().Grant(limited, r.TTL)
	if err != nil {
		return Lease{}, err
	}
	revision, err := r.Store.Swap(limited, nil, []platform.Put{{Key: r.Key, Value: r.Value, Lease: lease.ID}})
	if err != nil {
		// The write may have taken effect all the same. It expires with its lease.
		return Lease{}, errors.Join(err, r.end(context.WithoutCancel(ctx), lease))
	}
	r.written = Position{Era: lease.Epoch, Revision: revision}
	r.Log.Info().Str(event.KeyKey, r.Key).Uint64(event.KeyEra, lease.Epoch).Msg(string(event.Registered))
	return lease, nil
}

// maintain renews the lease until it is lost, or revokes it when ctx ends.
func (r *Registration) maintain(ctx context.Context, lease Lease) {
	for clock.Sleep(ctx, min(r.TTL/renewalsPerTTL, freshness.CallInterval)) {
		if r.missing() {
			r.Log.Warn().Str(event.KeyKey, r.Key).Msg(string(event.RegistrationTaken))
			return
		}
		if err := r.renew(ctx, lease); errors.Is(err, platform.ErrLeaseLost) {
			r.Log.Warn().Err(err).Str(event.KeyKey, r.Key).Msg(string(event.RegistrationLost))
			return
		}
	}
	if err := r.end(context.WithoutCancel(ctx), lease); err != nil {
		r.Log.Warn().Err(err).Str(event.KeyKey, r.Key).Msg(string(event.DeregistrationFailed))
	}
}

// missing reports whether a replica that is newer than the entry lacks it, holds another one in its
// place, or retains it from a former epoch.
func (r *Registration) missing() bool {
	if r.Replica == nil {
		return false
	}
	snapshot := r.Replica.Snapshot().Load()
	if snapshot == nil || snapshot.Position().Before(r.written) {
		return false
	}
	entry, present := snapshot.Entries[r.Key]
	return !present || entry.Era != snapshot.Epoch || !bytes.Equal(entry.Value, r.Value)
}

func (r *Registration) renew(ctx context.Context, lease Lease) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return r.leases().Renew(ctx, lease)
}

func (r *Registration) end(ctx context.Context, lease Lease) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return r.leases().Revoke(ctx, lease)
}
