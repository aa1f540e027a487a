package edge

import (
	"context"
	"time"
)

// Times of an instance's start.
const (
	// startWindow is the time after its start in which an instance may lack information that it
	// is about to receive.
	startWindow = 2 * time.Second
	// maxStartWait is the longest time for which a request waits for that information. An
	// instance far from the store reads it 0.25 s after its start and receives reports of other
	// regions 0.25 s later. Callers make one or two attempts, so after a restart of all instances
	// a refusal would use up their last one.
	maxStartWait = 600 * time.Millisecond
)

// awaitReady waits until ready returns true, if the instance has just started and the store
// answers, and returns its result.
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
		if ctx.Err() != nil || j.store.LastCallFailed() {
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

// starting reports whether the instance has just started.
func (e *Edge) starting() bool { return e.now().Sub(e.startedAt) < startWindow }

// configured reports whether the instance can route requests.
func (e *Edge) configured() bool {
	return e.board.Routes.Load() != nil && e.board.Fleet.Load() != nil
}

// nextDuringStart is next for a request that found no target and may still find one, since the
// instance has just started and has not received all reports.
func (j *job) nextDuringStart(ctx context.Context) (chosen *target) {
	j.awaitReady(ctx, func() bool {
		if !j.gossip.HasUnreachableDomain() {
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
