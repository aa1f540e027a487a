package peer

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// byValue orders entries by their values.
type byValue struct{}

func (byValue) Older(entry, than *platform.Entry) bool {
	return bytes.Compare(entry.Value, than.Value) < 0
}
func (byValue) RetainFor(string) time.Duration   { return 0 }
func (byValue) SuppressFor(string) time.Duration { return 0 }
func (byValue) OverruleFor(entry *platform.Entry) time.Duration {
	if entry.Key == lateKey {
		return time.Minute
	}
	return 0
}

// lateKey is a key of which earlier states may be written late.
const lateKey = "servers/a"

// compactedStore holds one entry, and has discarded its history.
type compactedStore struct{ entry platform.Entry }

func (s compactedStore) List(context.Context, string, string) (platform.Page, error) {
	return platform.Page{Revision: s.entry.ModRevision, Entries: []platform.Entry{s.entry}}, nil
}

func (s compactedStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Changes, error) {
	if after < s.entry.ModRevision {
		return platform.Changes{}, &platform.Error{Service: "key-value", Call: "test", Err: platform.ErrCompacted}
	}
	clock.Sleep(ctx, wait)
	return platform.Changes{Revision: s.entry.ModRevision}, ctx.Err()
}

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

// TestInstanceThatStartsIsIntroducedByAnother guards against an instance that starts after a late write and takes the
// store's entry for the last state of its key, since the store has discarded its history. The other instances are
// behind it: they know the newer state and have not read the late one yet.
func TestInstanceThatStartsIsIntroducedByAnother(t *testing.T) {
	for name, started := range map[string]string{"in their domain": "north-a", "in another region": "west-a"} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, 2, "north-a", "south-a")
			snapshot := &mirror.Snapshot{Revision: 50, Entries: map[string]platform.Entry{lateKey: {Key: lateKey, Value: []byte("6: draining"), ModRevision: 50}}}
			for _, n := range m.nodes {
				delta := snapshot.Since(n.store.Position(), time.Now())
				m.is.True(n.store.Adopt(&delta))
			}
			network, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, nil)
			m.is.NoErr(err)
			n := m.newNode(network, started+"-9", started)
			n.store = mirror.New(mirror.Options{
				Source:   compactedStore{platform.Entry{Key: lateKey, Value: []byte("5: ready"), ModRevision: 52}},
				Replayed: []string{"servers/"}, Order: byValue{}, Clock: clock.System{}, Log: zerolog.Nop(),
			})
			n.gossip.options.Store = n.store
			n.fleet.Store(m.nodes["north-a-0"].fleet.Load())
			m.start(n)
			ctx, stop := context.WithCancel(t.Context())
			var following sync.WaitGroup
			following.Go(func() { n.store.Run(ctx) })
			defer following.Wait()
			defer stop()
			m.eventually("it has the newer state", func() bool {
				copied := n.store.Snapshot().Load()
				return copied != nil && string(copied.Entries[lateKey].Value) == "6: draining" && !n.store.Unreplayed()
			})
		})
	}
}
