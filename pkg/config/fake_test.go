package config_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

var testTime = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// newService returns a key-value service with its clock at testTime.
func newService() *platformtest.Service {
	return platformtest.New(clock.Func(func() time.Time { return testTime }))
}

// newStore returns a store without pauses that fails after 1000 attempts.
func newStore(kv platform.KeyValue) *config.Store {
	pauses := 0
	var mu sync.Mutex
	pause := func(ctx context.Context, _ time.Duration) error {
		mu.Lock()
		defer mu.Unlock()
		pauses++
		if pauses > 1000 {
			return context.DeadlineExceeded
		}
		return ctx.Err()
	}
	return config.NewStore(kv, clock.Func(func() time.Time { return testTime }), pause, func() float64 { return 1 })
}

// limitedStore returns a store that fails after the given number of pauses.
func limitedStore(kv platform.KeyValue, pauses int) *config.Store {
	pause := func(ctx context.Context, _ time.Duration) error {
		pauses--
		if pauses < 0 {
			return context.DeadlineExceeded
		}
		return ctx.Err()
	}
	return config.NewStore(kv, clock.Func(func() time.Time { return testTime }), pause, func() float64 { return 1 })
}

// sample returns a valid declaration with two regions and four upstreams.
func sample() *config.Declaration {
	hash := func(name string) string { return config.HashKey("key-" + name) }
	return &config.Declaration{
		Regions: []config.Region{
			{Name: "makedonia", Domains: []string{"kalamaria-hall"}},
			{Name: "thessalia", Domains: []string{"larisa-hall"}},
		},
		Models: []config.Model{{
			Name:     "lilac-nurse",
			Versions: []config.ModelVersion{{Name: "v1", Percent: 90}, {Name: "v2", Percent: 10}},
			Regions:  []string{"makedonia", "thessalia"},
		}},
		Services: []config.Service{{
			Name:    "sleeplog-api",
			Prefix:  "/sleeplog/",
			Regions: []string{"makedonia"},
			Routes:  []config.Route{{Method: "POST", Path: "uploads"}, {Method: "GET", Path: "exports/*", Repeatable: true}},
		}},
		Upstreams: []config.Upstream{
			{Name: "api-1", Kind: "service", Serves: "sleeplog-api", Domain: "kalamaria-hall", Address: "127.0.0.9:9000", Concurrency: 8},
			{Name: "nurse-1", Kind: "engine", Serves: "lilac-nurse", Version: "v1", Domain: "kalamaria-hall", Address: "127.0.0.1:9000", Concurrency: 4},
			{Name: "nurse-2", Kind: "engine", Serves: "lilac-nurse", Version: "v1", Domain: "kalamaria-hall", Address: "127.0.0.2:9000", Concurrency: 4},
			{Name: "nurse-3", Kind: "engine", Serves: "lilac-nurse", Version: "v2", Domain: "larisa-hall", Address: "127.0.0.3:9000", Concurrency: 4},
		},
		Callers: []config.Caller{
			{Name: "clinic-review", KeyHash: hash("clinic-review"), Home: "thessalia", Regions: []string{"thessalia"}},
			{Name: "residents-app", KeyHash: hash("residents-app"), Home: "makedonia", Regions: []string{"makedonia", "thessalia"}},
		},
		Operators: []config.Operator{{Name: "eleni", KeyHash: hash("eleni")}, {Name: "linh", KeyHash: hash("linh")}},
		Spill:     []config.Spill{{From: "thessalia", To: "makedonia", Percent: 20}},
	}
}

// propose returns a proposal of one operation.
func propose(id, operator string, seen config.Revision, op config.Op) config.Proposal {
	return config.Proposal{
		ID: id, Operator: operator, Line: op.String(), Seen: seen, Build: config.Fixed([]config.Op{op}),
	}
}

func drainOp(upstream string, drained bool) config.Op {
	return config.Op{Drain: &config.DrainOp{Upstream: upstream, Drained: drained}}
}

// bootstrap applies the sample as revision 1.
func bootstrap(t *testing.T, store *config.Store) {
	t.Helper()
	is := is.New(t)
	decision := store.Change(t.Context(), config.Proposal{
		ID: "c0-00000000", Operator: "eleni", Line: "apply sample.yaml",
		Build: config.Fixed(config.Diff(&config.Declaration{}, sample())),
	})
	is.Equal(decision.State, config.Accepted)
	is.Equal(decision.Revision, config.Revision(1))
}

// testID returns a well-formed ID with a number.
func testID(seen config.Revision, number int) string { return fmt.Sprintf("c%d-%08d", seen, number) }
