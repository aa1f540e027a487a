package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/freshness"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// store is an in-memory key-value store that a test can make unavailable.
type store struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]platform.Entry
	history  []platform.Change
	// from is the revision from which the history is retained.
	from int64
	down bool
	// watchesStalled is true while watches return no changes.
	watchesStalled bool
	// era counts restores from a backup. Watches from a future revision wait for it if
	// futureWatchesWait is true, and fail otherwise.
	era               uint64
	futureWatchesWait bool
}

// image is a backup of a store.
type image struct {
	revision int64
	entries  map[string]platform.Entry
}

// backup returns a backup of the present entries.
func (s *store) backup() image {
	s.mu.Lock()
	defer s.mu.Unlock()
	return image{revision: s.revision, entries: maps.Clone(s.entries)}
}

// entry returns the store's entry of a key.
func (s *store) entry(key string) []platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []platform.Entry{s.entries[key]}
}

// restore restores the store from a backup.
func (s *store) restore(from image) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.entries, s.history, s.from = from.revision, maps.Clone(from.entries), nil, from.revision
	s.era++
}

var errDown = errors.New("down")

func newStore() *store { return &store{revision: 1, entries: map[string]platform.Entry{}} }

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	entry := platform.Entry{Key: key, Value: []byte(value), ModRevision: s.revision}
	s.entries[key] = entry
	s.history = append(s.history, platform.Change{Entry: entry})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.entries, key)
	s.history = append(s.history, platform.Change{Entry: platform.Entry{Key: key, ModRevision: s.revision}, Removed: true})
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// compact drops the history.
func (s *store) compact() { s.set(func() { s.history, s.from = nil, s.revision }) }

func (s *store) unavailable() error {
	return &platform.Error{Service: "key-value", Call: "test", Err: errors.Join(platform.ErrUnavailable, errDown)}
}

// List implements platform.PrefixReader, two entries a page.
func (s *store) List(_ context.Context, prefix, after string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Page{}, s.unavailable()
	}
	page := platform.Page{Revision: s.revision, Era: s.era}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if key <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		if len(page.Entries) == 2 {
			page.More = true
			break
		}
		entry := s.entries[key]
		entry.Era = s.era
		page.Entries = append(page.Entries, entry)
	}
	return page, nil
}

// Changes implements platform.PrefixReader.
func (s *store) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Changes, error) {
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		down, watchesStalled, compacted := s.down, s.watchesStalled, after < s.from || (after > s.revision && !s.futureWatchesWait)
		changes := platform.Changes{Revision: s.revision, Era: s.era}
		for _, change := range s.history {
			if change.Era = s.era; change.ModRevision > after && strings.HasPrefix(change.Key, prefix) {
				changes.Entries = append(changes.Entries, change)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return platform.Changes{}, s.unavailable()
		case compacted:
			return platform.Changes{}, &platform.Error{Service: "key-value", Call: "test", Err: platform.ErrCompacted}
		case !watchesStalled && (len(changes.Entries) > 0 || !time.Now().Before(end)):
			return changes, nil
		}
		if !clock.Sleep(ctx, 10*time.Millisecond) {
			return platform.Changes{}, s.unavailable()
		}
	}
}

// follow runs a mirror of the store in virtual time.
func follow(t *testing.T, check func(is *is.I, s *store, m *mirror.Mirror)) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		m := mirror.New(mirror.Options{Source: s, Leased: []string{"servers/"}, Clock: clock.System{}, Log: zerolog.Nop()})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { m.Run(ctx); close(done) }()
		check(is.New(t), s, m)
		cancel()
		<-done
	})
}

func has(m *mirror.Mirror, key string) bool {
	snapshot := m.Snapshot().Load()
	if snapshot == nil {
		return false
	}
	_, ok := snapshot.Entries[key]
	return ok
}

func TestChangesArriveOverSeveralPages(t *testing.T) {
	follow(t, func(is *is.I, s *store, m *mirror.Mirror) {
		for _, key := range []string{"servers/a", "servers/b", "servers/c", "declared/config"} {
			s.put(key, "1")
		}
		time.Sleep(time.Second)
		is.Equal(len(m.Snapshot().Load().Entries), 4)
		s.put("declared/config", "2")
		s.remove("servers/b")
		time.Sleep(100 * time.Millisecond)
		is.Equal(string(m.Snapshot().Load().Entries["declared/config"].Value), "2")
		is.True(!has(m, "servers/b"))
	})
}

// TestExpiredEntriesAreRetainedUntilTheirOwnersCanReturn makes the store unavailable while
// leases expire. An entry that its owner writes again within two seconds never disappears, the
// others disappear soon after, and those without a lease at once.
func TestExpiredEntriesAreRetainedUntilTheirOwnersCanReturn(t *testing.T) {
	follow(t, func(is *is.I, s *store, m *mirror.Mirror) {
		s.put("servers/back", "1")
		s.put("servers/dead", "1")
		s.put("declared/evacuated/x", "1")
		time.Sleep(time.Second)
		s.set(func() { s.down = true })
		time.Sleep(5 * time.Second)
		for _, key := range []string{"servers/back", "servers/dead", "declared/evacuated/x"} {
			s.remove(key)
		}
		s.compact()
		s.set(func() { s.down = false })
		time.Sleep(time.Second)
		is.True(!has(m, "declared/evacuated/x"))
		is.True(has(m, "servers/back"))
		is.True(has(m, "servers/dead"))
		s.put("servers/back", "2")
		time.Sleep(2 * time.Second)
		is.True(has(m, "servers/back"))
		is.True(!has(m, "servers/dead"))
	})
}

// TestRetainedEntriesExpireInCopiesToo guards against entries that outlive their source in a copy.
// Their expiry causes no new revision of the store, so that no instance would request a newer
// snapshot. A copy retains an entry no longer than its source, also on an instance that cannot
// reach the store.
func TestRetainedEntriesExpireInCopiesToo(t *testing.T) {
	for name, active := range map[string]bool{"does not follow the store": false, "does not reach the store": true} {
		t.Run(name, func(t *testing.T) {
			follow(t, func(is *is.I, s *store, m *mirror.Mirror) {
				s.put("servers/a", "1")
				s.put("servers/b", "1")
				time.Sleep(time.Second)
				s.set(func() { s.down = true })
				time.Sleep(5 * time.Second)
				s.set(func() { s.down = false })
				s.remove("servers/a")
				time.Sleep(time.Second)
				is.True(has(m, "servers/a")) // its owner may write it again

				unreached := newStore()
				unreached.down = true
				follower := mirror.New(mirror.Options{
					Source: unreached, Leased: []string{"servers/"}, Clock: clock.System{}, Log: zerolog.Nop(),
					Active: func() bool { return active },
				})
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { follower.Run(ctx); close(done) }()
				delta := m.Snapshot().Load().Since(mirror.Position{}, time.Now())
				is.True(follower.Adopt(&delta))
				is.True(has(follower, "servers/a"))
				time.Sleep(2 * time.Second)
				is.True(!has(m, "servers/a"))
				is.True(!has(follower, "servers/a"))
				is.True(has(follower, "servers/b"))
				is.Equal(len(follower.Snapshot().Load().Expiring), 0)
				cancel()
				<-done
			})
		})
	}
}

// TestEntriesDeletedWhileTheStoreAnswersDisappearAtOnce checks that there is no grace period
// without an outage.
func TestEntriesDeletedWhileTheStoreAnswersDisappearAtOnce(t *testing.T) {
	follow(t, func(is *is.I, s *store, m *mirror.Mirror) {
		s.put("servers/a", "1")
		time.Sleep(5 * time.Second)
		s.remove("servers/a")
		time.Sleep(100 * time.Millisecond)
		is.True(!has(m, "servers/a"))
	})
}

// TestMissedChangesAreFoundByTheNextListing covers changes that no watch returned.
func TestMissedChangesAreFoundByTheNextListing(t *testing.T) {
	follow(t, func(is *is.I, s *store, m *mirror.Mirror) {
		s.put("servers/a", "ready")
		time.Sleep(5 * time.Second)
		s.set(func() { s.watchesStalled = true })
		s.put("servers/a", "draining")
		time.Sleep(time.Second)
		s.compact()
		s.set(func() { s.watchesStalled = false })
		time.Sleep(500 * time.Millisecond)
		is.Equal(string(m.Snapshot().Load().Entries["servers/a"].Value), "draining")
	})
}

func TestReplicaNeverGoesBack(t *testing.T) {
	follow(t, func(is *is.I, s *store, m *mirror.Mirror) {
		s.put("declared/config", "old")
		time.Sleep(time.Second)
		old := m.Snapshot().Load().Since(mirror.Position{}, time.Now())
		newer := &mirror.Snapshot{Revision: 50, Entries: map[string]platform.Entry{
			"declared/config": {Key: "declared/config", Value: []byte("new"), ModRevision: 40},
		}}
		delta := newer.Since(m.Position(), time.Now())
		is.True(m.Adopt(&delta))
		is.True(!m.Adopt(&old))
		// The store reports changes that the snapshot already reflects.
		s.put("declared/config", "older than the copy")
		time.Sleep(3 * time.Second)
		is.Equal(string(m.Snapshot().Load().Entries["declared/config"].Value), "new")
		is.Equal(m.Snapshot().Load().Revision, int64(50))
	})
}

// counted counts the calls for changes.
type counted struct {
	*store
	calls atomic.Int64
}

// Changes implements platform.PrefixReader.
func (c *counted) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Changes, error) {
	c.calls.Add(1)
	return c.store.Changes(ctx, prefix, after, wait)
}

// TestManyChangesAreReadByFewCalls guards against a call for each change. While 300 instances are
// replaced an entry is written every 20 ms. One and a half calls a second are enough, each entry is
// known within a second of its write, and once the writes stop the next change is known at once.
func TestManyChangesAreReadByFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &counted{store: newStore()}
		m := mirror.New(mirror.Options{Source: s, Clock: clock.System{}, Log: zerolog.Nop()})
		go m.Run(t.Context())
		time.Sleep(time.Second)
		s.calls.Store(0)
		const changes = 500
		for i := range changes {
			s.put(fmt.Sprintf("instances/%d", i), "here")
			time.Sleep(20 * time.Millisecond)
			if old := i - 50; old >= 0 {
				is.True(has(m, fmt.Sprintf("instances/%d", old)))
			}
		}
		is.True(s.calls.Load() <= 20)
		time.Sleep(10 * time.Second)
		s.put("configuration", "new")
		time.Sleep(50 * time.Millisecond)
		is.True(has(m, "configuration"))
	})
}

// TestIdleStoreIsPolledSeldom bounds the waiting calls, each of which costs as much as any other.
func TestIdleStoreIsPolledSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &counted{store: newStore()}
		m := mirror.New(mirror.Options{Source: s, Clock: clock.System{}, Log: zerolog.Nop()})
		go m.Run(t.Context())
		time.Sleep(time.Minute)
		is.New(t).True(s.calls.Load() <= 21)
	})
}

// TestReplicaThatStoppedFollowingIsNotCurrent guards against ignored snapshots. An instance follows
// the store while a watcher of its domain restarts, and stops when that one is back. From then on
// it must accept others' snapshots at once, not only when its own last answer is old.
func TestReplicaThatStoppedFollowingIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		var active atomic.Bool
		active.Store(true)
		m := mirror.New(mirror.Options{Source: s, Clock: clock.System{}, Log: zerolog.Nop(), Active: active.Load})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { m.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		is.True(m.Current())
		active.Store(false)
		s.put("servers/a", "1") // ends the waiting call
		time.Sleep(time.Second)
		is.True(!m.Current())
		active.Store(true)
		time.Sleep(time.Second)
		is.True(m.Current())
		cancel()
		<-done
	})
}

// TestEntryThatIsListedAgainDoesNotExpire guards against an entry that was missing when the
// store answered again, is in a later listing, and still expires at the end of its grace period.
func TestEntryThatIsListedAgainDoesNotExpire(t *testing.T) {
	follow(t, func(is *is.I, s *store, m *mirror.Mirror) {
		s.put("servers/a", "1")
		time.Sleep(time.Second)
		s.set(func() { s.down = true })
		s.remove("servers/a")
		time.Sleep(4 * time.Second)
		s.set(func() { s.down = false })
		time.Sleep(time.Second)
		is.True(has(m, "servers/a")) // its owner may be about to return
		s.set(func() { s.watchesStalled = true })
		s.put("servers/a", "2")
		s.compact()
		s.set(func() { s.watchesStalled = false })
		time.Sleep(5 * time.Second)
		is.Equal(string(m.Snapshot().Load().Entries["servers/a"].Value), "2")
	})
}

// TestReplicaIsCompleteUntilTheTimeThatItTells guards against a replica that counts as current while it gathers changes
// between two calls: other calls are answered meanwhile.
func TestReplicaIsCompleteUntilTheTimeThatItTells(t *testing.T) {
	// delivery is the time in which the store answers a waiting call.
	const delivery = 15 * time.Millisecond
	follow(t, func(is *is.I, s *store, m *mirror.Mirror) {
		writtenAt := make(map[int64]time.Time)
		claims := 0
		for n := range 500 {
			if n%100 < 60 && n%7 == 0 {
				s.put("servers/a", fmt.Sprint(n))
				writtenAt[s.revision] = time.Now()
			}
			time.Sleep(10 * time.Millisecond)
			m.RecordCall(true)
			asOf, next := m.AsOf(), m.Revision()+1
			if written, missing := writtenAt[next]; missing && asOf.Sub(written) > delivery {
				t.Fatalf("complete until %v after revision %d was written, which it lacks", asOf.Sub(written), next)
			}
			if time.Since(asOf) < freshness.CallInterval {
				claims++
			}
		}
		is.True(claims > 400)
	})
}
