package edge

import (
	"context"
	"math"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/limit"
)

// retryReportInterval is the shortest time between two log lines about the retries at a service.
const retryReportInterval = 500 * time.Millisecond

// reportRetries logs the use of the retry budget while there is any, until ctx ends.
func (e *Edge) reportRetries(ctx context.Context) {
	reported := make(map[string]limit.RetryUsage)
	for clock.Sleep(ctx, retryReportInterval) {
		for _, usage := range e.retries.Usage(e.sharingInstances()) {
			last := reported[usage.Service]
			if usage.Taken == last.Taken && usage.Refused == last.Refused {
				continue
			}
			reported[usage.Service] = usage
			e.log.Info().Str(event.KeyService, usage.Service).Int(event.KeyTaken, usage.Taken-last.Taken).Int(event.KeyRefused, usage.Refused-last.Refused).
				Int(event.KeyRequests, usage.Requests).Int(event.KeyRetries, usage.Retries).Float64(event.KeyLeft, math.Round(usage.Left*10)/10).
				Int(event.KeyInstances, e.sharingInstances()).Int64(event.KeyAgeMS, e.ageMS(e.startedAt)).Msg(string(event.RetryBudgetUsed))
		}
	}
}
