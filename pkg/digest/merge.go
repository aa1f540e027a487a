package digest

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/quota"
)

// Ages of a remote digest.
const (
	// StaleAfter is the age from which a lower sequence is accepted as well, because another
	// builder's clock may be behind.
	StaleAfter = 5 * time.Second
	// ForgetAfter is the age at which a digest is dropped.
	ForgetAfter = 30 * time.Minute
)

// Table holds the latest digest of each remote domain. It is not safe for
// concurrent use.
type Table struct {
	self     string
	byDomain map[string]*board.DomainDigest
}

// NewTable returns an empty table of the given own domain.
func NewTable(self string) *Table {
	return &Table{self: self, byDomain: make(map[string]*board.DomainDigest)}
}

// Merge records a digest that was received at heardAt, and reports whether it replaced the
// previous one. A digest without entries keeps the known entries.
func (t *Table) Merge(d board.DomainDigest, heardAt time.Time) bool {
	if d.Domain == "" || d.Domain == t.self {
		return false
	}
	known, ok := t.byDomain[d.Domain]
	if ok && d.Sequence <= known.Sequence && heardAt.Sub(known.HeardAt) < StaleAfter {
		return false
	}
	if d.Entries == nil && ok {
		d.Entries = known.Entries
	}
	d.HeardAt = heardAt
	t.byDomain[d.Domain] = &d
	return true
}

// Confirm records that the domain's present digest was still valid at the given time.
func (t *Table) Confirm(domain string, at time.Time) {
	known, ok := t.byDomain[domain]
	if !ok || !at.After(known.HeardAt) {
		return
	}
	fresh := *known
	fresh.HeardAt = at
	t.byDomain[domain] = &fresh
}

// Get returns a domain's digest.
func (t *Table) Get(domain string) (board.DomainDigest, bool) {
	known, ok := t.byDomain[domain]
	if !ok {
		return board.DomainDigest{}, false
	}
	return *known, true
}

// Forget drops the digests of domains that have long been unreachable.
func (t *Table) Forget(now time.Time) {
	for domain, d := range t.byDomain {
		if now.Sub(d.HeardAt) >= ForgetAfter {
			delete(t.byDomain, domain)
		}
	}
}

// Snapshot returns the digests sorted by domain.
func (t *Table) Snapshot() *board.Domains {
	list := make([]board.DomainDigest, 0, len(t.byDomain))
	for _, d := range t.byDomain {
		list = append(list, *d)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Domain < list[j].Domain })
	return &board.Domains{Remote: list}
}

// EntriesSum returns a hash of a digest's entries. Addresses seldom change, so they are sent
// only when the hash does.
func EntriesSum(entries []board.Instance) uint64 {
	h := xxhash.New()
	for i := range entries {
		e := &entries[i]
		fmt.Fprintf(h, "%s %d %v\n", e.Name, e.Incarnation, e.Addresses)
	}
	return h.Sum64()
}

// UrgentSum returns a hash of the urgent fields: revisions, the instances and their addresses,
// and whether the platform is reachable. Load is not urgent.
func UrgentSum(d *board.DomainDigest) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%d %d %v %v %d", d.Nodes, d.Silent, d.Platform, d.Revisions, EntriesSum(d.Entries))
	return h.Sum64()
}

// ShareMargin is the percentage of a pool's slots by which its numbers must have changed before
// the change is sent within the own domain.
const ShareMargin = 5

// Differs reports whether the change from one digest to the next is significant enough to be
// sent within the own domain.
func Differs(before, after *board.DomainDigest) bool {
	if UrgentSum(before) != UrgentSum(after) || len(before.Pools) != len(after.Pools) {
		return true
	}
	if quota.Differs(before.Demand, after.Demand) {
		return true
	}
	for i := range after.Pools {
		if poolDiffers(&before.Pools[i], &after.Pools[i]) {
			return true
		}
	}
	return false
}

func poolDiffers(before, after *board.PoolDigest) bool {
	if before.Serves != after.Serves || before.Version != after.Version || before.Slots != after.Slots {
		return true
	}
	margin := after.Slots * ShareMargin / percent
	if (before.Spare == 0) != (after.Spare == 0) || (before.Waiting == 0) != (after.Waiting == 0) {
		return true
	}
	return changedBeyond(before.Busy, after.Busy, margin) ||
		changedBeyond(before.Waiting, after.Waiting, margin) ||
		changedBeyond(before.Spare, after.Spare, margin)
}

func changedBeyond(before, after, margin int) bool {
	return max(before-after, after-before) > margin
}
