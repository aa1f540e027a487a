package edge

import (
	"errors"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/limit"
)

// recordLimit records what an answer advertises for its upstream. Only the upstream's own answers to
// requests can withdraw it.
func (e *Edge) recordLimit(upstream *fleet.Upstream, reading *Reading, sent time.Time) {
	before := e.upstreamLimits.Of(upstream.ID)
	advertised := reading.Limit
	// Of what is invalid the known value stays in force.
	if reading.LimitErr != nil {
		advertised.Limited, advertised.PerSecond = before.Limited, before.PerSecond
	}
	if reading.BrittleErr != nil {
		advertised.Brittle, advertised.Tolerance = before.Brittle, before.Tolerance
	}
	if err := errors.Join(reading.LimitErr, reading.BrittleErr); err != nil {
		e.logInvalidLimit(upstream.ID, err)
	}
	counts := advertised.Limited || advertised.Brittle || reading.Signed
	if counts && e.upstreamLimits.Answered(upstream.ID, advertised, sent) {
		e.logLimit(upstream.ID, before, "")
	}
	e.recordBrittle(upstream, reading, sent)
}

// logInvalidLimit logs, once for each upstream, that what it advertises is invalid.
func (e *Edge) logInvalidLimit(upstream string, err error) {
	if _, logged := e.invalidLimits.LoadOrStore(upstream, struct{}{}); !logged {
		e.log.Warn().Err(err).Str(event.KeyUpstream, upstream).Msg(string(event.UpstreamLimitOdd))
	}
}

// logLimit logs what an upstream advertises after a change. reporter is the instance that reported it,
// empty if the upstream itself did.
func (e *Edge) logLimit(upstream string, before limit.Named, reporter string) {
	known := e.upstreamLimits.Of(upstream)
	target := label(labelTarget, upstream)
	e.counts.series.Gauge("upstream.limit.per_1000s", target).Update(int64(known.PerSecond * 1000))
	e.counts.series.Gauge("upstream.brittle", target).Update(gaugeOf(known.Brittle))
	if known.Brittle != before.Brittle || known.Tolerance != before.Tolerance {
		e.logBrittle(upstream, known, reporter)
	}
	if known.Limited == before.Limited && known.PerSecond == before.PerSecond {
		return
	}
	if !known.Limited {
		e.log.Info().Str(event.KeyUpstream, upstream).Msg(string(event.UpstreamUnlimited))
		return
	}
	e.log.Warn().Str(event.KeyUpstream, upstream).Float64(event.KeyLimit, known.PerSecond).Msg(string(event.UpstreamLimited))
}

func (e *Edge) logBrittle(upstream string, known limit.Named, reporter string) {
	line, name := e.log.Info(), event.UpstreamSturdy
	if known.Brittle {
		line, name = e.log.Warn().Int(event.KeyTolerance, known.Tolerance), event.UpstreamBrittle
	}
	if reporter != "" {
		line.Str(event.KeyPeer, reporter)
	}
	line.Str(event.KeyUpstream, upstream).Msg(string(name))
}

// gaugeOf returns 1 for true.
func gaugeOf(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// limitShare returns this instance's share among those that send to an upstream with a limit. An
// instance that has just started may not know the others yet.
func (e *Edge) limitShare(upstream string) limit.SenderRank {
	e.countInstances()
	rank := e.members.Rank(e.self.Region, upstream, e.self.Name)
	if e.starting() {
		rank.Instances = max(minInstances, rank.Instances)
	}
	return rank
}

// limitWait returns the time for which this instance must not send to an upstream because of its
// limit, zero if it may send now.
func (e *Edge) limitWait(upstream *fleet.Upstream) time.Duration {
	if !e.upstreamLimits.Any() || !e.upstreamLimits.Of(upstream.ID).Limited {
		return 0
	}
	return e.upstreamLimits.Wait(upstream.ID, e.limitShare(upstream.ID))
}

// takeLimitShare counts a request that is about to be sent to an upstream. It returns false if
// the upstream's limit does not permit it.
func (e *Edge) takeLimitShare(upstream *fleet.Upstream) bool {
	if !e.upstreamLimits.Any() || !e.upstreamLimits.Of(upstream.ID).Limited {
		return true
	}
	return e.upstreamLimits.Take(upstream.ID, e.limitShare(upstream.ID))
}

// mergeLimits applies what another instance of the region reports that upstreams advertise, of those
// that are known here.
func (e *Edge) mergeLimits(received []limit.ToldLimit, reporter string) {
	view := e.board.Fleet.Load()
	if view == nil {
		return
	}
	for i := range received {
		told := &received[i]
		before := e.upstreamLimits.Of(told.Upstream)
		upstream := view.Find(told.Upstream)
		if upstream == nil || upstream.Region != e.settings.Region {
			continue
		}
		if e.upstreamLimits.Learn(*told) {
			e.logLimit(told.Upstream, before, reporter)
		}
		e.mergeBrittle(told, upstream.Service)
	}
}
