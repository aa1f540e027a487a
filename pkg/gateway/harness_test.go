package gateway

import (
	"bytes"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/platform/etcd"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/standin/engine"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
	"github.com/lilacweir/lilacweir/pkg/standin/service"
)

// harness is two failure domains in two regions, each with a gateway: two engines
// and a service in the north, one of each in the south.
type harness struct {
	t        testing.TB
	security settings.Security
	journal  *journal.Journal
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	head     *config.Head
	north    *Gateway
	south    *Gateway
	// url is the address at which the north's gateway serves callers.
	url string
	// southPeers is the address at which the south's gateway serves the north's.
	southPeers string
}

const (
	residentKey = "key-resident" // may be served in the north alone
	roamerKey   = "key-roamer"   // may be served in the south alone
)

func newHarness(t testing.TB) *harness {
	t.Helper()
	return newSecuredHarness(t, settings.Security{PlaintextLoopback: true})
}

// newSecuredHarness connects the gateways with the given certificates.
func newSecuredHarness(t testing.TB, security settings.Security) *harness {
	t.Helper()
	h := &harness{t: t, security: security, journal: journal.New(), engines: map[string]*engine.Engine{}, services: map[string]*service.Service{}}
	h.declare()
	h.north = h.newGateway("north-1", "north-a", "north")
	h.south = h.newGateway("south-1", "south-a", "south")
	callers, _ := h.north.Handlers()
	h.url = h.serve(callers)
	_, peers := h.south.Handlers()
	h.southPeers = h.servePeers(h.south.network, peers)
	h.connect(h.southPeers)
	h.south.Exchange(control.ExchangeArgs{Head: h.head})
	return h
}

func (h *harness) declare() {
	both := []string{"north", "south"}
	h.head = &config.Head{Revision: 7, Declaration: &config.Declaration{
		Regions: []config.Region{{Name: "north", Domains: []string{"north-a"}}, {Name: "south", Domains: []string{"south-a"}}},
		Models:  []config.Model{{Name: "nurse", Versions: []config.ModelVersion{{Name: "v1", Percent: 100}}, Regions: both}},
		Services: []config.Service{{Name: "sleeplog", Prefix: "/sleeplog/", Regions: both, Routes: []config.Route{
			{Method: http.MethodPost, Path: "uploads"},
			{Method: http.MethodGet, Path: "exports/*", Repeatable: true},
		}}},
		Callers: []config.Caller{
			{Name: "resident", KeyHash: config.HashKey(residentKey), Home: "north", Regions: []string{"north"}},
			{Name: "roamer", KeyHash: config.HashKey(roamerKey), Home: "south", Regions: []string{"south"}},
		},
	}}
	h.addEngine("nurse-n1", "north-a")
	h.addEngine("nurse-n2", "north-a")
	h.addEngine("nurse-s1", "south-a")
	h.addService("log-n1", "north-a")
	h.addService("log-s1", "south-a")
}

func (h *harness) addEngine(name, domain string) {
	e := engine.New(engine.Settings{
		Name: name, Domain: domain, Serves: "nurse", Version: "v1", Concurrency: 8, Queue: 64,
		DecodeRate: 1e5, PrefillRate: 1e7, CacheTokens: 1e6, LoadLag: time.Second,
	}, clock.System{}, h.journal)
	h.engines[name] = e
	h.addUpstream(config.Upstream{Name: name, Kind: config.KindEngine, Serves: "nurse", Version: "v1", Domain: domain, Address: h.serve(e.Handler()), Concurrency: 8})
}

func (h *harness) addService(name, domain string) {
	s := service.New(service.Settings{Name: name, Domain: domain, Serves: "sleeplog", Concurrency: 8}, clock.System{}, h.journal)
	h.services[name] = s
	h.addUpstream(config.Upstream{Name: name, Kind: config.KindService, Serves: "sleeplog", Domain: domain, Address: h.serve(s.Handler()), Concurrency: 8})
}

func (h *harness) addUpstream(upstream config.Upstream) {
	h.head.Declaration.Upstreams = append(h.head.Declaration.Upstreams, upstream)
}

// serve starts an HTTP server and returns its address.
func (h *harness) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	h.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// servePeers starts the listener for other gateways and returns its address.
func (h *harness) servePeers(network *control.Network, handler http.Handler) string {
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
	h.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (h *harness) newGateway(name, domain, region string) *Gateway {
	network, err := control.NewNetwork(h.security, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	keyValue := etcd.New(etcd.Options{Endpoints: []string{"127.0.0.1:1"}, Prefix: "test/", Dial: network.DialPlain})
	gateway := New(&settings.Instance{
		Instance: name, Domain: domain, Region: region,
		Gateway: settings.Gateway{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Control: "127.0.0.1:0", MaxBody: 1 << 20},
	}, network, keyValue, zerolog.Nop())
	h.t.Cleanup(gateway.halt)
	return gateway
}

// connect gives the north its configuration, and a digest with the south's gateway
// at the given address.
func (h *harness) connect(southPeers string) {
	h.north.Exchange(control.ExchangeArgs{Head: h.head, Domains: &board.Domains{Remote: []board.DomainDigest{{
		Domain: "south-a", Region: "south", Sequence: 1, HeardAt: time.Now(), Nodes: 1,
		Entries: []board.Instance{{Name: "south-1", Domain: "south-a", Region: "south", State: board.InstanceLive, Addresses: board.Addresses{Peers: southPeers}}},
		Pools: []board.PoolDigest{
			{Serves: "nurse", Version: "v1", Slots: 8, Spare: 8},
			{Serves: "sleeplog", Slots: 8, Spare: 8},
		},
	}}}})
}

// changeAddress declares another address for an upstream, in a higher revision.
func (h *harness) changeAddress(name, address string) {
	declaration := *h.head.Declaration
	declaration.Upstreams = append([]config.Upstream(nil), declaration.Upstreams...)
	for i := range declaration.Upstreams {
		if declaration.Upstreams[i].Name == name {
			declaration.Upstreams[i].Address = address
		}
	}
	h.head = &config.Head{Revision: h.head.Revision + 1, Declaration: &declaration}
	h.north.Exchange(control.ExchangeArgs{Head: h.head})
	h.south.Exchange(control.ExchangeArgs{Head: h.head})
}

// answer is the result of a caller's request.
type answer struct {
	status  int
	header  http.Header
	body    string
	outcome string
	err     error
}

// send makes one request as a caller.
func (h *harness) send(ctx context.Context, method, path, key, body string, fields http.Header) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.url+path, bytes.NewReader([]byte(body)))
	if err != nil {
		h.t.Fatal(err)
	}
	for name, values := range fields {
		request.Header[name] = values
	}
	request.Header.Set(header.Authorization, "Bearer "+key)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), outcome: response.Header.Get(header.Outcome), err: err}
}

const reviewBody = `{"model":"nurse","messages":[{"role":"user","content":"how did I sleep?"}],"max_tokens":12,"stream":true}`

// runs counts the requests that upstreams ran.
func (h *harness) runs() int { return len(h.journal.Entries("")) }

// closedAddress returns an address at which nothing listens.
func closedAddress(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// newTruncatingProxy forwards connections to target and closes each after the given
// number of bytes of the request or of the answer; a negative number means never.
func newTruncatingProxy(t testing.TB, target string, requestBytes, answerBytes int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		running.Wait()
	})
	running.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() { proxy(client, target, requestBytes, answerBytes) })
		}
	})
	return listener.Addr().String()
}

func proxy(client net.Conn, target string, requestBytes, answerBytes int64) {
	defer client.Close()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	go copyUntil(server, client, requestBytes, done)
	go copyUntil(client, server, answerBytes, done)
	<-done
}

func copyUntil(to io.Writer, from io.Reader, limit int64, done chan<- struct{}) {
	if limit >= 0 {
		from = io.LimitReader(from, limit)
	}
	_, _ = io.Copy(to, from)
	done <- struct{}{}
}

// twoInstanceDomain describes the south as one instance for each address.
func twoInstanceDomain(h *harness, addresses ...string) control.ExchangeArgs {
	present := h.north.board.Domains.Load().Remote[0]
	present.HeardAt = time.Now()
	present.Entries = nil
	for i, address := range addresses {
		present.Entries = append(present.Entries, board.Instance{
			Name: "south-" + string(rune('1'+i)), Domain: "south-a", Region: "south",
			State: board.InstanceLive, Addresses: board.Addresses{Peers: address},
		})
	}
	return control.ExchangeArgs{Domains: &board.Domains{Remote: []board.DomainDigest{present}}}
}

// requestOf returns a chat request of a caller as the API passes it on.
func (g *Gateway) requestOf(t testing.TB, caller string) *dispatch.Request {
	known, ok := g.config.Load().Caller(caller)
	if !ok {
		t.Fatal("no caller " + caller)
	}
	return &dispatch.Request{ID: "r", CallerID: "r", Caller: known, Serves: "nurse", Kind: config.KindEngine, Repeatable: true}
}

// switchedLink forwards connections to target, or closes them early while broken.
type switchedLink struct {
	address string
	broken  atomic.Bool
}

func newSwitchedLink(t testing.TB, target string) *switchedLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	link := &switchedLink{address: listener.Addr().String()}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			requestBytes := int64(-1)
			if link.broken.Load() {
				requestBytes = 1
			}
			go proxy(client, target, requestBytes, -1)
		}
	}()
	return link
}
