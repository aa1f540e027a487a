package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// quarantineSweep is the interval at which expired records are deleted.
const quarantineSweep = time.Minute

// quarantineRefusal returns the refusal of a request that is quarantined, or that holds a
// quarantined prompt segment; nil if it may run.
func (j *job) quarantineRefusal() *outcome.Refusal {
	if j.quarantine.HasSegments() {
		if segment, retryAfter, refused := j.quarantine.RefusesSegments(j.promptSegments(), j.organisationName()); refused {
			j.quarantinedAs = segment.Fingerprint()
			return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonQuarantined, retryAfter, "upstreams that ran requests with one segment of this prompt have ended one after the other")
		}
	}
	if !j.quarantine.MayContain(len(j.body)) {
		return nil
	}
	retryAfter, refused := j.quarantine.Refuses(j.fingerprint())
	if !refused {
		return nil
	}
	j.quarantinedAs = j.fingerprint()
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonQuarantined, retryAfter, "upstreams that ran this request have ended one after the other")
}

// ranToCompletion clears a request during which upstreams had crashed, and which has now
// succeeded. It counts for the segments of its prompt.
func (j *job) ranToCompletion() {
	if j.quarantine.MayContain(len(j.body)) {
		j.recordObservation(quarantine.Observation{Request: j.fingerprint()})
	}
	if !j.quarantine.HasSegments() {
		return
	}
	for _, report := range j.quarantine.CompleteSegments(j.promptSegments()) {
		report.Reporter = quarantine.ReporterOf(j.self.Name, j.self.Incarnation)
		j.gossip.Observe(report)
	}
}

// recordObservation records an observation of this instance, and reports it to the others if it
// is new.
func (e *Edge) recordObservation(seen quarantine.Observation) {
	effect := e.quarantine.ObserveLocally(seen)
	e.applyEffect(&seen, effect)
	if effect.New {
		e.gossip.Observe(seen)
	}
}

// mergeObservations applies the observations of other instances.
func (e *Edge) mergeObservations(received []quarantine.Observation) {
	for i := range received {
		e.applyEffect(&received[i], e.quarantine.Observe(received[i]))
	}
}

// applyEffect handles the effect of an observation. A segment's quarantine is reported to the other
// instances: one that starts later is told of all its crashes at once, which count as one failure.
func (e *Edge) applyEffect(seen *quarantine.Observation, effect quarantine.Effect) {
	e.quarantineChanged(seen.Request, effect.Request)
	for _, segment := range effect.Segments {
		e.quarantineChanged(segment.Fingerprint(), quarantine.Quarantined)
		if seen.Ended != 0 {
			// The gossip's lock is held while it passes observations on.
			go e.reportSegment(segment)
		}
	}
}

// reportSegment reports a segment's quarantine to the other instances.
func (e *Edge) reportSegment(segment quarantine.Segment) {
	e.gossip.Observe(quarantine.Observation{Request: segment.Fingerprint(), Organisation: e.quarantine.OrganisationOf(segment)})
}

// judgeInterval is the interval at which the evidence about prompt segments is judged.
const judgeInterval = 250 * time.Millisecond

// judgeSegments quarantines the segments that are condemned by time, until ctx ends.
func (e *Edge) judgeSegments(ctx context.Context) {
	for clock.Sleep(ctx, judgeInterval) {
		for _, segment := range e.quarantine.Judge() {
			e.quarantineChanged(segment.Fingerprint(), quarantine.Quarantined)
			e.reportSegment(segment)
		}
	}
}

// quarantineChanged handles a change of a request's or segment's state. Only instances that saw an
// upstream crash during the request, or saw it succeed, write its quarantine to the store.
func (e *Edge) quarantineChanged(request quarantine.Fingerprint, change quarantine.Change) {
	e.logQuarantine(request, change)
	if (change == quarantine.Quarantined || change == quarantine.Cleared) && e.quarantine.ObservedLocally(request) {
		e.enqueueWrite(quarantineWrite{request: request})
	}
}

func (e *Edge) logQuarantine(request quarantine.Fingerprint, change quarantine.Change) {
	switch change {
	case quarantine.Quarantined:
		if segment, ok := request.Segment(); ok {
			e.logSegment(segment)
			return
		}
		e.log.Warn().Stringer(event.KeyContent, request).Msg(string(event.RequestQuarantined))
	case quarantine.Cleared:
		e.log.Info().Stringer(event.KeyContent, request).Msg(string(event.RequestCleared))
	case quarantine.Unchanged, quarantine.Suspected:
	}
}

// logSegment logs the quarantine of a segment with the evidence for and against it.
func (e *Edge) logSegment(segment quarantine.Segment) {
	evidence := e.quarantine.EvidenceOf(segment)
	e.log.Warn().Stringer(event.KeyContent, segment.Fingerprint()).Str(event.KeyOrganisation, e.quarantine.OrganisationOf(segment)).
		Int(event.KeyFailures, evidence.Failures).Int(event.KeyCrashes, len(evidence.Crashes)).Int(event.KeyRequests, len(evidence.Requests)).
		Int(event.KeyCompleted, evidence.Completed).Msg(string(event.SegmentQuarantined))
}

// sweepQuarantine deletes expired records here and in the store, and writes those that the store
// lacks, until ctx ends: the store may have been unavailable when they were to be written.
func (e *Edge) sweepQuarantine(ctx context.Context) {
	for clock.Sleep(ctx, quarantineSweep) {
		e.quarantine.Sweep()
		e.writeMissingQuarantines()
		e.deleteExpiredClearances(ctx)
		e.crashProbes.sweep(e.now())
	}
}
