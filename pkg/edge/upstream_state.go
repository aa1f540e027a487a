package edge

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// noteState takes what an answer says of its upstream. Sent is when its request was sent.
func (e *Edge) recordState(upstream *fleet.Upstream, reading *Reading, sent time.Time) {
	e.recordLimit(upstream, reading, sent)
	e.recordBackoff(upstream, reading)
	if reading.Leaving && e.recordDeparture(upstream.ID, "") {
		e.gossip.RequestRound()
	}
}

// learnDeparture takes an upstream's word that it leaves, from another instance where teller is
// not empty, and says whether that is news.
func (e *Edge) recordDeparture(upstream, reporter string) (news bool) {
	if !e.departures.Learn(upstream) {
		return false
	}
	line := e.log.Info().Str(event.KeyUpstream, upstream).Int64(event.KeyStoreAgeMS, e.ageMS(e.store.Reached()))
	if reporter != "" {
		line.Str(event.KeyPeer, reporter)
	}
	line.Msg(string(event.UpstreamLeaving))
	return true
}

// learnDepartures takes what another instance tells of upstreams that are known here.
func (e *Edge) mergeDepartures(upstreams []string, reporter string) {
	for _, upstream := range upstreams {
		if e.discovered(upstream) {
			e.recordDeparture(upstream, reporter)
		}
	}
}

// discovered says whether an upstream is among those that are known.
func (e *Edge) discovered(upstream string) bool {
	view := e.board.Fleet.Load()
	return view != nil && view.RegionOf(upstream) != ""
}

// leaves returns what says whether an upstream has said that it leaves; nil: none has.
func (e *Edge) leavingFilter() func(upstream string) bool {
	if !e.departures.Any() {
		return nil
	}
	return e.departures.Leaving
}

// departuresTold is what this instance tells of upstreams that leave.
func (e *Edge) reportedDepartures() []string {
	if !e.departures.Any() {
		return nil
	}
	return e.departures.Told(e.discovered)
}

// restNews is by how much an upstream must prolong its rest to be worth a line: a burst of
// requests that are turned away asks for the same rest over and over.
const backoffLogStep = time.Second

// noteRest takes an upstream's word that it wants nothing from this instance for a while.
func (e *Edge) recordBackoff(upstream *fleet.Upstream, reading *Reading) {
	if !reading.BackingOff {
		return
	}
	before := e.tracker.AskedRest(upstream.ID)
	e.tracker.AskRest(upstream.ID, reading.RetryAfter)
	if reading.RetryAfter-before >= backoffLogStep || before == 0 {
		e.log.Info().Str(event.KeyUpstream, upstream.ID).Int64(event.KeyForMS, reading.RetryAfter.Milliseconds()).Msg(string(event.UpstreamResting))
	}
}

// countUnwanted counts what is sent to an upstream after it has said that it leaves, or within
// the time for which it has asked for rest.
func (e *Edge) countUnwantedSends(upstream *fleet.Upstream) {
	if e.tracker.AskedRest(upstream.ID) > 0 {
		e.counts.series.Counter("upstream.sends_in_rest", label(labelTarget, upstream.ID)).Inc(1)
	}
	if e.departures.Leaving(upstream.ID) {
		e.counts.series.Counter("upstream.sends_after_leaving", label(labelTarget, upstream.ID)).Inc(1)
	}
}
