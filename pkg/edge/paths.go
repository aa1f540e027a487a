package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// Whether an upstream can be reached is a property of the pair of instance and upstream. An
// instance to which no connection is possible probes for one, and sends no requests meanwhile.

const (
	// pathProbeInterval separates the probes of a lost path, minPathProbeInterval the first of
	// them. Each is varied by up to a quarter, so that instances do not return all at once.
	minPathProbeInterval = 100 * time.Millisecond
	maxPathProbeInterval = time.Second
)

// paths holds the upstreams to which this instance can make no connection. It is safe for
// concurrent use.
type paths struct {
	mu   sync.Mutex
	lost map[string]*lostPath
	// size is the length of lost. While it is zero, a decision takes no lock.
	size atomic.Int64
	// changed wakes the prober after a path was lost.
	changed chan struct{}
}

type lostPath struct {
	since, probeDue time.Time
	interval        time.Duration
	probing         bool
}

func newPaths() *paths {
	return &paths{lost: make(map[string]*lostPath), changed: make(chan struct{}, 1)}
}

// markLost records that no connection to an upstream could be made. It returns false if that was
// known.
func (p *paths) markLost(upstream string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost[upstream] != nil {
		return false
	}
	p.lost[upstream] = &lostPath{since: now, probeDue: now.Add(vary(minPathProbeInterval)), interval: minPathProbeInterval}
	p.size.Store(int64(len(p.lost)))
	select {
	case p.changed <- struct{}{}:
	default:
	}
	return true
}

// remove deletes the record of an upstream, and returns for how long its path was lost.
func (p *paths) remove(upstream string, now time.Time) (lostFor time.Duration, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.lost[upstream]
	if path == nil {
		return 0, false
	}
	delete(p.lost, upstream)
	p.size.Store(int64(len(p.lost)))
	return now.Sub(path.since), true
}

// isLost reports whether no connection to an upstream can be made.
func (p *paths) isLost(upstream string) bool {
	if p.size.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost[upstream] != nil
}

// due returns the upstreams to probe now.
func (p *paths) due(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	for upstream, path := range p.lost {
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
	if path := p.lost[upstream]; path != nil {
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
	}
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
		timer := time.NewTimer(minPathProbeInterval / 2)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (e *Edge) probePath(ctx context.Context, id string) {
	upstream := e.board.Fleet.Load().Find(id)
	if upstream == nil {
		e.paths.remove(id, e.now())
		return
	}
	err := e.upstreams.Probe(ctx, exchange.Target{ID: upstream.ID, Address: upstream.Address})
	if err != nil {
		e.paths.probeFailed(id, e.now())
		return
	}
	if lostFor, found := e.paths.remove(id, e.now()); found {
		e.log.Info().Str(event.KeyUpstream, id).Int64(event.KeyForMS, lostFor.Milliseconds()).Msg(string(event.PathRestored))
	}
}
