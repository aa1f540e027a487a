package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/ingress"
	"github.com/lilacweir/lilacweir/pkg/origin"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/room"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// longPromptTokens is the number of prompt tokens to compute from which a request is reported to
// the other instances at once: engines work on it for longer than a round of gossip takes.
const longPromptTokens = 4000

// maxSends bounds the sends of one request, whatever its route permits. Sends that were rejected
// without being run count as well.
const maxSends = 4

// maxHops bounds the other instances that are asked to serve one request.
const maxHops = 2

// job is one request while it is served.
type job struct {
	*Edge
	request    *http.Request
	attributes Attributes
	config     *httproute.Configuration
	route      *httproute.Route
	service    *httproute.Service
	// organisation is the owner of the request, nil if it is anonymous. keyDigest is the digest
	// of the caller's key, and grant the usage that the request was charged.
	organisation *httproute.Organisation
	keyDigest    httproute.KeyDigest
	grant        quota.Grant
	// shareCost is what the request takes of its service's capacity. shareRecorded is true once it is
	// counted for its organisation's fair share.
	shareCost     float64
	shareRecorded bool
	// content is the fingerprint of the request's content, nil until it is computed.
	content *quarantine.Fingerprint
	// segments are those of the prompt that other requests may share, nil until they are read.
	segments []quarantine.Segment
	// quarantinedAs is what the request was refused for as quarantined: its own fingerprint, or
	// that of a segment.
	quarantinedAs quarantine.Fingerprint
	// received is the body, nil before it was read whole, and body its bytes.
	received  *ingress.Body
	body      []byte
	forwarded bool
	started   time.Time
	deadline  time.Time
	writer    *writer

	// origin is the service and software version that began the stream, nil if it has not begun
	// or if that is not known.
	origin *origin.Origin
	// attemptsLeft is the number of further upstreams that may run the request.
	attemptsLeft int
	tried        []string
	// sends counts sends to upstreams, including those by other instances. runs counts those
	// after which the request may have run, and hops the instances that were asked.
	sends, runs, hops int
	// unresponsiveHops holds the instances that refused since their upstreams are unresponsive.
	unresponsiveHops map[string]bool
	// roomless is true once another instance had no place for it, and roomlessWait is when one was expected.
	roomless     bool
	roomlessWait time.Duration
	// regions is what the other instances that were asked answered.
	regions regionAnswers
	// confirming counts the upstreams that the last decision left out while they were queried, and
	// confirmationWait is the time for which the request has waited for such queries.
	// settled is closed once one of them may have answered.
	confirming       int
	confirmationWait time.Duration
	settled          <-chan struct{}
	// waiter is the request's position among those that wait for a place, nil if it does not wait.
	waiter *room.Waiter
	// lineTooLong is true once the request could not wait for a place of this instance.
	lineTooLong bool
	// upstreamFailure is an upstream's error answer. The caller gets it if no later attempt does
	// better.
	upstreamFailure *bufferedAnswer
	// lastError is the error of the last attempt that failed, and lastEnding who ended it.
	lastError  error
	lastEnding ending
	// deferredSteps holds steps that exceeded the log's budget.
	deferredSteps []step

	// turn is held by the attempt that reads or changes the job.
	turn sync.Mutex
	// inProgress holds the attempts that have not ended. hedges are the attempts that were made
	// beside another one.
	inProgress []*call
	hedges     sync.WaitGroup
	// finished is true once an attempt has answered the caller, or the caller has disconnected.
	finished bool
}

// target is the destination of one attempt: an upstream of the own region, or another instance.
type target struct {
	survey steer.Survey
	peer   *peer.Known
	// world is the state by which it was chosen.
	world *steer.Snapshot
	// yielded is true if another region gets the request so that its slot is left to others.
	yielded bool
	// hedge is true if the attempt is made beside another one.
	hedge bool
	// sends counts the sends to upstreams in the attempt.
	sends int
}

// name returns the upstream's ID or the instance's name.
func (t *target) name() string {
	if t.peer != nil {
		return t.peer.Instance.Name
	}
	return t.survey.Best.Upstream.ID
}

// domain returns the failure domain of the upstream or instance.
func (t *target) domain() string {
	if t.peer != nil {
		return t.peer.Instance.Domain
	}
	return t.survey.Best.Upstream.Domain
}

// grantedAttempts returns the number of upstreams that may run the request in this attempt. Another
// instance is granted all that are left, since it cannot ask for more in time, but only one for a
// hedge: it would hedge as well.
func (t *target) grantedAttempts(j *job) int {
	if t.peer != nil && !t.hedge {
		return j.attemptsLeft
	}
	return 1
}

type result int

const (
	// done: the caller has the complete answer.
	done result = iota
	// notRun: the request did not run there and never will.
	notRun
	// broken: the request may have run, and the caller has no complete answer.
	broken
	// callerGone: the caller disconnected.
	callerGone
	// overtaken: another attempt has answered the caller.
	overtaken
)

// String returns the result's metric label.
func (r result) String() string {
	return [...]string{done: "done", notRun: "not-run", broken: "broken", callerGone: "caller-gone", overtaken: "overtaken"}[r]
}

// run makes attempts until one succeeds or the request has to be refused.
func (j *job) run(ctx context.Context) *outcome.Refusal {
	j.turn.Lock()
	defer j.turn.Unlock()
	defer j.leaveLine()
	for {
		if refusal := j.quarantineRefusal(); refusal != nil {
			return j.finalRefusal(refusal)
		}
		next, refusal := j.next()
		if j.awaitConfirmation(ctx, next) {
			continue
		}
		if refusal != nil && j.starting() && j.gossip.HasUnreachableDomain() {
			next = j.nextDuringStart(ctx)
			if quarantined := j.quarantineRefusal(); quarantined != nil {
				return j.finalRefusal(quarantined)
			}
		}
		if next == nil && (j.awaitRoom(ctx, refusal) || j.awaitCapacity(ctx, refusal) || j.awaitRecovery(ctx, refusal)) {
			continue
		}
		if next == nil {
			return j.finalRefusal(refusal)
		}
		j.attempt(ctx, next)
		j.awaitHedges()
		if j.finished {
			return nil
		}
		if refusal := j.checkRetry(ctx); refusal != nil {
			return j.finalRefusal(refusal)
		}
	}
}

// attempt makes one attempt and counts it.
func (j *job) attempt(ctx context.Context, to *target) result {
	j.logRouting(to)
	if to.yielded {
		j.counts.requestYielded(j.service.Name, to.peer.Instance.Region)
	}
	start, granted := j.now(), to.grantedAttempts(j)
	j.attemptsLeft -= granted
	var ended result
	if to.peer != nil {
		ended = j.forward(ctx, to, granted)
	} else {
		ended = j.sendToUpstream(ctx, to)
	}
	j.counts.attemptEnded(to, ended, j.now().Sub(start))
	switch ended {
	case done, callerGone:
		j.finished = true
	case notRun:
		j.attemptsLeft += granted
	case broken, overtaken:
		j.runs++
	}
	return ended
}

// checkRetry returns nil if the request may be sent again after a failed attempt, else its
// refusal.
func (j *job) checkRetry(ctx context.Context) *outcome.Refusal {
	switch {
	case errors.Is(context.Cause(ctx), errGraceOver):
		return j.graceOverRefusal()
	case context.Cause(ctx) != nil || !j.now().Before(j.deadline):
		return j.deadlineExceeded()
	case j.runs > 0 && !j.route.Repeatable():
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonUpstreamFailed, 0, "the upstream broke off")
	case j.attemptsLeft <= 0 || j.sends >= maxSends:
		return j.retriesExhausted("no attempt is left")
	case j.sends > 0 && !j.retries.Take(j.service.Name, j.sharingInstances()):
		return j.retriesExhausted("the retry budget is used up")
	}
	return nil
}

func (j *job) retriesExhausted(detail string) *outcome.Refusal {
	if j.runs > 0 {
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonUpstreamFailed, 0, detail)
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, steer.RetryAfter(j.now(), j.deadline), detail)
}

// graceOverRefusal ends a request that still runs when the grace is almost over.
func (j *job) graceOverRefusal() *outcome.Refusal {
	if j.runs > 0 {
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonDraining, 0, "this instance ends")
	}
	return leavingRefusal()
}

func (j *job) deadlineExceeded() *outcome.Refusal {
	if j.runs > 0 {
		return outcome.MayHaveRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, 0, "the time is over")
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonDeadline, steer.RetryAfter(j.now(), j.deadline), "the time is over")
}

// finalRefusal adapts the refusal of the last attempt to the whole request, which is never
// reported as not run once it may have run.
func (j *job) finalRefusal(refusal *outcome.Refusal) *outcome.Refusal {
	if j.runs > 0 && refusal.Outcome == outcome.NotRun {
		return outcome.MayHaveRun(http.StatusBadGateway, refusal.Reason, 0, refusal.Detail)
	}
	return refusal
}

// snapshots returns the snapshots that routing decisions use now.
func (j *job) snapshots() *steer.Snapshot {
	now := j.now()
	return &steer.Snapshot{
		Region:     j.settings.Region,
		Fleet:      j.board.Fleet.Load(),
		Peers:      j.gossip.View().Load(),
		Local:      localLoads{j.Edge, now},
		Admits:     j.admitsNow,
		Named:      j.upstreamLimits.Of,
		LimitWait:  j.limitWait,
		Room:       j.placesAt(j.service.Name),
		PathLost:   j.paths.isLost,
		HopRefused: j.recentHopRefusals(),
		Leaving:    j.leavingFilter(),
		Recent:     j.recent,
		CallTimes:  j.pace,
		Estimates:  j.estimates,
		Lateness:   j.lateness,
		Acceptance: j.acceptance,
		Flow:       j.flow,
		Now:        now,
		Random:     rand.Uint64(),
	}
}

// admitsNow is admits for a decision about this request.
func (j *job) admitsNow(upstream *fleet.Upstream, service *httproute.Service) bool {
	admitted, confirming := j.admitsOrConfirms(upstream, service)
	if !admitted && confirming {
		j.confirming++
	}
	return admitted
}

func (j *job) next() (*target, *outcome.Refusal) {
	j.confirming, j.settled = 0, j.warmth.Settled()
	world := j.snapshots()
	query := j.query()
	chosen := j.choose(world, query)
	if chosen.peer == nil && chosen.survey.Best.Upstream == nil {
		query.LastResort = true
		chosen = j.choose(world, query)
	}
	if chosen.peer == nil && chosen.survey.Best.Upstream == nil {
		return nil, j.noUpstreamRefusal(world, query, &chosen.survey)
	}
	// A request that was sent before is not refused for being late: its caller prefers a late
	// answer to none.
	sent := j.sends > 0 || query.Software != nil
	if chosen.peer == nil && chosen.survey.Best.Late && j.mayAwaitConfirmation(maxConfirmationWait) {
		// The others are left out for a moment only: that is no overload.
		return nil, j.overloadRefusal(&chosen.survey)
	}
	chosen.world = world
	refused := chosen.peer == nil && chosen.survey.Best.Late && !sent && j.overload.Refuses(query, world.Now)
	if refusal := j.applyShare(chosen, query, sent); refusal != nil {
		return nil, refusal
	}
	if refused && chosen.peer == nil {
		return nil, j.overloadRefusal(&chosen.survey)
	}
	return chosen, nil
}

// query returns the request as routing decisions see it.
func (j *job) query() *steer.Request {
	query := &steer.Request{
		Route:        j.route,
		Service:      j.service,
		Segments:     j.attributes.Segments,
		PromptTokens: j.attributes.PromptTokens,
		Contended:    j.overload.Contended(j.service.Name, j.route.Priority, j.now()),
		Tried:        j.tried,
		Ahead:        j.ahead(),
	}
	if j.origin != nil {
		query.Software = &j.origin.Version
	}
	return query
}

// choose returns the target of the next attempt, an empty one if there is none.
func (j *job) choose(world *steer.Snapshot, query *steer.Request) *target {
	chosen := &target{}
	if j.route.PermittedIn(world.Region) {
		chosen.survey = j.surveyRegion(world, query)
	}
	if !j.forwarded && j.hops < maxHops {
		chosen.peer, chosen.yielded = j.chooseHop(world, query, &chosen.survey)
	}
	if chosen.peer == nil && chosen.survey.Best.Upstream == nil && chosen.survey.Unreachable > 0 {
		world.PathLost = j.withoutConnection
		chosen.survey = j.surveyRegion(world, query)
	}
	return chosen
}

// chooseHop returns the instance that gets the request, nil if it stays here, and whether the request
// leaves its slot to others. Neighbours serve what this instance cannot for want of a path or of places;
// they are nearer than another region, and hold what the region's engines have cached.
func (j *job) chooseHop(world *steer.Snapshot, query *steer.Request, survey *steer.Survey) (chosen *peer.Known, yielded bool) {
	withoutPlaces := survey.Crowded > 0 && (survey.Places == 0 || j.lineTooLong)
	if survey.Best.Upstream == nil && (survey.Unreachable > 0 || withoutPlaces) {
		if neighbours := j.withPlaces(world.Neighbours(query), j.service); len(neighbours) > 0 {
			return j.choosePeer(neighbours, world.Random), false
		}
	}
	if remote := world.Choose(query, *survey, world.Regions(query)); remote != nil {
		if peers := j.withPlaces(remote.Peers, j.service); len(peers) > 0 {
			return j.choosePeer(peers, world.Random), remote.Yielded
		}
	}
	return nil, false
}

// choosePeer draws one of the instances, preferring those with an idle
// connection: making a new one costs the request a round trip.
func (j *job) choosePeer(peers []*peer.Known, random uint64) *peer.Known {
	first := int(random % uint64(len(peers)))
	for i := range peers {
		known := peers[(first+i)%len(peers)]
		if j.peers.Connected(known.Instance.Peers) {
			return known
		}
	}
	return peers[first]
}

// surveyRegion surveys the own region. An upstream that answered with an error may well serve the
// retry, and is nearer than another region, so it is considered again if there is no other.
func (j *job) surveyRegion(world *steer.Snapshot, query *steer.Request) steer.Survey {
	survey := world.SurveyRegion(query)
	if survey.Best.Upstream != nil || j.upstreamFailure == nil {
		return survey
	}
	query.Tried = nil
	return world.SurveyRegion(query)
}

func (j *job) noUpstreamRefusal(world *steer.Snapshot, query *steer.Request, survey *steer.Survey) *outcome.Refusal {
	reason, detail := outcome.ReasonNoUpstream, "no upstream of the service can take the request now"
	regions, permittedHere := j.permittedRegions(world, query), j.route.PermittedIn(world.Region)
	switch {
	case query.Software != nil && !world.HasVersion(query):
		return j.originGoneRefusal()
	case survey.Crowded > 0:
		reason, detail = outcome.ReasonNoRoom, "the upstreams that could take the request have no room"
	case survey.Unresponsive > 0:
		reason, detail = outcome.ReasonUnresponsive, "the upstreams that could take the request are silent"
	case regions.full:
		reason, detail = outcome.ReasonOverloaded, "the permitted regions have no capacity in time"
	case !permittedHere && (!regions.live || (j.regions.unreached && !j.regions.reached)):
		detail = "no instance in a permitted region can be reached"
	case !permittedHere && regions.unresponsive:
		reason, detail = outcome.ReasonUnresponsive, "the upstreams of the permitted regions are silent"
	case !permittedHere:
		detail = "no upstream in a permitted region can take the request now"
	case survey.Unreachable > 0:
		reason, detail = outcome.ReasonUnreachable, "this instance reaches no upstream that can take the request, and no instance that does"
	case j.roomless:
		reason, detail = outcome.ReasonNoRoom, "the upstreams of other instances that could take the request have no room"
	}
	retry := max(steer.RetryAfter(j.now(), j.deadline), survey.Wait(), regions.retryAfter(j))
	if permittedHere {
		retry = max(retry, j.roomlessWait)
	}
	refusal := outcome.Refuse(http.StatusServiceUnavailable, reason, retry, detail)
	refusal.Err = &surveyError{survey: *survey, backingOff: regions.backingOff}
	return refusal
}
