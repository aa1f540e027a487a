package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// byValue orders entries by their values.
type byValue struct{}

func (byValue) Older(entry, than *platform.Entry) bool {
	return bytes.Compare(entry.Value, than.Value) < 0
}
func (byValue) RetainFor(string) time.Duration            { return 0 }
func (byValue) SuppressFor(string) time.Duration          { return 0 }
func (byValue) OverruleFor(*platform.Entry) time.Duration { return 0 }

const restoredKey = "declared/config"

// setStore gives a node a value at a position, as if it had read it from the store.
func (n *node) setStore(at mirror.Position, value string) bool {
	snapshot := &mirror.Snapshot{Epoch: at.Era, Revision: at.Revision, Entries: map[string]platform.Entry{
		restoredKey: {Key: restoredKey, Value: []byte(value), ModRevision: at.Revision, Era: at.Era},
	}}
	delta := snapshot.Since(n.store.Position(), time.Now())
	return n.store.Adopt(&delta)
}

// holds returns the value that a node has.
func (n *node) holds() string {
	copied := n.store.Snapshot().Load()
	if copied == nil {
		return ""
	}
	return string(copied.Entries[restoredKey].Value)
}

// TestRestoredStoreIsFollowedThroughPeers guards against instances that ignore a snapshot
// because its revision is lower, though the store has been restored from a backup meanwhile.
func TestRestoredStoreIsFollowedThroughPeers(t *testing.T) {
	m := newMesh(t, 3, "north-a", "south-a")
	for _, given := range []struct {
		at    mirror.Position
		value string
	}{{mirror.Position{Era: 1, Revision: 50}, "a"}, {mirror.Position{Era: 2, Revision: 10}, "b"}, {mirror.Position{Era: 3, Revision: 10}, "c"}} {
		m.is.True(m.nodes["north-a-0"].setStore(given.at, given.value))
		for _, n := range m.nodes {
			m.eventually(n.instance.Name+" has it", func() bool { return n.holds() == given.value && n.store.Position() == given.at })
		}
	}
}

// TestInstanceStartedFromARestoredStoreReceivesNewerEntries guards against an instance that
// reads the restored store itself and takes nothing from peers that retain what the backup
// lacks.
func TestInstanceStartedFromARestoredStoreReceivesNewerEntries(t *testing.T) {
	for name, restarted := range map[string]string{"in their domain": "north-a-1", "in another region": "south-a-1"} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, 2, "north-a", "south-a")
			m.is.True(m.nodes["north-a-0"].setStore(mirror.Position{Era: 1, Revision: 50}, "newer"))
			m.is.True(m.nodes["south-a-0"].setStore(mirror.Position{Era: 1, Revision: 50}, "newer"))
			m.is.True(m.nodes[restarted].setStore(mirror.Position{Era: 2, Revision: 12}, "known before"))
			m.is.True(m.nodes["north-a-0"].setStore(mirror.Position{Era: 2, Revision: 10}, "known before"))
			m.eventually("it has the newer entry", func() bool { return m.nodes[restarted].holds() == "newer" })
		})
	}
}
