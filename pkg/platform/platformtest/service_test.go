package platformtest_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

// A key with a lease is deleted when the lease expires by the clock, and a watch reports
// the write and the deletion.
func TestKeysAreDeletedWithTheirLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := platformtest.New(clock.System{})
		ctx, cancel := context.WithCancel(t.Context())
		changes, err := s.Watch(ctx, "k", 0)
		is.NoErr(err)
		lease, err := s.Grant(ctx, 10*time.Second)
		is.NoErr(err)
		put := []platform.Put{{Key: "k", Value: []byte("v"), Lease: lease}}
		first, err := s.Swap(ctx, map[string]int64{"k": 0}, put)
		is.NoErr(err)
		_, err = s.Swap(ctx, map[string]int64{"k": 0}, put)
		is.True(errors.Is(err, platform.ErrConflict))
		time.Sleep(9 * time.Second)
		_, err = s.KeepAlive(ctx, lease)
		is.NoErr(err)
		time.Sleep(9 * time.Second)
		is.Equal(string(s.Value("k")), "v") // the lease was renewed
		time.Sleep(time.Second)
		is.Equal(s.Len(), 0)
		_, err = s.KeepAlive(ctx, lease)
		is.True(errors.Is(err, platform.ErrLeaseLost))
		_, err = s.Swap(ctx, nil, put)
		is.True(errors.Is(err, platform.ErrLeaseLost))
		is.Equal((<-changes).ModRevision, first)
		is.Equal((<-changes).CreateRevision, int64(0)) // deleted
		cancel()
		_, open := <-changes
		is.True(!open)
	})
}

// Every fault fails the write with the same error. They differ in whether and when the
// write takes effect.
func TestWriteFaults(t *testing.T) {
	for name, test := range map[string]struct {
		fault             platformtest.Fault
		applied, released string
		down              bool
	}{
		"lost write":   {platformtest.LoseWrite, "", "", false},
		"lost answer":  {platformtest.LoseAnswer, "v", "v", false},
		"delayed":      {platformtest.DelayWrite, "", "v", false},
		"then stopped": {platformtest.StopAfterWrite, "v", "v", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := platformtest.New(clock.System{})
			s.FailWrites(test.fault)
			_, err := s.Swap(t.Context(), nil, []platform.Put{{Key: "k", Value: []byte("v")}})
			is.True(errors.Is(err, platform.ErrUnavailable))
			is.Equal(string(s.Value("k")), test.applied)
			s.Release()
			is.Equal(string(s.Value("k")), test.released)
			_, _, err = s.Get(t.Context(), "k")
			is.Equal(err != nil, test.down)
		})
	}
}
