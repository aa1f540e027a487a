package telemetry_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

func TestWriteExposesSortedText(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	metrics.NewRegisteredCounter("requests.all", registry).Inc(3)
	metrics.NewRegisteredGauge("queue-length", registry).Update(2)
	metrics.NewRegisteredHistogram("wait", registry, metrics.NewUniformSample(10)).Update(7)
	var out bytes.Buffer
	telemetry.Write(&out, registry)
	text := out.String()
	is.True(strings.Contains(text, "# TYPE lilacweir_requests_all counter\nlilacweir_requests_all 3\n"))
	is.True(strings.Contains(text, "lilacweir_queue_length 2\n"))
	is.True(strings.Contains(text, "lilacweir_wait{quantile=\"0.99\"} 7\n"))
	is.True(strings.Index(text, "queue_length") < strings.Index(text, "requests_all")) // sorted
}
