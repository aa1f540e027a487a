package edge

import (
	"context"
	"errors"
	"net/http"

	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// sendToUpstream sends the request to an upstream of the own region.
func (j *job) sendToUpstream(ctx context.Context, to *target) result {
	upstream := to.survey.Best.Upstream
	place, ok := j.places.Enter(upstream.ID, j.part(upstream), j.attributes.Tokens)
	if !ok {
		// Another request of this instance has taken it.
		return notRun
	}
	coldSend, ok := j.takeColdShare(upstream, j.service)
	if !ok {
		// Other requests of this instance have taken it since the upstream was chosen.
		place.Answered()
		return notRun
	}
	if coldSend != nil {
		defer coldSend.Done()
	}
	stream := &monitoredStream{service: j.service.Name, upstream: upstream.ID, sent: j.now(), opaque: j.service.Engine == nil || j.route.Kind != httproute.Streaming}
	leaveStream, ok := j.streams.begin(upstream.ID, stream)
	if !ok {
		// Another request is the probe of an unresponsive upstream.
		place.Answered()
		return notRun
	}
	defer leaveStream()
	j.leaveLine()
	j.countUnwantedSends(upstream)
	flight, ok := j.tracker.Start(upstream.ID, to.survey.Best.Uncached, 0)
	j.tried = append(j.tried, upstream.ID)
	if !ok {
		place.Answered()
		return notRun
	}
	// It is taken last, since it is not given back.
	if !j.takeLimitShare(upstream) {
		flight.Done(limit.Abandoned)
		place.Answered()
		return notRun
	}
	j.recordShare(true)
	if to.survey.Best.Uncached >= longPromptTokens {
		j.gossip.RequestRound()
	}
	if j.mayBeCold(upstream, j.service) {
		j.checkColdShare(upstream, j.service)
	}
	j.recent.Add(j.attributes.Segments, upstream.ID, j.now())
	j.flow.Add(j.service.Name, to.survey.Best.Uncached, j.now())
	call := &call{
		job:    j,
		to:     to,
		pool:   j.upstreams,
		target: exchange.Target{ID: upstream.ID, Address: upstream.Address, MaxConnections: j.connectionShare(), Settle: j.connectionSettleTime(upstream.Service)},
		send:   Send{TimeLeft: j.deadline.Sub(j.now()), Upstream: upstream.Name, Priority: j.route.Priority, ResumeAfter: j.resumeAfter()},
		onPart: j.firstByteObserver(flight, &to.survey.Best),

		coldSend: coldSend,
	}
	if source := to.survey.Best.Source; source != nil {
		call.send.Source = source.Address
	}
	sent := stream.sent
	call.sent, call.waitedBefore = sent, j.writer.waited
	request := ctx
	ctx, leave := call.enter(request)
	defer leave()
	if j.route.Repeatable() {
		j.streams.setOnStalled(stream, func() { call.requestHedge(request) })
	}
	if !stream.opaque {
		call.onData = func() { j.recordData(stream) }
		call.onUnread = func(unread bool) { j.streams.setUnread(stream, unread, j.now()) }
	}
	ended := call.do(ctx)
	flight.Done(call.upstreamResult(ended))
	call.leavePlace(place, ended)
	if j.service.Engine != nil && (call.complete || (ended == notRun && call.status != 0)) {
		j.recordAnswer(upstream.ID)
	}
	switch {
	case ended == broken && !call.complete && context.Cause(ctx) == nil && !errors.Is(call.err, errUpstreamLeft):
		j.handleBrokenAnswer(ctx, upstream)
	case ended == done && call.status < http.StatusMultipleChoices:
		j.ranToCompletion()
	}
	if ended != done && ended != overtaken {
		j.recordUnreachable(upstream, call.err)
		j.suspect(upstream, call.err)
	}
	if ended == done && j.service.Engine == nil {
		j.pace.Add(j.service.Name, &to.survey.Best, j.now().Sub(sent))
	}
	return ended
}

// firstByteObserver returns the function to call for each part of the answer. Only the first call
// is measured.
func (j *job) firstByteObserver(flight *limit.Flight, candidate *steer.Candidate) func() {
	sent := j.now()
	first := true
	return func() {
		flight.FirstByte()
		if first && j.service.Engine != nil {
			now := j.now()
			j.estimates.Observe(candidate, now.Sub(sent), now)
			j.lateness.Observe(j.service, j.route, j.settings.Region, now.Sub(j.started), now)
		}
		first = false
	}
}

// forward sends the request to an instance of another region, or to a neighbour.
// It may run on up to granted upstreams there.
func (j *job) forward(ctx context.Context, to *target, granted int) result {
	// Others may get a place here meanwhile.
	j.leaveLine()
	j.tried = append(j.tried, to.name())
	j.hops++
	region := steer.RegionKey(to.peer.Instance.Region, &steer.Request{Service: j.service, Route: j.route})
	trial, ok := j.startRegionTrial(region, to.name())
	if !ok {
		j.regions.full = true
		return notRun
	}
	j.recent.Sent(j.attributes.Segments, to.peer.Instance.Region, j.now())
	call := &call{
		job:      j,
		to:       to,
		pool:     j.peers,
		target:   exchange.Target{ID: to.peer.Instance.Peers, Address: to.peer.Instance.Peers},
		send:     Send{TimeLeft: j.deadline.Sub(j.now()), ResumeAfter: j.resumeAfter()},
		onPart:   trial.begun,
		peer:     true,
		attempts: granted,
	}
	ctx, leave := call.enter(ctx)
	defer leave()
	ended := call.do(ctx)
	trial.ended(call.regionResult(ended))
	j.regions.reached = j.regions.reached || call.counted
	j.regions.unreached = j.regions.unreached || !call.counted
	if refusal := call.hopRefusal; !refusal.until.IsZero() {
		j.hopRefusals.record(to.name(), j.service.Name, j.now(), refusal)
	}
	return ended
}

// regionResult returns the attempt's result for the tracker of the other region. An instance
// there that is leaving or has no configuration is no evidence about its region.
func (c *call) regionResult(ended result) limit.Result {
	switch {
	case c.regionOverloaded:
		return limit.Rejected
	case ended == done:
		return limit.Succeeded
	default:
		return limit.Abandoned
	}
}

// resumeAfter returns the ID of the event after which a stream resumes.
func (j *job) resumeAfter() string {
	if j.writer.lastEvent != "" {
		return j.writer.lastEvent
	}
	return j.attributes.ResumeAfter
}

// connectionShare returns this instance's share of the connections to one upstream, zero if they
// are unlimited.
func (j *job) connectionShare() int {
	if j.service.MaxConnections == 0 {
		return 0
	}
	return max(1, j.service.MaxConnections/(j.regionInstances()+1))
}

// hadNoEnd reports whether the caller left because the answer did not end: it is longer than answers are,
// or took the caller's whole time, of which the caller did not hold it up for most.
func (c *call) hadNoEnd() bool {
	return c.relayed >= endlessBytes || c.status != 0 && !c.now().Before(c.deadline.Add(-leaveSlack)) && !c.heldUpByCaller()
}

// heldUpByCaller reports whether the caller took most of the attempt's time, by not reading its answer.
// Then the time that the answer took is no evidence about the upstream.
func (c *call) heldUpByCaller() bool {
	return 2*(c.writer.waited-c.waitedBefore) > c.now().Sub(c.sent)
}

func (c *call) upstreamResult(ended result) limit.Result {
	switch ended {
	case done:
		if c.status >= http.StatusInternalServerError {
			return limit.Abandoned
		}
		return limit.Succeeded
	case callerGone:
		if c.hadNoEnd() {
			return limit.Failed
		}
		return limit.Abandoned
	case overtaken:
		return limit.Abandoned
	case notRun:
		if errors.Is(c.err, exchange.ErrUnreachable) {
			return limit.Abandoned
		}
		return limit.Rejected
	default:
		if c.status != 0 && c.complete || c.lastEnding == endedByDeadline && c.heldUpByCaller() {
			return limit.Abandoned
		}
		return limit.Failed
	}
}
