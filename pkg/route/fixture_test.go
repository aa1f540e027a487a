package route_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/route"
)

var epoch = time.Unix(1000, 0)

// harness has three regions with one failure domain each; this gateway is gw-1 in domain a.
// Model m runs everywhere, version v1 in full.
type harness struct {
	declaration config.Declaration
	input       route.Input
	load        fakeLoad
	rnd         *rand.Rand
}

type fakeLoad map[string]limit.Load

func (f fakeLoad) Load(upstream string) limit.Load {
	if load, ok := f[upstream]; ok {
		return load
	}
	return limit.Load{Limit: limit.Unlimited}
}

func newHarness(locals int) *harness {
	w := &harness{load: fakeLoad{}, rnd: rand.New(rand.NewPCG(1, 2))}
	d := &w.declaration
	d.Regions = []config.Region{
		{Name: "ra", Domains: []string{"a"}},
		{Name: "rb", Domains: []string{"b"}},
		{Name: "rc", Domains: []string{"c"}},
	}
	d.Models = []config.Model{{
		Name:     "m",
		Versions: []config.ModelVersion{{Name: "v1", Percent: 100}},
		Regions:  []string{"ra", "rb", "rc"},
	}}
	d.Spill = []config.Spill{{From: "ra", To: "rb", Percent: 100}, {From: "ra", To: "rc", Percent: 100}}
	upstreams := &board.Upstreams{ByName: map[string]board.UpstreamLoad{}}
	for i := range locals {
		name := fmt.Sprintf("u-%d", i)
		d.Upstreams = append(d.Upstreams, config.Upstream{
			Name: name, Kind: config.KindEngine, Serves: "m", Version: "v1", Domain: "a", Concurrency: 4,
		})
		upstreams.ByName[name] = board.UpstreamLoad{
			Name: name, State: board.UpstreamLive, DecodeRate: 40, PrefillRate: 4000, ReportedAt: epoch,
		}
	}
	w.input = route.Input{
		Upstreams: upstreams,
		Domains:   &board.Domains{Remote: []board.DomainDigest{digestOf("b", "rb", 8), digestOf("c", "rc", 8)}},
		Self:      "gw-1", Domain: "a", Region: "ra", Now: epoch,
	}
	return w
}

func digestOf(domain, region string, spare int) board.DomainDigest {
	return board.DomainDigest{
		Domain: domain, Region: region, Sequence: 1, HeardAt: epoch, Nodes: 1,
		Entries: []board.Instance{{Name: "gw-" + domain, Domain: domain, Region: region}},
		Pools: []board.PoolDigest{{
			Serves: "m", Version: "v1", Slots: 16, Spare: spare, DecodeRate: 40, PrefillRate: 4000,
		}},
	}
}

func (w *harness) table() *route.Table {
	declaration := w.declaration
	w.input.Head = &config.Head{Revision: 7, Declaration: &declaration}
	return route.Compile(w.input)
}

func (w *harness) pick(table *route.Table, req *route.Request) (route.Decision, *outcome.Refusal) {
	return table.Pick(req, w.load, w.rnd, w.input.Now)
}

// fill sets so many requests of this gateway at every local upstream.
func (w *harness) fill(requests int) {
	for _, upstream := range w.declaration.Upstreams {
		w.load[upstream.Name] = limit.Load{InFlight: requests, Limit: limit.Unlimited, Holding: 5 * time.Second}
	}
}

func callerIn(regions ...string) *config.Caller {
	return &config.Caller{Name: "app", Home: regions[0], Regions: regions}
}

func request(regions ...string) *route.Request {
	return &route.Request{
		Caller: callerIn(regions...), Serves: "m", Kind: config.KindEngine,
		Prefixes: []uint64{11, 22, 33}, PromptTokens: 1000, MaxTokens: 100,
	}
}
