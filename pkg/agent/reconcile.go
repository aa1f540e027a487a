package agent

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// Timing of the shutdown.
const (
	// LeaveTimeout bounds the goodbye calls to peers.
	LeaveTimeout = time.Second
	// GatewayLeavingWait is the time that a stopping agent waits to see whether its
	// gateway is stopping too.
	GatewayLeavingWait = 2 * time.Second
)

// reconcileLoop keeps the blackboard and the set of running jobs up to date.
func (a *Agent) reconcileLoop(ctx context.Context) {
	jobs := newJobSet()
	defer jobs.stop()
	ticker := time.NewTicker(ReconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.beat:
			a.wakePeers()
			continue
		case <-a.dirty:
		case <-ticker.C:
		}
		now := time.Now()
		a.publish(now)
		workers := a.mesh.workers(now)
		wanted := make(map[string]job)
		addJobs(wanted, "beat ", a.beatJobs(now))
		addJobs(wanted, "digest ", a.digestJobs(workers))
		addJobs(wanted, "poll ", a.pollJobs(workers))
		jobs.sync(ctx, wanted)
	}
}

func addJobs(all map[string]job, kind string, some map[string]job) {
	for name, run := range some {
		all[kind+name] = run
	}
}

// publish stores the sections that have changed. Changes of membership and of
// states trigger an exchange with the gateway at once; loads change with each
// request, and are sent with the next exchange that is due.
func (a *Agent) publish(now time.Time) {
	a.publishPlatform(now)
	members, upstreams, domains := a.mesh.snapshot(now, a.ownUpstreams())
	urgent := !sameMembership(a.board.Members.Load(), members) || !sameStates(a.board.Upstreams.Load(), upstreams)
	store(&a.board.Members, members, sameMembers, a.refreshDue(now, &a.published.members))
	store(&a.board.Upstreams, upstreams, sameUpstreams, a.refreshDue(now, &a.published.upstreams))
	store(&a.board.Domains, domains, sameDomains, a.refreshDue(now, &a.published.domains))
	if urgent {
		a.exchange.raise()
	}
}

// published holds the time at which each section was last stored.
type published struct{ members, upstreams, domains time.Time }

// refreshDue returns a function that reports whether a section is due to be stored
// although only its timestamps changed.
func (a *Agent) refreshDue(now time.Time, last *time.Time) func(stored bool) bool {
	return func(stored bool) bool {
		if stored {
			*last = now
		}
		return now.Sub(*last) >= RefreshInterval
	}
}

// store replaces a section if its content changed or it is due.
func store[T any](section *board.Section[T], value *T, same func(a, b *T) bool, due func(stored bool) bool) {
	before := section.Load()
	if before == nil || !same(before, value) || due(false) {
		section.Store(value)
		due(true)
	}
}

// sameMembership reports whether both sections have the same instances, equal in
// all but their last heartbeat and load; of the load only the successor counts.
func sameMembership(a, b *board.Members) bool {
	return a != nil && slices.EqualFunc(a.Instances, b.Instances, func(x, y board.Instance) bool {
		x.LastHeard, y.LastHeard = time.Time{}, time.Time{}
		successor := x.Load.Successor == y.Load.Successor
		x.Load, y.Load = board.GatewayLoad{}, board.GatewayLoad{}
		return successor && reflect.DeepEqual(x, y)
	})
}

// sameStates reports whether both sections have the same upstreams in the same
// states.
func sameStates(a, b *board.Upstreams) bool {
	return a != nil && maps.EqualFunc(a.ByName, b.ByName, func(x, y board.UpstreamLoad) bool { return x.State == y.State })
}

func sameMembers(a, b *board.Members) bool {
	if len(a.Instances) != len(b.Instances) {
		return false
	}
	for i := range a.Instances {
		x, y := a.Instances[i], b.Instances[i]
		x.LastHeard, y.LastHeard = time.Time{}, time.Time{}
		if !reflect.DeepEqual(x, y) {
			return false
		}
	}
	return true
}

func sameUpstreams(a, b *board.Upstreams) bool { return maps.EqualFunc(a.ByName, b.ByName, sameLoad) }

func sameDomains(a, b *board.Domains) bool {
	if len(a.Remote) != len(b.Remote) {
		return false
	}
	for i := range a.Remote {
		x, y := &a.Remote[i], &b.Remote[i]
		if x.Domain != y.Domain || x.Sequence != y.Sequence {
			return false
		}
	}
	return true
}

// ownUpstreams returns the names of the own domain's upstreams.
func (a *Agent) ownUpstreams() []string {
	head := a.keeper.Head()
	if head == nil {
		return nil
	}
	var names []string
	for i := range head.Declaration.Upstreams {
		if head.Declaration.Upstreams[i].Domain == a.Settings.Domain {
			names = append(names, head.Declaration.Upstreams[i].Name)
		}
	}
	return names
}

// leave takes the instance out of service: it is marked as leaving everywhere, a
// gateway that is leaving too is given the time to end its streams, and then the
// agent says goodbye to its peers.
func (a *Agent) leave(ctx context.Context) {
	a.Log.Info().Msg("leaving")
	a.mesh.setLeaving(time.Now())
	a.wakePeers()
	if a.Directory != nil {
		if err := a.updateDirectory(ctx, false); err != nil {
			a.Log.Warn().Err(err).Msg("deregistration-failed")
		}
	}
	a.awaitGateway(ctx)
	a.sendGoodbye(ctx)
}

// drainLimit returns the time that the gateway may take to end its streams.
func (a *Agent) drainLimit() time.Duration {
	if drain := a.Settings.Gateway.Drain; drain > 0 {
		return drain
	}
	return settings.DefaultDrain
}

// awaitGateway waits while the own gateway is leaving.
func (a *Agent) awaitGateway(ctx context.Context) {
	leaveDeadline := time.Now().Add(GatewayLeavingWait)
	drainDeadline := time.Now().Add(a.drainLimit())
	for time.Now().Before(drainDeadline) && clock.Sleep(ctx, ReadinessCheck) {
		up, reply := a.gateway.state()
		if !up || (!reply.Leaving && time.Now().After(leaveDeadline)) {
			return
		}
	}
}

func (a *Agent) sendGoodbye(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, LeaveTimeout)
	defer cancel()
	args := &control.Goodbye{From: a.Settings.Instance, Epoch: a.Epoch}
	var group sync.WaitGroup
	for _, peer := range a.mesh.peers(time.Now()) {
		group.Go(func() {
			if err := a.clients.Call(ctx, peer.Mesh, control.MeshService+".Goodbye", args, new(control.OfferReply)); err != nil {
				a.Log.Debug().Err(err).Msg("goodbye-failed")
			}
		})
	}
	group.Wait()
}
