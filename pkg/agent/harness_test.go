package agent

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

const (
	testKey  = "head"
	testWait = 30 * time.Second
)

// write stores an accepted head in the key-value service.
func (r *harness) write(head *config.Head) {
	data, err := config.EncodeHead(head)
	is.New(r.t).NoErr(err)
	r.store.Set(testKey, data)
}

// fakeGateway is the gateway side of the exchange with an agent.
type fakeGateway struct {
	mu         sync.Mutex
	head       *config.Head
	reply      control.ExchangeReply
	members    int
	downgraded bool
}

// Exchange is Gateway.Exchange.
func (g *fakeGateway) Exchange(args *control.ExchangeArgs, reply *control.ExchangeReply) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if args.Head != nil {
		if args.Head.Revision < g.reply.Revision {
			g.downgraded = true
		}
		g.head, g.reply.Revision = args.Head, max(args.Head.Revision, g.reply.Revision)
	}
	if args.Members != nil {
		g.members = len(args.Members.Instances)
	}
	*reply = g.reply
	if args.WantHead {
		reply.Head = g.head
	}
	return nil
}

func (g *fakeGateway) set(change func(*control.ExchangeReply)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.reply)
}

// fakeDirectory is an in-memory directory of the platform.
type fakeDirectory struct {
	mu      sync.Mutex
	entries map[string]platform.DirectoryEntry
}

func (d *fakeDirectory) Register(_ context.Context, entry platform.DirectoryEntry, _ time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[entry.Instance] = entry
	return nil
}

func (d *fakeDirectory) Deregister(_ context.Context, instance string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.entries, instance)
	return nil
}

func (d *fakeDirectory) Lookup(context.Context) ([]platform.DirectoryEntry, error) { return nil, nil }

func (d *fakeDirectory) has(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.entries[instance]
	return ok
}

// harness runs agents of several failure domains over loopback TCP.
type harness struct {
	t         *testing.T
	store     *platformtest.Service
	directory *fakeDirectory
	prefix    string
	seeds     []settings.Seed
	names     map[string][]string
	nodes     map[string]*node
	epoch     uint64
}

// node is one entry instance of a harness.
type node struct {
	settings settings.Instance
	gateway  *fakeGateway
	agent    *Agent
	cancel   context.CancelFunc
	ended    chan error
}

// newHarness declares domains "a", "b", … with the given numbers of instances; each
// test has its own addresses and runs in parallel with the others.
func newHarness(t *testing.T, test int, counts ...int) *harness {
	t.Parallel()
	r := &harness{
		t: t, store: platformtest.New(clock.System{}), directory: &fakeDirectory{entries: make(map[string]platform.DirectoryEntry)},
		prefix: fmt.Sprintf("127.%d.%d", 130+os.Getpid()%100, 10*test),
		names:  make(map[string][]string), nodes: make(map[string]*node),
	}
	for d, count := range counts {
		domain := string(rune('a' + d))
		for n := range count {
			name := fmt.Sprintf("%s-%d", domain, n+1)
			r.names[domain] = append(r.names[domain], name)
			address := fmt.Sprintf("127.%d.%d.%d", 130+os.Getpid()%100, 10*test+d, n+1)
			r.seeds = append(r.seeds, settings.Seed{Domain: domain, Mesh: address + ":8090"})
			r.nodes[name] = &node{
				gateway: &fakeGateway{},
				settings: settings.Instance{
					Instance: name, Domain: domain, Region: "region-" + domain,
					Gateway: settings.Gateway{
						Callers: address + ":8080", Peers: address + ":8081", Control: address + ":8082",
					},
					Agent:    settings.Agent{Mesh: address + ":8090", Operators: address + ":8091"},
					Security: settings.Security{PlaintextLoopback: true},
				},
			}
		}
	}
	for _, n := range r.nodes {
		n.settings.Seeds = r.seeds
		r.startGateway(n)
	}
	return r
}

func (r *harness) network(n *node) *control.Network {
	network, err := control.NewNetwork(n.settings.Security, nil)
	is.New(r.t).NoErr(err)
	return network
}

func (r *harness) startGateway(n *node) {
	server, err := control.NewServer(r.network(n), n.settings.Gateway.Control)
	is.New(r.t).NoErr(err)
	is.New(r.t).NoErr(server.Register(control.GatewayService, n.gateway))
	go server.Serve()
	r.t.Cleanup(func() { _ = server.Close() })
	r.epoch++
	n.gateway.reply.Incarnation = r.epoch
}

// start starts an instance's agent.
func (r *harness) start(names ...string) {
	for _, name := range names {
		n := r.nodes[name]
		r.epoch++
		n.agent = New(Options{
			Settings: &n.settings, Mesh: r.network(n), Local: r.network(n),
			KeyValue: r.store.Connect(n.settings.Domain, nil), HeadKey: testKey,
			Directory: r.directory, Log: zerolog.Nop(), Registry: metrics.NewRegistry(), Epoch: r.epoch,
		})
		ctx, cancel := context.WithCancel(r.t.Context())
		ended := make(chan error, 1)
		if n.cancel == nil {
			r.t.Cleanup(func() { r.stop(name) })
		}
		n.cancel, n.ended = cancel, ended
		go func() { ended <- n.agent.Run(ctx) }()
	}
}

func (r *harness) startAll() {
	for _, names := range r.names {
		r.start(names...)
	}
}

// stop stops an agent as SIGTERM does.
func (r *harness) stop(name string) {
	n := r.nodes[name]
	if n.cancel == nil {
		return
	}
	n.cancel()
	n.cancel = nil
	is.New(r.t).NoErr(<-n.ended)
}

// wait waits until the condition holds, checking it whenever the agent's blackboard
// changes, which happens at least once a second.
func (r *harness) wait(name, what string, holds func(a *Agent) bool) {
	r.t.Helper()
	a := r.nodes[name].agent
	limit := time.After(testWait)
	for {
		members, domains, head := a.board.Members.Changed(), a.board.Domains.Changed(), a.board.Config.Changed()
		platform := a.board.Platform.Changed()
		if holds(a) {
			return
		}
		select {
		case <-members:
		case <-domains:
		case <-head:
		case <-platform:
		case <-limit:
			r.t.Fatalf("%s: %s: not within %s", name, what, testWait)
		}
	}
}

// inForce counts the nodes of the whole system that have the revision in force, as
// known to an agent.
func inForce(a *Agent, revision config.Revision) int {
	own := a.ownDigest(time.Now())
	total := atRevision(own.Revisions, revision)
	if domains := a.board.Domains.Load(); domains != nil {
		for i := range domains.Remote {
			total += atRevision(domains.Remote[i].Revisions, revision)
		}
	}
	return total
}
