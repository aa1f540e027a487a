package edge

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
)

// Times of draining.
const (
	// directoryTTLs is the number of directory TTLs for which some callers cache its answer.
	// Until then new requests reach a leaving instance.
	directoryTTLs = 3
	// answerShare is the share of the grace after which running requests are ended with their final
	// answer, and drainShare that after which they are cut off. The rest is for the end of the process.
	answerShare = 0.94
	drainShare  = 0.97
	// drainPoll is the interval at which a leaving instance checks whether it is idle.
	drainPoll = 20 * time.Millisecond
)

// drainSchedule holds the times at which a leaving instance stops accepting and serving requests.
type drainSchedule struct {
	// acceptUntil is the end of the time in which every request is accepted. Running requests are
	// ended at answerBy, and cut off at cutAt if they go on.
	acceptUntil, answerBy, cutAt time.Time
}

func (e *Edge) scheduleDrain(started time.Time) *drainSchedule {
	grace := e.settings.Limits.Grace
	after := func(share float64) time.Time { return started.Add(time.Duration(float64(grace) * share)) }
	return &drainSchedule{
		acceptUntil: started.Add(min(directoryTTLs*e.settings.Limits.DirectoryTTL, grace/2)),
		answerBy:    after(answerShare),
		cutAt:       after(drainShare),
	}
}

// accepts reports whether a request that ends by its deadline at the latest can still be served
// to its end.
func (d *drainSchedule) accepts(now, deadline time.Time) bool {
	return d == nil || now.Before(d.acceptUntil) || deadline.Before(d.answerBy)
}

// bodyDeadline returns the time until which the body of a request with a deadline is read.
func (d *drainSchedule) bodyDeadline(deadline time.Time) time.Time {
	if d == nil || deadline.Before(d.answerBy) {
		return deadline
	}
	return d.answerBy
}

// errGraceOver ends the requests that still run when the grace of a leaving instance is almost over.
var errGraceOver = errors.New("the instance ends")

// untilGraceEnds returns a context that also ends with errGraceOver. The returned function releases it.
func (e *Edge) untilGraceEnds(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.graceOver, func() { cancel(errGraceOver) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// leave deregisters the instance and reports to the others that it is leaving, serves on until
// callers use other instances, ends what still runs, and stops the listeners.
func (e *Edge) leave(listeners *listenerSet, deregister context.CancelFunc) {
	leaving := e.scheduleDrain(e.now())
	e.leaving.Store(leaving)
	e.log.Info().Int64(event.KeyActive, e.active.Load()).Msg(string(event.Leaving))
	deregister()
	e.gossip.ReportNow(context.Background())
	clock.Sleep(context.Background(), leaving.acceptUntil.Sub(e.now()))
	e.awaitIdle(leaving.answerBy)
	e.endRequests()
	e.awaitIdle(leaving.cutAt)
	ctx, cancel := context.WithDeadline(context.Background(), leaving.cutAt)
	defer cancel()
	var all errgroup.Group
	for _, listener := range listeners.http {
		all.Go(func() error { return listener.server.Shutdown(ctx) })
	}
	if err := all.Wait(); err != nil {
		e.log.Warn().Err(err).Int64(event.KeyActive, e.active.Load()).Msg(string(event.RequestsCutOff))
	}
}

// awaitIdle waits until no request runs, or until a time.
func (e *Edge) awaitIdle(until time.Time) {
	for e.active.Load() > 0 && e.now().Before(until) {
		clock.Sleep(context.Background(), drainPoll)
	}
}
