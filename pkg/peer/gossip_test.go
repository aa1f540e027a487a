package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// unavailableStore never answers, so that snapshots come from peers alone.
type unavailableStore struct{}

func (unavailableStore) List(context.Context, string, string) (platform.Page, error) {
	return platform.Page{}, platform.ErrUnavailable
}

func (unavailableStore) Changes(context.Context, string, int64, time.Duration) (platform.Changes, error) {
	return platform.Changes{}, platform.ErrUnavailable
}

// node is one instance's gossip with its server.
type node struct {
	instance fleet.Instance
	gossip   *Gossip
	store    *mirror.Mirror
	server   *control.Server
	fleet    board.Section[fleet.View]
	sequence atomic.Uint64
	leaving  atomic.Bool
	// unreachable names the services of which it reaches no upstream.
	unreachable atomic.Pointer[string]
	mu          sync.Mutex
	loads       []Load
	stop        context.CancelFunc
	stopped     sync.WaitGroup
}

func (n *node) report() Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	position := n.store.Position()
	unreachable := ""
	if services := n.unreachable.Load(); services != nil {
		unreachable = *services
	}
	return Report{
		Name: n.instance.Name, Incarnation: n.instance.Incarnation, Sequence: n.sequence.Add(1),
		Leaving: n.leaving.Load(), Ready: true, Unreachable: unreachable, Store: position.Revision, Era: position.Era, Held: n.store.RetainedSum(), Upstreams: n.loads,
	}
}

func (n *node) load(loads ...Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads = loads
}

// mesh is a deployment of registered nodes.
type mesh struct {
	*testing.T
	is    *is.I
	nodes map[string]*node
}

// newMesh starts the given number of nodes in each of the domains, which are named after their
// regions: "north-a" is in "north".
func newMesh(t *testing.T, each int, domains ...string) *mesh {
	t.Helper()
	m := &mesh{T: t, is: is.New(t), nodes: map[string]*node{}}
	network, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, nil)
	m.is.NoErr(err)
	for _, domain := range domains {
		for i := range each {
			name := fmt.Sprintf("%s-%d", domain, i)
			m.nodes[name] = m.newNode(network, name, domain)
		}
	}
	view := &fleet.View{Upstreams: []fleet.Upstream{{ID: "u-1", Service: "llm"}, {ID: "u-2", Service: "llm"}}}
	for _, n := range m.nodes {
		view.Instances = append(view.Instances, n.instance)
	}
	view.Index()
	for _, n := range m.nodes {
		n.fleet.Store(view)
		m.start(n)
	}
	return m
}

func (m *mesh) newNode(network *control.Network, name, domain string) *node {
	server, err := control.NewServer(network, "127.0.0.1:0")
	m.is.NoErr(err)
	region, _, _ := splitDomain(domain)
	n := &node{server: server, instance: fleet.Instance{
		Name: name, Domain: domain, Region: region, Incarnation: 1, Gossip: server.Address(),
	}}
	n.store = mirror.New(mirror.Options{Source: unavailableStore{}, Order: byValue{}, Clock: clock.System{}, Log: zerolog.Nop()})
	n.gossip = New(Options{
		Self: n.instance, Report: n.report, Fleet: &n.fleet, Store: n.store,
		Client: control.NewClients(network), Copies: control.NewClients(network), Clock: clock.System{}, Log: zerolog.Nop(),
	})
	m.is.NoErr(n.gossip.Register(server))
	return n
}

func splitDomain(domain string) (region, rest string, ok bool) {
	for i := range domain {
		if domain[i] == '-' {
			return domain[:i], domain[i+1:], true
		}
	}
	return domain, "", false
}

func (m *mesh) start(n *node) {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.stopped.Go(n.server.Serve)
	n.stopped.Go(func() { n.gossip.Run(ctx) })
	m.Cleanup(func() { m.kill(n) })
}

func (m *mesh) kill(n *node) {
	n.stop()
	if err := n.server.Close(); err != nil && !isClosed(err) {
		m.Error(err)
	}
	n.stopped.Wait()
	n.gossip.options.Client.Close()
	n.gossip.options.Copies.Close()
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// eventually waits for a condition; the timeout only ends a failed test.
func (m *mesh) eventually(what string, happened func() bool) {
	m.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if happened() {
			return
		}
		clock.Sleep(m.Context(), 10*time.Millisecond)
	}
	m.Fatalf("%s did not happen", what)
}

func (n *node) view() *View { return n.gossip.View().Load() }

func TestLoadsAreSummedByUpstreamInRegionAndByServiceAcrossRegions(t *testing.T) {
	m := newMesh(t, 2, "north-a", "north-b", "south-a")
	m.nodes["north-a-0"].load(Load{Name: "u-1", InFlight: 3, Prefill: 100})
	m.nodes["north-b-1"].load(Load{Name: "u-1", InFlight: 4, Prefill: 10})
	m.nodes["south-a-0"].load(Load{Name: "u-2", InFlight: 5, Prefill: 1})
	observer := m.nodes["north-a-1"]
	m.eventually("the region's loads add up", func() bool {
		return observer.view().Upstream("u-1") == Load{Name: "u-1", InFlight: 7, Prefill: 110}
	})
	m.eventually("the other region's are known by service", func() bool {
		return observer.view().Service("south", "llm") == Load{InFlight: 5, Prefill: 1}
	})
	m.is.Equal(observer.view().Upstream("u-2"), Load{})
}

// TestLargeDomainLearnsThroughItsHub checks that each instance learns the state of all, although
// the instances exchange with the hub only.
func TestLargeDomainLearnsThroughItsHub(t *testing.T) {
	m := newMesh(t, 9, "north-a", "south-a")
	for _, n := range m.nodes {
		n.load(Load{Name: "u-1", InFlight: 1})
	}
	for _, n := range m.nodes {
		m.eventually(n.instance.Name+" knows all", func() bool {
			return n.view() != nil && n.view().Upstream("u-1").InFlight == 8 && len(n.view().Others) == 17
		})
	}
}

func TestAnotherInstanceReplacesACrashedHub(t *testing.T) {
	m := newMesh(t, 8, "north-a", "south-a")
	observer := m.nodes["north-a-0"]
	hub := m.nodes[observer.gossip.hub()]
	if hub == observer {
		observer = m.nodes["north-a-1"]
	}
	m.eventually("the hub is known", func() bool { return observer.view().Find(hub.instance.Name) != nil })
	m.kill(hub)
	m.eventually("another hub is asked", func() bool { return observer.gossip.hub() != hub.instance.Name })
	m.eventually("the crashed one is unreachable, the others are live", func() bool {
		live, now := 0, time.Now()
		for i := range observer.view().Others {
			known := &observer.view().Others[i]
			if known.Live(now) {
				live++
			}
		}
		return live == 14 && !observer.view().Find(hub.instance.Name).Live(now)
	})
}

func TestLeavingIsReportedAtOnce(t *testing.T) {
	m := newMesh(t, 3, "north-a")
	observer, leaver := m.nodes["north-a-0"], m.nodes["north-a-1"]
	m.eventually("they know each other", func() bool {
		return observer.view() != nil && observer.view().Find("north-a-1") != nil
	})
	leaver.leaving.Store(true)
	leaver.gossip.ReportNow(t.Context())
	observer.gossip.publish()
	m.is.True(observer.view().Find("north-a-1").Leaving)
}

// TestStoreReplicaReachesInstancesWithoutTheStore covers the transfer of deltas across domains and
// regions.
// TestUnreachableServicesAreReportedAndWithdrawn guards against hops to an instance that reaches no
// upstream, and against none to one that does again, in small domains and through hubs.
func TestUnreachableServicesAreReportedAndWithdrawn(t *testing.T) {
	for _, each := range []int{2, smallDomain + 2} {
		m := newMesh(t, each, "north-a", "north-b", "south-a")
		for name, n := range m.nodes {
			m.eventually("all are known at "+name, func() bool { return n.view() != nil && len(n.view().Others) == 3*each-1 })
		}
		told := m.nodes["north-a-1"]
		for _, services := range []string{"api,llm", "llm", ""} {
			told.unreachable.Store(&services)
			for name, n := range m.nodes {
				if n != told {
					m.eventually("what it reaches is known at "+name, func() bool {
						known := n.view().Find("north-a-1")
						return known != nil && known.Unreachable == services && known.Reaches("llm") == (services == "") && known.Reaches("web")
					})
				}
			}
		}
	}
}

func TestStoreReplicaReachesInstancesWithoutTheStore(t *testing.T) {
	m := newMesh(t, 3, "north-a", "south-a")
	setStore := func(revision int64, value string) {
		snapshot := &mirror.Snapshot{Revision: revision, Entries: map[string]platform.Entry{
			"declared/config": {Key: "declared/config", Value: []byte(value), ModRevision: revision},
		}}
		delta := snapshot.Since(m.nodes["north-a-0"].store.Position(), time.Now())
		m.is.True(m.nodes["north-a-0"].store.Adopt(&delta))
	}
	large := strings.Repeat(`{"name":"r","hostname":"a.example","prefix":"/x/"},`, 20_000)
	for i, value := range []string{"one", "two", large} {
		setStore(int64(10+i), value)
		for _, n := range m.nodes {
			m.eventually(n.instance.Name+" has it", func() bool {
				copied := n.store.Snapshot().Load()
				return copied != nil && string(copied.Entries["declared/config"].Value) == value
			})
		}
	}
}

// TestInstanceWithoutAListCopiesFromThoseThatAskIt guards against an instance that starts while
// the store is down and never gets a snapshot: it has no list of instances, but those that know
// its address ask it, of its domain and of others.
func TestInstanceWithoutAListCopiesFromThoseThatAskIt(t *testing.T) {
	for name, domains := range map[string][]string{"from its domain": {"north-a"}, "from another region": {"north-a", "south-a"}} {
		t.Run(name, func(t *testing.T) {
			each := 3 - len(domains)
			m := newMesh(t, each, domains...)
			restarted := m.nodes["north-a-0"]
			restarted.fleet.Store(nil)
			knows := m.nodes[fmt.Sprintf("%s-%d", domains[len(domains)-1], each-1)]
			snapshot := &mirror.Snapshot{Revision: 10, Entries: map[string]platform.Entry{
				"declared/config": {Key: "declared/config", Value: []byte("one"), ModRevision: 10},
			}}
			delta := snapshot.Since(mirror.Position{}, time.Now())
			m.is.True(knows.store.Adopt(&delta))
			m.eventually("it has the snapshot", func() bool { return restarted.store.Revision() == 10 })
		})
	}
}

// TestDeregisteredInstancesStayReachableWhileLive covers instances in the own domain and in
// others whose entries are deleted while they run.
func TestDeregisteredInstancesStayReachableWhileLive(t *testing.T) {
	m := newMesh(t, 2, "north-a", "south-a")
	observer := m.nodes["north-a-0"]
	live := func() int {
		n, now := 0, time.Now()
		if view := observer.view(); view != nil {
			for i := range view.Others {
				if view.Others[i].Live(now) {
					n++
				}
			}
		}
		return n
	}
	m.eventually("all are known", func() bool { return live() == 3 })
	empty := &fleet.View{}
	empty.Index()
	for _, n := range m.nodes {
		n.fleet.Store(empty)
	}
	since := time.Now()
	m.eventually("they stay reachable without entries", func() bool {
		if live() != 3 {
			m.Fatalf("only %d of 3 are known", live())
		}
		return time.Since(since) > 2*SilentAfter
	})
	m.kill(m.nodes["south-a-1"])
	delete(m.nodes, "south-a-1")
	m.eventually("a stopped one is dropped", func() bool { return live() == 2 })
}

// TestTwoInstancesOfADomainFollowTheStore also checks that two others take over when both crash.
func TestTwoInstancesOfADomainFollowTheStore(t *testing.T) {
	m := newMesh(t, 7, "north-a")
	watching := func() (names []string) {
		for name, n := range m.nodes {
			if n.gossip.Watches() {
				names = append(names, name)
			}
		}
		return names
	}
	m.eventually("two watch", func() bool { return len(watching()) == watchers })
	for _, name := range watching() {
		m.kill(m.nodes[name])
		delete(m.nodes, name)
	}
	m.eventually("two others do", func() bool { return len(watching()) == watchers })
}

func TestFailedCopyMakesAnInstanceFollowTheStore(t *testing.T) {
	m := newMesh(t, 7, "north-a")
	var idle *node
	m.eventually("some do not follow the store", func() bool {
		for _, n := range m.nodes {
			if !n.gossip.Watches() {
				idle = n
				return true
			}
		}
		return false
	})
	unreachable := fleet.Instance{Name: "gone", Gossip: "127.0.0.1:1"}
	_, err := idle.gossip.copy(t.Context(), &unreachable, mirror.Position{})
	m.is.True(err != nil)
	idle.gossip.copyFailed(&unreachable, err)
	m.is.True(idle.gossip.Watches())
}

func TestUnreadableCopyIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := unpack([]byte("no copy"))
	var failure *PackError
	is.True(errors.As(err, &failure))
}

// TestAskFromAnUnknownDomainTriggersARemoteRound guards against a slow start of a whole
// deployment, where the first requests reach instances that do not run yet. A known domain is
// asked in the usual rounds.
func TestAskFromAnUnknownDomainTriggersARemoteRound(t *testing.T) {
	m := newMesh(t, 1, "north-a")
	asked := m.nodes["north-a-0"].gossip
	m.kill(m.nodes["north-a-0"])
	ask := Ask{Domain: "south-a", Region: "south", Report: Report{Name: "south-a-0", Incarnation: 1, Sequence: 1}}
	service := &Service{gossip: asked}
	wanted := func() bool {
		var reply Reply
		m.is.NoErr(service.Exchange(ask, &reply))
		return asked.remoteRoundWanted.Swap(false)
	}
	m.is.True(wanted())
	m.is.Equal(len(asked.urgent), 1)
	asked.applyDigest(Digest{Domain: "south-a", Region: "south"}, time.Now())
	m.is.True(!wanted())
}

// TestNewlyKnownRegionsAreAskedAtOnce guards against an instance that cannot use other regions
// after it starts: far from the store it learns their instances only after its first rounds, and
// the usual cross-region round is the third.
func TestNewlyKnownRegionsAreAskedAtOnce(t *testing.T) {
	m := newMesh(t, 1, "south-a")
	network, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, nil)
	m.is.NoErr(err)
	late := m.newNode(network, "north-a-0", "north-a")
	m.start(late)
	m.eventually("its first round is over", func() bool { return late.view() != nil })
	view := &fleet.View{Instances: []fleet.Instance{late.instance, m.nodes["south-a-0"].instance}}
	view.Index()
	received := func() bool {
		known := late.view().Find("south-a-0")
		return known != nil && known.Live(time.Now())
	}
	// Each round publishes a view, whatever it received.
	rounds, published := 0, late.gossip.View().Changed()
	late.fleet.Store(view)
	for !received() && rounds < 6 {
		<-published
		published = late.gossip.View().Changed()
		rounds++
	}
	t.Logf("received after %d rounds", rounds)
	m.is.True(received())
	m.is.True(rounds <= 2)
}

// TestUnreachableRegionIsAskedInEachRound checks the condition for that. A reachable region is
// asked in every third round.
func TestUnreachableRegionIsAskedInEachRound(t *testing.T) {
	m := newMesh(t, 1, "north-a")
	g := m.nodes["north-a-0"].gossip
	view := &fleet.View{Instances: []fleet.Instance{{Name: "south-a-0", Domain: "south-a", Region: "south", Gossip: "127.0.0.1:1"}}}
	view.Index()
	m.nodes["north-a-0"].fleet.Store(view)
	m.is.True(g.HasUnreachableDomain())
	// The node's own rounds run beside the test.
	g.mu.Lock()
	g.applyDigest(Digest{Domain: "south-a", Region: "south"}, time.Now())
	g.mu.Unlock()
	m.is.True(!g.HasUnreachableDomain())
}

// TestRepliesInLargeDomainsStaySmall bounds the replies when sixteen instances have load at each of
// 28 upstreams and have just made 64 placements each, in all six domains.
func TestRepliesInLargeDomainsStaySmall(t *testing.T) {
	is := is.New(t)
	g := newHub("north-a", "north")
	report := func(n int) Report {
		r := Report{Name: fmt.Sprint("n-", n), Incarnation: 1, Sequence: 1, Ready: true}
		for u := range 28 {
			r.Upstreams = append(r.Upstreams, Load{Name: fmt.Sprintf("i-%010d@1764712345678", u), InFlight: 20, Prefill: 30_000})
		}
		for p := range 64 {
			r.Placed = append(r.Placed, Placement{Part: fmt.Sprintf("part-%d-%d", n, p), Upstream: "i-0000000001@1764712345678"})
		}
		return r
	}
	now := time.Now()
	for n := range 15 {
		g.applyReport(report(n), now)
	}
	for d := range 5 {
		digest := Digest{Domain: fmt.Sprint("d-", d), Region: "north", Upstreams: report(0).Upstreams}
		for n := range 15 {
			digest.Placed = append(digest.Placed, report(100+16*d+n).Placed...)
			digest.Marks = append(digest.Marks, Mark{Name: fmt.Sprint("d-", d, "-", n), Incarnation: 1, Ready: true})
		}
		g.applyDigest(digest, now)
	}
	ask := Ask{Domain: "north-a", Region: "north", Report: Report{Name: "n-0", Incarnation: 1, Sequence: 2}, Sums: true}
	nextReply := func() (Reply, int) {
		var reply Reply
		ask.Report.Sequence++
		is.NoErr((&Service{gossip: g}).Exchange(ask, &reply))
		var wire bytes.Buffer
		is.NoErr(gob.NewEncoder(&wire).Encode(reply))
		return reply, wire.Len()
	}
	first, _ := nextReply()
	is.True(len(first.Placed) > 4000)
	is.Equal(first.Sums[0].InFlight, (14+5)*20) // the other instances of the domain, and other domains
	is.Equal(len(first.Digests), 1+5)
	again, size := nextReply()
	is.Equal(len(again.Placed), 0)
	is.Equal(len(again.Digests), 1) // that of the own domain
	is.True(size < 3000)
	g.applyDigest(Digest{Domain: "d-0", Region: "north"}, time.Now())
	newer, _ := nextReply()
	is.Equal(len(newer.Digests), 2)
}

// TestEachPlacementIsSentOnce also checks that other domains receive only the own domain's
// placements.
func TestEachPlacementIsSentOnce(t *testing.T) {
	is := is.New(t)
	n, now := newPlacementLog(), time.Now()
	own, remote := Placement{"p", "u"}, Placement{"q", "v"}
	n.add([]Placement{own}, true, now)
	n.add([]Placement{remote, own}, false, now)
	is.Equal(n.since("n-1", false, now), []Placement{own, remote})
	is.Equal(len(n.since("n-1", false, now)), 0)
	is.Equal(n.since("s-1", true, now), []Placement{own})
	n.add([]Placement{own}, true, now.Add(placementTTL/2))
	is.Equal(len(n.since("n-1", false, now)), 0)
	n.add([]Placement{own}, true, now.Add(2*placementTTL))
	is.Equal(n.since("n-1", false, now), []Placement{own})
}

// slowWriter is a log that takes a while to write the line of a failed copy.
type slowWriter struct {
	started chan struct{}
	written atomic.Bool
}

func (w *slowWriter) Write(line []byte) (int, error) {
	if !bytes.Contains(line, []byte(event.CopyFailed)) {
		return len(line), nil
	}
	close(w.started)
	time.Sleep(50 * time.Millisecond)
	w.written.Store(true)
	return len(line), nil
}

// TestRunWaitsForARunningCopy guards against a use of connections that the caller closes once
// Run has returned. The copy here has failed and is still writing its log line when Run is
// stopped.
func TestRunWaitsForARunningCopy(t *testing.T) {
	m := newMesh(t, 0)
	network, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, nil)
	m.is.NoErr(err)
	n := m.newNode(network, "north-a-0", "north-a")
	defer n.server.Close()
	log := &slowWriter{started: make(chan struct{})}
	n.gossip.options.Log = zerolog.New(log)
	offered := replicaOffer{instance: fleet.Instance{Name: "south-a-0", Domain: "south-a", Gossip: "127.0.0.1:1"}, store: mirror.Position{Revision: 5}}
	n.gossip.replicaOffers["south-a-0"] = &received[replicaOffer]{value: offered, at: time.Now()}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { n.gossip.Run(ctx) })
	<-log.started
	stop()
	running.Wait()
	m.is.True(log.written.Load())
}
