package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/member"
)

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
				a := settledAgent(t, now)
				a.Settings.Instance, a.started = self, now.Add(-SettleTime)
				a.mesh = newMesh(member.Identity{Name: self, Domain: "a", Epoch: 5}, now)
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
