package agent

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/digest"
)

// noEntries is the hash of an empty list of entries.
var noEntries = digest.EntriesSum(nil)

// restoreEmptyEntries sets Entries to an empty list if the hash shows that the
// domain has no entries, and to nil if they were omitted: gob decodes an empty list
// as nil.
func restoreEmptyEntries(d board.DomainDigest, entriesSum uint64) board.DomainDigest {
	if len(d.Entries) > 0 {
		return d
	}
	d.Entries = nil
	if entriesSum == noEntries {
		d.Entries = []board.Instance{}
	}
	return d
}

// digest returns a remote domain's last digest.
func (m *mesh) digest(domain string) (board.DomainDigest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.remote.Get(domain)
}

// applyDigest applies a digest that a peer fetched and shares.
func (m *mesh) applyDigest(from string, fact *control.DigestFact, now time.Time) bool {
	m.digests[fact.Digest.Domain] = &digestEntry{from: from, reachable: fact.Reachable}
	if !fact.Reachable {
		return true
	}
	return m.remote.Merge(restoreEmptyEntries(fact.Digest, fact.EntriesSum), now.Add(-fact.Age))
}

// setDigest records a remote domain's digest that this instance owns and fetched.
// It publishes the digest only if it differs enough to matter, and reports whether
// the change is urgent.
func (m *mesh) setDigest(d board.DomainDigest, entriesSum uint64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remote.Merge(restoreEmptyEntries(d, entriesSum), now)
	current, _ := m.remote.Get(d.Domain)
	before, ok := m.digests[d.Domain]
	owned := ok && before.from == m.self.Name
	if owned && before.reachable && !digest.Differs(&before.digest, &current) {
		return false
	}
	urgent := !owned || !before.reachable || digest.UrgentSum(&before.digest) != digest.UrgentSum(&current)
	m.digests[d.Domain] = &digestEntry{from: m.self.Name, reachable: true, digest: current}
	sum := digest.EntriesSum(current.Entries)
	if !owned || digest.EntriesSum(before.digest.Entries) != sum {
		m.publishDigest("entries/", current, sum, now)
	}
	current.Entries = nil
	m.publishDigest("digest/", current, sum, now)
	m.changed()
	return urgent
}

// publishDigest publishes a digest in the domain. Entries have a key of their own,
// so that they are sent again only when they have changed.
func (m *mesh) publishDigest(kind string, d board.DomainDigest, entriesSum uint64, receivedAt time.Time) {
	d.HeardAt = time.Time{}
	m.own.set(kind+d.Domain, func(f *control.Facts) {
		fact := control.DigestFact{Digest: d, Age: max(time.Since(receivedAt), 0), EntriesSum: entriesSum, Reachable: true}
		f.Digests = append(f.Digests, fact)
	})
}

// setUnreachable publishes that a remote domain does not answer this instance,
// which owns its fetch: from now on its digest ages.
func (m *mesh) setUnreachable(domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, ok := m.digests[domain]
	if ok && before.from == m.self.Name && !before.reachable {
		return
	}
	m.digests[domain] = &digestEntry{from: m.self.Name}
	m.own.remove("entries/" + domain)
	m.own.set("digest/"+domain, func(f *control.Facts) {
		f.Digests = append(f.Digests, control.DigestFact{Digest: board.DomainDigest{Domain: domain}})
	})
	m.changed()
}

// withdrawDigest withdraws a digest when this instance no longer owns the domain's
// fetch.
func (m *mesh) withdrawDigest(domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.remove("entries/" + domain)
	m.own.remove("digest/" + domain)
}
