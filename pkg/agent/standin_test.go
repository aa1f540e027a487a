package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// namedAgent returns an agent of the domain "a" that has settled, without peers and configuration.
func namedAgent(t *testing.T, name string, now time.Time) *Agent {
	t.Helper()
	network, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, nil)
	is.New(t).NoErr(err)
	a := New(Options{
		Settings: &settings.Instance{Instance: name, Domain: "a", Region: "r"},
		Mesh:     network, Local: network, Log: zerolog.Nop(), Registry: metrics.NewRegistry(), Epoch: 5,
	})
	a.started = now.Add(-SettleTime)
	return a
}

// TestStandInWatchesWhenTheWatchersHaveLostTheService guards against a domain that misses changes of the
// configuration, since its two watchers are alive and have lost the key-value service.
func TestStandInWatchesWhenTheWatchersHaveLostTheService(t *testing.T) {
	names := make([]string, 9)
	for i := range names {
		names[i] = fmt.Sprintf("a-%d", i+1)
	}
	ranked := member.Rank(member.Key("watch", "head"), names)
	lost := &control.PlatformFact{Watching: true}
	reaches := &control.PlatformFact{Watching: true, KeyValue: true}
	for name, c := range map[string]struct {
		// facts are those of the instances by rank; watchers are the ranks that then watch.
		facts    []*control.PlatformFact
		watchers []int
	}{
		"all is well":                          {[]*control.PlatformFact{reaches, reaches}, []int{0, 1}},
		"one of the watchers has lost it":      {[]*control.PlatformFact{lost, reaches}, []int{0, 1, 2}},
		"both have lost it":                    {[]*control.PlatformFact{lost, lost}, []int{0, 1, 2, 3}},
		"a stand-in has lost it too":           {[]*control.PlatformFact{lost, lost, lost, reaches}, []int{0, 1, 2, 3, 4}},
		"the service answers nobody who tries": {[]*control.PlatformFact{lost, lost, lost, lost}, []int{0, 1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			var watching []int
			for rank, self := range ranked {
				a := namedAgent(t, self, now)
				for other, peer := range ranked {
					var fact *control.PlatformFact
					if other < len(c.facts) {
						fact = c.facts[other]
					}
					if other == rank && fact != nil {
						a.mesh.platform[self] = *fact
					}
					if other == rank {
						continue
					}
					a.mesh.receive(&control.Beat{From: peer, Epoch: 5, Sequence: 1, UpTo: 1, Facts: control.Facts{
						Identity: &member.Identity{Name: peer, Domain: "a", Region: "r", Epoch: 5}, Platform: fact,
					}}, now)
				}
				if a.watching() {
					watching = append(watching, rank)
				}
			}
			is.Equal(watching, c.watchers)
		})
	}
}

// TestStandInFetchesADigestThatItsOwnerCannot guards against a failure domain that counts as unreachable for
// all instances of another one, since the one instance that fetches its digest is cut off from it.
func TestStandInFetchesADigestThatItsOwnerCannot(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	names := []string{"a-1", "a-2", "a-3"}
	ranked := member.Rank(member.Key("digest", "b"), names)
	owner, standIn, third := namedAgent(t, ranked[0], now), namedAgent(t, ranked[1], now), namedAgent(t, ranked[2], now)
	for _, a := range []*Agent{owner, standIn, third} {
		a.Settings.Seeds = []settings.Seed{{Domain: "b", Mesh: "127.0.0.1:1"}}
	}
	fetches := func(a *Agent) bool { return len(a.digestJobs(names)) == 1 }
	exchange := func() {
		now = now.Add(BeatInterval)
		for _, pair := range [][2]*Agent{{owner, standIn}, {owner, third}, {standIn, third}} {
			exchangeBeats(t, pair[0].mesh, pair[1].mesh, now)
		}
	}
	exchange()
	is.True(fetches(owner) && !fetches(standIn) && !fetches(third))
	owner.mesh.setUnreachable("b")
	exchange()
	is.True(fetches(owner) && fetches(standIn) && !fetches(third))

	remote := board.DomainDigest{Domain: "b", Sequence: 7, Nodes: 3}
	standIn.mesh.setDigest(remote, noEntries, now)
	exchange()
	owner.mesh.setUnreachable("b") // it goes on failing
	exchange()
	_, _, domains := third.mesh.snapshot(now, nil)
	is.Equal(domains.Remote[0].HeardAt, now) // the stand-in's beats confirm it
	is.True(fetches(standIn) && !fetches(third))

	owner.mesh.setDigest(remote, noEntries, now)
	exchange()
	is.True(fetches(owner) && !fetches(standIn))
}
