package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// acceptedHead returns a head with a caller that has another share in each revision.
func acceptedHead(revision config.Revision) *config.Head {
	head := &config.Head{Revision: revision, Declaration: &config.Declaration{
		Callers: []config.Caller{{Name: "residents-app", Home: "region-a", Regions: []string{"region-a"}, Share: int(revision)}},
	}}
	if revision > 1 {
		caller := head.Declaration.Callers[0]
		head.Recent = []config.Change{{ID: "x", Revision: revision, Ops: []config.Op{{SetCaller: &caller}}}}
	}
	return head
}

func TestConfigurationReachesADomainPartitionedFromThePlatform(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 0, 2, 2, 1)
	r.write(acceptedHead(1))
	r.startAll()
	for name := range r.nodes {
		r.wait(name, "revision 1 in force on all", func(a *Agent) bool { return inForce(a, 1) == len(r.nodes) })
	}

	r.store.SetPartitioned("b", true)
	r.wait("a-1", "b reports that it cannot reach the platform", func(a *Agent) bool {
		d, _ := a.mesh.digest("b")
		return !d.Platform
	})
	r.write(acceptedHead(2))
	for name := range r.nodes {
		r.wait(name, "revision 2 in force on all", func(a *Agent) bool { return inForce(a, 2) == len(r.nodes) })
	}
	for _, n := range r.nodes {
		is.True(!n.gateway.downgraded) // no gateway was sent a lower revision
	}
	is.Equal(r.nodes["b-1"].agent.readiness(time.Now()).State, StateIsolated)
	is.Equal(r.nodes["a-1"].agent.readiness(time.Now()).State, StateServing)

	r.store.SetPartitioned("b", false)
	r.wait("a-1", "b reports that it reaches the platform again", func(a *Agent) bool {
		d, _ := a.mesh.digest("b")
		return d.Platform
	})
}

// A delta that does not lead to the head's declaration is rejected, and the whole
// head is fetched instead, also in a domain that receives it from other domains.
func TestInconsistentDeltaFallsBackToTheWholeHead(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 5, 1, 2)
	r.write(acceptedHead(1))
	r.startAll()
	for name := range r.nodes {
		r.wait(name, "revision 1 in force on all", func(a *Agent) bool { return inForce(a, 1) == len(r.nodes) })
	}
	r.store.SetPartitioned("b", true)
	head := acceptedHead(2)
	other := *head.Recent[0].Ops[0].SetCaller
	other.Share = 99
	head.Recent[0].Ops[0].SetCaller = &other
	r.write(head)
	for name, n := range r.nodes {
		r.wait(name, "revision 2 in force on all", func(a *Agent) bool { return inForce(a, 2) == len(r.nodes) })
		is.Equal(n.agent.keeper.Head().Declaration.Callers[0].Share, 2)
	}
}

// A fetcher that cannot decode a whole head does not request that revision again.
func TestUnreadableHeadIsNotRequestedAgain(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 6, 1)
	r.start("a-1")
	f := &fetcher{agent: r.nodes["a-1"].agent}
	f.apply(7, &control.HeadUpdate{Delta: &config.Delta{From: 6, Changes: []config.Change{{Revision: 7}}}})
	is.True(f.whole) // the delta does not apply
	f.apply(7, &control.HeadUpdate{Whole: []byte("nonsense")})
	is.True(!f.whole)
	is.Equal(f.unreadable, config.Revision(7))
}

func TestADomainKeepsTwoWatchersWhenOneStops(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 1, 4)
	r.write(acceptedHead(1))
	r.startAll()
	for name := range r.nodes {
		r.wait(name, "four live", func(a *Agent) bool { return live(a) == 4 })
	}
	r.wait("a-1", "two watchers", func(*Agent) bool { return r.store.Watching("a") == spread.Watchers })

	stopped := ""
	for name, n := range r.nodes {
		if n.agent.watching() {
			stopped = name
		}
	}
	r.stop(stopped)
	survivor := "a-1"
	if stopped == survivor {
		survivor = "a-2"
	}
	r.wait(survivor, "the stopped instance is removed", func(a *Agent) bool { return len(a.board.Members.Load().Instances) == 3 })
	r.wait(survivor, "two watchers again", func(*Agent) bool { return r.store.Watching("a") == spread.Watchers })
	is.True(!r.directory.has(stopped))
}

func TestTwoCandidatesForOrders(t *testing.T) {
	r := newHarness(t, 4, 4)
	r.startAll()
	for name := range r.nodes {
		r.wait(name, "four live", func(a *Agent) bool { return live(a) == 4 })
	}
	r.wait("a-1", "two candidates", func(*Agent) bool {
		candidates := 0
		for _, n := range r.nodes {
			if (orderSource{n.agent}).Candidate() {
				candidates++
			}
		}
		return candidates == orderCandidates
	})
}

func TestLeavingGatewayIsMarkedEverywhere(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 2, 2, 1)
	r.write(acceptedHead(1))
	r.startAll()
	r.wait("a-1", "a-2 is registered", func(*Agent) bool { return r.directory.has("a-2") })
	r.wait("b-1", "a's entries are known", func(a *Agent) bool {
		d, _ := a.mesh.digest("a")
		return len(d.Entries) == 2
	})

	r.nodes["a-2"].gateway.set(func(reply *control.ExchangeReply) { reply.Leaving = true })
	r.wait("a-1", "a-2 is leaving", func(a *Agent) bool {
		return a.mesh.state("a-2", time.Now()) == board.InstanceLeaving
	})
	r.wait("b-1", "a-2 is removed from the entries", func(a *Agent) bool {
		d, _ := a.mesh.digest("a")
		return len(d.Entries) == 1 && d.Entries[0].Name == "a-1"
	})
	r.wait("a-2", "a-2 is out of the directory", func(*Agent) bool { return !r.directory.has("a-2") })

	// The gateway restarts under the same agent, which clears the leaving mark.
	r.nodes["a-2"].gateway.set(func(reply *control.ExchangeReply) {
		reply.Leaving = false
		reply.Incarnation += 1000
	})
	r.wait("a-1", "a-2 is live", func(a *Agent) bool {
		return a.mesh.state("a-2", time.Now()) == board.InstanceLive
	})
	r.wait("a-2", "a-2 is in the directory", func(*Agent) bool { return r.directory.has("a-2") })
	is.Equal(r.nodes["a-1"].agent.readiness(time.Now()).State, StateServing)
}

func TestRestartedAgentRecoversItsHeadFromItsGateway(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 3, 1)
	r.start("a-1")
	r.wait("a-1", "the gateway is up", func(a *Agent) bool { up, _ := a.gateway.state(); return up })
	is.Equal(r.nodes["a-1"].agent.readiness(time.Now()).State, StateNoConfiguration)
	is.True(!r.directory.has("a-1"))

	r.write(acceptedHead(7))
	r.wait("a-1", "revision 7 in force", func(a *Agent) bool { return inForce(a, 7) == 1 })
	r.stop("a-1")
	r.store.SetPartitioned("a", true)
	r.start("a-1")
	r.wait("a-1", "revision 7 recovered", func(a *Agent) bool { return inForce(a, 7) == 1 })
	is.True(!r.nodes["a-1"].gateway.downgraded)
}

func live(a *Agent) int {
	members := a.board.Members.Load()
	if members == nil {
		return 0
	}
	n := 0
	for i := range members.Instances {
		if members.Instances[i].State == board.InstanceLive {
			n++
		}
	}
	return n
}

func atRevision(counts []board.RevisionCount, revision config.Revision) int {
	for _, c := range counts {
		if c.Revision == revision {
			return c.Nodes
		}
	}
	return 0
}
