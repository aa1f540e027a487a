package edge

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/member"
)

// rankLimitedSenders is the hash key that ranks the instances of a region for an upstream that
// accepts fewer requests a second than there are instances.
const rankLimitedSenders = "limited"

// recordLimit records the limit that an answer names for its upstream. Only the upstream's own
// answers to requests can withdraw a limit.
func (e *Edge) recordLimit(upstream *fleet.Upstream, reading *Reading, sent time.Time) {
	switch {
	case reading.LimitErr != nil:
		e.failedLog.Warn().Err(reading.LimitErr).Str(event.KeyUpstream, upstream.ID).Msg(string(event.UpstreamLimitOdd))
	case (reading.Limit.Limited || reading.Signed) && e.upstreamLimits.Answered(upstream.ID, reading.Limit, sent):
		e.logLimit(upstream.ID)
	}
}

func (e *Edge) logLimit(upstream string) {
	limited := e.upstreamLimits.Of(upstream)
	e.counts.series.Gauge("upstream.limit.per_1000s", label(labelTarget, upstream)).Update(int64(limited.PerSecond * 1000))
	if !limited.Limited {
		e.log.Info().Str(event.KeyUpstream, upstream).Msg(string(event.UpstreamUnlimited))
		return
	}
	e.log.Warn().Str(event.KeyUpstream, upstream).Float64(event.KeyLimit, limited.PerSecond).Msg(string(event.UpstreamLimited))
}

// limitShare returns this instance's share among those that send to an upstream with a limit. An
// instance that has just started may not know the others yet.
func (e *Edge) limitShare(upstream string) limit.SenderRank {
	counted := e.countInstances()
	share, ok := counted.shares.Load(upstream)
	if !ok {
		share = counted.rankedShare(upstream, &e.self)
		counted.shares.Store(upstream, share)
	}
	known := share.(limit.SenderRank)
	if e.starting() {
		known.Instances = max(minInstances, known.Instances)
	}
	return known
}

// rankedShare computes an instance's share of an upstream's limit.
func (t *instanceCounts) rankedShare(upstream string, self *fleet.Instance) limit.SenderRank {
	var names []string
	for name, region := range t.regionByName {
		if region == self.Region {
			names = append(names, name)
		}
	}
	ranked := member.Rank(member.Key(rankLimitedSenders, upstream), names)
	return limit.SenderRank{Instances: len(names), Place: slices.Index(ranked, self.Name)}
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

// mergeLimits applies the limits that other instances of the region report for upstreams that are
// known here.
func (e *Edge) mergeLimits(received []limit.ToldLimit) {
	view := e.board.Fleet.Load()
	if view == nil {
		return
	}
	for _, limit := range received {
		if view.RegionOf(limit.Upstream) == e.settings.Region && e.upstreamLimits.Learn(limit) {
			e.logLimit(limit.Upstream)
		}
	}
}
