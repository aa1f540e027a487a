package order

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

// weightStore grants one load per slot, to the first request.
type weightStore struct {
	slot time.Duration
	mu   sync.Mutex
	free time.Time
}

// reserve handles a reservation that has arrived at the store.
func (l *weightStore) reserve() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if wait := l.free.Sub(now); wait > 0 {
		return wait
	}
	l.free = now.Add(l.slot)
	return 0
}

// remoteStore is the store as seen from a failure domain with a one-way delay.
type remoteStore struct {
	weightStore *weightStore
	delay       time.Duration
}

// Reserve implements platform.WeightStore.
func (d *remoteStore) Reserve(context.Context, string, string) (time.Duration, error) {
	time.Sleep(d.delay)
	defer time.Sleep(d.delay)
	return d.weightStore.reserve(), nil
}

// testDomain is a failure domain with three engines and the holder of its lease.
type testDomain struct {
	engines map[string]*fakeEngine
	names   []string
	process *process
}

func newTestDomain(t *testing.T, name string, service *platformtest.Service, weights *remoteStore) *testDomain {
	d := &testDomain{engines: make(map[string]*fakeEngine)}
	declaration := &config.Declaration{}
	for i := range 3 {
		engine := fmt.Sprint(name, "-", i)
		d.names = append(d.names, engine)
		d.engines[engine] = &fakeEngine{state: State{Version: "v1"}}
		declaration.Upstreams = append(declaration.Upstreams, config.Upstream{
			Name: engine, Kind: config.KindEngine, Serves: "llm", Version: "v2", Domain: name,
		})
	}
	declaration.Policy.WeightLoads = 1
	source := &fakeSource{engines: d.engines, declaration: declaration}
	p := &process{pause: &pause{}, done: make(chan struct{})}
	p.engines = &fakeEngines{engines: d.engines, pause: p.pause}
	p.controller = New(Dependencies{
		Domain: name, Holder: name + "-1", KeyValue: service.Connect(name, p.pause.wait), Weights: weights,
		Engines: p.engines, Source: source, Clock: clock.System{}, Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	p.cancel = cancel
	go func() {
		defer close(p.done)
		p.controller.Run(ctx)
	}()
	d.process = p
	return d
}

// loaded returns the number of the domain's engines that have executed their order.
func (d *testDomain) loaded() int {
	count := 0
	for _, engine := range d.engines {
		if engine.read().Version == "v2" {
			count++
		}
	}
	return count
}

// A new version is declared for three failure domains at once. Two are near the weight store,
// and one is in another region, 55 ms away, so its reservations always arrive last. The test
// guards against starvation: without reserveSchedule the remote domain got no load until the
// others had all of theirs, and its callers stayed on the old version until then.
func TestWeightStoreIsSharedFairlyAmongDomains(t *testing.T) {
	for _, slot := range []time.Duration{2 * time.Second, 500 * time.Millisecond} {
		t.Run(slot.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := platformtest.New(clock.System{})
				store := &weightStore{slot: slot}
				domains := []*testDomain{
					newTestDomain(t, "north-a", service, &remoteStore{store, time.Millisecond}),
					newTestDomain(t, "north-b", service, &remoteStore{store, 2 * time.Millisecond}),
					newTestDomain(t, "south-a", service, &remoteStore{store, 55 * time.Millisecond}),
				}
				begun, first := time.Now(), time.Time{}
				all := func() (loaded int) {
					for _, d := range domains {
						loaded += d.loaded()
					}
					return loaded
				}
				for all() < 9 {
					if first.IsZero() && all() > 0 {
						first = time.Now()
					}
					remote := domains[2].loaded()
					if all()-remote >= 4 {
						is.True(remote >= 1)
					}
					is.True(time.Since(begun) < time.Minute)
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(first)
				t.Logf("nine loads in %v", took)
				is.True(took < 8*slot*6/5+interval)
				for _, d := range domains {
					d.process.stop()
				}
			})
		})
	}
}
