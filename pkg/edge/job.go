package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// urgentTokens is from how many prompt tokens to be read on a request is told to the
// other instances at once: engines take longer over it than a round of gossip.
const longPromptTokens = 4000

// maxSends bounds how often one request is sent, whatever its route permits: those
// that were rejected without being run count here as well.
const maxSends = 4

// maxHops bounds how many instances of other regions are asked to serve one request.
const maxHops = 2

// job is one request on its way.
type job struct {
	*Edge
	request    *http.Request
	attributes Attributes
	config     *httproute.Configuration
	route      *httproute.Route
	service    *httproute.Service
	// organisation is whose request it is, nil: nobody's; keyDigest stands for the key that
	// showed it, and grant is what the request was charged.
	organisation *httproute.Organisation
	keyDigest    httproute.KeyDigest
	grant        quota.Grant
	// content is the fingerprint of what the request asks for; nil: not worked out yet.
	content   *quarantine.Fingerprint
	body      []byte
	forwarded bool
	started   time.Time
	deadline  time.Time
	writer    *writer

	// attemptsLeft is on how many more upstreams the request may run.
	attemptsLeft int
	tried        []string
	// sends counts sends to upstreams, those by other instances included; runs those
	// after which the request may have run; hops the instances that were asked.
	sends, runs, hops int
	// kept is a server's failure that is given to the caller if nothing better comes.
	upstreamFailure *bufferedAnswer
	// lastError is why the last attempt failed.
	lastError error
	// withheld holds steps for which there was no budget in the log.
	deferredSteps []step
}

// target is where one attempt goes: an upstream of the own region, or an instance
// of another.
type target struct {
	survey steer.Survey
	peer   *peer.Known
}

// name is the upstream's ID or the instance's name.
func (t *target) name() string {
	if t.peer != nil {
		return t.peer.Instance.Name
	}
	return t.survey.Best.Upstream.ID
}

// domain is the failure domain of the upstream or instance.
func (t *target) domain() string {
	if t.peer != nil {
		return t.peer.Instance.Domain
	}
	return t.survey.Best.Upstream.Domain
}

// attempts is on how many upstreams the request may run by this attempt: an instance
// of another region is lent all that are left, since it cannot ask for more in time.
func (t *target) grantedAttempts(j *job) int {
	if t.peer != nil {
		return j.attemptsLeft
	}
	return 1
}

// result is how an attempt ended.
type result int

const (
	// done: the caller has its whole answer.
	done result = iota
	// notRun: the request did not run there and never will.
	notRun
	// broken: it may have run, and the caller has no whole answer.
	broken
	// callerGone: the caller left.
	callerGone
)

// String is the result as metrics tell it.
func (r result) String() string {
	return [...]string{done: "done", notRun: "not-run", broken: "broken", callerGone: "caller-gone"}[r]
}

// run makes attempts until one succeeds or the request must be given up.
func (j *job) run(ctx context.Context) *outcome.Refusal {
	for {
		if refusal := j.quarantineRefusal(); refusal != nil {
			return j.finalRefusal(refusal)
		}
		next, refusal := j.next()
		if refusal != nil && j.starting() && j.gossip.Unheard() {
			next = j.nextDuringStart(ctx)
		}
		if next == nil && j.awaitCapacity(ctx, refusal) {
			continue
		}
		if next == nil {
			return j.finalRefusal(refusal)
		}
		began := j.now()
		ended := j.attempt(ctx, next)
		j.counts.attemptEnded(next, ended, j.now().Sub(began))
		switch ended {
		case done, callerGone:
			return nil
		case notRun:
		case broken:
			j.runs++
			j.attemptsLeft -= next.grantedAttempts(j)
		}
		if refusal := j.checkRetry(ctx); refusal != nil {
			return j.finalRefusal(refusal)
		}
	}
}

// mayRepeat says whether the request may be sent once more after a failed attempt.
func (j *job) checkRetry(ctx context.Context) *outcome.Refusal {
	switch {
	case context.Cause(ctx) != nil || !j.now().Before(j.deadline):
		return j.deadlineExceeded()
	case j.runs > 0 && !j.route.Repeatable():
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonUpstreamFailed, 0, "the upstream broke off")
	case j.attemptsLeft <= 0 || j.sends >= maxSends:
		return j.retriesExhausted("no attempt is left")
	case j.sends > 0 && !j.retries.Take(j.service.Name, j.instances()):
		return j.retriesExhausted("the retry budget is used up")
	}
	return nil
}

// exhausted is the refusal of a request that may not be sent again.
func (j *job) retriesExhausted(detail string) *outcome.Refusal {
	if j.runs > 0 {
		return outcome.MayHaveRun(http.StatusBadGateway, outcome.ReasonUpstreamFailed, 0, detail)
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, steer.RetryAfter(j.now(), j.deadline), detail)
}

// late is the refusal of a request whose time is over.
func (j *job) deadlineExceeded() *outcome.Refusal {
	if j.runs > 0 {
		return outcome.MayHaveRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, 0, "the time is over")
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonDeadline, steer.RetryAfter(j.now(), j.deadline), "the time is over")
}

// giveUp makes the refusal true for the whole request: once it may have run, it is
// never called not run.
func (j *job) finalRefusal(refusal *outcome.Refusal) *outcome.Refusal {
	if j.runs > 0 && refusal.Outcome == outcome.NotRun {
		return outcome.MayHaveRun(http.StatusBadGateway, refusal.Reason, 0, refusal.Detail)
	}
	return refusal
}

// world is the snapshots by which the request is steered now.
func (j *job) snapshots() *steer.World {
	now := j.now()
	return &steer.World{
		Region:    j.settings.Region,
		Fleet:     j.board.Fleet.Load(),
		Peers:     j.gossip.View().Load(),
		Local:     localLoads{j.Edge, now},
		Admits:    j.admits,
		Named:     j.upstreamLimits.Of,
		LimitWait: j.limitWait,
		Leaving:   j.leavingFilter(),
		Recent:    j.recent,
		Pace:      j.pace,
		Estimates: j.estimates,
		Flow:      j.flow,
		Now:       now,
		Random:    rand.Uint64(),
	}
}

// next chooses where the request goes.
func (j *job) next() (*target, *outcome.Refusal) {
	world := j.snapshots()
	query := &steer.Request{
		Route:        j.route,
		Service:      j.service,
		Parts:        j.attributes.Parts,
		PromptTokens: j.attributes.PromptTokens,
		Contended:    j.overload.Contended(j.service.Name, j.route.Priority, j.now()),
		Tried:        j.tried,
	}
	chosen := &target{}
	permitted := j.route.PermittedIn(world.Region)
	if permitted {
		chosen.survey = j.surveyRegion(world, query)
	}
	if !j.forwarded && j.hops < maxHops {
		if remote := world.Choose(query, chosen.survey, world.Regions(query)); remote != nil {
			chosen.peer = j.choosePeer(remote.Peers, world.Random)
		}
	}
	if chosen.peer == nil && chosen.survey.Best.Upstream == nil {
		return nil, j.noUpstreamRefusal(permitted, &chosen.survey)
	}
	// What was sent before goes on: its caller would rather have it late.
	if chosen.peer == nil && chosen.survey.Best.Late && j.sends == 0 && j.overload.Refuses(query, world.Now) {
		return nil, j.overloadRefusal(&chosen.survey)
	}
	j.logRouting(world, chosen)
	return chosen, nil
}

// partner draws one of the instances of another region, from those with a connection that
// can be used if there are any: making one takes a round trip of the request's time.
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

// look surveys the own region. A server that answered with a failure may well serve the
// next try, and is nearer than another region: it is looked at again where there is no
// other.
func (j *job) surveyRegion(world *steer.World, query *steer.Request) steer.Survey {
	survey := world.Look(query)
	if survey.Best.Upstream != nil || j.upstreamFailure == nil {
		return survey
	}
	query.Tried = nil
	return world.Look(query)
}

func (j *job) noUpstreamRefusal(permitted bool, survey *steer.Survey) *outcome.Refusal {
	detail := "no upstream of the service can take the request now"
	if !permitted {
		detail = "no instance in a permitted region can be reached"
	}
	retry := max(steer.RetryAfter(j.now(), j.deadline), survey.Wait())
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, retry, detail)
	refusal.Err = &surveyError{survey: *survey}
	return refusal
}
