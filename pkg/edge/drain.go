package edge

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
)

// Times of leaving.
const (
	// staleTTL is how many times the directory's time some callers keep its answer;
	// until then new requests come to a leaving instance.
	directoryTTLs = 3
	// drainPart of the grace is when requests that still run are cut off; the rest is
	// for the end of the process.
	drainShare = 0.97
	// drainPoll is how often a leaving instance looks whether it is idle.
	drainPoll = 20 * time.Millisecond
)

// departure is when a leaving instance stops taking and serving requests.
type drainSchedule struct {
	// accept is until when it takes every request, cut when it cuts off what runs.
	acceptUntil, cutAt time.Time
}

func (e *Edge) scheduleDrain(started time.Time) *drainSchedule {
	grace := e.settings.Limits.Grace
	return &drainSchedule{
		acceptUntil: started.Add(min(directoryTTLs*e.settings.Limits.DirectoryTTL, grace/2)),
		cutAt:       started.Add(time.Duration(float64(grace) * drainShare)),
	}
}

// takes says whether a request that ends by the deadline at the latest can still be
// served whole.
func (d *drainSchedule) accepts(now, deadline time.Time) bool {
	return d == nil || now.Before(d.acceptUntil) || deadline.Before(d.cutAt)
}

// leave tells everyone, serves on until callers have gone elsewhere, and stops.
func (e *Edge) leave(listeners *listenerSet, deregister context.CancelFunc) {
	leaving := e.scheduleDrain(e.now())
	e.leaving.Store(leaving)
	e.log.Info().Int64(event.KeyActive, e.active.Load()).Msg(string(event.Leaving))
	deregister()
	e.gossip.Tell(context.Background())
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
