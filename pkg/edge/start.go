package edge

import (
	"context"
	"time"
)

// Bounds of an instance's start.
const (
	// startWindow is for how long after its start an instance may not know yet what it is
	// about to be told.
	startWindow = 2 * time.Second
	// startPatience is for how long a request waits for that. An instance far from the
	// store reads it 0.25 s after its start and hears other regions 0.25 s later. Callers
	// try once or twice: after a restart of everything the refusal would be their last.
	maxStartWait = 600 * time.Millisecond
)

// await waits until ready, if the instance has just begun and the store answers, and says
// whether it is.
func (j *job) awaitReady(ctx context.Context, ready func() bool) bool {
	if ready() {
		return true
	}
	if !j.starting() {
		return false
	}
	until := j.started.Add(maxStartWait)
	if end := j.startedAt.Add(startWindow); end.Before(until) {
		until = end
	}
	ctx, cancel := context.WithTimeout(ctx, until.Sub(j.now()))
	defer cancel()
	for {
		routes, upstreams, peers := j.board.Routes.Changed(), j.board.Fleet.Changed(), j.gossip.View().Changed()
		if ready() {
			return true
		}
		if ctx.Err() != nil || j.store.Lost() {
			return false
		}
		select {
		case <-routes:
		case <-upstreams:
		case <-peers:
		case <-ctx.Done():
		}
	}
}

// starting says whether the instance has just begun.
func (e *Edge) starting() bool { return e.now().Sub(e.startedAt) < startWindow }

// configured says whether the instance can route anything.
func (e *Edge) configured() bool {
	return e.board.Routes.Load() != nil && e.board.Fleet.Load() != nil
}

// nextAtStart is next for a request that found nothing and may yet, since the instance has
// just begun and does not hear all others.
func (j *job) nextDuringStart(ctx context.Context) (chosen *target) {
	j.awaitReady(ctx, func() bool {
		if !j.gossip.Unheard() {
			return true
		}
		chosen, _ = j.next()
		return chosen != nil
	})
	if chosen == nil {
		chosen, _ = j.next()
	}
	return chosen
}
