// Package platformtest holds an in-memory stand-in for the platform's key-value
// service, with switches for its faults, for those who drive the decisions of
// lilacweir without a platform. It keeps to the contract of platform.KeyValue:
// revisions, compare-and-swap, leases by a given clock, watches.
package platformtest

import (
	"slices"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Fault is how the service treats one write.
type Fault int

// The faults of a write.
const (
	// NoFault: the write is judged and answered.
	NoFault Fault = iota
	// LoseWrite: no answer, and the write never arrives.
	LoseWrite
	// LoseAnswer: the write is judged, its answer is lost.
	LoseAnswer
	// DelayWrite: no answer yet; the write is judged at the next Release.
	DelayWrite
	// StopAfterWrite: as LoseAnswer, and the service is down from then on.
	StopAfterWrite
)

// Counts are the calls that the service was asked, those that failed included.
type Counts struct {
	Reads, Writes, Watches, Grants, KeepAlives, Revokes int
}

// Service is a key-value service. Its own calls (it is a platform.KeyValue) come
// over a link without a name; Link gives others. It is safe for concurrent use.
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

	down bool
	cut  map[string]bool
	// faults are used up by writes, one each, failing by reads.
	faults  []Fault
	failing int
	late    []func()
	before  func()
}

// record is an entry with the lease that it ends with (0: none).
type record struct {
	entry platform.Entry
	lease platform.LeaseID
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// New returns an empty service whose leases end by the clock.
func New(now clock.Clock) *Service {
	s := &Service{
		clock:   now,
		records: make(map[string]record),
		leases:  make(map[platform.LeaseID]lease),
		watches: make(map[*watch]struct{}),
		cut:     make(map[string]bool),
	}
	s.Link = s.Connect("", nil)
	return s
}

// Connect returns a way to the service, which Cut cuts by its name. Hold, unless
// nil, runs before and after each call: what it takes, the caller stands still.
func (s *Service) Connect(name string, hold func()) *Link {
	if hold == nil {
		hold = func() {}
	}
	return &Link{service: s, name: name, hold: hold}
}

// SetDown says whether every call fails; going down breaks all watches.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		s.breakWatches(func(*watch) bool { return true })
	}
}

// SetPartitioned cuts or heals all links of a name; cutting breaks their watches.
func (s *Service) SetPartitioned(link string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[link] = cut
	if cut {
		s.breakWatches(func(w *watch) bool { return w.link == link })
	}
}

// BreakWatches closes the channels of all watches.
func (s *Service) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakWatches(func(*watch) bool { return true })
}

// FailWrites appends to the faults that the next writes meet, one each. A write
// that meets the service down uses none up.
func (s *Service) FailWrites(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// FailReads makes that many reads by Get fail.
func (s *Service) FailReads(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = count
}

// ClearFaults takes back FailWrites and FailReads. Delayed writes stay on their way.
func (s *Service) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.failing = nil, 0
}

// Release lets the delayed writes arrive, in their order.
func (s *Service) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.late {
		write()
	}
	s.late = nil
}

// BeforeNextWrite runs a function once, when the next write arrives and before
// it is judged. The function may call the service.
func (s *Service) BeforeNextWrite(run func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before = run
}

// Set writes a key whatever the faults, and tells its watches.
func (s *Service) Set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(platform.Put{Key: key, Value: value})
}

// Remove removes a key whatever the faults, and tells its watches.
func (s *Service) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(platform.Put{Key: key, Delete: true})
}

// Value returns a key's value whatever the faults; nil when there is none.
func (s *Service) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return slices.Clone(s.records[key].entry.Value)
}

// Len returns how many keys there are.
func (s *Service) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return len(s.records)
}

// Counts returns what the service was asked so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Watching returns how many watches stand over the links of a name.
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
