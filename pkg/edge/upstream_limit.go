package edge

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/member"
)

// jobLimited ranks the instances of a region for an upstream that takes fewer requests a
// second than there are instances.
const rankLimitedSenders = "limited"

// noteNamed takes what an answer says of its upstream's limit. Only the upstream's own answers
// to requests can say that it has none any more.
func (e *Edge) recordLimit(upstream *fleet.Upstream, reading *Reading, sent time.Time) {
	switch {
	case reading.LimitErr != nil:
		e.failedLog.Warn().Err(reading.LimitErr).Str(event.KeyUpstream, upstream.ID).Msg(string(event.UpstreamLimitOdd))
	case (reading.Limit.Limited || reading.Proven) && e.upstreamLimits.Answered(upstream.ID, reading.Limit, sent):
		e.logLimit(upstream.ID)
	}
}

// logNamed logs a limit that has changed.
func (e *Edge) logLimit(upstream string) {
	limited := e.upstreamLimits.Of(upstream)
	e.counts.series.Gauge("upstream.limit.per_1000s", label(labelTarget, upstream)).Update(int64(limited.PerSecond * 1000))
	if !limited.Limited {
		e.log.Info().Str(event.KeyUpstream, upstream).Msg(string(event.UpstreamUnlimited))
		return
	}
	e.log.Warn().Str(event.KeyUpstream, upstream).Float64(event.KeyLimit, limited.PerSecond).Msg(string(event.UpstreamLimited))
}

// part is this instance's among those that send to an upstream with a limit. While it has
// just begun it may not know the others.
func (e *Edge) share(upstream string) limit.Part {
	counted := e.countInstances()
	share, ok := counted.shares.Load(upstream)
	if !ok {
		share = counted.rankedShare(upstream, &e.self)
		counted.shares.Store(upstream, share)
	}
	known := share.(limit.Part)
	if e.starting() {
		known.Instances = max(minInstances, known.Instances)
	}
	return known
}

// rank works out an instance's part of an upstream.
func (t *instanceCounts) rankedShare(upstream string, self *fleet.Instance) limit.Part {
	var names []string
	for name, region := range t.regionByName {
		if region == self.Region {
			names = append(names, name)
		}
	}
	ranked := member.Rank(member.Key(rankLimitedSenders, upstream), names)
	return limit.Part{Instances: len(names), Place: slices.Index(ranked, self.Name)}
}

// limitWait is how long this instance must not send to an upstream for the limit that it
// names; zero: it may now.
func (e *Edge) limitWait(upstream *fleet.Upstream) time.Duration {
	if !e.upstreamLimits.Any() || !e.upstreamLimits.Of(upstream.ID).Limited {
		return 0
	}
	return e.upstreamLimits.Wait(upstream.ID, e.share(upstream.ID))
}

// takeLimited counts a request that is about to be sent to an upstream; false: the limit that
// it names does not allow it.
func (e *Edge) takeLimitShare(upstream *fleet.Upstream) bool {
	if !e.upstreamLimits.Any() || !e.upstreamLimits.Of(upstream.ID).Limited {
		return true
	}
	return e.upstreamLimits.Take(upstream.ID, e.share(upstream.ID))
}

// learnLimits takes what other instances of the region tell of upstreams that are known here.
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
