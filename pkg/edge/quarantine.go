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

// quarantineRefusal returns the refusal of a quarantined request, nil if it may run.
func (j *job) quarantineRefusal() *outcome.Refusal {
	if !j.quarantine.MayContain(len(j.body)) {
		return nil
	}
	retryAfter, refused := j.quarantine.Refuses(j.fingerprint())
	if !refused {
		return nil
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonQuarantined, retryAfter, "upstreams that ran this request have ended one after the other")
}

// ranToCompletion clears a request during which upstreams had crashed, and which has now
// succeeded.
func (j *job) ranToCompletion() {
	if j.quarantine.MayContain(len(j.body)) {
		j.recordObservation(quarantine.Observation{Request: j.fingerprint()})
	}
}

// recordObservation records an observation of this instance, and reports it to the others if it
// is new.
func (e *Edge) recordObservation(seen quarantine.Observation) {
	change := e.quarantine.ObserveLocally(seen)
	if change == quarantine.Unchanged {
		return
	}
	e.quarantineChanged(seen.Request, change)
	e.gossip.Observe(seen)
}

// mergeObservations applies the observations of other instances.
func (e *Edge) mergeObservations(received []quarantine.Observation) {
	for _, seen := range received {
		e.quarantineChanged(seen.Request, e.quarantine.Observe(seen))
	}
}

// quarantineChanged handles a change of a request's state. Only instances that saw an upstream
// crash during the request, or saw it succeed, write its quarantine to the store.
func (e *Edge) quarantineChanged(request quarantine.Fingerprint, change quarantine.Change) {
	e.logQuarantine(request, change)
	if (change == quarantine.Quarantined || change == quarantine.Cleared) && e.quarantine.ObservedLocally(request) {
		e.enqueueWrite(quarantineWrite{request: request})
	}
}

func (e *Edge) logQuarantine(request quarantine.Fingerprint, change quarantine.Change) {
	switch change {
	case quarantine.Quarantined:
		e.log.Warn().Stringer(event.KeyContent, request).Msg(string(event.RequestQuarantined))
	case quarantine.Cleared:
		e.log.Info().Stringer(event.KeyContent, request).Msg(string(event.RequestCleared))
	case quarantine.Unchanged, quarantine.Suspected:
	}
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
