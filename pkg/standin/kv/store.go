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
	// historyLimit is the number of events retained for watches from a past revision.
	historyLimit = 4096
	// maxValue is the largest value, in bytes.
	maxValue = 1 << 20
)

// store holds keys, leases and watchers.
type store struct {
	clock clock.Clock

	mu       sync.Mutex
	revision int64
	keys     map[string]wire.KeyValue
	leases   map[int64]*lease
	lastID   int64
	// history holds the latest events; compacted is the newest deleted revision.
	history   []wire.Event
	compacted int64
	watchers  map[*watcher]struct{}
}

type lease struct {
	ttl     int64
	expires time.Time
	keys    map[string]struct{}
}

// watcher is woken when its key changes, and then reads the events in the history.
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

func (s *store) rangeKeys(request wire.RangeRequest) wire.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	found := make([]wire.KeyValue, 0, 1)
	for _, kv := range s.keys {
		if !inRange(request, kv.Key) {
			continue
		}
		if request.KeysOnly {
			kv.Value = nil
		}
		found = append(found, kv)
	}
	sort.Slice(found, func(i, j int) bool { return bytes.Compare(found[i].Key, found[j].Key) < 0 })
	answer := wire.RangeResponse{Header: wire.Header{Revision: s.revision}, Count: int64(len(found))}
	if request.Limit > 0 && int64(len(found)) > request.Limit {
		found = found[:request.Limit]
		answer.More = true
	}
	answer.KVs = found
	return answer
}

func inRange(request wire.RangeRequest, key []byte) bool {
	if len(request.RangeEnd) == 0 {
		return bytes.Equal(request.Key, key)
	}
	openEnd := len(request.RangeEnd) == 1 && request.RangeEnd[0] == 0
	return bytes.Compare(key, request.Key) >= 0 && (openEnd || bytes.Compare(key, request.RangeEnd) < 0)
}

func (s *store) txn(request wire.TxnRequest) (wire.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	for _, compare := range request.Compare {
		if s.keys[string(compare.Key)].ModRevision != compare.ModRevision {
			return wire.TxnResponse{Header: wire.Header{Revision: s.revision}}, nil
		}
	}
	if err := s.validate(request.Success); err != nil {
		return wire.TxnResponse{}, err
	}
	if len(request.Success) > 0 {
		s.revision++
	}
	for _, step := range request.Success {
		if step.Put != nil {
			s.put(*step.Put)
		}
		if step.DeleteRange != nil {
			s.remove(string(step.DeleteRange.Key))
		}
	}
	return wire.TxnResponse{Header: wire.Header{Revision: s.revision}, Succeeded: true}, nil
}

func (s *store) validate(steps []wire.RequestOp) error {
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

func (s *store) put(request wire.PutRequest) {
	key := string(request.Key)
	kv, existed := s.keys[key]
	if !existed {
		kv = wire.KeyValue{Key: request.Key, CreateRevision: s.revision}
	}
	s.detach(key, kv.Lease)
	kv.Value, kv.ModRevision, kv.Lease = request.Value, s.revision, request.Lease
	kv.Version++
	s.keys[key] = kv
	if held, ok := s.leases[request.Lease]; ok {
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
