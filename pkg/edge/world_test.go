package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/logging/logtest"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

// world is a deployment of whole instances and stand-in engines in virtual time. Its
// discovery is exact, but late.
type world struct {
	*testing.T
	is     *is.I
	fabric *fabric
	random *rand.Rand
	route  httproute.Route
	// coldRate is how many requests a second an engine bears while it is cold; zero: any.
	coldRate float64
	lines    logtest.Lines
	store    *worldStore

	mu        sync.Mutex
	instances []*worldInstance
	engines   []*worldEngine
	// arrivals are what engines were sent, in order.
	arrivals []arrival
	// evacuated are the failure domains whose engines must get nothing.
	evacuated map[string]bool
	// historyLost is when a part of the store's history was last found to be lost.
	historyLost time.Time
	// view is what was told last of engines and instances.
	view *fleet.View
	// ends are when engines ended for the request that they ran.
	ends []time.Time
	// endsUnder are the same by the request's body.
	endsUnder map[string][]time.Time
	answers   []answered
	running   sync.WaitGroup
}

// worldInstance is one place of an instance, and the process that runs there.
type worldInstance struct {
	fleet.Instance
	edge *Edge
	stop context.CancelFunc
	// ended is closed once the process has ended.
	ended chan struct{}
	// down is true while no process runs.
	down bool
}

// arrival is a request at an engine.
type arrival struct {
	at           time.Time
	engine, from string
	body         string
}

// answered is what a caller was told.
type answered struct {
	at     time.Time
	body   string
	reason string
	reply
}

const (
	// discovery is how much later instances know of engines that come and go.
	discovery = 500 * time.Millisecond
	// engineDown is how long an engine takes to be back after its end.
	engineDown = 3 * time.Second
	// lethal is how the bodies of requests begin that end the engine that runs them.
	lethal = "lethal"
	// lethalTime is how long an engine runs such a request; the others' answers have
	// answerEvents, usualGap apart.
	lethalTime   = 80 * time.Millisecond
	answerEvents = 4
)

// worldRegion is a region with its number of instances and engines.
type worldRegion struct {
	name               string
	instances, engines int
}

var threeRegions = []worldRegion{{"north", 3, 5}, {"middle", 2, 4}, {"south", 2, 3}}

// inWorld runs a test in a deployment in virtual time whose engines bear any load while they are cold.
func inWorld(t *testing.T, seed uint64, route httproute.Route, regions []worldRegion, test func(w *world)) {
	t.Helper()
	inColdWorld(t, seed, 0, route, regions, test)
}

// inColdWorld is inWorld with engines that bear so many requests a second while they are cold.
func inColdWorld(t *testing.T, seed uint64, coldRate float64, route httproute.Route, regions []worldRegion, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			T: t, is: is.New(t), fabric: newFabric(), random: rand.New(rand.NewPCG(seed, 1)), route: route, coldRate: coldRate,
			endsUnder: make(map[string][]time.Time), evacuated: make(map[string]bool),
		}
		t.Cleanup(w.tearDown)
		w.store = &worldStore{world: w, values: make(map[string]storedValue)}
		for _, region := range regions {
			w.add(region)
		}
		w.discover()
		for _, instance := range w.instances {
			w.start(instance)
		}
		clock.Sleep(t.Context(), 3*time.Second)
		test(w)
	})
}

func (w *world) add(region worldRegion) {
	for i := range region.instances {
		name := fmt.Sprintf("%s-%d", region.name, i)
		w.fabric.peers[name] = true
		w.instances = append(w.instances, &worldInstance{down: true, Instance: fleet.Instance{
			Name: name, Domain: region.name + "-a", Region: region.name,
			Callers: name + ":callers", Peers: name + ":peers", Gossip: name + ":gossip",
		}})
	}
	for i := range region.engines {
		address := fmt.Sprintf("engine-%s-%d", region.name, i)
		w.fabric.place(address, region.name)
		e := &worldEngine{world: w, region: region.name, address: address}
		w.engines = append(w.engines, e)
		e.start()
	}
}

// start begins a process at an instance's place.
func (w *world) start(i *worldInstance) {
	settings := &Settings{
		Instance: i.Name, FailureDomain: i.Domain, Region: i.Region,
		Listen: Listen{Callers: i.Callers, Peers: i.Peers, Gossip: i.Gossip},
	}
	settings.Limits.fill()
	registry := metrics.NewRegistry()
	e, err := New(Options{
		Settings: settings, Dialect: plain{}, Medium: w.fabric.from(i.Name, i.Region),
		Store:     mirror.New(mirror.Options{Source: emptyStore{}, Clock: clock.System{}, Log: zerolog.Nop()}),
		Registrar: w.store, QuarantineKey: func(request quarantine.Fingerprint) string { return "quarantine/" + request.Key() },
		Value: func(fleet.Instance) ([]byte, error) { return nil, nil },
		Log:   zerolog.New(&w.lines), Registry: registry, Series: telemetry.NewSeries(registry, MostMetrics),
	})
	w.is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	i.edge, i.stop, i.ended, i.down, i.Incarnation = e, cancel, make(chan struct{}), false, e.self.Incarnation
	w.mu.Unlock()
	w.configure(e)
	w.discover()
	w.store.publish()
	go func() {
		defer close(i.ended)
		// Run returns what went wrong while it ended; a world that stops does so at once.
		_ = e.Run(ctx)
	}()
}

// restart ends an instance's process gracefully, and begins another one at its place.
func (w *world) restart(i *worldInstance) {
	i.stop()
	<-i.ended
	w.mu.Lock()
	i.down = true
	w.mu.Unlock()
	w.discover()
	w.start(i)
}

// restartAll ends all processes at once, and begins others at their places.
func (w *world) restartAll() {
	for _, i := range w.instances {
		i.stop()
	}
	for _, i := range w.instances {
		<-i.ended
	}
	w.mu.Lock()
	for _, i := range w.instances {
		i.down = true
	}
	w.mu.Unlock()
	for _, i := range w.instances {
		w.start(i)
	}
}

// configure puts the world's route in force at an instance.
func (w *world) configure(e *Edge) {
	route := w.route
	route.Name, route.Host, route.Prefix = "r", "world", "/r/"
	route.Backends = []httproute.Backend{{Service: testService, Weight: 1}}
	services := []httproute.Service{{Name: testService, ColdRate: w.coldRate, WarmUp: coldTime, HealthPath: testHealthPath, Engine: &httproute.Engine{Slots: 16}}}
	config, err := httproute.Compile(1, httproute.Limits{BodyBytes: 4 << 20}, []httproute.Route{route}, services)
	w.is.NoErr(err)
	e.board.Routes.Store(config)
}

// discover tells all instances which engines and instances there are.
func (w *world) discover() {
	w.mu.Lock()
	defer w.mu.Unlock()
	view := &fleet.View{Revision: uint64(time.Now().UnixNano()), Evacuated: maps.Clone(w.evacuated)}
	for _, e := range w.engines {
		if e.id != "" {
			view.Upstreams = append(view.Upstreams, fleet.Upstream{
				ID: e.id, Name: e.id, Service: testService, Address: e.address, Domain: e.region + "-a", Region: e.region, Slots: 16, ColdUntil: e.entryColdUntil,
			})
		}
	}
	for _, i := range w.instances {
		if !i.down {
			view.Instances = append(view.Instances, i.Instance)
		}
	}
	view.Index()
	view.InheritHistory(w.view, time.Now())
	if w.historyLost.After(view.HistoryLost) {
		view.HistoryLost = w.historyLost
	}
	w.view = view
	for _, i := range w.instances {
		if !i.down {
			i.edge.board.Fleet.Store(view)
		}
	}
}

// evacuate has a region's engines get nothing, or ends that. What is told of the engines is what
// their entries say.
func (w *world) evacuate(region string, evacuated bool) {
	w.mu.Lock()
	w.evacuated[region+"-a"] = evacuated
	w.mu.Unlock()
	w.discover()
}

// loseHistory tells all instances that a part of the store's history is lost.
func (w *world) loseHistory() {
	w.mu.Lock()
	w.historyLost = time.Now()
	w.mu.Unlock()
	w.discover()
}

// tearDown ends all processes and waits for them, after a failed check as well.
func (w *world) tearDown() {
	w.running.Wait()
	for _, i := range w.instances {
		if i.stop != nil {
			i.stop()
		}
	}
	for _, i := range w.instances {
		if i.ended != nil {
			<-i.ended
		}
	}
	for _, e := range w.engines {
		e.end()
	}
	clock.Sleep(context.Background(), time.Minute)
}

// ask sends a request to a random instance, beside what else goes on.
func (w *world) ask(body string) {
	up := w.up()
	w.askAt(up[w.random.IntN(len(up))], body)
}

func (w *world) up() []*worldInstance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var up []*worldInstance
	for _, i := range w.instances {
		if !i.down {
			up = append(up, i)
		}
	}
	return up
}

func (w *world) askAt(i *worldInstance, body string) {
	id := fmt.Sprintf("id-%d", w.random.Uint64())
	w.running.Go(func() {
		told := w.exchange(i, id, body)
		w.mu.Lock()
		defer w.mu.Unlock()
		reason := ""
		if told.status == http.StatusServiceUnavailable {
			_, reason, _ = strings.Cut(told.body, ": ")
			reason, _, _ = strings.Cut(reason, ":")
		}
		w.answers = append(w.answers, answered{at: time.Now(), body: body, reason: reason, reply: told})
	})
}

// exchange is one try of a caller, on a connection of its own.
func (w *world) exchange(i *worldInstance, id, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := w.fabric.from("caller", i.Region).Dial(ctx, "tcp", i.Callers)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	request, err := http.NewRequest(http.MethodPost, "http://world/r/x", stringBody(body))
	w.is.NoErr(err)
	request.Header.Set(testID, id)
	request.Header.Set(testDeadline, "4000")
	if err := request.Write(conn); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// every does something over and over until a time has passed.
func (w *world) every(pause, length time.Duration, do func()) {
	for end := time.Now().Add(length); time.Now().Before(end); clock.Sleep(w.Context(), pause) {
		do()
	}
}

// sent are the arrivals whose bodies begin with a text, after a time.
func (w *world) sent(prefix string, after time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []arrival
	for _, a := range w.arrivals {
		if a.at.After(after) && strings.HasPrefix(a.body, prefix) {
			found = append(found, a)
		}
	}
	return found
}

// TestADeploymentInVirtualTimeServesItsCallers guards the other tests of whole deployments
// against a stand-in in which nothing could go well.
func TestADeploymentInVirtualTimeServesItsCallers(t *testing.T) {
	route := httproute.Route{Kind: httproute.Streaming, Timeout: 4 * time.Second, TargetLatency: time.Second, MaxAttempts: 1}
	inWorld(t, 1, route, threeRegions, func(w *world) {
		w.every(100*time.Millisecond, 5*time.Second, func() { w.ask("question") })
		w.running.Wait()
		for _, told := range w.answers {
			w.is.NoErr(told.err)
			w.is.Equal(told.status, http.StatusOK)
		}
		w.is.Equal(len(w.answers), 50)
		w.is.Equal(len(w.sent("question", time.Time{})), 50)
	})
}
