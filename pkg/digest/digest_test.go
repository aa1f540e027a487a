package digest

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
)

var start = time.Unix(1_800_000_000, 0)

func engine(name, version string, slots int) config.Upstream {
	return config.Upstream{
		Name: name, Kind: config.KindEngine, Serves: "lilac-nurse", Version: version,
		Domain: "larisa-hall", Concurrency: slots,
	}
}

func live(name string, running int) board.UpstreamLoad {
	return board.UpstreamLoad{Name: name, State: board.UpstreamLive, Running: running, DecodeRate: 40, PrefillRate: 1000}
}

func input(upstreams []config.Upstream, loads []board.UpstreamLoad, instances ...board.Instance) Input {
	byName := make(map[string]board.UpstreamLoad)
	for _, load := range loads {
		byName[load.Name] = load
	}
	return Input{
		Domain: "larisa-hall", Sequence: 7,
		Members:   &board.Members{Instances: instances},
		Upstreams: &board.Upstreams{ByName: byName},
		Head:      &config.Head{Declaration: &config.Declaration{Upstreams: upstreams}},
	}
}

func TestPools(t *testing.T) {
	drained := engine("n1", "v2", 10)
	drained.Drained = true
	elsewhere := engine("n1", "v2", 10)
	elsewhere.Domain = "peristeri-hall"
	leaving := live("n1", 0)
	leaving.State = board.UpstreamLeaving
	silent := live("n1", 0)
	silent.State = board.UpstreamSilent
	busy := board.Instance{
		Name: "lar-1", State: board.InstanceLive,
		Load: board.GatewayLoad{InFlight: map[string]int{"n1": 7}, Waiting: map[string]int{"lilac-nurse": 2}},
	}
	lost := busy
	lost.State = board.InstanceSilent
	pool := func(slots, busy, waiting, spare int) []board.PoolDigest {
		return []board.PoolDigest{{
			Serves: "lilac-nurse", Version: "v2", Slots: slots, Busy: busy, Waiting: waiting, Spare: spare,
			DecodeRate: 40, PrefillRate: 1000,
		}}
	}
	one := []config.Upstream{engine("n1", "v2", 10)}
	cases := []struct {
		name string
		in   Input
		want []board.PoolDigest
	}{
		{"idle, less the reserve", input(one, []board.UpstreamLoad{live("n1", 0)}), pool(10, 0, 0, 8)},
		{"by the report", input(one, []board.UpstreamLoad{live("n1", 4)}), pool(10, 4, 0, 4)},
		{"by the gateways, as the report lags", input(one, []board.UpstreamLoad{live("n1", 4)}, busy), pool(10, 7, 2, 0)},
		{"an unreachable gateway's count is ignored", input(one, []board.UpstreamLoad{live("n1", 4)}, lost), pool(10, 4, 0, 4)},
		{"more than it has slots", input(one, []board.UpstreamLoad{live("n1", 13)}), pool(10, 10, 3, 0)},
		{"two of a kind", input([]config.Upstream{engine("n1", "v2", 10), engine("n2", "v2", 5)},
			[]board.UpstreamLoad{live("n1", 4), live("n2", 1)}), pool(15, 5, 0, 7)},
		{"drained", input([]config.Upstream{drained}, []board.UpstreamLoad{live("n1", 0)}), nil},
		{"of another domain", input([]config.Upstream{elsewhere}, []board.UpstreamLoad{live("n1", 0)}), nil},
		{"leaving", input(one, []board.UpstreamLoad{leaving}), nil},
		{"silent", input(one, []board.UpstreamLoad{silent}), nil},
		{"never reported", input(one, nil), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := Build(c.in).Pools
			is.Equal(len(got), len(c.want))
			for i := range c.want {
				is.Equal(got[i], c.want[i])
			}
		})
	}
}

func TestNodesAndRevisions(t *testing.T) {
	is := is.New(t)
	node := func(name string, state board.InstanceState, incarnation uint64, revision config.Revision) board.Instance {
		return board.Instance{Name: name, State: state, Incarnation: incarnation, Revision: revision}
	}
	d := Build(input(nil, nil,
		node("lar-1", board.InstanceLive, 1, 118),
		node("lar-2", board.InstanceLive, 0, 0), // without a gateway
		node("lar-3", board.InstanceLeaving, 1, 118),
		node("lar-4", board.InstanceSilent, 1, 117),
		node("lar-5", board.InstanceLeft, 1, 110),
		node("lar-6", board.InstanceLive, 1, 0), // just started, without configuration
	))
	is.Equal(d.Nodes, 5)
	is.Equal(d.Silent, 1)
	is.Equal(d.Revisions, []board.RevisionCount{{Revision: 118, Nodes: 2}, {Revision: 0, Nodes: 2}})
	is.Equal(len(d.Entries), 1) // callers and peers are sent to live gateways with a configuration only
	is.Equal(d.Entries[0].Name, "lar-1")
}

func TestMerge(t *testing.T) {
	is := is.New(t)
	table := NewTable("larisa-hall")
	d := func(sequence uint64, entries ...board.Instance) board.DomainDigest {
		return board.DomainDigest{Domain: "peristeri-hall", Sequence: sequence, Entries: entries}
	}
	is.True(table.Merge(d(5, board.Instance{Name: "per-1"}), start))
	is.True(!table.Merge(d(5), start))                                 // duplicate
	is.True(!table.Merge(d(4), start.Add(time.Second)))                // older, by another path
	is.True(table.Merge(d(6), start.Add(time.Second)))                 // newer
	is.True(table.Merge(d(3), start.Add(time.Second).Add(StaleAfter))) // a builder with a clock that is behind
	got, ok := table.Get("peristeri-hall")
	is.True(ok)
	is.Equal(got.Sequence, uint64(3))
	is.Equal(len(got.Entries), 1) // kept while none are sent
	is.True(table.Merge(board.DomainDigest{Domain: "peristeri-hall", Sequence: 8, Entries: []board.Instance{}}, start.Add(time.Minute)))
	got, _ = table.Get("peristeri-hall")
	is.Equal(len(got.Entries), 0)                                                        // removed by an explicitly empty list
	is.True(!table.Merge(board.DomainDigest{Domain: "larisa-hall", Sequence: 9}, start)) // the own domain's digest is not accepted from others
	table.Forget(start.Add(time.Minute).Add(ForgetAfter))
	is.Equal(len(table.Snapshot().Remote), 0)
}

func TestDiffers(t *testing.T) {
	base := func() board.DomainDigest {
		return board.DomainDigest{Domain: "peristeri-hall", Nodes: 2, Platform: true,
			Pools: []board.PoolDigest{{Serves: "m", Slots: 100, Busy: 40, Spare: 40}}}
	}
	cases := []struct {
		name   string
		change func(*board.DomainDigest)
		want   bool
	}{
		{"nothing", func(d *board.DomainDigest) { d.Sequence++ }, false},
		{"a little busier", func(d *board.DomainDigest) { d.Pools[0].Busy += ShareMargin }, false},
		{"much busier", func(d *board.DomainDigest) { d.Pools[0].Busy += ShareMargin + 1 }, true},
		{"nothing to spare", func(d *board.DomainDigest) { d.Pools[0].Spare = 0 }, true},
		{"begins to queue", func(d *board.DomainDigest) { d.Pools[0].Waiting = 1 }, true},
		{"a node fell silent", func(d *board.DomainDigest) { d.Silent = 1 }, true},
		{"lost the platform", func(d *board.DomainDigest) { d.Platform = false }, true},
		{"another revision", func(d *board.DomainDigest) { d.Revisions = []board.RevisionCount{{Revision: 2, Nodes: 2}} }, true},
		{"another pool", func(d *board.DomainDigest) { d.Pools = nil }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before, after := base(), base()
			c.change(&after)
			is.New(t).Equal(Differs(&before, &after), c.want)
		})
	}
}

// BenchmarkMerge merges one digest of each remote domain.
func BenchmarkMerge(b *testing.B) {
	for _, domains := range []int{1, 5, 10, 20, 41} {
		b.Run(fmt.Sprintf("domains=%d", domains), func(b *testing.B) {
			table := NewTable("own")
			digests := make([]board.DomainDigest, domains)
			for i := range digests {
				digests[i] = board.DomainDigest{Domain: fmt.Sprintf("domain-%d", i), Pools: make([]board.PoolDigest, 5)}
			}
			b.ReportAllocs()
			for n := range b.N {
				for i := range digests {
					digests[i].Sequence = uint64(n + 1)
					table.Merge(digests[i], start)
				}
				table.Snapshot()
			}
		})
	}
}

// BenchmarkBuild builds the own domain's digest.
func BenchmarkBuild(b *testing.B) {
	for _, upstreams := range []int{1, 5, 25, 100} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			var list []config.Upstream
			var loads []board.UpstreamLoad
			for i := range upstreams {
				name := fmt.Sprintf("n%d", i)
				list = append(list, engine(name, "v2", 8))
				loads = append(loads, live(name, 3))
			}
			in := input(list, loads)
			b.ReportAllocs()
			for b.Loop() {
				Build(in)
			}
		})
	}
}
