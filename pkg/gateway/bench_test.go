package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/logging"
)

// BenchmarkAdded measures what the gateway adds to a short call of a plain service,
// against calls that go to the service directly, in turn.
func BenchmarkAdded(b *testing.B) {
	bed := newBed(b)
	log, err := logging.New(io.Discard, "gateway", "north-1", "")
	if err != nil {
		b.Fatal(err)
	}
	bed.north.log = log
	callers, _ := bed.north.Handlers()
	through := bed.serve(callers)
	upstream, _ := bed.north.config.Load().Upstream("log-n1")
	var direct, relayed []time.Duration
	for b.Loop() {
		direct = append(direct, bed.timed(upstream.Address))
		relayed = append(relayed, bed.timed(through))
	}
	slices.Sort(direct)
	slices.Sort(relayed)
	for name, part := range map[string]float64{"p50": 0.5, "p99": 0.99} {
		at := int(part * float64(len(direct)-1))
		b.ReportMetric(float64(direct[at].Microseconds()), "direct-"+name+"-us")
		b.ReportMetric(float64(relayed[at].Microseconds()), "relayed-"+name+"-us")
	}
}

// timed makes one repeatable call.
func (b *bed) timed(address string) time.Duration {
	b.url = address
	start := time.Now()
	got := b.send(context.Background(), http.MethodGet, export.path, residentKey, "", nil)
	if got.status != http.StatusOK {
		b.t.Fatal(got.body, got.err)
	}
	return time.Since(start)
}
