package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
)

// An answer with neither a length nor chunks ends with its connection, and so does one that the
// crash of its upstream cuts off. Only the upstream's state tells which.

// errUpstreamEnded means that the upstream ended together with an answer whose end shows nothing.
var errUpstreamEnded = errors.New("the upstream ended together with its answer")

// errUpstreamLeft means the same of an upstream that was leaving.
var errUpstreamLeft = errors.New("the leaving upstream does not accept connections any more")

// errUnframedPeer means that an answer of another instance ended with its connection.
var errUnframedPeer = errors.New("the instance's answer has neither a length nor chunks")

// endProbes is the number of connections that are tried to learn whether an upstream has ended: the first packet of
// one may be lost.
const endProbes = 2

// checkEnd returns an error unless it is certain that an answer that was read to its end was not cut off by
// the end of the upstream: a new connection to it must be made, since an idle one may have failed silently. An upstream
// that drains finishes its answers before it ends: a stream that may be resumed is continued elsewhere, and is complete
// if nothing follows. Another instance marks the end of each body.
func (c *call) checkEnd(ctx context.Context, answer *exchange.Answer) error {
	if !answer.EndsWithConnection() || !answer.Complete() {
		return nil
	}
	if c.peer {
		if c.request.Method == http.MethodHead {
			return nil
		}
		return &exchange.Error{Stage: exchange.Sent, Target: c.target, Err: errUnframedPeer}
	}
	c.counts.series.Counter("answers.unframed").Inc(1)
	c.logUnframed()
	c.await(func() { clock.Sleep(ctx, crashProbeDelay) })
	if c.restartedUnread(ctx) {
		c.counts.series.Counter("answers.cut").Inc(1)
		return &exchange.Error{Stage: exchange.Sent, Target: c.target, Err: errUpstreamEnded}
	}
	// The connection replaces the one that the answer has used up.
	var err error
	for range endProbes {
		c.await(func() { err = c.pool.Probe(ctx, c.target) })
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	if err == nil {
		return nil
	}
	if !errors.Is(err, syscall.ECONNREFUSED) || !c.isLeaving(c.target.ID) {
		c.counts.series.Counter("answers.cut").Inc(1)
		return &exchange.Error{Stage: exchange.Sent, Target: c.target, Err: fmt.Errorf("%w: %w", errUpstreamEnded, err)}
	}
	continues := c.route.Kind == httproute.Streaming && c.route.Resumable && c.writer.started
	if continues || !c.finishesAnswers(c.target.ID) {
		return &exchange.Error{Stage: exchange.Sent, Target: c.target, Err: errUpstreamLeft}
	}
	return nil
}

// restartedUnread reports whether an upstream has started again before its answer, which the caller held up,
// was read to its end. Connections to its address then show only that the new process lives.
func (c *call) restartedUnread(ctx context.Context) bool {
	if c.writer.waited <= c.waitedBefore {
		return false
	}
	upstream, view := c.to.survey.Best.Upstream, c.board.Fleet.Load()
	if view.Find(upstream.ID) == nil {
		return slices.ContainsFunc(view.Upstreams, func(u fleet.Upstream) bool { return u.Address == upstream.Address })
	}
	if upstream.StartedAt == 0 || c.tracker.RequestedBackoff(upstream.ID) > 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var began int64
	var err error
	c.await(func() { began, err = c.fetchStartTime(ctx, upstream) })
	return err == nil && began > upstream.StartedAt
}

// finishesAnswers reports whether an upstream that leaves ends only after its answers. One that is reclaimed does not,
// and of one without an entry it is not known.
func (e *Edge) finishesAnswers(id string) bool {
	upstream := e.board.Fleet.Load().Find(id)
	return upstream != nil && upstream.Draining && !upstream.Reclaimed
}

// isLeaving reports whether an upstream is leaving, by its entry in the store or by its own report.
func (e *Edge) isLeaving(id string) bool {
	upstream := e.board.Fleet.Load().Find(id)
	return (upstream != nil && upstream.Draining) || e.departures.Leaving(id)
}
