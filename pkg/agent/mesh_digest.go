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
	m.setCutOff(fact.Digest.Domain, from, m.view.Epoch(from), !fact.Reachable)
	if before := m.digests[fact.Digest.Domain]; !fact.Reachable && before != nil && before.reachable && before.from != from {
		// A stand-in reaches the domain.
		return true
	}
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
	m.setCutOff(d.Domain, m.self.Name, m.self.Epoch, false)
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

// setUnreachable publishes that a remote domain does not answer this instance, which fetches its
// digest: unless a stand-in reaches it, the digest ages from now on.
func (m *mesh) setUnreachable(domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, already := m.cutOff[domain][m.self.Name]; already {
		return
	}
	m.setCutOff(domain, m.self.Name, m.self.Epoch, true)
	if before := m.digests[domain]; before == nil || before.from == m.self.Name || !before.reachable {
		m.digests[domain] = &digestEntry{from: m.self.Name}
	}
	m.own.remove("entries/" + domain)
	m.own.set("digest/"+domain, func(f *control.Facts) {
		f.Digests = append(f.Digests, control.DigestFact{Digest: board.DomainDigest{Domain: domain}})
	})
	m.changed()
}

// setCutOff records whether an instance reaches a remote domain. The caller holds m.mu.
func (m *mesh) setCutOff(domain, instance string, epoch uint64, cutOff bool) {
	if !cutOff {
		delete(m.cutOff[domain], instance)
		return
	}
	if m.cutOff[domain] == nil {
		m.cutOff[domain] = make(map[string]uint64)
	}
	m.cutOff[domain][instance] = epoch
}

// cutOffFrom returns the instances that fetch a remote domain's digest and do not reach it.
func (m *mesh) cutOffFrom(domain string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, epoch := range m.cutOff[domain] {
		if epoch == m.view.Epoch(name) {
			names = append(names, name)
		}
	}
	return names
}

// withdrawDigest withdraws a digest when this instance no longer owns the domain's
// fetch.
func (m *mesh) withdrawDigest(domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setCutOff(domain, m.self.Name, m.self.Epoch, false)
	m.own.remove("entries/" + domain)
	m.own.remove("digest/" + domain)
}
