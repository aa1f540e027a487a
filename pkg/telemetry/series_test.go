package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

func TestLabelledMetricsShareAFamily(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	series := telemetry.NewSeries(registry, 10)
	series.Counter("requests", telemetry.Label{Name: "route", Value: "a"}, telemetry.Label{Name: "outcome", Value: "complete"}).Inc(2)
	series.Counter("requests", telemetry.Label{Name: "route", Value: "b"}, telemetry.Label{Name: "outcome", Value: "complete"}).Inc(1)
	for ms := 1; ms <= 1000; ms++ {
		series.Latency("first.ms", telemetry.Label{Name: "route", Value: "a"}).Add(time.Duration(ms) * time.Millisecond)
	}
	var out bytes.Buffer
	telemetry.Write(&out, registry)
	text := out.String()
	is.Equal(strings.Count(text, "# TYPE lilacweir_requests counter\n"), 1)
	is.True(strings.Contains(text, `lilacweir_requests{route="a",outcome="complete"} 2`+"\n"))
	is.True(strings.Contains(text, `lilacweir_first_ms_count{route="a"} 1000`+"\n"))
	var p99 float64
	line := text[strings.Index(text, `lilacweir_first_ms{route="a",quantile="0.99"}`):]
	_, err := fmt.Sscanf(line, `lilacweir_first_ms{route="a",quantile="0.99"} %f`, &p99)
	is.NoErr(err)
	is.True(p99 > 920 && p99 < 1060) // the exact value is 990; the bound is a bucket's width
}

// Guards against unbounded memory from arbitrary labels, and against lost counts.
func TestMetricsBeyondTheBoundAreCountedTogether(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	series := telemetry.NewSeries(registry, 10)
	for i := range 500 {
		series.Counter("requests", telemetry.Label{Name: "route", Value: fmt.Sprint("r-", i)}).Inc(1)
	}
	count, total := 0, int64(0)
	registry.Each(func(_ string, metric any) {
		count++
		total += metric.(metrics.Counter).Count()
	})
	is.Equal(count, 11)
	is.Equal(total, int64(500))
}

func TestRemoveUnregistersLabelledMetrics(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	series := telemetry.NewSeries(registry, 10)
	series.Counter("attempts", telemetry.Label{Name: "upstream", Value: "u-1"}, telemetry.Label{Name: "result", Value: "done"}).Inc(1)
	series.Counter("attempts", telemetry.Label{Name: "upstream", Value: "u-2"}, telemetry.Label{Name: "result", Value: "done"}).Inc(1)
	series.Remove(telemetry.Label{Name: "upstream", Value: "u-1"})
	var out bytes.Buffer
	telemetry.Write(&out, registry)
	is.True(!strings.Contains(out.String(), "u-1"))
	is.True(strings.Contains(out.String(), "u-2"))
}
