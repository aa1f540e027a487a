package platformtest

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Link is one client's connection to a Service.
type Link struct {
	service *Service
	name    string
	pause   func()
}

var _ platform.KeyValue = (*Link)(nil)

func failed(call string, cause error) error {
	return &platform.Error{Service: "key-value", Call: call, Err: cause}
}

// enter begins a call. It locks the service until leave and expires leases. The error
// means that the service is unreachable.
func (l *Link) enter(call string, count *int) error {
	l.pause()
	l.service.mu.Lock()
	l.service.expire()
	*count++
	if l.service.down || l.service.partitioned[l.name] {
		return failed(call, platform.ErrUnavailable)
	}
	return nil
}

func (l *Link) leave() {
	l.service.mu.Unlock()
	l.pause()
}

// Get implements platform.KeyValue.
func (l *Link) Get(ctx context.Context, key string) (platform.Entry, bool, error) {
	s := l.service
	err := l.enter("get", &s.counts.Reads)
	defer l.leave()
	if err != nil {
		return platform.Entry{}, false, err
	}
	if s.failingReads > 0 {
		s.failingReads--
		return platform.Entry{}, false, failed("get", platform.ErrUnavailable)
	}
	if ctx.Err() != nil {
		return platform.Entry{}, false, failed("get", platform.ErrUnavailable)
	}
	found, ok := s.records[key]
	return found.entry, ok, nil
}

// Range implements platform.KeyValue.
func (l *Link) Range(ctx context.Context, prefix string, limit int) ([]platform.Entry, bool, error) {
	s := l.service
	err := l.enter("range", &s.counts.Reads)
	defer l.leave()
	if err != nil {
		return nil, false, err
	}
	if ctx.Err() != nil {
		return nil, false, failed("range", platform.ErrUnavailable)
	}
	var found []platform.Entry
	for key, record := range s.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, record.entry)
		}
	}
	slices.SortFunc(found, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(found) > limit {
		return found[:limit], true, nil
	}
	return found, false, nil
}

// Swap implements platform.KeyValue. A write takes effect even after ctx has ended,
// since it may already have been sent.
func (l *Link) Swap(_ context.Context, expect map[string]int64, puts []platform.Put) (int64, error) {
	l.service.runBeforeNextWrite()
	s := l.service
	err := l.enter("txn", &s.counts.Writes)
	defer l.leave()
	if err != nil {
		return 0, err
	}
	fault := NoFault
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	switch fault {
	case LoseWrite:
	case LoseAnswer:
		_, _ = s.swap(expect, puts)
	case StopAfterWrite:
		_, _ = s.swap(expect, puts)
		s.down = true
		s.breakWatches(func(*watch) bool { return true })
	case DelayWrite:
		s.delayed = append(s.delayed, func() { _, _ = s.swap(expect, puts) })
	default:
		return s.swap(expect, puts)
	}
	return 0, failed("txn", platform.ErrUnavailable)
}

// Grant implements platform.KeyValue.
func (l *Link) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	s := l.service
	err := l.enter("grant", &s.counts.Grants)
	defer l.leave()
	if err != nil {
		return 0, err
	}
	s.lastID++
	s.leases[s.lastID] = lease{ttl: ttl, expiry: s.clock.Now().Add(ttl)}
	return s.lastID, nil
}

// KeepAlive implements platform.KeyValue.
func (l *Link) KeepAlive(_ context.Context, id platform.LeaseID) (time.Duration, error) {
	s := l.service
	err := l.enter("keepalive", &s.counts.KeepAlives)
	defer l.leave()
	if err != nil {
		return 0, err
	}
	granted, ok := s.leases[id]
	if !ok {
		return 0, failed("keepalive", platform.ErrLeaseLost)
	}
	granted.expiry = s.clock.Now().Add(granted.ttl)
	s.leases[id] = granted
	return granted.ttl, nil
}

// Revoke implements platform.KeyValue.
func (l *Link) Revoke(_ context.Context, id platform.LeaseID) error {
	s := l.service
	err := l.enter("revoke", &s.counts.Revokes)
	defer l.leave()
	if err != nil {
		return err
	}
	delete(s.leases, id)
	s.deleteOrphanedKeys()
	return nil
}
