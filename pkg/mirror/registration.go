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
	// written is the store's position when the entry was last written.
	written Position
}

// Times of a Registration.
const (
	// keepPart of the time to live passes between renewals, so that two may fail.
	renewalsPerTTL = 3
	// registerTimeout bounds each call.
	registerTimeout = time.Second
	// registerPause follows a first failed call; it doubles up to longestPause, of which a
	// random half is left out. With tries four times a second, failed ones were a
	// seventh of all calls on a day on which the store turned a third of 295 instances away
	// and later answered nobody for 4 s; the others know an instance without an entry from
	// its peers meanwhile.
	registerPause    = 250 * time.Millisecond
	maxRegisterPause = 2 * time.Second
	// registerSpread is over which time entries are written again: what takes one instance's
	// takes those of all, and hundreds would write within a tenth of a second.
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

// leases are the store's, fenced by its era as far as a copy tells it.
func (r *Registration) leases() Leases {
	epoch := func() uint64 { return 0 }
	if r.Copy != nil {
		epoch = r.Copy.Era
	}
	return Leases{Store: r.Store, Era: epoch}
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
		// The write may have taken effect all the same: without its lease it cannot last.
		return Lease{}, errors.Join(err, r.end(context.WithoutCancel(ctx), lease))
	}
	r.written = Position{Era: lease.Era, Revision: revision}
	r.Log.Info().Str(event.KeyKey, r.Key).Uint64(event.KeyEra, lease.Era).Msg(string(event.Registered))
	return lease, nil
}

// keep renews the lease until it is lost, or ends it when ctx ends.
func (r *Registration) maintain(ctx context.Context, lease Lease) {
	for clock.Sleep(ctx, r.TTL/renewalsPerTTL) {
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

// missing says whether a copy that is newer than the entry does not hold it, or holds it over
// from a former era.
func (r *Registration) missing() bool {
	if r.Copy == nil {
		return false
	}
	snapshot := r.Copy.Snapshot().Load()
	if snapshot == nil || snapshot.Position().Before(r.written) {
		return false
	}
	entry, there := snapshot.Entries[r.Key]
	return !there || entry.Era != snapshot.Era
}

func (r *Registration) renew(ctx context.Context, lease Lease) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return r.leases().Renew(ctx, lease)
}

func (r *Registration) end(ctx context.Context, lease Lease) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return r.leases().End(ctx, lease)
}
