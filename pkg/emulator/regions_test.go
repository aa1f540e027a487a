package emulator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/peer"
)

// shortHolding and longHolding are how long a request of each kind holds a slot at a high load.
const shortHolding, longHolding = 0.45, 1.5

// contended returns 60 instances in three regions. Urgent requests with short prompts may be processed in
// north and south, long ones anywhere. The loads are those of the callers of each region per slot there, three
// tenths of them by long requests.
func contended(north, south, east float64) Options {
	o := Options{
		Regions: []Region{{Name: "north", Engines: 8, Instances: 20}, {Name: "south", Engines: 6, Instances: 20}, {Name: "east", Engines: 6, Instances: 20}},
		Length:  6 * time.Second, ReportInterval: 200 * time.Millisecond, ReportDelay: 20 * time.Millisecond, Admits: true,
		// The reports are 0.5 s old on average, with the wait for the next one within the region.
		RemoteReportInterval: 400 * time.Millisecond, RemoteReportAge: 200 * time.Millisecond,
		Model: EngineModel{Slots: 12, Step: 25 * time.Millisecond, StepPerContext: 35 * time.Microsecond, PrefillRate: 56.6, PrefillChunk: 2048, CacheTokens: 326_688},
		Kinds: []Kind{
			{Name: "short", Target: 500 * time.Millisecond, Patience: 4 * time.Second, SharedTokens: 100, OwnTokens: 283, SharedPrefixes: 4, AnswerTokens: 12, Homes: []string{"north", "south"}},
			{Name: "long", Target: 1500 * time.Millisecond, Patience: 6 * time.Second, Rank: 2, SharedTokens: 6000, OwnTokens: 1500, SharedPrefixes: 20, AnswerTokens: 40},
		},
	}
	o.Kinds[0].PerSecond, o.Kinds[0].Load = 0.7/shortHolding, map[string]float64{"north": north * 96, "south": south * 72}
	o.Kinds[1].PerSecond, o.Kinds[1].Load = 0.3/longHolding, map[string]float64{"north": north * 96, "south": south * 72, "east": east * 72}
	return o
}

// total returns the sum of a kind's results over the regions of the callers.
func total(results map[string]*Result, kind string) (sum Result) {
	for key, r := range results {
		if strings.HasPrefix(key, kind) {
			sum = Result{sum.Requests + r.Requests, sum.InTime + r.InTime, sum.Late + r.Late, sum.Refused + r.Refused, sum.Cancelled + r.Cancelled}
		}
	}
	return sum
}

// TestFlexibleRequestsLeaveBeforeBoundOnes guards against urgent requests that are late in a region full of
// long ones, beside an idle region that only the long ones may use, and against instances that all start and
// stop forwarding at the same moment.
func TestFlexibleRequestsLeaveBeforeBoundOnes(t *testing.T) {
	t.Parallel()
	inTime, inTimeWithout := 0, 0
	for seed := range uint64(3) {
		o := contended(2, 0.4, 0.1)
		o.Seed = seed
		var placed, left [40]float64
		o.OnPlacement = func(p Placement) {
			if p.Kind.Name == "long" && p.From == "north" {
				placed[p.Since/time.Second]++
				if p.To != p.From {
					left[p.Since/time.Second]++
				}
			}
		}
		leaving := Run(o)
		o.KeepsFlexible, o.OnPlacement = true, nil
		staying := Run(o)
		short, without := total(leaving, "short"), total(staying, "short")
		long, longWithout := total(leaving, "long"), total(staying, "long")
		t.Logf("seed %d: short %+v, without %+v; long %+v, without %+v; placed %v, left %v", seed, short, without, long, longWithout, placed, left)
		inTime, inTimeWithout = inTime+short.InTime, inTimeWithout+without.InTime
		if short.InTime <= without.InTime || 100*long.InTime < 100*longWithout.InTime-3*long.Requests {
			t.Errorf("seed %d: fewer requests are in time than without the decision", seed)
		}
		for second := 2; second < 6; second++ {
			if change := left[second]/placed[second] - left[second-1]/placed[second-1]; change > 0.6 || change < -0.6 {
				t.Errorf("seed %d: of %v long requests %v are forwarded", seed, placed, left)
			}
		}
	}
	if 100*inTime < 108*inTimeWithout {
		t.Errorf("%d short requests in time, %d without the decision", inTime, inTimeWithout)
	}
}

// TestQuietRegionsKeepFlexibleRequests guards against requests that lose their cached segments and a round
// trip although the region has slots for all.
func TestQuietRegionsKeepFlexibleRequests(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		o := contended(0.5, 0.5, 0.5)
		o.Seed = seed
		o.OnPlacement = func(p Placement) {
			if p.Yielded {
				t.Errorf("seed %d: %+v", seed, p)
			}
		}
		leaving := Run(o)
		o.KeepsFlexible = true
		is.New(t).Equal(leaving, Run(o))
	}
}

// TestFlexibleRequestsStayWhenTheirRegionIsCutOff guards against requests that are sent to a region after its
// instances have vanished, and against requests that are lost with it.
func TestFlexibleRequestsStayWhenTheirRegionIsCutOff(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		o := contended(1.5, 0.4, 0.1)
		o.Seed, o.Length = seed, 8*time.Second
		o.Regions[2].CutOffAt = 3 * time.Second
		// An instance is live for SilentAfter since its last report, which was under way or not yet passed
		// on within the region when the link was cut.
		silent := o.Regions[2].CutOffAt + peer.SilentAfter + o.RemoteReportAge + o.ReportInterval + o.ReportDelay
		yielded, lost := 0, 0
		o.OnPlacement = func(p Placement) {
			switch {
			case p.Lost && p.Since > silent+cutDetection:
				t.Errorf("seed %d: %+v", seed, p)
			case p.Lost:
				lost++
			case p.Yielded && p.To == "east":
				yielded++
			}
		}
		results := Run(o)
		if yielded == 0 || lost == 0 {
			t.Errorf("seed %d: the cut meets no request", seed)
		}
		t.Logf("seed %d: %d left, %d in vain", seed, yielded, lost)
		for key, r := range results {
			t.Logf("seed %d: %s: %+v", seed, key, *r)
			if r.InTime+r.Late+r.Refused+r.Cancelled != r.Requests || 100*(r.Refused+r.Cancelled) > 3*r.Requests {
				t.Errorf("seed %d: %s: requests are lost or refused: %+v", seed, key, *r)
			}
		}
	}
}

// checkLostRegion checks that the callers of north, which has few engines or none left, are served like those of
// south, the only other region that their requests may use. They want 1.8 times the slots of south together.
func checkLostRegion(t *testing.T, engines int) {
	t.Parallel()
	for seed := range uint64(2) {
		o := contended(0, 0, 0)
		o.Seed, o.Kinds = seed, o.Kinds[:1]
		o.Regions[0].Engines, o.Regions[1].Engines = engines, 10
		demand := 1.8 * 120 / 2 / 0.7
		o.Kinds[0].Load = map[string]float64{"north": demand, "south": demand}
		results := Run(o)
		north, south := results["short/north"], results["short/south"]
		t.Logf("seed %d: north %+v, south %+v", seed, *north, *south)
		share := func(part int, r *Result) float64 { return float64(part) / float64(r.Requests) }
		if share(north.Refused+north.Cancelled, north) > share(south.Refused+south.Cancelled, south)+0.1 || share(north.InTime, north) < share(south.InTime, south)-0.15 {
			t.Errorf("seed %d: north %+v, south %+v", seed, *north, *south)
		}
	}
}

// TestCallersOfALostRegionAreServedAlike guards against bound requests of a region without engines that back
// off from the only other region that they may use, although it accepts most of them.
func TestCallersOfALostRegionAreServedAlike(t *testing.T) { checkLostRegion(t, 0) }

// TestCallersOfARegionWithFewEnginesAreServedAlike guards against bound requests that are refused for the few
// engines left in their region, although the other region that they may use accepts most requests.
func TestCallersOfARegionWithFewEnginesAreServedAlike(t *testing.T) { checkLostRegion(t, 1) }

// drawDeployment returns a deployment of random size, homes and loads. Each of the two kinds of request fills
// half of the load, if any, of the slots in its homes.
func drawDeployment(t *rapid.T, load float64) Options {
	o := contended(0, 0, 0)
	o.Regions = o.Regions[:rapid.IntRange(1, 3).Draw(t, "regions")]
	o.Length, o.Seed = 2*time.Second, rapid.Uint64().Draw(t, "seed")
	for i := range o.Regions {
		o.Regions[i].Engines, o.Regions[i].Instances = rapid.IntRange(1, 5).Draw(t, "engines"), rapid.IntRange(1, 6).Draw(t, "instances")
	}
	for k, holding := range []float64{shortHolding, longHolding} {
		kind := &o.Kinds[k]
		kind.Homes, kind.Load = nil, make(map[string]float64)
		homes := rapid.IntRange(1, 1<<len(o.Regions)-1).Draw(t, "homes")
		slots, weights := 0, 0.01
		for i, region := range o.Regions {
			weight := rapid.Float64Range(0, 1).Draw(t, "weight")
			kind.Load[region.Name], weights = weight, weights+weight
			if homes>>i&1 == 1 {
				kind.Homes = append(kind.Homes, region.Name)
				slots += region.Engines * o.Model.Slots
			}
		}
		if len(kind.Homes) == len(o.Regions) {
			kind.Homes = nil
		}
		kind.PerSecond = load / 2 * float64(slots) / holding / weights
	}
	return o
}

// TestRequestsOfAnyDeploymentAreCountedAndStayInTheirHomes guards against requests that are lost or counted
// twice, that run outside of their homes, and that are refused beside free slots.
func TestRequestsOfAnyDeploymentAreCountedAndStayInTheirHomes(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		load := rapid.Float64Range(0.05, 2).Draw(t, "load")
		o := drawDeployment(t, load)
		if len(o.Regions) > 1 && rapid.Bool().Draw(t, "cut") {
			o.Regions[0].CutOffAt = time.Second
		}
		o.OnPlacement = func(p Placement) {
			if len(p.Kind.Homes) > 0 && !slices.Contains(p.Kind.Homes, p.To) {
				t.Fatalf("%+v", p)
			}
		}
		for key, r := range Run(o) {
			if r.InTime+r.Late+r.Refused+r.Cancelled != r.Requests {
				t.Fatalf("%s: %+v", key, *r)
			}
			if load < 0.6 && o.Regions[0].CutOffAt == 0 && r.Refused > 0 {
				t.Fatalf("load %.2f: %s: %+v", load, key, *r)
			}
		}
	})
}
