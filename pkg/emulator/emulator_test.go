package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// regionOptions is the load of one region of a deployment whose commonest requests have short
// prompts and long answers, beside long prompts with short answers. The figures are those
// that its customer gives; a peak is twice the mean.
func regionOptions() Options {
	return Options{
		Engines: 4, Instances: 3, For: 20 * time.Second, ReportInterval: 200 * time.Millisecond, ReportDelay: 2 * time.Millisecond, Seed: 1, Admits: true,
		Model: EngineModel{Slots: 128, Step: 4390 * time.Microsecond, StepPerContext: 35 * time.Microsecond, PrefillRate: 69.8, PrefillChunk: 1024, CacheTokens: 300_000},
		Kinds: []Kind{
			{Name: "short", PerSecond: 60, Target: 600 * time.Millisecond, Patience: 2400 * time.Millisecond, SharedTokens: 198, OwnTokens: 628, SharedPrefixes: 4, AnswerTokens: 290},
			{Name: "long", PerSecond: 20, Target: 800 * time.Millisecond, Patience: 3200 * time.Millisecond, Rank: 1, SharedTokens: 6300, OwnTokens: 2890, SharedPrefixes: 140, AnswerTokens: 50},
		},
	}
}

// TestPrefillMoreThanHalvesTheDecodeRateOfAFullBatch: with prompts always being read, an
// engine of 128 places ends less than half as many answers of 290 tokens as without.
func TestPrefillMoreThanHalvesTheDecodeRateOfAFullBatch(t *testing.T) {
	running := &request{}
	running.PromptTokens = 1000
	ends := func(reading bool) int {
		o := regionOptions()
		e := &engine{model: &o.Model, cache: newCache(1 << 20)}
		count, spent := 0, time.Duration(0)
		for spent < 10*time.Second {
			for len(e.running) < o.Model.Slots {
				e.running = append(e.running, &run{request: running, pendingTokens: 290})
			}
			if reading {
				e.running[0].unreadTokens = o.Model.PrefillChunk
			}
			took, _, ended := e.step()
			spent += took
			count += len(ended)
		}
		return count
	}
	is := is.New(t)
	alone, beside := ends(false), ends(true)
	is.True(2*beside < alone)
	is.True(4*beside > alone)
}

// TestSameSeedGivesTheSameResult.
func TestSameSeedGivesTheSameResult(t *testing.T) {
	is := is.New(t)
	o := regionOptions()
	o.For = 3 * time.Second
	is.Equal(*Run(o)["short"], *Run(o)["short"])
}

// TestEveryRequestIsCountedOnce, once.
func TestEveryRequestIsCountedOnce(t *testing.T) {
	o := regionOptions()
	o.Kinds[0].PerSecond = 300
	for _, r := range Run(o) {
		is.New(t).Equal(r.InTime+r.Late+r.Refused+r.Cancelled, r.Requests)
	}
}

// burst multiplies a kind's load from the third second to the twelfth.
func burst(times float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at > 3*time.Second && at < 12*time.Second {
			return times
		}
		return 1
	}
}

// TestLoadSheddingKeepsABurstInTime: the commonest kind comes 2.9
// times as often for nine seconds. Sent to the engines as they come, everyone waits behind
// everyone; refused where they would be late, most of those that fit are in time, and
// hardly fewer are served in all.
func TestLoadSheddingKeepsABurstInTime(t *testing.T) {
	for seed := range uint64(3) {
		o := regionOptions()
		o.Seed = seed
		o.Kinds[0].Level = burst(2.9)
		with := Run(o)["short"]
		o.Admits = false
		without := Run(o)["short"]
		if 10*with.InTime < 25*without.InTime {
			t.Errorf("seed %d: %d in time, %d without admission", seed, with.InTime, without.InTime)
		}
		if 10*(with.InTime+with.Late) < 9*(without.InTime+without.Late) {
			t.Errorf("seed %d: %d served, %d without admission", seed, with.InTime+with.Late, without.InTime+without.Late)
		}
	}
}

// TestUsualLoadIsNotRefused.
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
