package agent

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/digest"
	"github.com/lilacweir/lilacweir/pkg/member"
)

// MarkTTL is the time that a leaving mark on an upstream remains valid after the
// last heartbeat of the instance that set it.
const MarkTTL = 30 * time.Second

// mesh is the state that this instance receives and publishes in its failure
// domain. Methods take the current time where they need it, and do no input or
// output.
type mesh struct {
	mu      sync.Mutex
	self    member.Identity
	agent   config.Revision
	inForce config.Revision
	view    *member.View
	remote  *digest.Table
	own     *journal
	links   map[string]*link
	// numbers maps upstream names to their numbers in the published loads.
	numbers map[string]int
	// hints holds the cached prefixes that were published last, by upstream.
	hints     map[string]hint
	upstreams map[string]*upstreamEntry
	digests   map[string]*digestEntry
	// cutOff holds, by remote domain, the instances that do not reach it, with their epochs.
	cutOff   map[string]map[string]uint64
	marks    map[string]map[string]bool
	list     *control.ListFact
	platform map[string]control.PlatformFact
	stopping bool
	sequence uint64
	changed  func()
	behind   func()
}

// link is the heartbeat state of one peer.
type link struct {
	epoch        uint64
	sequence     uint64
	received     uint64
	acknowledged uint64
	lastReceived time.Time
	revision     config.Revision
	viewSum      uint64
	// names maps the upstream numbers in the peer's counts to names.
	names map[int]string
}

// upstreamEntry is the last report of an upstream and its source.
type upstreamEntry struct {
	from string
	load board.UpstreamLoad
}

// digestEntry is the last source of a remote domain's digest.
type digestEntry struct {
	from      string
	reachable bool
	digest    board.DomainDigest
}

func newMesh(self member.Identity, now time.Time) *mesh {
	m := &mesh{
		self:      self,
		view:      member.NewView(self, now),
		remote:    digest.NewTable(self.Domain),
		own:       newJournal(),
		links:     make(map[string]*link),
		numbers:   make(map[string]int),
		hints:     make(map[string]hint),
		upstreams: make(map[string]*upstreamEntry),
		digests:   make(map[string]*digestEntry),
		cutOff:    make(map[string]map[string]uint64),
		marks:     make(map[string]map[string]bool),
		platform:  make(map[string]control.PlatformFact),
		changed:   func() {},
		behind:    func() {},
	}
	m.publishIdentity()
	return m
}

func (m *mesh) publishIdentity() {
	id := m.self
	m.own.set(keyIdentity, func(f *control.Facts) { f.Identity = &id })
}

// compose builds the heartbeat for a peer; the name is empty for a peer that is not
// known yet.
func (m *mesh) compose(to string, now time.Time) control.Beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.link(to)
	m.sequence++
	beat := control.Beat{
		From: m.self.Name, Epoch: m.self.Epoch, Sequence: m.sequence,
		Revision: m.agent, InForce: m.inForce,
		ViewSum: m.viewSum(now), UpTo: m.own.change,
		Facts:     m.own.since(l.acknowledged),
		HaveEpoch: l.epoch, Have: l.received,
	}
	if l.viewSum != beat.ViewSum {
		beat.Peers = m.view.Peers(now)
	}
	return beat
}

// receive applies a peer's heartbeat and reports whether the sender may be
// answered: it is of this domain, and not of an earlier epoch.
func (m *mesh) receive(b *control.Beat, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.From == "" || b.From == m.self.Name {
		return false
	}
	if id := b.Facts.Identity; id != nil && (id.Name != b.From || id.Domain != m.self.Domain) {
		return false
	}
	if b.Epoch < m.view.Epoch(b.From) {
		return false
	}
	before := m.view.State(b.From, now)
	l := m.link(b.From)
	if l.epoch != b.Epoch {
		*l = link{epoch: b.Epoch}
	}
	if b.Sequence <= l.sequence {
		return true
	}
	updated := false
	if b.Facts.Identity != nil {
		updated = m.view.ApplyIdentity(*b.Facts.Identity, now)
	}
	if m.view.Epoch(b.From) != b.Epoch {
		// Its identity has not arrived yet: received stays 0, so it is sent next
		// time.
		return true
	}
	l.sequence, l.lastReceived, l.revision = b.Sequence, now, b.Revision
	l.viewSum = b.ViewSum
	l.acknowledged = 0
	if b.HaveEpoch == m.self.Epoch {
		l.acknowledged = b.Have
	}
	l.received = max(l.received, b.UpTo)
	updated = m.view.RecordHeartbeat(b.From, b.Epoch, b.InForce, now) || updated
	updated = m.applyFacts(b, now) || updated
	for _, peer := range b.Peers {
		m.view.AddPeer(peer, now)
	}
	m.confirm(b.From, now)
	if updated || before != m.view.State(b.From, now) {
		m.changed()
	}
	if b.Revision > m.agent {
		m.behind()
	}
	return true
}

func (m *mesh) applyFacts(b *control.Beat, now time.Time) bool {
	f := &b.Facts
	updated := false
	l := m.link(b.From)
	l.applyNames(f.Names)
	if f.Load != nil {
		m.view.SetLoad(b.From, b.Epoch, l.decodeLoad(f))
		updated = true
	}
	for i := range f.Upstreams {
		m.applyReport(b.From, &f.Upstreams[i], now)
		updated = true
	}
	for i := range f.Prefixes {
		m.applyPrefixes(&f.Prefixes[i])
		updated = true
	}
	for _, mark := range f.Marks {
		m.mark(b.From, mark.Upstream, mark.Leaving)
		updated = true
	}
	for i := range f.Digests {
		updated = m.applyDigest(b.From, &f.Digests[i], now) || updated
	}
	if f.Platform != nil {
		m.platform[b.From] = *f.Platform
		updated = true
	}
	if f.List != nil {
		m.applyList(f.List, now)
		updated = true
	}
	return updated
}

// confirm refreshes what a peer publishes, as a peer sends nothing while nothing
// changes.
func (m *mesh) confirm(from string, now time.Time) {
	for domain, entry := range m.digests {
		if entry.from == from && entry.reachable {
			m.remote.Confirm(domain, now)
		}
	}
	for _, entry := range m.upstreams {
		if entry.from == from && entry.load.State != board.UpstreamSilent {
			entry.load.ReportedAt = now
		}
	}
}

func (m *mesh) mark(from, upstream string, leaving bool) {
	if !leaving {
		delete(m.marks[from], upstream)
		return
	}
	if m.marks[from] == nil {
		m.marks[from] = make(map[string]bool)
	}
	m.marks[from][upstream] = true
}

func (m *mesh) applyList(list *control.ListFact, now time.Time) {
	m.list = list
	listed := make([]member.Listed, 0, len(list.Lines))
	for _, line := range list.Lines {
		if line.Mesh == "" || line.Domain != m.self.Domain {
			continue
		}
		peer := member.Peer{Name: line.Name, Mesh: line.Mesh}
		listed = append(listed, member.Listed{Peer: peer, Leaving: line.Leaving})
	}
	m.view.ApplyList(listed, now)
}

// goodbye records that a peer left.
func (m *mesh) goodbye(name string, epoch uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.Goodbye(name, epoch, now) {
		m.changed()
	}
}

func (m *mesh) link(name string) *link {
	l, ok := m.links[name]
	if !ok {
		l = &link{}
		m.links[name] = l
	}
	return l
}

// viewSum returns a hash of the instances that may be called, self included.
func (m *mesh) viewSum(now time.Time) uint64 {
	peers := append(m.view.Peers(now), member.Peer{Name: m.self.Name, Mesh: m.self.Addresses.Mesh, Epoch: m.self.Epoch})
	var sum uint64
	for _, peer := range peers {
		// Adding makes the result independent of the order, which differs between
		// instances.
		sum += xxhash.Sum64String(peer.Name + " " + peer.Mesh)
	}
	return sum
}
