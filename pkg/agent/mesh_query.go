package agent

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// peers returns the instances that may be called.
func (m *mesh) peers(now time.Time) []member.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Peers(now)
}

// workers returns the names among which the domain's jobs are ranked.
func (m *mesh) workers(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Workers(now)
}

// lastReceived returns the time of a peer's last message.
func (m *mesh) lastReceived(name string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.links[name]; ok {
		return l.lastReceived
	}
	return time.Time{}
}

// revision returns the revision that a peer's agent last reported.
func (m *mesh) revision(name string) config.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.links[name]; ok {
		return l.revision
	}
	return 0
}

// ahead returns the live peers that hold a newer configuration than the given.
func (m *mesh) ahead(held config.Revision, now time.Time) []member.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []member.Peer
	for _, peer := range m.view.Peers(now) {
		l, ok := m.links[peer.Name]
		if ok && l.revision > held && m.view.State(peer.Name, now) != board.InstanceSilent {
			peers = append(peers, peer)
		}
	}
	return peers
}

// seesPlatform reports whether any watcher of the domain that is not silent reaches
// the key-value service.
func (m *mesh) seesPlatform(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, fact := range m.platform {
		state := m.view.State(name, now)
		if fact.Watching && fact.KeyValue && (state == board.InstanceLive || state == board.InstanceLeaving) {
			return true
		}
	}
	return false
}

// withoutPlatform returns the instances that try to watch the key-value service and get no answer.
func (m *mesh) withoutPlatform(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, fact := range m.platform {
		if fact.Watching && !fact.KeyValue && m.view.State(name, now) == board.InstanceLive {
			names = append(names, name)
		}
	}
	return names
}

// setPlatform records and publishes whether the key-value service answers here. It
// reports whether that changed.
func (m *mesh) setPlatform(fact control.PlatformFact) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.platform[m.self.Name] == fact {
		return false
	}
	m.platform[m.self.Name] = fact
	m.own.set("platform", func(f *control.Facts) { f.Platform = &fact })
	m.changed()
	return true
}

// setList records and publishes the platform's list.
func (m *mesh) setList(lines []platform.ListedInstance, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.list != nil && slices.Equal(m.list.Lines, lines) {
		return
	}
	list := &control.ListFact{Lines: lines}
	m.applyList(list, now)
	m.own.set(keyList, func(f *control.Facts) { f.List = list })
	m.changed()
}

// state returns the state of an instance of the domain.
func (m *mesh) state(name string, now time.Time) board.InstanceState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.State(name, now)
}

// snapshot returns the sections of the blackboard, for the given upstreams of
// the own domain.
func (m *mesh) snapshot(now time.Time, upstreams []string) (*board.Members, *board.Upstreams, *board.Domains) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Forget(now)
	m.remote.Forget(now)
	members := &board.Members{Self: m.self.Name, Instances: m.view.Instances(now)}
	for domain, entry := range m.digests {
		if entry.from == m.self.Name && entry.reachable {
			m.remote.Confirm(domain, now)
		}
	}
	return members, m.loads(now, upstreams), m.remote.Snapshot()
}

func (m *mesh) loads(now time.Time, names []string) *board.Upstreams {
	leaving := m.leavingUpstreams(now)
	byName := make(map[string]board.UpstreamLoad, len(names))
	for _, name := range names {
		entry, ok := m.upstreams[name]
		if !ok {
			continue
		}
		load := entry.load
		if leaving[name] && load.State == board.UpstreamLive {
			load.State, load.Marked = board.UpstreamLeaving, true
		}
		byName[name] = load
	}
	return &board.Upstreams{ByName: byName}
}

// leavingUpstreams merges the marks of the platform's list and of every instance with a last
// message that is at most MarkTTL old.
func (m *mesh) leavingUpstreams(now time.Time) map[string]bool {
	leaving := make(map[string]bool)
	if m.list != nil {
		for _, line := range m.list.Lines {
			if line.Leaving {
				leaving[line.Name] = true
			}
		}
	}
	for from, marks := range m.marks {
		if from != m.self.Name && now.Sub(m.link(from).lastReceived) > MarkTTL {
			continue
		}
		for name := range marks {
			leaving[name] = true
		}
	}
	return leaving
}
