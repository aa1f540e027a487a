package kv

import (
	"bytes"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"
)

// Errors of the store, each with a gRPC code on the wire.
var (
	errLeaseNotFound = errors.New("requested lease not found")
	errCompacted     = errors.New("required revision has been compacted")
	errTooLarge      = errors.New("request is too large")
)

const (
	// historyLimit is how many events are kept for watches that begin in the past.
	historyLimit = 4096
	// maxValue is the largest value, in bytes.
	maxValue = 1 << 20
)

// store is the state behind the API.
type store struct {
	clock clock.Clock

	mu       sync.Mutex
	revision int64
	keys     map[string]wire.KeyValue
	leases   map[int64]*lease
	lastID   int64
	// history holds the last events; compacted is the newest revision dropped.
	history   []wire.Event
	compacted int64
	watchers  map[*watcher]struct{}
}

type lease struct {
	ttl     int64
	expires time.Time
	keys    map[string]struct{}
}

// watcher is woken when its key changed; it reads the history by itself.
type watcher struct {
	key  string
	next int64
	wake chan struct{}
}

func newStore(c clock.Clock) *store {
	return &store{
		clock:    c,
		keys:     make(map[string]wire.KeyValue),
		leases:   make(map[int64]*lease),
		watchers: make(map[*watcher]struct{}),
	}
}

func (s *store) rangeKeys(ask wire.RangeRequest) wire.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found := make([]wire.KeyValue, 0, 1)
	for _, kv := range s.keys {
		if !covers(ask, kv.Key) {
			continue
		}
		if ask.KeysOnly {
			kv.Value = nil
		}
		found = append(found, kv)
	}
	sort.Slice(found, func(i, j int) bool { return bytes.Compare(found[i].Key, found[j].Key) < 0 })
	answer := wire.RangeResponse{Header: wire.Header{Revision: s.revision}, Count: int64(len(found))}
	if ask.Limit > 0 && int64(len(found)) > ask.Limit {
		found = found[:ask.Limit]
		answer.More = true
	}
	answer.KVs = found
	return answer
}

func covers(ask wire.RangeRequest, key []byte) bool {
	if len(ask.RangeEnd) == 0 {
		return bytes.Equal(ask.Key, key)
	}
	openEnd := len(ask.RangeEnd) == 1 && ask.RangeEnd[0] == 0
	return bytes.Compare(key, ask.Key) >= 0 && (openEnd || bytes.Compare(key, ask.RangeEnd) < 0)
}

func (s *store) txn(ask wire.TxnRequest) (wire.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, compare := range ask.Compare {
		if s.keys[string(compare.Key)].ModRevision != compare.ModRevision {
			return wire.TxnResponse{Header: wire.Header{Revision: s.revision}}, nil
		}
	}
	if err := s.permitted(ask.Success); err != nil {
		return wire.TxnResponse{}, err
	}
	if len(ask.Success) > 0 {
		s.revision++
	}
	for _, step := range ask.Success {
		if step.Put != nil {
			s.put(*step.Put)
		}
		if step.DeleteRange != nil {
			s.remove(string(step.DeleteRange.Key))
		}
	}
	return wire.TxnResponse{Header: wire.Header{Revision: s.revision}, Succeeded: true}, nil
}

func (s *store) permitted(steps []wire.RequestOp) error {
	for _, step := range steps {
		if step.Put == nil {
			continue
		}
		if len(step.Put.Value) > maxValue {
			return errTooLarge
		}
		if _, ok := s.leases[step.Put.Lease]; step.Put.Lease != 0 && !ok {
			return errLeaseNotFound
		}
	}
	return nil
}

func (s *store) put(ask wire.PutRequest) {
	key := string(ask.Key)
	kv, existed := s.keys[key]
	if !existed {
		kv = wire.KeyValue{Key: ask.Key, CreateRevision: s.revision}
	}
	s.detach(key, kv.Lease)
	kv.Value, kv.ModRevision, kv.Lease = ask.Value, s.revision, ask.Lease
	kv.Version++
	s.keys[key] = kv
	if held, ok := s.leases[ask.Lease]; ok {
		held.keys[key] = struct{}{}
	}
	s.record(wire.Event{KV: kv})
}

func (s *store) detach(key string, id int64) {
	if held, ok := s.leases[id]; ok {
		delete(held.keys, key)
	}
}

func (s *store) remove(key string) {
	kv, ok := s.keys[key]
	if !ok {
		return
	}
	s.detach(key, kv.Lease)
	delete(s.keys, key)
	s.record(wire.Event{Type: wire.EventDelete, KV: wire.KeyValue{Key: kv.Key, ModRevision: s.revision}})
}

func (s *store) record(event wire.Event) {
	s.history = append(s.history, event)
	if len(s.history) > historyLimit {
		s.compacted = s.history[0].KV.ModRevision
		s.history = s.history[1:]
	}
	for w := range s.watchers {
		if w.key == string(event.KV.Key) {
			notify(w.wake)
		}
	}
}

func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
