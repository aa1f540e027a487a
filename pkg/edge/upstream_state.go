package edge

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// recordState records the upstream's state that an answer reports. sent is the time at which its
// request was sent.
func (e *Edge) recordState(upstream *fleet.Upstream, reading *Reading, sent time.Time) {
	e.recordLimit(upstream, reading, sent)
	e.recordBackoff(upstream, reading)
	if reading.Leaving && e.recordDeparture(upstream.ID, "") {
		e.gossip.RequestRound()
	}
}

// recordDeparture records that an upstream is leaving, and reports whether that is new. reporter
// is the instance that reported it, empty if the upstream itself did.
func (e *Edge) recordDeparture(upstream, reporter string) (news bool) {
	if !e.departures.Learn(upstream) {
		return false
	}
	line := e.log.Info().Str(event.KeyUpstream, upstream).Int64(event.KeyStoreAgeMS, e.ageMS(e.store.LastAnswerAt()))
	if reporter != "" {
		line.Str(event.KeyPeer, reporter)
	}
	line.Msg(string(event.UpstreamLeaving))
	return true
}

// mergeDepartures applies another instance's report of leaving upstreams that are known here.
func (e *Edge) mergeDepartures(upstreams []string, reporter string) {
	for _, upstream := range upstreams {
		if e.discovered(upstream) {
			e.recordDeparture(upstream, reporter)
		}
	}
}

func (e *Edge) discovered(upstream string) bool {
	view := e.board.Fleet.Load()
	return view != nil && view.RegionOf(upstream) != ""
}

// leavingFilter returns a function that reports whether an upstream is leaving, nil if none is.
func (e *Edge) leavingFilter() func(upstream string) bool {
	if !e.departures.Any() {
		return nil
	}
	return e.departures.Leaving
}

// reportedDepartures returns the leaving upstreams that this instance reports.
func (e *Edge) reportedDepartures() []string {
	if !e.departures.Any() {
		return nil
	}
	return e.departures.ToPublish(e.discovered)
}

// backoffLogStep is the time by which an upstream must prolong its backoff to be logged again:
// the rejections of a burst of requests all ask for the same backoff.
const backoffLogStep = time.Second

// recordBackoff records the time for which an upstream wants no requests of this instance.
func (e *Edge) recordBackoff(upstream *fleet.Upstream, reading *Reading) {
	if !reading.BackingOff {
		return
	}
	before := e.tracker.RequestedBackoff(upstream.ID)
	e.tracker.RequestBackoff(upstream.ID, reading.RetryAfter)
	if reading.RetryAfter-before >= backoffLogStep || before == 0 {
		e.log.Info().Str(event.KeyUpstream, upstream.ID).Int64(event.KeyForMS, reading.RetryAfter.Milliseconds()).Msg(string(event.UpstreamResting))
	}
}

// countUnwantedSends counts requests that are sent to an upstream after it has reported that it
// is leaving, or during its backoff.
func (e *Edge) countUnwantedSends(upstream *fleet.Upstream) {
	if e.tracker.RequestedBackoff(upstream.ID) > 0 {
		e.counts.series.Counter("upstream.sends_in_rest", label(labelTarget, upstream.ID)).Inc(1)
	}
	if e.departures.Leaving(upstream.ID) {
		e.counts.series.Counter("upstream.sends_after_leaving", label(labelTarget, upstream.ID)).Inc(1)
	}
}
