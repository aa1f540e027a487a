package agent

import (
	"reflect"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
)

// setRevisions records the own revisions, and reports whether they changed.
func (m *mesh) setRevisions(agent, inForce config.Revision, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.agent == agent && m.inForce == inForce {
		return false
	}
	m.agent, m.inForce = agent, inForce
	m.view.RecordHeartbeat(m.self.Name, m.self.Epoch, inForce, now)
	m.changed()
	return true
}

// setGateway records the own gateway's incarnation and whether it is leaving. It
// reports whether that changed.
func (m *mesh) setGateway(incarnation uint64, leaving bool, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	leaving = leaving || m.stopping
	if m.self.Incarnation == incarnation && m.self.Leaving == leaving {
		return false
	}
	m.self.Incarnation, m.self.Leaving = incarnation, leaving
	m.view.ApplyIdentity(m.self, now)
	m.publishIdentity()
	m.changed()
	return true
}

// setLeaving marks this instance as leaving for good.
func (m *mesh) setLeaving(now time.Time) {
	m.mu.Lock()
	incarnation := m.self.Incarnation
	m.stopping = true
	m.mu.Unlock()
	m.setGateway(incarnation, true, now)
}

// setLoad records and publishes the own gateway's load if it changed.
func (m *mesh) setLoad(load board.GatewayLoad, before *board.GatewayLoad) {
	if before != nil && reflect.DeepEqual(load, *before) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetLoad(m.self.Name, m.self.Epoch, load)
	m.publishLoad(load)
	m.changed()
}

// setMark records and publishes whether this instance saw an upstream leaving. It
// reports whether that changed.
func (m *mesh) setMark(upstream string, leaving bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.marks[m.self.Name][upstream] == leaving {
		return false
	}
	m.mark(m.self.Name, upstream, leaving)
	fact := control.MarkFact{Upstream: upstream, Leaving: leaving}
	m.own.set("mark/"+upstream, func(f *control.Facts) { f.Marks = append(f.Marks, fact) })
	m.changed()
	return true
}

// setUpstream records and publishes a poll of an upstream that this instance owns.
// It reports whether the upstream's state changed.
func (m *mesh) setUpstream(load board.UpstreamLoad) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, ok := m.upstreams[load.Name]
	m.upstreams[load.Name] = &upstreamEntry{from: m.self.Name, load: load}
	m.publishPrefixes(&load)
	if ok && before.from == m.self.Name && sameLoad(before.load, load) {
		return false
	}
	reportedAt := load.ReportedAt
	fact := load
	fact.ReportedAt, fact.Prefixes = time.Time{}, nil
	m.own.set("upstream/"+load.Name, func(f *control.Facts) {
		f.Upstreams = append(f.Upstreams, control.UpstreamFact{Load: fact, Age: max(time.Since(reportedAt), 0)})
	})
	m.changed()
	return !ok || before.load.State != load.State
}

// withdrawUpstream withdraws a report when this instance no longer owns the
// upstream's poll.
func (m *mesh) withdrawUpstream(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.remove("upstream/" + name)
	m.withdrawPrefixes(name)
}

func sameLoad(a, b board.UpstreamLoad) bool {
	a.ReportedAt, b.ReportedAt = time.Time{}, time.Time{}
	return reflect.DeepEqual(a, b)
}
