package edge

import (
	"context"
	"errors"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/warmth"
)

// Times of suspicions and of status queries.
const (
	// queryRetryInterval separates queries to an upstream whose answers settle nothing.
	queryRetryInterval = 300 * time.Millisecond
	// queryTimeout bounds a query: a round trip inside the region, and some processing.
	queryTimeout = 300 * time.Millisecond
)

// suspect raises a suspicion about an upstream after a failed exchange if the upstream may have
// restarted. An upstream with a new name at each start needs none: it would refuse requests for
// another.
func (e *Edge) suspect(upstream *fleet.Upstream, err error) {
	var failure *exchange.Error
	if upstream.StartedAt == 0 || !errors.As(err, &failure) || errors.Is(err, exchange.ErrFull) || errors.Is(err, context.Canceled) {
		return
	}
	e.warmth.Suspect(upstream.ID, failure.Stage == exchange.Unsent, e.now())
	e.mayBeCold(upstream, e.service(upstream))
}

// queryStatus queries an upstream for its start time and its cold state, not before a time at which the query counts
// as begun.
func (e *Edge) queryStatus(upstream *fleet.Upstream, began time.Time) {
	if wait := began.Sub(e.now()); wait > 0 {
		clock.Sleep(context.Background(), wait)
		if e.tracker.RequestedBackoff(upstream.ID) > 0 {
			e.warmth.AbandonQuery(upstream.ID, began)
			return
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	known, counted := e.warmth.WarmAt(upstream.ID), e.countedAsWarm(upstream, e.now())
	reported, err := e.fetchSelfReport(ctx, upstream)
	now := e.now()
	if err != nil {
		e.warmth.FinishQuery(upstream.ID, began, nil, upstream.StartedAt, now)
		e.log.Debug().Err(err).Str(event.KeyUpstream, upstream.ID).Msg(string(event.UpstreamSilent))
		return
	}
	e.warmth.FinishQuery(upstream.ID, began, &reported, upstream.StartedAt, now)
	switch {
	case reported.StartTime > upstream.StartedAt:
		e.log.Warn().Str(event.KeyUpstream, upstream.ID).Int64(event.KeyBegan, reported.StartTime).Msg(string(event.UpstreamReborn))
	case reported.ColdFor > 0 && !upstream.Cold(now):
		// Where it was in doubt, the others doubt it too.
		if e.recordTurnedCold(upstream, warmth.Asked, reported.ColdFor, known) && counted {
			e.gossip.AnnounceWarmth(context.Background())
		}
	}
}

// fetchSelfReport queries an upstream for its report; both of its parts at once, as a query takes as long as it
// waits in line on a busy link. An upstream with a new name at each start is not queried for its start time.
func (e *Edge) fetchSelfReport(ctx context.Context, upstream *fleet.Upstream) (warmth.Report, error) {
	var reported warmth.Report
	// One that fails ends no connection of the other.
	var queries errgroup.Group
	if upstream.StartedAt != 0 {
		queries.Go(func() (err error) {
			reported.StartTime, err = e.fetchStartTime(ctx, upstream)
			return err
		})
	}
	if service := e.service(upstream); service != nil && service.HealthPath != "" {
		reported.ColdKnown = true
		queries.Go(func() (err error) {
			reported.ColdFor, err = e.fetchColdTime(ctx, upstream, service.HealthPath)
			return err
		})
	}
	err := queries.Wait()
	return reported, err
}

// fetchStartTime queries an upstream for its start time in Unix milliseconds by its own clock,
// zero if it reports none.
func (e *Edge) fetchStartTime(ctx context.Context, upstream *fleet.Upstream) (int64, error) {
	answer, _, err := e.query(ctx, upstream, e.dialect.StatusRequest(upstream.Address))
	if err != nil {
		return 0, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered))
	if err != nil {
		return 0, err
	}
	return e.dialect.Started(answer.Status, body)
}

// query sends an upstream a request of this instance's own, and records what the answer's head
// reports. The caller closes the answer.
func (e *Edge) query(ctx context.Context, upstream *fleet.Upstream, request *exchange.Request) (*exchange.Answer, Reading, error) {
	sent := e.now()
	answer, err := e.upstreams.Do(ctx, exchange.Target{ID: upstream.ID, Address: upstream.Address}, request)
	if err != nil {
		return nil, Reading{}, err
	}
	reading := e.dialect.Reading(answer.Status, answer.Header)
	e.recordState(upstream, &reading, sent)
	return answer, reading, nil
}
