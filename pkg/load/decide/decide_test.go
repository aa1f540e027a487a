package decide

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func small() Options {
	return Options{
		Mix: MixMinibar, Engines: 2, Gateways: 2, Loads: []int{80},
		Pairs: 1, Length: 10 * time.Second, Seed: 3, CostWeight: 0.2,
	}
}

func TestTableListsEveryPolicy(t *testing.T) {
	is := is.New(t)
	var table bytes.Buffer
	is.NoErr(Run(&table, small()))
	for _, p := range policies {
		is.True(strings.Contains(table.String(), "| "+p.name+" |"))
	}
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	is := is.New(t)
	o := small()
	mix, err := mixOf(o.Mix)
	is.NoErr(err)
	var tables [2]bytes.Buffer
	for i := range tables {
		out := &printer{w: &tables[i]}
		out.load(80, compare(o, mix, 5))
	}
	is.Equal(tables[0].String(), tables[1].String())
}

func TestRunReportsAnUnknownMix(t *testing.T) {
	is := is.New(t)
	o := small()
	o.Mix = "nonesuch"
	var wrong *OptionError
	is.True(errors.As(Run(&bytes.Buffer{}, o), &wrong))
	is.Equal(wrong.Value, "nonesuch")
}

// Guards against requests that the model loses, neither served nor refused.
func TestEveryRequestIsServedOrRefused(t *testing.T) {
	is := is.New(t)
	o := small()
	mix, err := mixOf(o.Mix)
	is.NoErr(err)
	for _, p := range policies {
		run := newSimulation(o, mix, p, 60, o.Seed).measure()
		is.True(run.refusals > 0) // the rate is far above capacity
		is.Equal(run.offered, run.served+run.refusals)
	}
}

func TestFairnessDropsWhenOneCallerTakesMore(t *testing.T) {
	is := is.New(t)
	demand := map[string]float64{"greedy": 100, "a": 10, "b": 10}
	is.Equal(fairness(demand, map[string]float64{"greedy": 20, "a": 10, "b": 10}), 1.0)
	taken := fairness(demand, map[string]float64{"greedy": 38, "a": 1, "b": 1})
	is.True(taken < 0.5) // one caller took the share of the others
}
