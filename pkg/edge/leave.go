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
	staleTTL = 3
	// drainPart of the grace is when requests that still run are cut off; the rest is
	// for the end of the process.
	drainPart = 0.97
	// drainPoll is how often a leaving instance looks whether it is idle.
	drainPoll = 20 * time.Millisecond
)

// departure is when a leaving instance stops taking and serving requests.
type departure struct {
	// accept is until when it takes every request, cut when it cuts off what runs.
	accept, cut time.Time
}

func (e *Edge) depart(started time.Time) *departure {
	grace := e.settings.Limits.Grace
	return &departure{
		accept: started.Add(min(staleTTL*e.settings.Limits.DirectoryTTL, grace/2)),
		cut:    started.Add(time.Duration(float64(grace) * drainPart)),
	}
}

// takes says whether a request that ends by the deadline at the latest can still be
// served whole.
func (d *departure) takes(now, deadline time.Time) bool {
	return d == nil || now.Before(d.accept) || deadline.Before(d.cut)
}

// leave tells everyone, serves on until callers have gone elsewhere, and stops.
func (e *Edge) leave(doors *doors, deregister context.CancelFunc) {
	leaving := e.depart(e.now())
	e.leaving.Store(leaving)
	e.log.Info().Int64(event.KeyActive, e.active.Load()).Msg(string(event.Leaving))
	deregister()
	e.gossip.ReportNow(context.Background())
	clock.Sleep(context.Background(), leaving.accept.Sub(e.now()))
	for e.active.Load() > 0 && e.now().Before(leaving.cut) {
		clock.Sleep(context.Background(), drainPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), leaving.cut)
	defer cancel()
	var all errgroup.Group
	for _, door := range doors.http {
		all.Go(func() error { return door.server.Shutdown(ctx) })
	}
	if err := all.Wait(); err != nil {
		e.log.Warn().Err(err).Int64(event.KeyActive, e.active.Load()).Msg(string(event.RequestsCutOff))
	}
}
