package mirror_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// registry is a store with leases that counts the calls of registrations.
type registry struct {
	*store
	// mu guards the following fields.
	mu     sync.Mutex
	leases map[platform.LeaseID]bool
	last   platform.LeaseID
	// writes holds the times at which leases were granted and entries written.
	writes []time.Time
}

func (r *registry) wrote() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, time.Now())
}

// Grant implements platform.Leaser.
func (r *registry) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	r.wrote()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	r.leases[r.last] = true
	return r.last, nil
}

// KeepAlive implements platform.Leaser.
func (r *registry) KeepAlive(_ context.Context, lease platform.LeaseID) (time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leases[lease] {
		return 0, platform.ErrLeaseLost
	}
	return time.Second, nil
}

// Revoke implements platform.Leaser.
func (r *registry) Revoke(context.Context, platform.LeaseID) error { return nil }

// Swap implements mirror.Registrar.
func (r *registry) Swap(_ context.Context, _ map[string]int64, puts []platform.Put) (int64, error) {
	r.wrote()
	for _, put := range puts {
		r.put(put.Key, string(put.Value))
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return r.revision, nil
}

// loseInstances restores the store from a backup without the instances' entries and leases.
func (r *registry) loseInstances(from image) {
	r.mu.Lock()
	clear(r.leases)
	r.mu.Unlock()
	r.restore(from)
}

// maxPerSecond returns the largest number of times within a second.
func maxPerSecond(times []time.Time) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestRegistrationsAfterARestoreAreSpread guards against a restored store that gets the calls of
// all instances at once, and against entries that are missing for longer than they stay valid.
func TestRegistrationsAfterARestoreAreSpread(t *testing.T) {
	const (
		ttl = 4 * time.Second
		// missingFor is the time for which others retain an entry that the backup lacks.
		missingFor = 2300 * time.Millisecond
	)
	for _, instances := range []int{7, 85, 380} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &registry{store: newStore(), leases: make(map[platform.LeaseID]bool)}
				r.set(func() { r.era = 1 })
				empty := r.backup()
				followed := mirror.New(mirror.Options{Source: r.store, Clock: clock.System{}, Log: zerolog.Nop()})
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { followed.Run(ctx) })
				for n := range instances {
					registration := &mirror.Registration{
						Store: r, Key: fmt.Sprintf("instances/%d", n), TTL: ttl, Replica: followed, Log: zerolog.Nop(),
					}
					running.Go(func() { registration.Run(ctx) })
					time.Sleep(ttl / 3 / time.Duration(instances))
				}
				time.Sleep(3 * ttl)
				r.mu.Lock()
				r.writes = nil
				r.mu.Unlock()
				r.loseInstances(empty)
				restoredAt := time.Now()
				for {
					entries := r.backup().entries
					if len(entries) == instances {
						break
					}
					if time.Since(restoredAt) > missingFor {
						t.Fatalf("%d of %d entries are back after %v", len(entries), instances, missingFor)
					}
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(restoredAt)
				cancel()
				running.Wait()
				most := maxPerSecond(slices.Clone(r.writes))
				t.Logf("%d instances: %d writing calls, %d in a second at the most, all entries are back after %v", instances, len(r.writes), most, took)
				is.True(len(r.writes) <= 2*instances+2)
				is.True(instances < 85 || most <= 9*len(r.writes)/10) // spread over more than a second
			})
		})
	}
}
