package config_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// fault is how the fake service treats one write.
type fault int

const (
	// works: the write is made and answered.
	works fault = iota
	// lostBefore: no answer, and the write never arrives.
	lostBefore
	// lostAfter: the write is made, its answer is lost.
	lostAfter
	// delayed: no answer yet; the write arrives at the next release.
	delayed
)

// fakeKV is a key-value service in memory with switches for faults.
type fakeKV struct {
	platform.KeyValue
	mu       sync.Mutex
	entries  map[string]platform.Entry
	revision int64
	// faults are used up by writes, one each.
	faults []fault
	// deaf makes that many reads fail.
	deaf int
	// late holds delayed writes.
	late []func()
	// before runs ahead of each write, outside the lock.
	before func()
	writes int
}

func newFakeKV() *fakeKV { return &fakeKV{entries: map[string]platform.Entry{}} }

func (f *fakeKV) Get(ctx context.Context, key string) (platform.Entry, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.deaf > 0 {
		f.deaf--
		return platform.Entry{}, false, unavailable("get")
	}
	entry, ok := f.entries[key]
	return entry, ok, ctx.Err()
}

func (f *fakeKV) Range(ctx context.Context, prefix string, _ int) ([]platform.Entry, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []platform.Entry
	for key, entry := range f.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, false, ctx.Err()
}

func (f *fakeKV) Swap(_ context.Context, expect map[string]int64, puts []platform.Put) (int64, error) {
	if f.before != nil {
		f.before()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	now := works
	if len(f.faults) > 0 {
		now, f.faults = f.faults[0], f.faults[1:]
	}
	switch now {
	case lostBefore:
		return 0, unavailable("txn")
	case lostAfter:
		_, _ = f.swap(expect, puts)
		return 0, unavailable("txn")
	case delayed:
		f.late = append(f.late, func() { _, _ = f.swap(expect, puts) })
		return 0, unavailable("txn")
	default:
		return f.swap(expect, puts)
	}
}

func (f *fakeKV) swap(expect map[string]int64, puts []platform.Put) (int64, error) {
	for key, revision := range expect {
		if f.entries[key].ModRevision != revision {
			return 0, &platform.Error{Service: "key-value", Call: "txn", Err: platform.ErrConflict}
		}
	}
	f.revision++
	for _, put := range puts {
		f.entries[put.Key] = platform.Entry{Key: put.Key, Value: put.Value, ModRevision: f.revision}
	}
	return f.revision, nil
}

// release lets the delayed writes arrive.
func (f *fakeKV) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, write := range f.late {
		write()
	}
	f.late = nil
}

func unavailable(call string) error {
	return &platform.Error{Service: "key-value", Call: call, Err: platform.ErrUnavailable}
}

var testTime = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// newStore returns a store whose pauses take no time, but end when used up.
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

// limitedStore gives up after that many pauses.
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

// sample is a valid declaration with two regions and three upstreams.
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

// propose makes a proposal of one operation.
func propose(id, operator string, seen config.Revision, op config.Op) config.Proposal {
	return config.Proposal{
		ID: id, Operator: operator, Line: op.String(), Seen: seen, Build: config.Fixed([]config.Op{op}),
	}
}

func drainOp(upstream string, drained bool) config.Op {
	return config.Op{Drain: &config.DrainOp{Upstream: upstream, Drained: drained}}
}

// bootstrap makes revision 1 of the sample.
func bootstrap(t *testing.T, store *config.Store) {
	t.Helper()
	is := is.New(t)
	verdict := store.Change(t.Context(), config.Proposal{
		ID: "c0-00000000", Operator: "eleni", Line: "apply sample.yaml",
		Build: config.Fixed(config.Diff(&config.Declaration{}, sample())),
	})
	is.Equal(verdict.State, config.Accepted)
	is.Equal(verdict.Revision, config.Revision(1))
}

// testID makes a well-formed ID from a number.
func testID(seen config.Revision, number int) string { return fmt.Sprintf("c%d-%08d", seen, number) }
