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

// quarantineSweep is how often what is over is forgotten.
const quarantineSweep = time.Minute

// quarantined returns the refusal of a request that is quarantined; nil: it may run.
func (j *job) quarantineRefusal() *outcome.Refusal {
	if !j.quarantine.Concerns(len(j.body)) {
		return nil
	}
	retryAfter, refused := j.quarantine.Refuses(j.fingerprint())
	if !refused {
		return nil
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonQuarantined, retryAfter, "upstreams that ran this request have ended one after the other")
}

// ranWell clears a request that upstreams had ended under and that has run to a good end.
func (j *job) ranToCompletion() {
	if j.quarantine.Concerns(len(j.body)) {
		j.recordObservation(quarantine.Observation{Request: j.fingerprint()})
	}
}

// observe notes what this instance saw of a request, and tells the others if it is news.
func (e *Edge) recordObservation(seen quarantine.Observation) {
	change := e.quarantine.Witness(seen)
	if change == quarantine.Known {
		return
	}
	e.quarantineChanged(seen.Request, change)
	e.gossip.Observe(seen)
}

// learnEvidence takes what other instances saw.
func (e *Edge) mergeObservations(received []quarantine.Observation) {
	for _, seen := range received {
		e.quarantineChanged(seen.Request, e.quarantine.Observe(seen))
	}
}

// changed does what follows from a change of a request. Its quarantine is kept by those who saw
// an upstream end under it, or run it to a good end.
func (e *Edge) quarantineChanged(request quarantine.Fingerprint, change quarantine.Change) {
	e.logQuarantine(request, change)
	if (change == quarantine.Quarantined || change == quarantine.Cleared) && e.quarantine.Witnessed(request) {
		e.enqueueWrite(quarantineWrite{request: request})
	}
}

// noteQuarantine logs what has become of a request.
func (e *Edge) logQuarantine(request quarantine.Fingerprint, change quarantine.Change) {
	switch change {
	case quarantine.Quarantined:
		e.log.Warn().Stringer(event.KeyContent, request).Msg(string(event.RequestQuarantined))
	case quarantine.Cleared:
		e.log.Info().Stringer(event.KeyContent, request).Msg(string(event.RequestCleared))
	case quarantine.Known, quarantine.Suspected:
	}
}

// sweepQuarantine forgets what is over until ctx ends, here and in the store, and sees to it that the
// store holds what is not: it may have been away when that was written.
func (e *Edge) sweepQuarantine(ctx context.Context) {
	for clock.Sleep(ctx, quarantineSweep) {
		e.quarantine.Sweep()
		e.writeMissingQuarantines()
		e.deleteExpiredClearances(ctx)
		e.crashProbes.sweep(e.now())
	}
}
