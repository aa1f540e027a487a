package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// dealers is the load of one region of a deployment whose commonest requests have short
// prompts and long answers, beside long prompts with short answers. The figures are those
// that its customer gives; a peak is twice the mean.
func dealers() Options {
	return Options{
		Engines: 4, Instances: 3, For: 20 * time.Second, Told: 200 * time.Millisecond, Way: 2 * time.Millisecond, Seed: 1, Admits: true,
		Model: EngineModel{Slots: 128, Step: 4390 * time.Microsecond, StepPerContext: 35 * time.Microsecond, ReadRate: 69.8, Chunk: 1024, CacheTokens: 300_000},
		Kinds: []Kind{
			{Name: "short", PerSecond: 60, Target: 600 * time.Millisecond, Patience: 2400 * time.Millisecond, Shared: 198, Own: 628, Things: 4, Answer: 290},
			{Name: "long", PerSecond: 20, Target: 800 * time.Millisecond, Patience: 3200 * time.Millisecond, Rank: 1, Shared: 6300, Own: 2890, Things: 140, Answer: 50},
		},
	}
}

// TestAFullBatchReadsPromptsAtHalfTheRateOfStreams: with prompts always being read, an
// engine of 128 places ends less than half as many answers of 290 tokens as without.
func TestAFullBatchReadsPromptsAtHalfTheRateOfStreams(t *testing.T) {
	running := &request{}
	running.PromptTokens = 1000
	ends := func(reading bool) int {
		o := dealers()
		e := &engine{model: &o.Model, cache: newCache(1 << 20)}
		count, spent := 0, time.Duration(0)
		for spent < 10*time.Second {
			for len(e.running) < o.Model.Slots {
				e.running = append(e.running, &run{request: running, owed: 290})
			}
			if reading {
				e.running[0].unread = o.Model.Chunk
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

// TestTheSameSeedGivesTheSameDay.
func TestTheSameSeedGivesTheSameDay(t *testing.T) {
	is := is.New(t)
	o := dealers()
	o.For = 3 * time.Second
	is.Equal(*Run(o)["short"], *Run(o)["short"])
}

// TestEveryRequestEnds, once.
func TestEveryRequestEnds(t *testing.T) {
	o := dealers()
	o.Kinds[0].PerSecond = 300
	for _, r := range Run(o) {
		is.New(t).Equal(r.InTime+r.Late+r.Refused+r.Left, r.Asked)
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

// TestABurstOfLongAnswersIsServedInTimeAsFarAsThereIsRoom: the commonest kind comes 2.9
// times as often for nine seconds. Sent to the engines as they come, everyone waits behind
// everyone; refused where they would be late, most of those that fit are in time, and
// hardly fewer are served in all.
func TestABurstOfLongAnswersIsServedInTimeAsFarAsThereIsRoom(t *testing.T) {
	for seed := range uint64(3) {
		o := dealers()
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

// TestTheUsualLoadIsNotRefused.
func TestTheUsualLoadIsNotRefused(t *testing.T) {
	for seed := range uint64(3) {
		o := dealers()
		o.Seed = seed
		o.Kinds[1].PerSecond = 15
		for name, r := range Run(o) {
			if 100*(r.Refused+r.Left) > r.Asked {
				t.Errorf("seed %d: %s: %+v", seed, name, *r)
			}
		}
	}
}
