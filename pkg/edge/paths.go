package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// Whether an upstream can be reached is a property of the pair of instance and upstream. An
// instance to which no connection is possible probes for one, and sends no requests meanwhile.

const (
	// minPathProbeInterval and maxPathProbeInterval bound the pauses between the probes of a lost
	// path. They double from probe to probe, and are varied by up to a quarter, so that instances
	// do not return all at once.
	minPathProbeInterval = 100 * time.Millisecond
	maxPathProbeInterval = time.Second
	// suspicionInterval separates the probes of a path that is not known to be lost.
	suspicionInterval = time.Second
	// sampledPaths is the number of other paths that are probed after one was lost. If all of
	// them are lost as well, the rest is probed.
	sampledPaths = 2
)

// paths holds the upstreams to which this instance can make no connection, or may not. It is safe
// for concurrent use.
type paths struct {
	mu sync.Mutex
	// byUpstream holds the paths that are lost or suspected to be.
	byUpstream map[string]*pathState
	// reachedAt holds the time of the last successful probe of each suspected path.
	reachedAt map[string]time.Time
	// size is the length of byUpstream. While it is zero, a decision takes no lock.
	size atomic.Int64
	// changed wakes the prober after a path was added.
	changed chan struct{}
}

type pathState struct {
	// lost is false while a suspicion is not confirmed.
	lost            bool
	since, probeDue time.Time
	// interval is the pause before the next probe. probing is true while one runs.
	interval time.Duration
	probing  bool
}

func newPaths() *paths {
	return &paths{byUpstream: make(map[string]*pathState), reachedAt: make(map[string]time.Time), changed: make(chan struct{}, 1)}
}

// add adds a path to probe. The caller holds p.mu.
func (p *paths) add(upstream string, added *pathState) {
	p.byUpstream[upstream] = added
	p.size.Store(int64(len(p.byUpstream)))
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// suspect has the path to an upstream probed, unless it is or was lately.
func (p *paths) suspect(upstream string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspectLocked(upstream, now)
}

// suspectLocked is suspect and reports whether the path is to be probed. The caller holds p.mu.
func (p *paths) suspectLocked(upstream string, now time.Time) bool {
	if p.byUpstream[upstream] != nil || now.Sub(p.reachedAt[upstream]) < suspicionInterval {
		return false
	}
	p.add(upstream, &pathState{since: now, probeDue: now, interval: minPathProbeInterval})
	return true
}

// suspectOthers has paths to other upstreams probed after one was lost: some, or all once several
// are lost, unless a probe has reached one of them lately.
func (p *paths) suspectOthers(upstreams []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := 0
	for _, upstream := range upstreams {
		if known := p.byUpstream[upstream]; known != nil && known.lost {
			lost++
		} else if now.Sub(p.reachedAt[upstream]) < suspicionInterval {
			return
		}
	}
	probes := sampledPaths
	if lost > sampledPaths {
		probes = len(upstreams)
	}
	for _, n := range rand.Perm(len(upstreams)) {
		if probes > 0 && p.suspectLocked(upstreams[n], now) {
			probes--
		}
	}
}

// markLost records that no connection to an upstream could be made. It returns false if that was
// known.
func (p *paths) markLost(upstream string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byUpstream[upstream]
	if known == nil {
		p.add(upstream, &pathState{lost: true, since: now, probeDue: now.Add(vary(minPathProbeInterval)), interval: minPathProbeInterval})
		return true
	}
	found := !known.lost
	known.lost = true
	return found
}

// reached records that a connection to an upstream was made, and returns for how long its path
// was lost.
func (p *paths) reached(upstream string, now time.Time) (lostFor time.Duration, wasLost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byUpstream[upstream]
	if known == nil {
		return 0, false
	}
	delete(p.byUpstream, upstream)
	p.size.Store(int64(len(p.byUpstream)))
	p.reachedAt[upstream] = now
	return now.Sub(known.since), known.lost
}

// forget deletes the records of an upstream that was removed.
func (p *paths) forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byUpstream, upstream)
	delete(p.reachedAt, upstream)
	p.size.Store(int64(len(p.byUpstream)))
}

// isLost reports whether no connection to an upstream can be made.
func (p *paths) isLost(upstream string) bool {
	if p.size.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byUpstream[upstream]
	return known != nil && known.lost
}

// due returns the upstreams to probe now.
func (p *paths) due(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	for upstream, path := range p.byUpstream {
		if !path.probing && !now.Before(path.probeDue) {
			path.probing = true
			due = append(due, upstream)
		}
	}
	return due
}

// probeFailed schedules the next probe of an upstream.
func (p *paths) probeFailed(upstream string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path := p.byUpstream[upstream]; path != nil {
		path.probing, path.interval = false, min(2*path.interval, maxPathProbeInterval)
		path.probeDue = now.Add(vary(path.interval))
	}
}

// vary changes a duration at random by up to a quarter.
func vary(d time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*rand.Float64()) * float64(d))
}

// recordUnreachable records that no connection to an upstream could be made, if that is the
// error of an attempt.
func (e *Edge) recordUnreachable(upstream *fleet.Upstream, err error) {
	if errors.Is(err, exchange.ErrUnreachable) && e.paths.markLost(upstream.ID, e.now()) {
		e.log.Warn().Err(err).Str(event.KeyUpstream, upstream.ID).Msg(string(event.PathLost))
		e.paths.suspectOthers(e.regionalUpstreams(), e.now())
	}
}

// regionalUpstreams returns the IDs of the usable upstreams of the own region.
func (e *Edge) regionalUpstreams() []string {
	view := e.board.Fleet.Load()
	if view == nil {
		return nil
	}
	var ids []string
	for i := range view.Upstreams {
		if upstream := &view.Upstreams[i]; upstream.Region == e.settings.Region && view.Usable(upstream) {
			ids = append(ids, upstream.ID)
		}
	}
	return ids
}

// probePaths probes the lost paths until ctx ends.
func (e *Edge) probePaths(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for ctx.Err() == nil {
		for _, id := range e.paths.due(e.now()) {
			probes.Go(func() { e.probePath(ctx, id) })
		}
		if e.paths.size.Load() == 0 {
			select {
			case <-e.paths.changed:
			case <-ctx.Done():
			}
			continue
		}
		clock.Sleep(ctx, minPathProbeInterval/2)
	}
}

func (e *Edge) probePath(ctx context.Context, id string) {
	upstream := e.board.Fleet.Load().Find(id)
	if upstream == nil {
		e.paths.forget(id)
		return
	}
	place, ok := e.places.Enter(id, e.part(upstream), 0)
	if !ok {
		// A new connection may occupy a slot for a moment.
		e.paths.probeFailed(id, e.now())
		return
	}
	defer place.GivenUp()
	err := e.upstreams.Probe(ctx, exchange.Target{ID: upstream.ID, Address: upstream.Address})
	if err != nil {
		e.recordUnreachable(upstream, err)
		e.paths.probeFailed(id, e.now())
		return
	}
	if lostFor, wasLost := e.paths.reached(id, e.now()); wasLost {
		e.log.Info().Str(event.KeyUpstream, id).Int64(event.KeyForMS, lostFor.Milliseconds()).Msg(string(event.PathRestored))
	}
}

// withoutConnection reports whether an upstream's path is lost and no earlier connection is kept
// either: such connections may live on while no new one can be made.
func (e *Edge) withoutConnection(upstream string) bool {
	return e.paths.isLost(upstream) && !e.upstreams.Connected(upstream)
}

// unreachableServices returns the services of which no upstream of the own region can be reached,
// sorted by name.
func (e *Edge) unreachableServices() []string {
	view := e.board.Fleet.Load()
	if e.paths.size.Load() == 0 || view == nil {
		return nil
	}
	reached := make(map[string]bool)
	for i := range view.Upstreams {
		upstream := &view.Upstreams[i]
		if upstream.Region != e.settings.Region || !view.Usable(upstream) {
			continue
		}
		reached[upstream.Service] = reached[upstream.Service] || !e.paths.isLost(upstream.ID)
	}
	var without []string
	for service, reaches := range reached {
		if !reaches {
			without = append(without, service)
		}
	}
	slices.Sort(without)
	return without
}
