package kv

import "github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"

// watch registers a watcher from a revision on; zero means after the current one.
// It returns the current revision; with errCompacted, the compacted one.
func (s *store) watch(key string, start int64) (*watcher, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if start == 0 {
		start = s.revision + 1
	}
	if start <= s.compacted {
		return nil, s.compacted, errCompacted
	}
	w := &watcher{key: key, next: start, wake: make(chan struct{}, 1)}
	s.watchers[w] = struct{}{}
	notify(w.wake)
	return w, s.revision, nil
}

// compact deletes the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

func (s *store) unwatch(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}

func (s *store) watcherCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchers)
}

// pending returns the events that the watcher has not received yet, and the same
// revision as watch.
func (s *store) pending(w *watcher) ([]wire.Event, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.next <= s.compacted {
		return nil, s.compacted, errCompacted
	}
	var events []wire.Event
	for _, event := range s.history {
		if event.KV.ModRevision >= w.next && string(event.KV.Key) == w.key {
			events = append(events, event)
		}
	}
	w.next = s.revision + 1
	return events, s.revision, nil
}
