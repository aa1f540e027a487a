package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// regionOptions returns one region of a deployment in which most requests have short
// prompts and long answers, and the others long prompts and short answers. The figures are
// those of a customer; a peak is twice the mean.
func regionOptions() Options {
	return Options{
		Engines: 4, Instances: 3, Length: 20 * time.Second, ReportInterval: 200 * time.Millisecond, ReportDelay: 2 * time.Millisecond, Seed: 1, Admits: true,
		Model: EngineModel{Slots: 128, Step: 4390 * time.Microsecond, StepPerContext: 35 * time.Microsecond, PrefillRate: 69.8, PrefillChunk: 1024, CacheTokens: 300_000},
		Kinds: []Kind{
			{Name: "short", PerSecond: 60, Target: 600 * time.Millisecond, Patience: 2400 * time.Millisecond, SharedTokens: 198, OwnTokens: 628, SharedPrefixes: 4, AnswerTokens: 290},
			{Name: "long", PerSecond: 20, Target: 800 * time.Millisecond, Patience: 3200 * time.Millisecond, Rank: 1, SharedTokens: 6300, OwnTokens: 2890, SharedPrefixes: 140, AnswerTokens: 50},
		},
	}
}

// TestPrefillMoreThanHalvesTheDecodeRateOfAFullBatch checks that an engine with 128 slots
// completes less than half as many answers of 290 tokens during continuous prefill.
func TestPrefillMoreThanHalvesTheDecodeRateOfAFullBatch(t *testing.T) {
	running := &request{}
	running.PromptTokens = 1000
	completed := func(prefilling bool) int {
		o := regionOptions()
		e := &engine{model: &o.Model, cache: newCache(1 << 20)}
		count, spent := 0, time.Duration(0)
		for spent < 10*time.Second {
			for len(e.running) < o.Model.Slots {
				e.running = append(e.running, &run{request: running, pendingTokens: 290})
			}
			if prefilling {
				e.running[0].unreadTokens = o.Model.PrefillChunk
			}
			took, _, ended := e.step()
			spent += took
			count += len(ended)
		}
		return count
	}
	is := is.New(t)
	decodeOnly, withPrefill := completed(false), completed(true)
	is.True(2*withPrefill < decodeOnly)
	is.True(4*withPrefill > decodeOnly)
}

func TestSameSeedGivesTheSameResult(t *testing.T) {
	is := is.New(t)
	o := regionOptions()
	o.Length = 3 * time.Second
	is.Equal(*Run(o)["short"], *Run(o)["short"])
}

func TestEveryRequestIsCountedOnce(t *testing.T) {
	o := regionOptions()
	o.Kinds[0].PerSecond = 300
	for _, r := range Run(o) {
		is.New(t).Equal(r.InTime+r.Late+r.Refused+r.Cancelled, r.Requests)
	}
}

// burst returns a LoadFactor with the given factor from the third second to the twelfth.
func burst(times float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at > 3*time.Second && at < 12*time.Second {
			return times
		}
		return 1
	}
}

// TestLoadSheddingKeepsABurstInTime offers 2.9 times the usual rate of the most frequent
// requests for nine seconds. Without load shedding all requests queue behind each other.
// With it, most requests within the capacity are in time, and hardly fewer are served.
func TestLoadSheddingKeepsABurstInTime(t *testing.T) {
	for seed := range uint64(3) {
		o := regionOptions()
		o.Seed = seed
		o.Kinds[0].LoadFactor = burst(2.9)
		shedding := Run(o)["short"]
		o.Admits = false
		baseline := Run(o)["short"]
		if 10*shedding.InTime < 25*baseline.InTime {
			t.Errorf("seed %d: %d in time, %d without admission", seed, shedding.InTime, baseline.InTime)
		}
		if 10*(shedding.InTime+shedding.Late) < 9*(baseline.InTime+baseline.Late) {
			t.Errorf("seed %d: %d served, %d without admission", seed, shedding.InTime+shedding.Late, baseline.InTime+baseline.Late)
		}
	}
}

func TestUsualLoadIsNotRefused(t *testing.T) {
	for seed := range uint64(3) {
		o := regionOptions()
		o.Seed = seed
		o.Kinds[1].PerSecond = 15
		for name, r := range Run(o) {
			if 100*(r.Refused+r.Cancelled) > r.Requests {
				t.Errorf("seed %d: %s: %+v", seed, name, *r)
			}
		}
	}
}
