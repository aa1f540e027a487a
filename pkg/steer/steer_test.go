package steer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

var now = time.Unix(1_000_000, 0)

// loads holds an instance's own load by upstream.
type loads map[string]limit.Load

// Load implements steer.Local.
func (l loads) Load(upstream string) limit.Load { return l[upstream] }

var (
	engine = &httproute.Service{Name: "llm", Engine: &httproute.Engine{Slots: 4, Copies: true}}
	api    = &httproute.Service{Name: "api"}
	prompt = &httproute.Route{Name: "ask", SharedPrompts: true, Kind: httproute.Streaming}
	call   = &httproute.Route{Name: "get", Kind: httproute.Safe}
)

func upstream(id, service, region string) fleet.Upstream {
	return fleet.Upstream{ID: id, Service: service, Domain: region + "-a", Region: region, Slots: 4}
}

func newSnapshot(local loads, upstreams ...fleet.Upstream) *steer.Snapshot {
	view := &fleet.View{Upstreams: upstreams, Evacuated: map[string]bool{}}
	view.Index()
	return &steer.Snapshot{
		Region: "north", Fleet: view, Local: local, Recent: steer.NewRecentPlacements(), CallTimes: steer.NewCallTimes(), Estimates: steer.NewEstimator(), Flow: steer.NewFlow(), Now: now,
		Admits: func(u *fleet.Upstream, _ *httproute.Service) bool { return !u.Cold(now) },
	}
}

// longRequest returns a request with a shared segment of 10,000 tokens.
func longRequest(segment string) *steer.Request {
	return &steer.Request{
		Route: prompt, Service: engine, PromptTokens: 12_000,
		Segments: []steer.Segment{{ID: segment, Tokens: 10_000}, {ID: "own", Tokens: 2000}},
	}
}

// TestOnlyUsableUpstreamsOfTheRegionAreChosen checks random states of the fleet.
func TestOnlyUsableUpstreamsOfTheRegionAreChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local := loads{}
		var upstreams []fleet.Upstream
		req := longRequest("p")
		for i := range rapid.IntRange(0, 8).Draw(t, "upstreams") {
			u := upstream(fmt.Sprint("u", i), "llm", rapid.SampledFrom([]string{"north", "south"}).Draw(t, "region"))
			u.Draining = rapid.Bool().Draw(t, "draining")
			if rapid.Bool().Draw(t, "cold") {
				u.ColdUntil = now.Add(time.Second)
			}
			local[u.ID] = limit.Load{
				InFlight: rapid.IntRange(0, 9).Draw(t, "in flight"),
				Ejected:  rapid.Bool().Draw(t, "ejected"),
				Backoff:  rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "rest"),
			}
			if rapid.Bool().Draw(t, "tried") {
				req.Tried = append(req.Tried, u.ID)
			}
			upstreams = append(upstreams, u)
		}
		w := newSnapshot(local, upstreams...)
		w.Fleet.Evacuated["north-a"] = rapid.Bool().Draw(t, "evacuated")
		w.Random = rapid.Uint64().Draw(t, "random")
		chosen := w.SurveyRegion(req).Best.Upstream
		may := func(u *fleet.Upstream) bool {
			load := local[u.ID]
			for _, id := range req.Tried {
				if id == u.ID {
					return false
				}
			}
			return u.Region == "north" && !u.Draining && !w.Fleet.Evacuated[u.Domain] && !u.Cold(now) && !load.Ejected && load.Backoff == 0
		}
		any := false
		for i := range upstreams {
			any = any || may(&upstreams[i])
		}
		if any != (chosen != nil) || (chosen != nil && !may(chosen)) {
			t.Fatalf("chose %+v, any usable: %v", chosen, any)
		}
	})
}

// TestIndependentInstancesHashASegmentToOneUpstream also checks that segments spread over
// all upstreams.
func TestIndependentInstancesHashASegmentToOneUpstream(t *testing.T) {
	is := is.New(t)
	var upstreams []fleet.Upstream
	for i := range 5 {
		upstreams = append(upstreams, upstream(fmt.Sprint("u", i), "llm", "north"))
	}
	used := map[string]int{}
	for segment := range 200 {
		first := newSnapshot(loads{}, upstreams...).SurveyRegion(longRequest(fmt.Sprint("p", segment))).Best.Upstream.ID
		second := newSnapshot(loads{}, upstreams...).SurveyRegion(longRequest(fmt.Sprint("p", segment))).Best.Upstream.ID
		is.Equal(first, second)
		used[first]++
	}
	for _, n := range used {
		is.True(n > 20 && n < 70)
	}
}

func TestBusyHolderIsCopiedFrom(t *testing.T) {
	is := is.New(t)
	local := loads{}
	w := newSnapshot(local, upstream("u0", "llm", "north"), upstream("u1", "llm", "north"))
	holder := w.SurveyRegion(longRequest("p")).Best.Upstream.ID
	w.Recent.Add(longRequest("p").Segments, holder, now)
	is.Equal(w.SurveyRegion(longRequest("p")).Best.Upstream.ID, holder)
	is.Equal(w.SurveyRegion(longRequest("p")).Best.Source, nil)
	local[holder] = limit.Load{InFlight: 3, Prefill: 60_000}
	best := w.SurveyRegion(longRequest("p")).Best
	is.True(best.Upstream.ID != holder)
	is.Equal(best.Source.ID, holder)
}

// TestSegmentsAreCopiedFromOtherRegions guards against a segment that is read anew though an engine of
// another region caches it, and against copies that may not or cannot be made.
func TestSegmentsAreCopiedFromOtherRegions(t *testing.T) {
	is := is.New(t)
	source := func(change func(*steer.Snapshot, *steer.Request)) string {
		w := newSnapshot(loads{}, upstream("u0", "llm", "north"), upstream("s0", "llm", "south"))
		req := longRequest("p")
		w.Recent.Add(req.Segments, "s0", now)
		change(w, req)
		best := w.SurveyRegion(req).Best
		is.Equal(best.Upstream.ID, "u0")
		if best.Source == nil {
			return ""
		}
		return best.Source.ID
	}
	is.Equal(source(func(*steer.Snapshot, *steer.Request) {}), "s0")
	is.Equal(source(func(w *steer.Snapshot, req *steer.Request) { w.Recent.Add(req.Segments, "u0", now) }), "")
	is.Equal(source(func(w *steer.Snapshot, _ *steer.Request) { w.Fleet.Find("s0").Software = "v2" }), "")
	is.Equal(source(func(w *steer.Snapshot, _ *steer.Request) { w.Fleet.Evacuated["south-a"] = true }), "")
	is.Equal(source(func(_ *steer.Snapshot, req *steer.Request) {
		bound := *req.Route
		bound.Homes = []string{"north"}
		req.Route = &bound
	}), "")
}

// TestEngineInTimeGoesBeforeACheaperLateOne guards against long prompts that wait for the busy engine that
// caches their segment while another one would answer in time.
func TestEngineInTimeGoesBeforeACheaperLateOne(t *testing.T) {
	is := is.New(t)
	route := *prompt
	route.TargetLatency = time.Second
	req := longRequest("p")
	req.Route = &route
	w := newSnapshot(loads{"u0": {InFlight: 1, Prefill: 29_000}}, upstream("u0", "llm", "north"), upstream("u1", "llm", "north"))
	w.Recent.Add(req.Segments, "u0", now)
	is.Equal(w.SurveyRegion(req).Best.Upstream.ID, "u1")
	req.Route = prompt
	is.Equal(w.SurveyRegion(req).Best.Upstream.ID, "u0")
}

// TestUncachedSegmentGoesToItsHashedUpstream covers a busy upstream: it is only assumed to
// cache the segment, so a copy from it must not count in favour of another upstream.
func TestUncachedSegmentGoesToItsHashedUpstream(t *testing.T) {
	is := is.New(t)
	local := loads{}
	w := newSnapshot(local, upstream("u0", "llm", "north"), upstream("u1", "llm", "north"))
	favourite := w.SurveyRegion(longRequest("p")).Best.Upstream.ID
	local[favourite] = limit.Load{InFlight: 2, Prefill: 9_000}
	is.Equal(w.SurveyRegion(longRequest("p")).Best.Upstream.ID, favourite)
}

func TestPlainCallsDoNotHerdToTheIdlestUpstream(t *testing.T) {
	is := is.New(t)
	w := newSnapshot(loads{"u0": {InFlight: 10}, "u1": {InFlight: 11}}, upstream("u0", "api", "north"), upstream("u1", "api", "north"))
	used := map[string]int{}
	for random := range uint64(400) {
		w.Random = random * 0x9e3779b97f4a7c15
		used[w.SurveyRegion(&steer.Request{Route: call, Service: api}).Best.Upstream.ID]++
	}
	is.True(used["u0"] > 100 && used["u1"] > 100)
}

// remoteRegion returns a region as Regions returns it.
func remoteRegion(region string, inFlight, slots, prefill int) steer.RemoteRegion {
	return steer.RemoteRegion{Region: region, Upstreams: max(1, slots/4), Slots: slots, InFlight: inFlight, Prefill: prefill, Peers: []*peer.Known{{}}}
}

// TestPlainCallsSpillInProportionToExcessLoad: none while the region's slots are not all
// taken, then a share, at most what makes both regions equal, and none to a region without
// spare capacity or for a target that the round trip uses up. Many instances with old
// reports of each other forward earlier than one that knows all.
func TestPlainCallsSpillInProportionToExcessLoad(t *testing.T) {
	is := is.New(t)
	target := 500 * time.Millisecond
	others := make([]peer.Known, 50)
	forwarded := func(inFlight int, regions ...steer.RemoteRegion) map[string]int {
		w := newSnapshot(loads{"u0": {InFlight: inFlight}, "u1": {InFlight: inFlight}}, upstream("u0", "api", "north"), upstream("u1", "api", "north"))
		w.Peers = peer.NewView(others, nil, now.Add(-200*time.Millisecond))
		req := &steer.Request{Route: &httproute.Route{TargetLatency: target}, Service: api}
		went := map[string]int{}
		for random := range uint64(1000) {
			w.Random = random * 0x9e3779b97f4a7c15
			if to := w.Choose(req, w.SurveyRegion(req), regions); to != nil {
				went[to.Region]++
			}
		}
		return went
	}
	idle, busy := remoteRegion("south", 0, 8, 0), remoteRegion("west", 9, 8, 0)
	is.Equal(forwarded(3, idle)["south"], 0)
	is.True(forwarded(4, idle)["south"] > 300 && forwarded(4, idle)["south"] < 500)
	is.True(forwarded(8, idle)["south"] > 950)
	is.Equal(forwarded(4, busy)["west"], 0)
	is.True(forwarded(6, idle, remoteRegion("west", 6, 8, 0))["south"] > forwarded(6, idle, remoteRegion("west", 6, 8, 0))["west"])
	is.True(forwarded(6, idle, remoteRegion("west", 6, 8, 0))["west"] > 0)
	crowd := forwarded(4, idle)["south"]
	others = nil
	is.Equal(forwarded(4, idle)["south"], 0)
	is.True(forwarded(6, idle)["south"] > 300 && crowd > 300)
	target = 150 * time.Millisecond
	is.Equal(forwarded(6, idle)["south"], 0)
}

// TestIdleUpstreamsAreAllUsed covers upstreams without any reports as well.
func TestIdleUpstreamsAreAllUsed(t *testing.T) {
	w := newSnapshot(loads{}, upstream("u0", "api", "north"), upstream("u1", "api", "north"), upstream("u2", "api", "north"))
	used := map[string]int{}
	for random := range uint64(300) {
		w.Random = random * 0x9e3779b97f4a7c15
		used[w.SurveyRegion(&steer.Request{Route: call, Service: api}).Best.Upstream.ID]++
	}
	for _, id := range []string{"u0", "u1", "u2"} {
		is.New(t).True(used[id] > 60)
	}
}

func TestLongPromptGoesToTheRegionThatCachesIt(t *testing.T) {
	is := is.New(t)
	w := newSnapshot(loads{}, upstream("u0", "llm", "north"), upstream("u1", "llm", "south"))
	req := longRequest("p")
	req.Segments[0].Tokens, req.PromptTokens = 30_000, 32_000
	w.Recent.Add(req.Segments, "south", now)
	forwarded := w.Choose(req, w.SurveyRegion(req), []steer.RemoteRegion{remoteRegion("south", 0, 4, 0)})
	is.True(forwarded != nil)
	w.Recent.Add(req.Segments, "u0", now)
	is.True(w.Choose(req, w.SurveyRegion(req), []steer.RemoteRegion{remoteRegion("south", 0, 4, 0)}) == nil)
}

func TestCheapestRegionIsChosenWithoutAUsableLocalUpstream(t *testing.T) {
	is := is.New(t)
	w := newSnapshot(loads{})
	req := &steer.Request{Route: call, Service: api}
	is.Equal(w.Choose(req, w.SurveyRegion(req), []steer.RemoteRegion{remoteRegion("south", 9, 4, 0), remoteRegion("west", 1, 4, 0)}).Region, "west")
}

// TestRegionsAreLiveUsableAndPermitted: regions need a live instance, a usable upstream and
// permission by the route's homes.
func TestRegionsAreLiveUsableAndPermitted(t *testing.T) {
	is := is.New(t)
	w := newSnapshot(loads{}, upstream("u1", "api", "south"), upstream("u2", "api", "west"), upstream("u3", "api", "east"))
	known := func(name, region string, change func(*peer.Known)) peer.Known {
		k := peer.Known{Instance: fleet.Instance{Name: name, Region: region}, Ready: true, ReportedAt: now}
		change(&k)
		return k
	}
	same := func(*peer.Known) {}
	w.Peers = &peer.View{Others: []peer.Known{
		known("e-1", "east", func(k *peer.Known) { k.ReportedAt = now.Add(-time.Minute) }),
		known("e-2", "east", func(k *peer.Known) { k.Leaving = true }),
		known("e-3", "east", func(k *peer.Known) { k.Ready = false }),
		known("s-1", "south", same), known("s-2", "south", same), known("w-1", "west", same),
	}}
	names := func(req *steer.Request) (all string) {
		for _, forwarded := range w.Regions(req) {
			all += fmt.Sprint(forwarded.Region, len(forwarded.Peers), " ")
		}
		return all
	}
	req := &steer.Request{Route: call, Service: api}
	is.Equal(names(req), "south2 west1 ")
	is.Equal(names(&steer.Request{Route: &httproute.Route{Homes: []string{"west"}}, Service: api}), "west1 ")
	req.Tried = []string{"s-1"}
	is.Equal(names(req), "south1 west1 ")
	w.Fleet.Evacuated["west-a"] = true
	is.Equal(names(req), "south1 ")
}

// TestNeighboursServeWhatIsUnreachableHere guards against hops to instances that cannot serve the
// request either.
func TestNeighboursServeWhatIsUnreachableHere(t *testing.T) {
	is := is.New(t)
	w := newSnapshot(loads{}, upstream("u0", "llm", "north"), upstream("v0", "llm", "south"))
	known := func(name, region string) peer.Known {
		return peer.Known{Instance: fleet.Instance{Name: name, Region: region}, Ready: true, ReportedAt: now}
	}
	sound := known("n-sound", "north")
	leaving, starting, silent, without, refused, tried := known("n-leaving", "north"), known("n-starting", "north"), known("n-silent", "north"), known("n-without", "north"), known("n-refused", "north"), known("n-tried", "north")
	leaving.Leaving, starting.Ready, silent.ReportedAt = true, false, now.Add(-time.Minute)
	without.Unreachable = peer.JoinServices([]string{"api", "llm"})
	other := known("n-other", "north")
	other.Unreachable = "api"
	away, awayWithout := known("s-sound", "south"), known("s-without", "south")
	awayWithout.Unreachable = "llm"
	w.Peers = peer.NewView([]peer.Known{sound, leaving, starting, silent, without, refused, tried, other, away, awayWithout}, nil, now)
	w.HopRefused = func(instance, service string) bool { return instance == "n-refused" && service == "llm" }
	req := longRequest("p")
	req.Tried = []string{"n-tried"}
	names := func(peers []*peer.Known) (names []string) {
		for _, p := range peers {
			names = append(names, p.Instance.Name)
		}
		return names
	}
	is.Equal(names(w.Neighbours(req)), []string{"n-sound", "n-other"})
	regions := w.Regions(req)
	is.Equal(len(regions), 1)
	is.Equal(names(regions[0].Peers), []string{"s-sound"})
	w.Local = loads{steer.RegionKey("north", req): limit.Load{Backoff: time.Second}}
	is.Equal(len(w.Neighbours(req)), 0) // the own region refuses for lack of capacity
}

// TestUnreachableUpstreamsAreNotChosen guards against sending where no connection can be made.
func TestUnreachableUpstreamsAreNotChosen(t *testing.T) {
	is := is.New(t)
	w := newSnapshot(loads{}, upstream("u0", "llm", "north"), upstream("u1", "llm", "north"))
	w.PathLost = func(id string) bool { return id == "u0" }
	survey := w.SurveyRegion(longRequest("p"))
	is.Equal(survey.Best.Upstream.ID, "u1")
	is.Equal(survey.Unreachable, 1)
	is.Equal(survey.Usable, 2)
}

// BenchmarkDecision chooses among the engines of a region and the other regions, with as
// many instances as the deployment has.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ engines, instances int }{{72, 0}, {128, 295}} {
		b.Run(fmt.Sprintf("engines=%d/instances=%d", size.engines, size.instances), func(b *testing.B) {
			regions := []string{"north", "south", "west"}
			var upstreams []fleet.Upstream
			for i := range size.engines {
				upstreams = append(upstreams, upstream(fmt.Sprint("u", i), "llm", regions[i%3]))
			}
			w := newSnapshot(loads{}, upstreams...)
			var others []peer.Known
			for i := range size.instances {
				others = append(others, peer.Known{Instance: fleet.Instance{Name: fmt.Sprint("n", i), Region: regions[i%3]}, Ready: true, ReportedAt: now})
			}
			w.Peers = peer.NewView(others, nil, now)
			req := longRequest("p")
			b.ReportAllocs()
			for b.Loop() {
				w.Choose(req, w.SurveyRegion(req), w.Regions(req))
			}
		})
	}
}

func TestCallTimesIgnoreQueuedCalls(t *testing.T) {
	is := is.New(t)
	callTimes := steer.NewCallTimes()
	u := upstream("u0", "api", "north")
	callTimes.Add("api", &steer.Candidate{Upstream: &u, InFlight: 4}, time.Second)
	is.Equal(callTimes.Of("api"), callTimes.Of("never measured"))
	callTimes.Add("api", &steer.Candidate{Upstream: &u, InFlight: 1}, 80*time.Millisecond)
	is.Equal(callTimes.Of("api"), 80*time.Millisecond)
}

// TestPlacementsOfAFormerStartAreIgnored guards against requests that follow a former
// start's placements to a restarted upstream.
func TestPlacementsOfAFormerStartAreIgnored(t *testing.T) {
	is := is.New(t)
	w := newSnapshot(loads{}, upstream("u@2", "llm", "north"))
	w.Recent.Learn(peer.Placement{Part: "p", Upstream: "u@1"}, now)
	is.Equal(w.SurveyRegion(longRequest("p")).Best.Uncached > 2000, true)
	w.Recent.Learn(peer.Placement{Part: "p", Upstream: "u@2"}, now)
	is.Equal(w.SurveyRegion(longRequest("p")).Best.Uncached, 2000)
}

// TestInstancesWithTheSameReportsSpreadTheirCalls guards against sending all calls of a region to the
// upstream that was idlest in the last report, until the next one.
func TestInstancesWithTheSameReportsSpreadTheirCalls(t *testing.T) {
	const reportAge, callTime, draws = 150 * time.Millisecond, 200 * time.Millisecond, 600
	var upstreams []fleet.Upstream
	var reported []peer.Load
	for n, inFlight := range []int{1, 4, 4, 5, 5, 6} {
		upstreams = append(upstreams, upstream(fmt.Sprint("u", n), "api", "north"))
		reported = append(reported, peer.Load{Name: fmt.Sprint("u", n), InFlight: inFlight})
	}
	w := newSnapshot(loads{}, upstreams...)
	w.Peers = peer.NewView(make([]peer.Known, 50), reported, now.Add(-reportAge))
	w.CallTimes.Add("api", &steer.Candidate{Upstream: &upstreams[0]}, callTime)
	used := map[string]int{}
	for random := range uint64(draws) {
		w.Random = random * 0x9e3779b97f4a7c15
		used[w.SurveyRegion(&steer.Request{Route: call, Service: api}).Best.Upstream.ID]++
	}
	t.Log(used)
	is.New(t).True(used["u0"] < 2*draws/len(upstreams))
}
