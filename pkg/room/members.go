package room

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/member"
)

// memberMemory is the time for which an instance that vanished without leaving keeps its part: it
// may be cut off from the others, and still send.
const memberMemory = 10 * time.Second

// rankSenders is the hash key that ranks the instances of a region for an upstream.
const rankSenders = "limited"

// Members holds the instances that divide what upstreams accept, by region. It is safe for
// concurrent use.
type Members struct {
	now func() time.Time
	mu  sync.Mutex
	// byName holds the instances known now or lately.
	byName  map[string]membership
	regions map[string]*ranking
}

type membership struct {
	Member
	lastSeen time.Time
}

// Member is an instance that is known now.
type Member struct {
	Name, Region string
	// Leaving is true if the instance has announced that it leaves.
	Leaving bool
}

// ranking caches the order of one region's instances for each upstream.
type ranking struct {
	names       []string
	fingerprint uint64
	byUpstream  map[string][]string
}

// NewMembers returns Members without instances.
func NewMembers(now func() time.Time) *Members {
	return &Members{now: now, byName: make(map[string]membership), regions: make(map[string]*ranking)}
}

// Observe sets the instances that are known now.
func (m *Members) Observe(known []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, each := range known {
		m.byName[each.Name] = membership{Member: each, lastSeen: now}
	}
	maps.DeleteFunc(m.byName, func(_ string, each membership) bool {
		return each.lastSeen.Before(now) && (each.Leaving || now.Sub(each.lastSeen) > memberMemory)
	})
	byRegion := make(map[string][]string)
	for name, each := range m.byName {
		byRegion[each.Region] = append(byRegion[each.Region], name)
	}
	for region, names := range byRegion {
		fingerprint := fingerprintOf(names)
		if before := m.regions[region]; before != nil && before.fingerprint == fingerprint {
			continue
		}
		slices.Sort(names)
		m.regions[region] = &ranking{names: names, fingerprint: fingerprint, byUpstream: make(map[string][]string)}
	}
	maps.DeleteFunc(m.regions, func(region string, _ *ranking) bool { return byRegion[region] == nil })
}

// fingerprintOf returns a hash of a set of names.
func fingerprintOf(names []string) uint64 {
	sum := uint64(len(names))
	for _, name := range names {
		sum += xxhash.Sum64String(name)
	}
	return sum
}

// ranked returns the names of a region's instances in their order for an upstream. Callers must not
// change it.
func (m *Members) ranked(region, upstream string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.regions[region]
	if known == nil {
		return nil
	}
	order, ok := known.byUpstream[upstream]
	if !ok {
		order = member.Rank(member.Key(rankSenders, upstream), known.names)
		known.byUpstream[upstream] = order
	}
	return order
}

// Rank returns an instance's rank among those of its region that send to an upstream.
func (m *Members) Rank(region, upstream, name string) limit.SenderRank {
	order := m.ranked(region, upstream)
	return limit.SenderRank{Instances: len(order), Place: slices.Index(order, name)}
}

// minPool is the number of places that an instance with any should have: requests that come at random
// then find one more often than if each of many instances has one or two.
const minPool = 4

// senders returns how many instances divide the slots of an upstream, of a service with a total number
// of slots in the region.
func senders(slots, total, instances int) int {
	if total >= minPool*instances {
		return min(slots, instances)
	}
	return max(1, min(slots/minPool, instances))
}

// Part returns how many of an upstream's slots an instance may use. total is the number of slots of its
// service in the region.
func (m *Members) Part(region, upstream, name string, slots, total int) int {
	order := m.ranked(region, upstream)
	return limit.Part(slots, senders(slots, total, len(order)), slices.Index(order, name))
}

// AddParts adds the parts of a region's instances to sums by instance.
func (m *Members) AddParts(sums map[string]int, region, upstream string, slots, total int) {
	order := m.ranked(region, upstream)
	dividing := senders(slots, total, len(order))
	for place, name := range order[:min(dividing, len(order))] {
		sums[name] += limit.Part(slots, dividing, place)
	}
}
