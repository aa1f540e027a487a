package edge

import (
	"context"
	"errors"
	"io"
	"slices"
)

// A sound upstream may fall silent and go on, so its silence ends no attempt. While the upstream of
// an attempt is silent, the request is also sent to another one, if its route, its attempts and the
// retry budget permit that: this is a hedge. The first attempt that delivers the next part of the
// answer goes on, and the other one is cancelled. Without a hedge, or after a failed one, the
// attempt goes on waiting.
//
// The attempts of a request share its job. Only the one that holds the turn reads or changes it, and
// it releases the turn while it waits for the network.

// errOvertaken cancels an attempt when another one has delivered a part of the answer.
var errOvertaken = errors.New("another attempt delivers the answer")

// maxConcurrentAttempts bounds the attempts of one request that run at the same time.
const maxConcurrentAttempts = 2

// await runs a function that waits for the network, without the turn.
func (j *job) await(wait func()) {
	j.turn.Unlock()
	defer j.turn.Lock()
	wait()
}

// read reads from an answer, without the turn.
func (c *call) read(from io.Reader, p []byte) (n int, err error) {
	c.await(func() { n, err = from.Read(p) })
	return n, err
}

// enter adds an attempt to those in progress, until the returned function is called. The returned
// context ends when the attempt is overtaken.
func (c *call) enter(ctx context.Context) (context.Context, func()) {
	attempt, cancel := context.WithCancelCause(ctx)
	c.cancel = cancel
	c.inProgress = append(c.inProgress, c)
	return attempt, func() {
		c.inProgress = slices.DeleteFunc(c.inProgress, func(other *call) bool { return other == c })
		cancel(nil)
	}
}

// overtake makes this attempt the one that answers the caller and cancels the others. It returns
// false if another one answers.
func (c *call) overtake() bool {
	if c.overtaken {
		return false
	}
	for _, other := range c.inProgress {
		if other != c {
			other.overtaken = true
			other.cancel(errOvertaken)
		}
	}
	return true
}

// requestHedge has a hedge made beside an attempt that is stalled. It does not block.
func (c *call) requestHedge(ctx context.Context) {
	if !c.hedgeRequested.CompareAndSwap(false, true) {
		return
	}
	c.hedges.Go(func() {
		c.turn.Lock()
		defer c.turn.Unlock()
		c.hedgeRequested.Store(false)
		c.hedge(ctx)
	})
}

// hedge makes a second attempt beside one that is stalled, if that is permitted. The caller holds the
// turn.
func (c *call) hedge(ctx context.Context) {
	if ctx.Err() != nil || !slices.Contains(c.inProgress, c) || len(c.inProgress) >= maxConcurrentAttempts {
		return
	}
	if c.attemptsLeft <= 0 || c.sends+c.sendsInProgress() >= maxSends || c.quarantineRefusal() != nil {
		return
	}
	to, _ := c.next()
	if to == nil || !c.retries.TakeSpare(c.service.Name, c.sharingInstances()) {
		return
	}
	to.hedge = true
	c.logHedge(to)
	ended := c.attempt(ctx, to)
	if ended == notRun && to.sends == 0 {
		c.retries.Release(c.service.Name)
	}
	c.counts.hedgeEnded(ended)
}

// sendsInProgress returns the number of attempts in progress that are not counted as sends yet.
func (j *job) sendsInProgress() int {
	pending := 0
	for _, other := range j.inProgress {
		if !other.counted {
			pending++
		}
	}
	return pending
}

// awaitHedges waits for the hedges of an attempt that has ended.
func (j *job) awaitHedges() { j.await(j.hedges.Wait) }
