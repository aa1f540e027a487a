package edge

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// noteNamed takes what an answer says of its upstream's limit. Only the upstream's own answers
// to requests can say that it has none any more.
func (e *Edge) noteNamed(upstream *fleet.Upstream, reading *Reading, sent time.Time) {
	switch {
	case reading.LimitErr != nil:
		e.failedLog.Warn().Err(reading.LimitErr).Str(event.KeyUpstream, upstream.ID).Msg(string(event.UpstreamLimitOdd))
	case (reading.Limit.Limited || reading.Proven) && e.named.Answered(upstream.ID, reading.Limit, sent):
		e.logNamed(upstream.ID)
	}
}

// logNamed logs a limit that has changed.
func (e *Edge) logNamed(upstream string) {
	named := e.named.Of(upstream)
	e.counts.series.Gauge("upstream.limit.per_1000s", label(labelTarget, upstream)).Update(int64(named.PerSecond * 1000))
	if !named.Limited {
		e.log.Info().Str(event.KeyUpstream, upstream).Msg(string(event.UpstreamUnlimited))
		return
	}
	e.log.Warn().Str(event.KeyUpstream, upstream).Float64(event.KeyLimit, named.PerSecond).Msg(string(event.UpstreamLimited))
}
