package edge

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// worldStore is the platform's store, as far as quarantines need it; instances see what is in
// it after a while. It implements mirror.Registrar.
type simStore struct {
	*simulation
	// values is by key, and counts revisions; away is true while the store answers nobody.
	values      map[string]storedValue
	unavailable bool
	writes      int
	// heldOver is what was known before the last return; as with a copy of the real store, what is
	// newer counts until its key is written.
	retained map[string]storedValue
	// revision is that of the last write.
	revision int64
	// era counts its returns from a copy.
	epoch uint64
}

// storedValue is what a key holds, and the revision of its last write.
type storedValue struct {
	value    []byte
	revision int64
}

// comeBack has the store come back from a copy that holds no quarantine, of which all hear.
func (s *simStore) restoreEmpty() {
	s.restore(nil)
}

// image is a copy of what the store holds.
func (s *simStore) snapshot() map[string]storedValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}

// clearedBy is who has cleared a request, by the store's record.
func (s *simStore) clearedBy(request quarantine.Fingerprint) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return quarantine.ParseNote(s.values["quarantine/"+request.Key()].value).ClearedBy
}

// drop has the store lose what it holds, without a return from a copy.
func (s *simStore) drop() {
	s.mu.Lock()
	clear(s.values)
	s.mu.Unlock()
	s.publish()
}

// comeBackWith has the store come back from an image, of which all hear.
func (s *simStore) restore(image map[string]storedValue) {
	s.mu.Lock()
	s.epoch++
	s.retained = maps.Clone(s.values)
	clear(s.values)
	maps.Copy(s.values, image)
	epoch := s.epoch
	s.mu.Unlock()
	s.publish()
	for _, i := range s.up() {
		i.edge.store.Heard(epoch)
	}
}

func (s *simStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, platform.ErrUnavailable
	}
	return 1, nil
}

func (s *simStore) KeepAlive(context.Context, platform.LeaseID) (time.Duration, error) {
	return time.Minute, nil
}

func (s *simStore) Revoke(context.Context, platform.LeaseID) error { return nil }

func (s *simStore) Swap(_ context.Context, expect map[string]int64, puts []platform.Put) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, platform.ErrUnavailable
	}
	for key, revision := range expect {
		if s.values[key].revision != revision {
			return 0, platform.ErrConflict
		}
	}
	for _, put := range puts {
		if !strings.Contains(put.Key, "quarantine/") {
			continue
		}
		s.writes++
		s.revision++
		written := storedValue{value: put.Value, revision: s.revision}
		s.values[put.Key] = written
		delete(s.retained, put.Key)
		if put.Lease != 0 {
			s.expire(put.Key, written.revision)
		}
		if put.Delete {
			delete(s.values, put.Key)
		}
	}
	s.running.Go(func() {
		clock.Sleep(context.Background(), discovery)
		s.publish()
	})
	return 1, nil
}

// leaseTime is for how long a leased key stays: nothing renews a lease here.
const leaseTime = 10 * time.Minute

// lapse takes a leased key out when its lease ends.
func (s *simStore) expire(key string, revision int64) {
	time.AfterFunc(leaseTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.values[key].revision == revision {
			delete(s.values, key)
		}
	})
}

func (s *simStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// publish tells all instances what the store holds.
func (s *simStore) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := quarantine.Stored{Era: s.epoch}
	for key, held := range s.values {
		request, err := quarantine.Parse(strings.TrimPrefix(key, "quarantine/"))
		s.is.NoErr(err)
		note := quarantine.ParseNote(held.value)
		if before, kept := s.retained[key]; kept {
			if known := quarantine.ParseNote(before.value); note.Before(known) {
				note = known
			}
		}
		stored.Records = append(stored.Records, quarantine.Record{Request: request, Revision: held.revision, Note: note})
	}
	slices.SortFunc(stored.Records, quarantine.CompareRecords)
	for _, i := range s.instances {
		if !i.down {
			i.edge.board.Quarantined.Store(&stored)
		}
	}
}
