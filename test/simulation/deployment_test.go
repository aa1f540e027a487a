// Package simulation tests whole deployments in virtual time: complete instances, connections in
// memory, and engines that fall silent.
package simulation

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/internal/simnet"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/edge"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/logging/logtest"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

const (
	service = "llm"
	host    = "world"
	// patience is the time for which a caller waits for its whole answer.
	patience = 9 * time.Second
	// retryRatio and retrySlack bound the retries of all instances.
	retryRatio = 0.2
	retrySlack = 200
	// settleTime is the time for which a new deployment runs before a test begins.
	settleTime = 3 * time.Second
	// listTime is the time from an instance's start until its entry is in the list.
	listTime = time.Millisecond
	// domainsPerRegion is the number of failure domains among which a region's engines are divided.
	domainsPerRegion = 2
)

// Routes by their path prefix.
var (
	resumable = httproute.Route{Name: "resumable", Prefix: "/resumable/", Kind: httproute.Streaming, Resumable: true, MaxAttempts: 3}
	single    = httproute.Route{Name: "single", Prefix: "/single/", Kind: httproute.Streaming, Resumable: true, MaxAttempts: 1}
	once      = httproute.Route{Name: "once", Prefix: "/once/", Kind: httproute.Streaming, MaxAttempts: 3}
)

// region is the size of a region.
type region struct {
	name               string
	instances, engines int
}

// deployment is a set of instances and engines.
type deployment struct {
	*testing.T
	is      *is.I
	network *simnet.Network
	random  *rand.Rand
	lines   logtest.Lines
	routes  []httproute.Route

	instances []*instance
	engines   []*engine
	// capacity is that of each engine, nil for slots. plain is true if the service's upstreams are no
	// engines, and answer in one piece.
	capacity *capacity
	plain    bool

	// listed is the list that the store holds, nil until all instances have started.
	listed atomic.Pointer[fleet.View]

	mu      sync.Mutex
	version uint64
	answers []answer
	callers sync.WaitGroup
}

// instance is a running instance.
type instance struct {
	fleet.Instance
	edge     *edge.Edge
	endpoint *simnet.Endpoint
	stop     context.CancelFunc
	ended    chan struct{}
	// down is true while no process runs in its place.
	down bool
}

// answer is what a caller got.
type answer struct {
	id         string
	route      string
	sent, done time.Time
	status     int
	body       string
	// outcome is what the instance reported of a refused request.
	outcome string
	// err is set if the answer broke off.
	err error
}

// begun reports whether the caller got a part of a stream.
func (a *answer) begun() bool { return a.status == http.StatusOK }

// whole reports whether the caller got every event of its own stream once and in order, and its end.
func (a *answer) whole() bool {
	return a.err == nil && a.status == http.StatusOK && a.body == wholeBody(a.id)
}

// wholeBody returns the body of a request's whole answer.
func wholeBody(id string) string {
	var body strings.Builder
	for i := range events {
		body.WriteString(eventText(id, i))
	}
	return body.String()
}

// refused reports whether the caller was told that its request did not run.
func (a *answer) refused() bool {
	return a.err == nil && a.status == http.StatusServiceUnavailable && a.outcome == "not-run"
}

// runDeployment runs a test in a deployment in virtual time.
func runDeployment(t *testing.T, seed uint64, regions []region, routes []httproute.Route, test func(d *deployment)) {
	t.Helper()
	runWithCapacity(t, seed, nil, regions, routes, test)
}

// runWithCapacity is runDeployment with engines of a capacity, nil for slots.
func runWithCapacity(t *testing.T, seed uint64, of *capacity, regions []region, routes []httproute.Route, test func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := &deployment{T: t, is: is.New(t), network: simnet.New(), random: rand.New(rand.NewPCG(seed, 1)), routes: routes, capacity: of}
		d.plain = len(routes) > 0 && routes[0].Kind != httproute.Streaming
		defer d.tearDown()
		for _, region := range regions {
			d.add(region)
		}
		for _, i := range d.instances {
			d.start(i, regions)
		}
		d.configure()
		d.discover()
		clock.Sleep(t.Context(), settleTime)
		test(d)
		d.callers.Wait()
	})
}

func (d *deployment) add(r region) {
	for i := range r.instances {
		name := fmt.Sprintf("%s-%d", r.name, i)
		d.network.AddPeer(name)
		d.instances = append(d.instances, &instance{Instance: fleet.Instance{
			Name: name, Domain: domain(r.name, i), Region: r.name,
			Callers: name + ":callers", Peers: name + ":peers", Gossip: name + ":gossip",
		}})
	}
	for i := range r.engines {
		address := fmt.Sprintf("engine-%s-%d", r.name, i)
		d.network.SetRegion(address, r.name)
		e := &engine{id: address, address: address, region: r.name, domain: domain(r.name, i), started: time.Now()}
		if d.capacity != nil {
			e.room = &room{capacity: *d.capacity, plain: d.plain}
		}
		d.startEngine(e)
	}
}

func (d *deployment) startEngine(e *engine) {
	listener, err := d.network.EndpointOf(e.address, e.region).Listen(context.Background(), "tcp", e.address)
	d.is.NoErr(err)
	e.serveOn(listener)
	d.engines = append(d.engines, e)
}

// slots returns the number of requests that an engine runs at once.
func (d *deployment) slots() int {
	if d.capacity != nil {
		return d.capacity.slots
	}
	return slots
}

func domain(region string, i int) string { return fmt.Sprintf("%s-%c", region, 'a'+i%domainsPerRegion) }

// noStore is a store that never answers: instances learn all from the test and from each other.
type noStore struct{}

// List implements mirror.Source.
func (noStore) List(context.Context, string, string) (platform.Page, error) {
	return platform.Page{}, platform.ErrUnavailable
}

// Changes implements mirror.Source.
func (noStore) Changes(context.Context, string, int64, time.Duration) (platform.Changes, error) {
	return platform.Changes{}, platform.ErrUnavailable
}

// Grant implements platform.Leaser.
func (noStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	return 0, platform.ErrUnavailable
}

// KeepAlive implements platform.Leaser.
func (noStore) KeepAlive(context.Context, platform.LeaseID) (time.Duration, error) {
	return 0, platform.ErrUnavailable
}

// Revoke implements platform.Leaser.
func (noStore) Revoke(context.Context, platform.LeaseID) error { return platform.ErrUnavailable }

// Swap implements mirror.Registrar.
func (noStore) Swap(context.Context, map[string]int64, []platform.Put) (int64, error) {
	return 0, platform.ErrUnavailable
}

func (d *deployment) start(i *instance, regions []region) {
	settings := &edge.Settings{
		Instance: i.Name, FailureDomain: i.Domain, Region: i.Region,
		Listen: edge.Listen{Callers: i.Callers, Peers: i.Peers, Gossip: i.Gossip},
		Limits: edge.Limits{
			Grace: 8 * time.Second, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: 10 * time.Second, ColdFactor: 1, DirectoryTTL: time.Second,
		},
		Domains: make(map[string]string),
	}
	for _, r := range regions {
		for n := range domainsPerRegion {
			settings.Domains[domain(r.name, n)] = r.name
		}
	}
	i.endpoint = d.network.EndpointOf(i.Name, i.Region)
	registry := metrics.NewRegistry()
	incarnation := make(chan uint64, 1)
	e, err := edge.New(edge.Options{
		Settings: settings, Dialect: dialect{}, Transport: i.endpoint,
		Store:       mirror.New(mirror.Options{Source: noStore{}, Clock: clock.System{}, Log: zerolog.Nop()}),
		ListCurrent: func() bool { return true },
		Registrar:   noStore{},
		Value: func(self fleet.Instance) ([]byte, error) {
			incarnation <- self.Incarnation
			return nil, nil
		},
		Log: zerolog.New(&d.lines), Registry: registry, Series: telemetry.NewSeries(registry, edge.MaxMetrics),
	})
	d.is.NoErr(err)
	listed := d.listed.Load()
	if listed != nil {
		e.Board().Fleet.Store(listed)
	}
	ctx, stop := context.WithCancel(context.Background())
	i.edge, i.stop, i.ended = e, stop, make(chan struct{})
	go func() {
		defer close(i.ended)
		// Run returns the errors of its shutdown, which are expected when a simulation stops.
		_ = e.Run(ctx)
	}()
	i.Incarnation = <-incarnation
	if listed != nil {
		// An instance reads the list before its own entry is in it.
		clock.Sleep(d.Context(), listTime)
	}
}

// configure gives all instances a new version of the configuration.
func (d *deployment) configure() {
	d.version++
	routes := make([]httproute.Route, len(d.routes))
	for n, route := range d.routes {
		route.Host = host
		route.Backends = []httproute.Backend{{Service: service, Weight: 1}}
		routes[n] = route
	}
	for _, i := range d.instances {
		config, err := httproute.Compile(d.version, httproute.Limits{BodyBytes: 1 << 20}, routes, d.services())
		d.is.NoErr(err)
		i.edge.Board().Routes.Store(config)
	}
}

func (d *deployment) services() []httproute.Service {
	if d.plain {
		return []httproute.Service{{Name: service}}
	}
	return []httproute.Service{{Name: service, Engine: &httproute.Engine{Slots: d.slots()}}}
}

// discover gives all instances the present engines and instances.
func (d *deployment) discover() {
	view := &fleet.View{Revision: uint64(time.Now().UnixNano())}
	for _, e := range d.engines {
		if !e.down {
			view.Upstreams = append(view.Upstreams, fleet.Upstream{ID: e.id, Name: e.id, Service: service, Address: e.address, Domain: e.domain, Region: e.region, Slots: d.slots()})
		}
	}
	for _, i := range d.instances {
		if !i.down {
			view.Instances = append(view.Instances, i.Instance)
		}
	}
	view.Index()
	d.listed.Store(view)
	for _, i := range d.instances {
		if !i.down {
			i.edge.Board().Fleet.Store(view)
		}
	}
}

func (d *deployment) tearDown() {
	d.callers.Wait()
	for _, i := range d.instances {
		i.stop()
	}
	for _, i := range d.instances {
		<-i.ended
	}
	for _, e := range d.engines {
		e.terminate()
	}
	clock.Sleep(context.Background(), time.Minute)
}

// load sends requests of the routes in turn to random instances for a time, at a rate.
func (d *deployment) load(length time.Duration, perSecond float64) {
	pause := time.Duration(float64(time.Second) / perSecond)
	n := 0
	for end := time.Now().Add(length); time.Now().Before(end); clock.Sleep(d.Context(), pause) {
		d.ask(d.instances[d.random.IntN(len(d.instances))], d.routes[n%len(d.routes)])
		n++
	}
}

// ask sends a request to an instance, concurrently with others.
func (d *deployment) ask(i *instance, route httproute.Route) {
	a := answer{id: fmt.Sprintf("id-%d", d.random.Uint64()), route: route.Name, sent: time.Now()}
	d.callers.Go(func() {
		d.exchange(i, route.Prefix, &a)
		a.done = time.Now()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.answers = append(d.answers, a)
	})
}

// exchange sends a request on a connection of its own and reads the answer.
func (d *deployment) exchange(i *instance, path string, a *answer) {
	ctx, cancel := context.WithTimeout(context.Background(), patience+time.Second)
	defer cancel()
	var conn io.ReadWriteCloser
	conn, a.err = d.network.EndpointOf("caller", i.Region).Dial(ctx, "tcp", i.Callers)
	if a.err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	request, err := http.NewRequest(http.MethodPost, "http://"+host+path, strings.NewReader("question"))
	d.is.NoErr(err)
	request.Header.Set(headerID, a.id)
	request.Header.Set(headerDeadline, fmt.Sprint(patience.Milliseconds()))
	if a.err = request.Write(conn); a.err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		a.err = err
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.outcome, a.err = response.StatusCode, string(body), response.Header.Get(header.Outcome), err
}

// summary counts what callers got.
type summary struct{ asked, whole, refused, cut, unknown int }

// summarize counts the answers, by route if it is not empty.
func (d *deployment) summarize(route string) summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	var s summary
	for i := range d.answers {
		a := &d.answers[i]
		if route != "" && a.route != route {
			continue
		}
		s.asked++
		switch {
		case a.whole():
			s.whole++
		case a.refused():
			s.refused++
			d.Logf("%s sent at %v, refused after %v: %s", a.id, a.sent.Format(time.StampMilli), a.done.Sub(a.sent), a.body)
		case a.begun():
			s.cut++
			d.Logf("%s sent at %v: %d bytes, %v", a.id, a.sent.Format(time.StampMilli), len(a.body), a.err)
		default:
			s.unknown++
		}
	}
	return s
}
