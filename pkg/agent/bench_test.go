package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/digest"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// Sizes of one failure domain at the target scale: upstreams, models and nodes.
const (
	benchUpstreams = 25
	benchModels    = 5
	benchNodes     = 9
)

// benchAgent returns an agent without running loops; it serves its peers.
func benchAgent(b *testing.B, domain, name string, epoch uint64) *Agent {
	network, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, nil)
	if err != nil {
		b.Fatal(err)
	}
	server, err := control.NewServer(network, "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	a := New(Options{
		Settings: &settings.Instance{
			Instance: name, Domain: domain, Region: "region-" + domain,
			Agent: settings.Agent{Mesh: server.Address(), Operators: "127.0.0.1:0"},
		},
		Mesh: network, Local: network, Log: zerolog.Nop(), Registry: metrics.NewRegistry(), Epoch: epoch,
	})
	for service, methods := range map[string]any{control.MeshService: &meshService{a}, control.DomainService: &domainService{a}} {
		if err := server.Register(service, methods); err != nil {
			b.Fatal(err)
		}
	}
	go server.Serve()
	b.Cleanup(func() {
		a.clients.Close()
		_ = server.Close()
	})
	return a
}

func benchUpstream(domain string, n int) config.Upstream {
	return config.Upstream{
		Name: fmt.Sprintf("%s-engine-%03d", domain, n), Kind: config.KindEngine, Serves: fmt.Sprintf("model-%d", n%benchModels),
		Version: "v1", Domain: domain, Address: "127.0.0.1:1", Concurrency: 8,
	}
}

// busy returns a gateway's load with requests at every upstream of its domain.
func busy(domain string, round uint64) board.GatewayLoad {
	load := board.GatewayLoad{InFlight: make(map[string]int), Requests: round}
	for n := range benchUpstreams {
		name := benchUpstream(domain, n).Name
		load.InFlight[name] = 15 + int(round%2)
	}
	return load
}

// reportBytes reports the bytes on the network for each operation.
func reportBytes(b *testing.B, meter *control.Meter, sent, received int64) {
	b.ReportMetric(float64(meter.Sent()-sent)/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(meter.Received()-received)/float64(b.N), "received-B/op")
}

// BenchmarkBeat measures one heartbeat with each other node of the domain, each
// side with a new load of its gateway to publish.
func BenchmarkBeat(b *testing.B) {
	benchmarkBeat(b, func(a *Agent, round uint64) { a.mesh.setLoad(busy("a", round), nil) })
}

// BenchmarkQuietBeat measures the same with no changes to publish.
func BenchmarkQuietBeat(b *testing.B) { benchmarkBeat(b, func(*Agent, uint64) {}) }

func benchmarkBeat(b *testing.B, change func(a *Agent, round uint64)) {
	for _, nodes := range []int{1, 3, 5, 9} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			agents := make([]*Agent, nodes)
			for i := range agents {
				agents[i] = benchAgent(b, "a", fmt.Sprintf("a-%d", i), uint64(i+1))
			}
			round := func(n uint64) {
				for _, a := range agents {
					change(a, n)
				}
				beatAll(b, agents)
			}
			for n := range uint64(5) {
				round(n) // The first rounds carry identities and gob types.
			}
			meter := agents[0].Mesh.Meter()
			sent, received := meter.Sent(), meter.Received()
			b.ResetTimer()
			for n := range b.N {
				round(uint64(n))
			}
			b.StopTimer()
			reportBytes(b, meter, sent, received)
		})
	}
}

// beatAll exchanges heartbeats between the first agent and each other.
func beatAll(b *testing.B, agents []*Agent) {
	for _, peer := range agents[1:] {
		if err := agents[0].sendBeat(context.Background(), peerOf(peer)); err != nil {
			b.Fatal(err)
		}
	}
}

func peerOf(a *Agent) member.Peer {
	return member.Peer{Name: a.Settings.Instance, Mesh: a.Settings.Agent.Mesh}
}

// benchDomain gives an agent the view of a whole domain: nodes, upstreams and a
// head.
func benchDomain(a *Agent, head *config.Head, busy int) {
	domain := a.Settings.Domain
	a.keeper.Offer(head, spread.SourcePlatform)
	members := &board.Members{Self: a.Settings.Instance}
	for n := range benchNodes {
		at := fmt.Sprintf("127.0.0.%d", n+1)
		members.Instances = append(members.Instances, board.Instance{
			Name: fmt.Sprintf("%s-%d", domain, n), Domain: domain, Region: "region-" + domain, Incarnation: 7,
			State: board.InstanceLive, Revision: head.Revision,
			Addresses: board.Addresses{
				Callers: at + ":8080", Peers: at + ":8081", Control: at + ":8082", Mesh: a.Settings.Agent.Mesh, Operators: at + ":8091",
			},
		})
	}
	upstreams := &board.Upstreams{ByName: make(map[string]board.UpstreamLoad)}
	for n := range benchUpstreams {
		name := benchUpstream(domain, n).Name
		upstreams.ByName[name] = board.UpstreamLoad{Name: name, State: board.UpstreamLive, Running: busy, DecodeRate: 16, PrefillRate: 8000, Version: "v1"}
	}
	a.board.Members.Store(members)
	a.board.Upstreams.Store(upstreams)
}

// benchSystem returns one agent of domain "own", and one of each other domain.
func benchSystem(b *testing.B, domains int) (own *Agent, remote []*Agent, head *config.Head) {
	head = &config.Head{Revision: 1, Declaration: &config.Declaration{}}
	for d := range domains {
		remote = append(remote, benchAgent(b, fmt.Sprintf("domain-%02d", d), fmt.Sprintf("domain-%02d-0", d), uint64(d+2)))
	}
	for _, a := range remote {
		for n := range benchUpstreams {
			head.Declaration.Upstreams = append(head.Declaration.Upstreams, benchUpstream(a.Settings.Domain, n))
		}
	}
	own = benchAgent(b, "own", "own-0", 1)
	own.keeper.Offer(head, spread.SourcePlatform)
	for _, a := range remote {
		benchDomain(a, head, 3)
		own.Settings.Seeds = append(own.Settings.Seeds, settings.Seed{Domain: a.Settings.Domain, Mesh: a.Settings.Agent.Mesh})
	}
	return own, remote, head
}

// BenchmarkDigestFetch measures one fetch of every remote domain's digest by one
// owner; the loads there have changed, the addresses have not.
func BenchmarkDigestFetch(b *testing.B) {
	for _, domains := range []int{1, 5, 10, 20, 41} {
		b.Run(fmt.Sprintf("domains=%d", domains), func(b *testing.B) {
			own, remote, _ := benchSystem(b, domains)
			fetchers := make([]*fetcher, len(remote))
			for i, a := range remote {
				fetchers[i] = &fetcher{agent: own, domain: a.Settings.Domain}
			}
			fetchAll := func() {
				for _, f := range fetchers {
					if !f.fetch(context.Background()) {
						b.Fatal("no digest of " + f.domain)
					}
				}
			}
			fetchAll()
			fetchAll()
			meter := own.Mesh.Meter()
			sent, received := meter.Sent(), meter.Received()
			b.ResetTimer()
			for range b.N {
				fetchAll()
			}
			b.StopTimer()
			reportBytes(b, meter, sent, received)
		})
	}
}

// BenchmarkDigestShare measures one heartbeat to a node of the own domain that
// carries the changed digests of the given number of remote domains.
func BenchmarkDigestShare(b *testing.B) {
	for _, domains := range []int{1, 5, 10, 20, 41} {
		b.Run(fmt.Sprintf("domains=%d", domains), func(b *testing.B) {
			own, remote, _ := benchSystem(b, domains)
			peer := benchAgent(b, "own", "own-1", 2)
			round := func(n int) {
				now := time.Now()
				for _, a := range remote {
					benchDomain(a, a.keeper.Head(), 1+n%2*4)
					d := a.ownDigest(time.Now())
					own.mesh.setDigest(d, digest.EntriesSum(d.Entries), now)
				}
				if err := own.sendBeat(context.Background(), peerOf(peer)); err != nil {
					b.Fatal(err)
				}
			}
			for n := range 4 {
				round(n)
			}
			meter := own.Mesh.Meter()
			sent, received := meter.Sent(), meter.Received()
			b.ResetTimer()
			for n := range b.N {
				round(n)
			}
			b.StopTimer()
			reportBytes(b, meter, sent, received)
		})
	}
}

// BenchmarkUpstreamShare measures one heartbeat to a node of the own domain that
// carries new reports of the given number of upstreams with unchanged prefixes.
func BenchmarkUpstreamShare(b *testing.B) { benchmarkReports(b, 0) }

// BenchmarkPrefixShare measures the same when each engine has cached 16 other
// prefixes.
func BenchmarkPrefixShare(b *testing.B) { benchmarkReports(b, PrefixInterval) }

// benchmarkReports publishes reports at the given interval.
func benchmarkReports(b *testing.B, interval time.Duration) {
	for _, upstreams := range []int{1, 5, 10, 25} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			own, peer := benchAgent(b, "a", "a-0", 1), benchAgent(b, "a", "a-1", 2)
			start := time.Now()
			round := func(n int) {
				prefixes := make([]uint64, 16)
				for i := range prefixes {
					prefixes[i] = 0x9e3779b97f4a7c15 * uint64(16*n+i+1)
				}
				for u := range upstreams {
					own.mesh.setUpstream(board.UpstreamLoad{
						Name: benchUpstream("a", u).Name, State: board.UpstreamLive, Running: 5 + n%2, DecodeRate: 16, PrefillRate: 8000,
						Version: "v1", ReportedAt: start.Add(time.Duration(n) * interval), Prefixes: prefixes,
					})
				}
				if err := own.sendBeat(context.Background(), peerOf(peer)); err != nil {
					b.Fatal(err)
				}
			}
			for n := range 4 {
				round(n)
			}
			meter := own.Mesh.Meter()
			sent, received := meter.Sent(), meter.Received()
			b.ResetTimer()
			for n := range b.N {
				round(4 + n)
			}
			b.StopTimer()
			reportBytes(b, meter, sent, received)
		})
	}
}

// BenchmarkPoll measures one poll of each upstream by its owner, over HTTP.
func BenchmarkPoll(b *testing.B) {
	report := `{"running":7,"queued":0,"concurrency":8,"decode_rate":16,"prefill_rate":8000,"version":"v1","leaving":false,"age_ms":250,"prefixes":["` +
		strings.Repeat(`00112233445566aa","`, 15) + `00112233445566aa"]}`
	for _, upstreams := range []int{1, 5, 25} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			a := benchAgent(b, "a", "a-0", 1)
			var list []config.Upstream
			for n := range upstreams {
				engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write([]byte(report))
				}))
				b.Cleanup(engine.Close)
				u := benchUpstream("a", n)
				u.Address = engine.Listener.Addr().String()
				list = append(list, u)
			}
			pollAll := func() {
				for i := range list {
					load, err := a.poll(context.Background(), &list[i])
					if err != nil {
						b.Fatal(err)
					}
					a.mesh.setUpstream(load)
				}
			}
			pollAll()
			meter := a.Mesh.Meter()
			sent, received := meter.Sent(), meter.Received()
			b.ResetTimer()
			for range b.N {
				pollAll()
			}
			b.StopTimer()
			reportBytes(b, meter, sent, received)
		})
	}
}

// BenchmarkTend measures one reconciliation of jobs and blackboard with the given
// number of declared upstreams, 25 of them in the own domain.
func BenchmarkTend(b *testing.B) {
	for _, upstreams := range []int{25, 100, 400, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			a := benchAgent(b, "d-0", "d-0-0", 1)
			head := &config.Head{Revision: 1, Declaration: &config.Declaration{}}
			for n := range upstreams {
				domain := fmt.Sprintf("d-%d", n/benchUpstreams)
				head.Declaration.Upstreams = append(head.Declaration.Upstreams, benchUpstream(domain, n))
			}
			a.keeper.Offer(head, spread.SourcePlatform)
			for n := range benchUpstreams {
				a.mesh.setUpstream(board.UpstreamLoad{Name: benchUpstream("d-0", n).Name, State: board.UpstreamLive})
			}
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				a.publish(now)
				workers := a.mesh.workers(now)
				a.beatJobs(now)
				a.digestJobs(workers)
				a.pollJobs(workers)
			}
		})
	}
}
