package edge

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
)

// An upstream may turn cold at any moment. Its entry in the platform's store says so, and its answers
// to questions about its health. Where the entry may be out of date, the upstream is asked.

const (
	// cutOffAfter is after what time without a word of the store, and of any other region, an instance
	// counts itself as cut off: ten rounds.
	partitionedAfter = time.Second
	// askEvery is, for each instance of the region, how often an instance that is cut off asks an
	// upstream at most whether it is cold: 50 questions a second at one upstream from all of them.
	partitionedQueryInterval = 20 * time.Millisecond
)

// OtherUpstreamError is an answer about the health of another upstream than the one that was asked.
type WrongUpstreamError struct {
	// Status is the answer's; Said who answers, empty where it does not say.
	Status            int
	Queried, Answered string
}

// Error implements error.
func (e *WrongUpstreamError) Error() string {
	return fmt.Sprintf("health of %s: status %d is an answer of %q", e.Queried, e.Status, e.Answered)
}

// coldOf asks an upstream for how long it is still cold.
func (e *Edge) fetchColdTime(ctx context.Context, upstream *fleet.Upstream, path string) (time.Duration, error) {
	answer, reading, err := e.query(ctx, upstream, e.dialect.HealthRequest(upstream.Address, path))
	if err != nil {
		return 0, err
	}
	defer answer.Close()
	if reading.Upstream != upstream.Name {
		return 0, &WrongUpstreamError{Status: answer.Status, Queried: upstream.Name, Answered: reading.Upstream}
	}
	// The connection can be used again once the answer has been read.
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, maxBuffered)); err != nil {
		return 0, err
	}
	return reading.ColdFor, nil
}

// inDoubt returns since when it is not known whether an upstream is cold; zero: it is known, or it
// has been warm since then in any case.
func (e *Edge) uncertainSince(upstream *fleet.Upstream, service *httproute.Service, now time.Time) time.Time {
	view := e.board.Fleet.Load()
	if view == nil {
		return time.Time{}
	}
	since := view.InDoubt(upstream, now)
	if since.IsZero() || now.Sub(since) > warmUpOf(service) {
		return time.Time{}
	}
	return since
}

// service is what the configuration says of an upstream's service; nil: nothing.
func (e *Edge) service(upstream *fleet.Upstream) *httproute.Service {
	if config := e.board.Routes.Load(); config != nil {
		return config.Service(upstream.Service)
	}
	return nil
}

// warmUpOf is for how long an upstream of a service is cold at most, as far as is known.
func warmUpOf(service *httproute.Service) time.Duration {
	return cmp.Or(service.WarmUp, defaultWarmUp)
}

// boundUnasked bounds what an upstream of a service gets between two of its answers, where the instance is cut off:
// one that has turned cold since the last of them then gets no more than a cold one may.
func (e *Edge) boundUnconfirmed(check *coldCheck, service *httproute.Service) {
	if !e.isPartitioned(check.now) {
		return
	}
	instances := max(minInstances, e.regionInstances())
	check.maxUnconfirmed = max(1, int(e.coldAllowance(service))/instances)
	check.queryInterval = partitionedQueryInterval * time.Duration(instances)
	check.warmUp = warmUpOf(service)
}

// countUnasked counts a request to an upstream where boundUnasked bounds them.
func (e *Edge) countUnconfirmed(upstream *fleet.Upstream) {
	if e.isPartitioned(e.now()) {
		e.suspicions.countSend(upstream.ID)
	}
}

// isCutOff says whether neither the store nor another region was heard lately. An instance that
// has never heard another region cannot tell.
func (e *Edge) isPartitioned(now time.Time) bool {
	lastRemote := e.gossip.View().Load().HeardAbroad()
	return !lastRemote.IsZero() && now.Sub(lastRemote) > partitionedAfter && now.Sub(e.store.Reached()) > partitionedAfter
}
