package platformtest

import (
	"context"
	"slices"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// watchBuffer is the number of changes buffered for the reader of a watch. The watch
// is closed when the buffer is full.
const watchBuffer = 64

// watch is one open watch.
type watch struct {
	link, key string
	changes   chan platform.Entry
}

// runBeforeNextWrite runs the function set by BeforeNextWrite.
func (s *Service) runBeforeNextWrite() {
	s.mu.Lock()
	run := s.beforeNextWrite
	s.beforeNextWrite = nil
	s.mu.Unlock()
	if run != nil {
		run()
	}
}

// expire removes the expired leases.
func (s *Service) expire() {
	now, expired := s.clock.Now(), false
	for id, granted := range s.leases {
		if !now.Before(granted.expiry) {
			delete(s.leases, id)
			expired = true
		}
	}
	if expired {
		s.deleteOrphanedKeys()
	}
}

// deleteOrphanedKeys deletes the keys of ended leases.
func (s *Service) deleteOrphanedKeys() {
	for key, record := range s.records {
		if _, valid := s.leases[record.lease]; record.lease != 0 && !valid {
			s.revision++
			s.apply(platform.Put{Key: key, Delete: true})
		}
	}
}

// swap evaluates the conditions of a write and applies it.
func (s *Service) swap(expect map[string]int64, puts []platform.Put) (int64, error) {
	s.expire()
	for key, revision := range expect {
		if s.records[key].entry.ModRevision != revision {
			return 0, failed("txn", platform.ErrConflict)
		}
	}
	for _, put := range puts {
		if _, valid := s.leases[put.Lease]; put.Lease != 0 && !valid {
			return 0, failed("txn", platform.ErrLeaseLost)
		}
	}
	s.revision++
	for _, put := range puts {
		s.apply(put)
	}
	return s.revision, nil
}

// apply applies one put at the current revision and notifies the key's watches.
func (s *Service) apply(put platform.Put) {
	entry := platform.Entry{Key: put.Key, ModRevision: s.revision}
	if put.Delete {
		delete(s.records, put.Key)
	} else {
		entry.Value = slices.Clone(put.Value)
		entry.CreateRevision = s.revision
		if old, ok := s.records[put.Key]; ok {
			entry.CreateRevision = old.entry.CreateRevision
		}
		s.records[put.Key] = record{entry: entry, lease: put.Lease}
	}
	for w := range s.watches {
		if w.key == put.Key {
			s.notify(w, entry)
		}
	}
}

func (s *Service) notify(w *watch, entry platform.Entry) {
	select {
	case w.changes <- entry:
	default:
		s.closeWatch(w)
	}
}

// closeWatch closes a watch's channel, once.
func (s *Service) closeWatch(w *watch) {
	if _, open := s.watches[w]; open {
		delete(s.watches, w)
		close(w.changes)
	}
}

func (s *Service) breakWatches(broken func(*watch) bool) {
	for w := range s.watches {
		if broken(w) {
			s.closeWatch(w)
		}
	}
}

// Watch implements platform.KeyValue. Of the changes before the call only the last is
// sent. A deleted key is sent as an entry with neither value nor CreateRevision.
func (l *Link) Watch(ctx context.Context, key string, after int64) (<-chan platform.Entry, error) {
	s := l.service
	err := l.enter("watch", &s.counts.Watches)
	defer l.leave()
	if err != nil {
		return nil, err
	}
	w := &watch{link: l.name, key: key, changes: make(chan platform.Entry, watchBuffer)}
	s.watches[w] = struct{}{}
	if found, ok := s.records[key]; ok && found.entry.ModRevision > after {
		w.changes <- found.entry
	}
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closeWatch(w)
	})
	return w.changes, nil
}
