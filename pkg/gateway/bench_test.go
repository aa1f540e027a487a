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

// BenchmarkAdded measures the latency that the gateway adds to a short call of a
// plain service, against alternating calls directly to the service.
func BenchmarkAdded(b *testing.B) {
	h := newHarness(b)
	log, err := logging.New(io.Discard, "gateway", "north-1", "")
	if err != nil {
		b.Fatal(err)
	}
	h.north.log = log
	callers, _ := h.north.Handlers()
	through := h.serve(callers)
	upstream, _ := h.north.config.Load().Upstream("log-n1")
	var direct, relayed []time.Duration
	for b.Loop() {
		direct = append(direct, h.timedCall(upstream.Address))
		relayed = append(relayed, h.timedCall(through))
	}
	slices.Sort(direct)
	slices.Sort(relayed)
	for name, part := range map[string]float64{"p50": 0.5, "p99": 0.99} {
		at := int(part * float64(len(direct)-1))
		b.ReportMetric(float64(direct[at].Microseconds()), "direct-"+name+"-us")
		b.ReportMetric(float64(relayed[at].Microseconds()), "relayed-"+name+"-us")
	}
}

// timedCall makes one repeatable call.
func (h *harness) timedCall(address string) time.Duration {
	h.url = address
	start := time.Now()
	got := h.send(context.Background(), http.MethodGet, export.path, residentKey, "", nil)
	if got.status != http.StatusOK {
		h.t.Fatal(got.body, got.err)
	}
	return time.Since(start)
}
