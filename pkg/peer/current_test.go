package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
