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
const jobLimited = "limited"

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

// part is this instance's among those that send to an upstream with a limit. While it has
// just begun it may not know the others.
func (e *Edge) part(upstream string) limit.SenderRank {
	counted := e.counted()
	part, ok := counted.parts.Load(upstream)
	if !ok {
		part = counted.rank(upstream, &e.self)
		counted.parts.Store(upstream, part)
	}
	known := part.(limit.SenderRank)
	if e.starting() {
		known.Instances = max(leastInstances, known.Instances)
	}
	return known
}

// rank works out an instance's part of an upstream.
func (t *tally) rank(upstream string, self *fleet.Instance) limit.SenderRank {
	var names []string
	for name, region := range t.regions {
		if region == self.Region {
			names = append(names, name)
		}
	}
	ranked := member.Rank(member.Key(jobLimited, upstream), names)
	return limit.SenderRank{Instances: len(names), Place: slices.Index(ranked, self.Name)}
}

// limitWait is how long this instance must not send to an upstream for the limit that it
// names; zero: it may now.
func (e *Edge) limitWait(upstream *fleet.Upstream) time.Duration {
	if !e.named.Any() || !e.named.Of(upstream.ID).Limited {
		return 0
	}
	return e.named.Wait(upstream.ID, e.part(upstream.ID))
}

// takeLimited counts a request that is about to be sent to an upstream; false: the limit that
// it names does not allow it.
func (e *Edge) takeLimited(upstream *fleet.Upstream) bool {
	if !e.named.Any() || !e.named.Of(upstream.ID).Limited {
		return true
	}
	return e.named.Take(upstream.ID, e.part(upstream.ID))
}

// learnLimits takes what other instances of the region tell of upstreams that are known here.
func (e *Edge) learnLimits(told []limit.ToldLimit) {
	view := e.board.Fleet.Load()
	if view == nil {
		return
	}
	for _, limit := range told {
		if view.RegionOf(limit.Upstream) == e.settings.Region && e.named.Learn(limit) {
			e.logNamed(limit.Upstream)
		}
	}
}
