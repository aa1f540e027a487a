package kv

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"
)

func (s *store) grant(ttl int64) wire.LeaseResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl = max(ttl, 1)
	s.leases[s.lastID] = &lease{ttl: ttl, expires: s.deadline(ttl), keys: make(map[string]struct{})}
	return wire.LeaseResponse{Header: wire.Header{Revision: s.revision}, ID: s.lastID, TTL: ttl}
}

func (s *store) deadline(ttl int64) time.Time {
	return s.clock.Now().Add(time.Duration(ttl) * time.Second)
}

func (s *store) keepAlive(id int64) wire.LeaseResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	answer := wire.LeaseResponse{Header: wire.Header{Revision: s.revision}, ID: id}
	if held, ok := s.leases[id]; ok {
		held.expires = s.deadline(held.ttl)
		answer.TTL = held.ttl
	}
	return answer
}

func (s *store) revoke(id int64) (wire.LeaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	held, ok := s.leases[id]
	if !ok {
		return wire.LeaseResponse{}, errLeaseNotFound
	}
	s.deleteLease(id, held)
	return wire.LeaseResponse{Header: wire.Header{Revision: s.revision}}, nil
}

// expireLeases deletes the expired leases, so that watchers are notified.
func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
}

func (s *store) expireLocked() {
	now := s.clock.Now()
	for id, held := range s.leases {
		if !now.Before(held.expires) {
			s.deleteLease(id, held)
		}
	}
}

func (s *store) deleteLease(id int64, held *lease) {
	delete(s.leases, id)
	if len(held.keys) == 0 {
		return
	}
	s.revision++
	for key := range held.keys {
		s.remove(key)
	}
}
