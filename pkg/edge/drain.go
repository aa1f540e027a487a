package edge

import (
	"context"
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
	// drainShare is the share of the grace after which running requests are cut off. The rest is
	// for the end of the process.
	drainShare = 0.97
	// drainPoll is the interval at which a leaving instance checks whether it is idle.
	drainPoll = 20 * time.Millisecond
)

// drainSchedule holds the times at which a leaving instance stops accepting and serving requests.
type drainSchedule struct {
	// acceptUntil is the end of the time in which every request is accepted. Running requests are
	// cut off at cutAt.
	acceptUntil, cutAt time.Time
}

func (e *Edge) scheduleDrain(started time.Time) *drainSchedule {
	grace := e.settings.Limits.Grace
	return &drainSchedule{
		acceptUntil: started.Add(min(directoryTTLs*e.settings.Limits.DirectoryTTL, grace/2)),
		cutAt:       started.Add(time.Duration(float64(grace) * drainShare)),
	}
}

// accepts reports whether a request that ends by its deadline at the latest can still be served
// to its end.
func (d *drainSchedule) accepts(now, deadline time.Time) bool {
	return d == nil || now.Before(d.acceptUntil) || deadline.Before(d.cutAt)
}

// leave deregisters the instance and reports to the others that it is leaving, serves on until
// callers use other instances, and stops the listeners.
func (e *Edge) leave(listeners *listenerSet, deregister context.CancelFunc) {
	leaving := e.scheduleDrain(e.now())
	e.leaving.Store(leaving)
	e.log.Info().Int64(event.KeyActive, e.active.Load()).Msg(string(event.Leaving))
	deregister()
	e.gossip.ReportNow(context.Background())
	clock.Sleep(context.Background(), leaving.acceptUntil.Sub(e.now()))
	for e.active.Load() > 0 && e.now().Before(leaving.cutAt) {
		clock.Sleep(context.Background(), drainPoll)
	}
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
