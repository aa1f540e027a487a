// Package platformtest is an in-memory fake of the platform's key-value service with
// fault injection, for tests and simulations without a platform. It implements the
// contract of platform.KeyValue with revisions, compare-and-swap, watches, and leases
// on a given clock.
package platformtest

import (
	"slices"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Fault is a fault that the service injects into one write.
type Fault int

// The faults of a write.
const (
	// NoFault applies and answers the write.
	NoFault Fault = iota
	// LoseWrite loses the write, which is not answered.
	LoseWrite
	// LoseAnswer applies the write and loses the answer.
	LoseAnswer
	// DelayWrite does not answer the write and applies it at the next Release.
	DelayWrite
	// StopAfterWrite is LoseAnswer followed by SetDown(true).
	StopAfterWrite
)

// Counts are the numbers of calls, including failed ones.
type Counts struct {
	Reads, Writes, Watches, Grants, KeepAlives, Revokes int
}

// Service is a key-value service. Its own methods of platform.KeyValue use a link with
// an empty name; Connect creates others. It is safe for concurrent use.
type Service struct {
	*Link
	clock clock.Clock

	mu       sync.Mutex
	revision int64
	records  map[string]record
	lastID   platform.LeaseID
	leases   map[platform.LeaseID]lease
	watches  map[*watch]struct{}
	counts   Counts

	down        bool
	partitioned map[string]bool
	// faults are consumed by writes, one each. failingReads is the number of reads that fail.
	faults          []Fault
	failingReads    int
	delayed         []func()
	beforeNextWrite func()
}

// record is an entry and its lease, which is 0 if there is none.
type record struct {
	entry platform.Entry
	lease platform.LeaseID
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// New returns an empty service whose leases expire by the clock.
func New(now clock.Clock) *Service {
	s := &Service{
		clock:       now,
		records:     make(map[string]record),
		leases:      make(map[platform.LeaseID]lease),
		watches:     make(map[*watch]struct{}),
		partitioned: make(map[string]bool),
	}
	s.Link = s.Connect("", nil)
	return s
}

// Connect returns a link to the service. SetPartitioned partitions links by name. Pause,
// unless nil, runs before and after each call and can block the caller.
func (s *Service) Connect(name string, pause func()) *Link {
	if pause == nil {
		pause = func() {}
	}
	return &Link{service: s, name: name, pause: pause}
}

// SetDown sets whether every call fails. Going down breaks all watches.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		s.breakWatches(func(*watch) bool { return true })
	}
}

// SetPartitioned partitions or heals all links of a name. A partition breaks their watches.
func (s *Service) SetPartitioned(link string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[link] = partitioned
	if partitioned {
		s.breakWatches(func(w *watch) bool { return w.link == link })
	}
}

// BreakWatches closes the channels of all watches.
func (s *Service) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakWatches(func(*watch) bool { return true })
}

// FailWrites appends faults for the next writes, one each. A write that fails because
// the service is down consumes none.
func (s *Service) FailWrites(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// FailReads makes the next count reads by Get fail.
func (s *Service) FailReads(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failingReads = count
}

// ClearFaults cancels FailWrites and FailReads. Delayed writes stay pending.
func (s *Service) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.failingReads = nil, 0
}

// Release applies the delayed writes in order.
func (s *Service) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.delayed {
		write()
	}
	s.delayed = nil
}

// BeforeNextWrite runs a function once, when the next write arrives and before it is
// evaluated. The function may call the service.
func (s *Service) BeforeNextWrite(run func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeNextWrite = run
}

// Set writes a key regardless of faults and notifies its watches.
func (s *Service) Set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(platform.Put{Key: key, Value: value})
}

// Remove deletes a key regardless of faults and notifies its watches.
func (s *Service) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(platform.Put{Key: key, Delete: true})
}

// Value returns a key's value regardless of faults, or nil if there is none.
func (s *Service) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return slices.Clone(s.records[key].entry.Value)
}

// Len returns the number of keys.
func (s *Service) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return len(s.records)
}

// Counts returns the numbers of calls so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Watching returns the number of open watches on the links of a name.
func (s *Service) Watching(link string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for w := range s.watches {
		if w.link == link {
			count++
		}
	}
	return count
}
