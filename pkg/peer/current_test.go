package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/freshness"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// TestReplicaIsCurrentUnlessANewerOneIsReported guards against an instance that takes its list of
// upstreams for up to date while others have a newer one. It does not follow the store itself.
func TestReplicaIsCurrentUnlessANewerOneIsReported(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		reports []AgedReport
		digests []Digest
		current bool
	}{
		"nobody follows the store":         {nil, nil, false},
		"a neighbour follows the store":    {[]AgedReport{{Report: Report{Store: 7, Current: true}}}, nil, true},
		"no neighbour follows the store":   {[]AgedReport{{Report: Report{Store: 7}}}, nil, false},
		"the neighbour's report is old":    {[]AgedReport{{Report: Report{Store: 7, Current: true}, Age: time.Second}}, nil, false},
		"the neighbour has a newer one":    {[]AgedReport{{Report: Report{Store: 8, Current: true}}}, nil, false},
		"the neighbour has an older one":   {[]AgedReport{{Report: Report{Store: 6, Current: true}}}, nil, true},
		"another domain has a newer one":   {[]AgedReport{{Report: Report{Store: 7, Current: true}}}, []Digest{{Domain: "south-a", Region: "south", Store: 8}}, false},
		"another domain has an older one":  {[]AgedReport{{Report: Report{Store: 7, Current: true}}}, []Digest{{Domain: "south-a", Region: "south", Store: 6}}, true},
		"the neighbour's answer is old":    {[]AgedReport{{Report: Report{Store: 7, Current: true, StoreAge: 1350 * time.Millisecond}, Age: 100 * time.Millisecond}}, nil, false},
		"the neighbour's answer is recent": {[]AgedReport{{Report: Report{Store: 7, Current: true, StoreAge: 1250 * time.Millisecond}, Age: 100 * time.Millisecond}}, nil, true},
		"the store was restored elsewhere": {[]AgedReport{{Report: Report{Store: 7, Current: true}}}, []Digest{{Domain: "south-a", Region: "south", Store: 1, Era: 1}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newHub("north-a", "north")
			is.True(g.options.Store.Adopt(&mirror.Delta{Revision: 7, Keys: []string{"k"}, Changed: []platform.Entry{{Key: "k", ModRevision: 7}}}))
			g.mu.Lock()
			for _, aged := range c.reports {
				aged.Report.Name, aged.Report.Incarnation, aged.Report.Sequence = "north-a-other", 1, 1
				g.applyReport(aged.Report, now.Add(-aged.Age))
			}
			for _, digest := range c.digests {
				g.applyDigest(digest, now)
			}
			g.mu.Unlock()
			is.Equal(g.ReplicaCurrent(), c.current)
		})
	}
}

// TestReplicaIsNotCurrentAfterASuspension guards against a machine that stood still and takes what it heard before for
// new, as its clock stood still as well: a stream would go on at another software version.
func TestReplicaIsNotCurrentAfterASuspension(t *testing.T) {
	h := newWatchHarness(t, 3, watchers)
	suspended := time.Hour
	h.options.Suspended = func() time.Duration { return suspended }
	h.markAwake(suspended)
	h.pass(time.Second, healthy)
	h.is.True(h.ReplicaCurrent())
	h.is.True(h.knowledgeOfOthers().Current(h.now))
	suspended += 5 * time.Second
	h.is.True(!h.ReplicaCurrent())
	h.is.True(!h.knowledgeOfOthers().Current(h.now))
	h.pass(roundInterval, healthy)
	h.markAwake(suspended)
	h.is.True(h.ReplicaCurrent())
}

// TestReplicaIsNotCurrentForAsLongAsANewVersionIsAvoided guards against an instance that is cut off from everything and
// proves by its list which software version began a stream, while others already begin streams at a new one.
func TestReplicaIsNotCurrentForAsLongAsANewVersionIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newHub("north-a", "north")
		var cut atomic.Bool
		g.options.Store = mirror.New(mirror.Options{Source: cutSource{&cut}, Clock: clock.System{}, Log: zerolog.Nop()})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { g.options.Store.Run(ctx); close(done) }()
		for range 100 {
			time.Sleep(freshness.CallInterval / 10)
			g.options.Store.RecordCall(true)
		}
		is.True(g.ReplicaCurrent())
		cut.Store(true)
		time.Sleep(fleet.SettleTime)
		is.True(!g.ReplicaCurrent())
		stop()
		<-done
	})
}

// cutSource is a store without entries, from which nothing comes once it is cut off.
type cutSource struct{ cut *atomic.Bool }

func (s cutSource) List(ctx context.Context, _, _ string) (platform.Page, error) {
	return platform.Page{Revision: 7}, s.wait(ctx, 0)
}

func (s cutSource) Changes(ctx context.Context, _ string, _ int64, wait time.Duration) (platform.Changes, error) {
	return platform.Changes{Revision: 7}, s.wait(ctx, wait)
}

func (s cutSource) wait(ctx context.Context, wait time.Duration) error {
	if clock.Sleep(ctx, wait); !s.cut.Load() {
		return ctx.Err()
	}
	<-ctx.Done()
	return ctx.Err()
}
