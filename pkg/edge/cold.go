package edge

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/warmth"
)

// An upstream may turn cold at any time. Its entry in the platform's store gives its cold time,
// and so do its answers to health queries; pkg/warmth tells which proves what. Requests to an upstream
// that has not confirmed for some time that it is warm are bounded like those to a cold one.

const (
	// partitionedAfter is the time without any contact with the store or another region after
	// which an instance considers itself partitioned: ten rounds of gossip.
	partitionedAfter = time.Second
	// maxQueries is the number of queries that all instances of a region together send within any queryWindow to an
	// upstream that counts as warm, unless requests wait for the answers; on average if the instances are more.
	maxQueries  = 100
	queryWindow = 2 * time.Second
)

// WrongUpstreamError reports a health answer of another upstream than the queried one.
type WrongUpstreamError struct {
	// Status is the status of the answer, and Answered the name of the answering upstream, empty
	// if it is not given.
	Status            int
	Queried, Answered string
}

// Error implements error.
func (e *WrongUpstreamError) Error() string {
	return fmt.Sprintf("health answer for %s with status %d comes from %q", e.Queried, e.Status, e.Answered)
}

// fetchColdTime queries an upstream for the remaining time for which it is cold.
func (e *Edge) fetchColdTime(ctx context.Context, upstream *fleet.Upstream, path string) (time.Duration, error) {
	place, ok := e.places.Enter(upstream.ID, e.part(upstream), 0)
	if !ok {
		return 0, errNoPlace
	}
	defer place.GivenUp()
	answer, reading, err := e.query(ctx, upstream, e.dialect.HealthRequest(upstream.Address, path))
	if err != nil {
		return 0, err
	}
	defer answer.Close()
	if reading.Upstream != upstream.Name || (answer.Status != http.StatusOK && reading.ColdFor == 0) {
		return 0, &WrongUpstreamError{Status: answer.Status, Queried: upstream.Name, Answered: reading.Upstream}
	}
	// The connection can be reused once the answer has been read.
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, maxBuffered)); err != nil {
		return 0, err
	}
	place.Answered()
	return reading.ColdFor, nil
}

// errNoPlace reports that an upstream was not queried, since the query would take a place that this
// instance does not have.
var errNoPlace = errors.New("no place for a query")

// service returns the configuration of an upstream's service, nil if there is none.
func (e *Edge) service(upstream *fleet.Upstream) *httproute.Service {
	if config := e.board.Routes.Load(); config != nil {
		return config.Service(upstream.Service)
	}
	return nil
}

// warmUpOf returns the longest time for which an upstream of a service is cold, as far as is
// known.
func warmUpOf(service *httproute.Service) time.Duration {
	return cmp.Or(service.WarmUp, warmth.DefaultWarmUp)
}

// sendBound bounds the requests that this instance sends to an upstream within limit.ColdWindow.
type sendBound struct {
	// most is the number of requests that it may send after a time.
	most  int
	after time.Time
	// sent is the number of those that it has sent already or is about to send.
	sent int
	// cold is true if the upstream is or may be cold.
	cold bool
	// confirming is true if a query is running whose answer may lift the bound.
	confirming bool
}

var unbounded = sendBound{most: math.MaxInt}

// isQueryable reports whether the upstreams of a service can be asked whether they are cold.
func isQueryable(service *httproute.Service) bool {
	return service.ColdRate > 0 && service.HealthPath != ""
}

// boundOf returns the bound on requests to an upstream of a service (nil if unknown). It starts a status
// query if one is due, which is never the case during the upstream's backoff.
func (e *Edge) boundOf(upstream *fleet.Upstream, service *httproute.Service) sendBound {
	now := e.now()
	question := e.warmthQuestion(upstream, service, now)
	known := e.warmth.Look(upstream.ID, &question)
	if known.Cold {
		bound := sendBound{cold: true, most: math.MaxInt}
		if known.Doubtful && (upstream.StartedAt != 0 || service != nil && isQueryable(service)) {
			e.startQuery(upstream, queryRetryInterval, now)
			bound.confirming = e.warmth.Querying(upstream.ID)
		}
		if service != nil && service.ColdRate > 0 {
			bound.most = e.coldShare(service)
			bound.sent = e.cold.SentSince(upstream.ID, bound.after)
		}
		return bound
	}
	if service == nil || !isQueryable(service) {
		return unbounded
	}
	bound := sendBound{most: e.warmShare(service, now), after: known.WarmAt}
	if bound.most == math.MaxInt {
		return bound
	}
	bound.sent = e.cold.SentSince(upstream.ID, bound.after)
	if 3*bound.sent < 2*bound.most {
		return bound
	}
	// The answer arrives before the share is used up, unless requests come together: then the next one may
	// begin at once.
	spent := bound.sent >= bound.most
	pause, at := e.confirmInterval(), now
	if spent {
		// An answer to an earlier query would lift no bound.
		at = latest(at, e.cold.FreedAt(upstream.ID, bound.most, bound.after))
		if bound.most >= minWarmShare {
			pause = 0
		}
	}
	e.startQuery(upstream, pause, at)
	bound.confirming = spent && e.warmth.Querying(upstream.ID)
	if e.warmth.Unanswered(upstream.ID, now) >= warmUpOf(service) {
		// An upstream that does not answer must have warmed up by now.
		bound.most = math.MaxInt
	}
	return bound
}

// warmthQuestion returns what is to be asked about an upstream of a service, nil if unknown.
func (e *Edge) warmthQuestion(upstream *fleet.Upstream, service *httproute.Service, now time.Time) warmth.Question {
	question := warmth.Question{Now: now, Domain: upstream.Domain, ListedColdUntil: upstream.ColdUntil, WarmUp: warmth.DefaultWarmUp}
	view := e.board.Fleet.Load()
	if service == nil || service.ColdRate == 0 || view == nil {
		return question
	}
	question.WarmUp = warmUpOf(service)
	if !isQueryable(service) {
		question.DoubtSince = view.UncertainSince(upstream, now)
		return question
	}
	question.DoubtSince = view.DoubtfulSince(upstream, now)
	if now.Sub(e.startedAt) < coldStartDelay {
		// What the former process of this instance sent still counts.
		question.DoubtSince = latest(question.DoubtSince, e.startedAt)
	}
	return question
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayBeCold reports whether an upstream of a service (nil if unknown) is cold or may be cold. It
// starts a status query if one is due.
func (e *Edge) mayBeCold(upstream *fleet.Upstream, service *httproute.Service) bool {
	return e.boundOf(upstream, service).cold
}

// startQuery queries an upstream for its state at a time, now or soon, unless a query is running or began less
// than pause before.
func (e *Edge) startQuery(upstream *fleet.Upstream, pause time.Duration, at time.Time) {
	if e.tracker.RequestedBackoff(upstream.ID) == 0 && e.warmth.BeginQuery(upstream.ID, pause, at) {
		go e.queryStatus(upstream, at)
	}
}

// minWarmShare is the smallest share of an upstream's cold allowance that is enforced while the upstream
// counts as warm. With smaller ones, in a region with many instances, each request would wait for a query.
const minWarmShare = 2

// warmShare returns the number of requests that this instance may send to an upstream of a service within
// limit.ColdWindow and after the upstream was last known to be warm: if it has turned cold since, all
// instances together have sent no more than a cold one may get. It is math.MaxInt in a region in which the
// instances are too many for that, where upstreams are queried at random, unless the region is partitioned.
func (e *Edge) warmShare(service *httproute.Service, now time.Time) int {
	share := limit.ColdShare(e.coldAllowance(service), e.warmSharers())
	if share >= minWarmShare {
		return share
	}
	if e.isPartitioned(now) {
		return max(1, share)
	}
	return math.MaxInt
}

// warmSharers returns the number of instances among which the allowance of upstreams that count as warm is
// divided: the largest known lately, since one that is cut off from this one may still send.
func (e *Edge) warmSharers() int {
	instances := e.countInstances().sharingRegion
	if instances < 2 {
		return minInstances
	}
	return instances
}

// confirmInterval returns the shortest interval at which this instance queries an upstream that counts as
// warm.
func (e *Edge) confirmInterval() time.Duration {
	known := e.countInstances()
	return queryInterval(max(minInstances, known.inRegion), known.rank)
}

// queryInterval returns the shortest interval at which one of so many instances queries an upstream. Each sends a whole
// number of queries within queryWindow, the first ones by rank one more than the others, or one within several windows.
func queryInterval(instances, rank int) time.Duration {
	each := maxQueries / instances
	if each == 0 {
		return queryWindow * time.Duration((instances+maxQueries-1)/maxQueries)
	}
	if rank < maxQueries%instances {
		each++
	}
	return (queryWindow + time.Duration(each) - 1) / time.Duration(each)
}

// sampleWarmth queries an upstream after one of so many requests as it bears in a second while it is cold,
// where its share is not enforced; more often the more this instance sends to it, so that one that gets most of the
// load of a domain does not get much before the first query.
func (e *Edge) sampleWarmth(upstream *fleet.Upstream, service *httproute.Service) {
	if rand.Float64()*e.coldAllowance(service) < float64(e.cold.Sent(upstream.ID)) {
		e.startQuery(upstream, e.confirmInterval(), e.now())
	}
}

// isPartitioned reports whether there was recent contact with neither the store nor another region.
// An instance that has never received a report of another region cannot know.
func (e *Edge) isPartitioned(now time.Time) bool {
	lastRemote := e.gossip.View().Load().OtherRegionReportedAt()
	return !lastRemote.IsZero() && now.Sub(lastRemote) > partitionedAfter && now.Sub(e.store.LastAnswerAt()) > partitionedAfter
}

// recordTurnedCold records that an upstream that counted as warm is cold, for a length of time. known is the
// time at which it was last known to be warm. It returns true if the other instances have to be told at once.
func (e *Edge) recordTurnedCold(upstream *fleet.Upstream, source warmth.Source, length time.Duration, known time.Time) (tell bool) {
	tell = e.warmth.RecordTurnedCold(upstream.Domain, source, e.now())
	e.gossip.RequestRound()
	e.logTurnedCold(upstream, source, length, known)
	return tell
}

// logTurnedCold logs that an upstream that counted as warm is cold.
func (e *Edge) logTurnedCold(upstream *fleet.Upstream, source warmth.Source, length time.Duration, known time.Time) {
	e.log.Info().Str(event.KeyUpstream, upstream.ID).Str(event.KeySource, string(source)).Int64(event.KeyForMS, length.Milliseconds()).
		Int(event.KeySentLately, e.cold.Sent(upstream.ID)).Int64(event.KeyKnownMS, e.ageMS(known)).Msg(string(event.UpstreamCold))
}

// noteColdEntries logs the known upstreams of the own region whose entries have become cold, and records it of those
// that counted as warm. A restart makes an upstream cold by itself, and tells nothing of its domain.
func (e *Edge) noteColdEntries(last, view *fleet.View) {
	if last == nil {
		return
	}
	now := e.now()
	for i := range view.Upstreams {
		upstream := &view.Upstreams[i]
		if upstream.Region != e.settings.Region || !upstream.Cold(now) {
			continue
		}
		before := last.Find(upstream.ID)
		if before == nil || !before.ColdUntil.IsZero() {
			continue
		}
		known, length := latest(before.EntryReadAt, e.warmth.WarmAt(upstream.ID)), upstream.ColdUntil.Sub(now)
		if before.StartedAt == upstream.StartedAt && e.countedAsWarm(upstream, now) {
			e.recordTurnedCold(upstream, warmth.Listed, length, known)
		} else {
			e.logTurnedCold(upstream, warmth.Listed, length, known)
		}
	}
}

// countedAsWarm reports whether an upstream that can be asked counts as warm but for what its entry tells.
func (e *Edge) countedAsWarm(upstream *fleet.Upstream, now time.Time) bool {
	service := e.service(upstream)
	if service == nil || !isQueryable(service) {
		return false
	}
	question := e.warmthQuestion(upstream, service, now)
	question.ListedColdUntil = time.Time{}
	return !e.warmth.Look(upstream.ID, &question).Cold
}

// checkColdShare counts a request that was sent to an upstream that is or may be cold, and logs it
// if it exceeds this instance's share.
func (e *Edge) checkColdShare(upstream *fleet.Upstream, service *httproute.Service) {
	e.counts.sentCold(upstream.ID)
	if service.ColdRate == 0 {
		return
	}
	share := limit.ColdShare(e.coldAllowance(service), max(minInstances, e.regionInstances()))
	if sent := e.cold.Sent(upstream.ID); sent > share {
		e.stepLog.Warn().Str(event.KeyUpstream, upstream.ID).Int(event.KeySentLately, sent).Int(event.KeyLimit, share).Msg(string(event.ColdShareExceeded))
	}
}

// reportedWarmth returns what this instance tells others of its region about upstreams that it has queried.
// In a domain that reports to a hub, proofs that upstreams are warm would be old when they arrive.
func (e *Edge) reportedWarmth(direct bool) []warmth.ToldState {
	return e.warmth.ToPublish(direct, e.now())
}

// mergeWarmth applies what another instance of the region tells about upstreams that are known here.
// asked is the time at which it was asked, zero if it told unasked.
func (e *Edge) mergeWarmth(told []warmth.ToldState, asked time.Time) {
	view, now := e.board.Fleet.Load(), e.now()
	if view == nil {
		return
	}
	for i := range told {
		upstream := view.Find(told[i].Upstream)
		if upstream == nil || upstream.Region != e.settings.Region {
			continue
		}
		known := e.warmth.WarmAt(upstream.ID)
		if e.warmth.Learn(&told[i], asked, now) && !upstream.Cold(now) {
			e.recordTurnedCold(upstream, warmth.Told, told[i].ColdFor, known)
		}
	}
}

// maxConfirmationWait bounds the time for which a request that another region could take waits for upstreams to tell that
// they are warm. One that has nowhere else to go waits as long as a query takes.
const maxConfirmationWait = 100 * time.Millisecond

// mayAwaitConfirmation reports whether the last decision left out upstreams of the own region that may tell soon
// whether they are warm, and the request has waited less than most for that.
func (j *job) mayAwaitConfirmation(most time.Duration) bool {
	return j.confirming > 0 && j.confirmationWait < most
}

// awaitConfirmation reports whether a request should be routed again, after an upstream that it could not use
// has told whether it is warm. chosen is where it would go else, nil if nowhere.
func (j *job) awaitConfirmation(ctx context.Context, chosen *target) bool {
	most := queryTimeout
	if chosen != nil || j.forwarded {
		most = maxConfirmationWait
	}
	if !j.mayAwaitConfirmation(most) || (chosen != nil && chosen.peer == nil) {
		return false
	}
	start := j.now()
	defer func() { j.confirmationWait += j.now().Sub(start) }()
	timer := time.NewTimer(most - j.confirmationWait)
	defer timer.Stop()
	select {
	case <-j.settled:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}
