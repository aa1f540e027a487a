package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// hurryTokens is from how many prompt tokens to be read on a request is told to the
// other instances at once: engines take longer over it than a round of gossip.
const hurryTokens = 4000

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
	body       []byte
	forwarded  bool
	started    time.Time
	deadline   time.Time
	writer     *writer

	// attemptsLeft is on how many more upstreams the request may run.
	attemptsLeft int
	tried        []string
	// sends counts sends to upstreams, those by other instances included; runs those
	// after which the request may have run; hops the instances that were asked.
	sends, runs, hops int
	// kept is a server's failure that is given to the caller if nothing better comes.
	kept *held
	// lastError is why the last attempt failed.
	lastError error
	// unsaid holds steps for which there was no budget in the log.
	unsaid []step
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

// grants is on how many upstreams the request may run by this attempt: an instance
// of another region is lent all that are left, since it cannot ask for more in time.
func (t *target) grants(j *job) int {
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
		next, refusal := j.next()
		if refusal != nil && j.gossip.Unheard() {
			next = j.nextAtStart(ctx)
		}
		if next == nil && j.awaitRoom(ctx, refusal) {
			continue
		}
		if next == nil {
			return j.giveUp(refusal)
		}
		began := j.now()
		ended := j.attempt(ctx, next)
		j.counts.attempted(next, ended, j.now().Sub(began))
		switch ended {
		case done, callerGone:
			return nil
		case notRun:
		case broken:
			j.runs++
			j.attemptsLeft -= next.grants(j)
		}
		if refusal := j.mayRepeat(ctx); refusal != nil {
			return j.giveUp(refusal)
		}
	}
}

// mayRepeat says whether the request may be sent once more after a failed attempt.
func (j *job) mayRepeat(ctx context.Context) *outcome.Refusal {
	switch {
	case context.Cause(ctx) != nil || !j.now().Before(j.deadline):
		return j.late()
	case j.runs > 0 && !j.route.Repeatable():
		return outcome.Doubt(http.StatusBadGateway, outcome.ReasonUpstreamFailed, 0, "the upstream broke off")
	case j.attemptsLeft <= 0 || j.sends >= maxSends:
		return j.exhausted("no attempt is left")
	case j.sends > 0 && !j.retries.Take(j.service.Name, j.instances()):
		return j.exhausted("the retry budget is used up")
	}
	return nil
}

// exhausted is the refusal of a request that may not be sent again.
func (j *job) exhausted(detail string) *outcome.Refusal {
	if j.runs > 0 {
		return outcome.Doubt(http.StatusBadGateway, outcome.ReasonUpstreamFailed, 0, detail)
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, steer.RetryAfter(j.now(), j.deadline), detail)
}

// late is the refusal of a request whose time is over.
func (j *job) late() *outcome.Refusal {
	if j.runs > 0 {
		return outcome.Doubt(http.StatusGatewayTimeout, outcome.ReasonDeadline, 0, "the time is over")
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonDeadline, steer.RetryAfter(j.now(), j.deadline), "the time is over")
}

// giveUp makes the refusal true for the whole request: once it may have run, it is
// never called not run.
func (j *job) giveUp(refusal *outcome.Refusal) *outcome.Refusal {
	if j.runs > 0 && refusal.Outcome == outcome.NotRun {
		return outcome.Doubt(http.StatusBadGateway, refusal.Reason, 0, refusal.Detail)
	}
	return refusal
}

// world is the snapshots by which the request is steered now.
func (j *job) world() *steer.World {
	return &steer.World{
		Region:    j.settings.Region,
		Fleet:     j.board.Fleet.Load(),
		Peers:     j.gossip.View().Load(),
		Local:     j.tracker,
		Admits:    j.admits,
		Recent:    j.recent,
		Pace:      j.pace,
		Estimates: j.estimates,
		Flow:      j.flow,
		Now:       j.now(),
		Roll:      rand.Uint64(),
	}
}

// next chooses where the request goes.
func (j *job) next() (*target, *outcome.Refusal) {
	world := j.world()
	query := &steer.Request{
		Route:        j.route,
		Service:      j.service,
		Parts:        j.attributes.Parts,
		PromptTokens: j.attributes.PromptTokens,
		Contended:    j.overload.Contended(j.service.Name, j.route.Priority, j.now()),
		Tried:        j.tried,
	}
	chosen := &target{}
	here := j.route.PermittedIn(world.Region)
	if here {
		chosen.survey = j.look(world, query)
	}
	if !j.forwarded && j.hops < maxHops {
		if away := world.Choose(query, chosen.survey, world.Regions(query)); away != nil {
			chosen.peer = away.Peers[world.Roll%uint64(len(away.Peers))]
		}
	}
	if chosen.peer == nil && chosen.survey.Best.Upstream == nil {
		return nil, j.noUpstream(here, &chosen.survey)
	}
	// What was sent before goes on: its caller would rather have it late.
	if chosen.peer == nil && chosen.survey.Best.Late && j.sends == 0 && j.overload.Refuses(query, world.Now) {
		return nil, j.overloaded(&chosen.survey)
	}
	j.noteChoice(world, chosen)
	return chosen, nil
}

// look surveys the own region. A server that answered with a failure may well serve the
// next try, and is nearer than another region: it is looked at again where there is no
// other.
func (j *job) look(world *steer.World, query *steer.Request) steer.Survey {
	survey := world.Look(query)
	if survey.Best.Upstream != nil || j.kept == nil {
		return survey
	}
	query.Tried = nil
	return world.Look(query)
}

func (j *job) noUpstream(here bool, survey *steer.Survey) *outcome.Refusal {
	detail := "no upstream of the service can take the request now"
	if !here {
		detail = "no instance in a permitted region can be reached"
	}
	retry := steer.RetryAfter(j.now(), j.deadline)
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, retry, detail)
	refusal.Err = &surveyError{survey: *survey}
	return refusal
}

// attempt sends the request once.
func (j *job) attempt(ctx context.Context, to *target) result {
	if to.peer != nil {
		return j.forward(ctx, to)
	}
	upstream := to.survey.Best.Upstream
	flight, ok := j.tracker.Start(upstream.ID, to.survey.Best.Uncached, 0)
	j.tried = append(j.tried, upstream.ID)
	if !ok {
		return notRun
	}
	if to.survey.Best.Uncached >= hurryTokens {
		j.gossip.Hurry()
	}
	if j.mayBeCold(upstream) {
		j.cold.Sent(upstream.ID)
		j.counts.cold(upstream.ID)
	}
	j.recent.Add(j.attributes.Parts, upstream.ID, j.now())
	j.flow.Add(j.service.Name, to.survey.Best.Uncached, j.now())
	call := &call{
		job:    j,
		to:     to,
		pool:   j.upstreams,
		target: exchange.Target{ID: upstream.ID, Address: upstream.Address, MaxConnections: j.connectionShare()},
		send:   Send{Left: j.deadline.Sub(j.now()), Upstream: upstream.Name, Priority: j.route.Priority, After: j.after()},
		begun:  j.begun(flight, &to.survey.Best),
	}
	if source := to.survey.Best.Source; source != nil {
		call.send.Source = source.Address
	}
	sent := j.now()
	ended := call.do(ctx)
	flight.Done(call.verdict(ended))
	if ended != done {
		j.suspect(upstream, call.err)
	}
	if ended == done && j.service.Engine == nil {
		j.pace.Add(j.service.Name, &to.survey.Best, j.now().Sub(sent))
	}
	return ended
}

// begun returns what is to be called each time that a part of the answer comes; the first time counts.
func (j *job) begun(flight *limit.Flight, at *steer.Candidate) func() {
	sent := j.now()
	first := true
	return func() {
		flight.FirstByte()
		if first && j.service.Engine != nil {
			now := j.now()
			j.estimates.Observe(at, now.Sub(sent), now)
		}
		first = false
	}
}

// forward sends the request to an instance of another region.
func (j *job) forward(ctx context.Context, to *target) result {
	j.tried = append(j.tried, to.name())
	j.hops++
	region := steer.RegionKey(to.peer.Instance.Region, &steer.Request{Service: j.service, Route: j.route})
	flight, ok := j.tracker.Start(region, 0, 0)
	if !ok {
		return notRun
	}
	j.recent.Sent(j.attributes.Parts, to.peer.Instance.Region, j.now())
	call := &call{
		job:    j,
		to:     to,
		pool:   j.peers,
		target: exchange.Target{ID: to.peer.Instance.Peers, Address: to.peer.Instance.Peers},
		send:   Send{Left: j.deadline.Sub(j.now()), After: j.after()},
		begun:  flight.FirstByte,
		peer:   true,
		grants: to.grants(j),
	}
	ended := call.do(ctx)
	flight.Done(call.regionVerdict(ended))
	return ended
}

// regionVerdict tells how the attempt ended to the tracker of the other region: that one
// of its instances leaves or has no configuration says nothing of the region.
func (c *call) regionVerdict(ended result) limit.Result {
	switch {
	case c.regionFull:
		return limit.Rejected
	case ended == done:
		return limit.Succeeded
	default:
		return limit.Abandoned
	}
}

// after is the event after which a stream goes on.
func (j *job) after() string {
	if j.writer.lastEvent != "" {
		return j.writer.lastEvent
	}
	return j.attributes.After
}

// connectionShare is how many connections this instance may have to one upstream.
func (j *job) connectionShare() int {
	if j.service.MaxConnections == 0 {
		return 0
	}
	return max(1, j.service.MaxConnections/(j.regionInstances()+1))
}

// verdict tells how the attempt ended to the upstream's tracker.
func (c *call) verdict(ended result) limit.Result {
	switch ended {
	case done:
		if c.status >= http.StatusInternalServerError {
			return limit.Abandoned
		}
		return limit.Succeeded
	case callerGone:
		return limit.Abandoned
	case notRun:
		// Also one that cannot be reached rests: trying it again costs the next request
		// an attempt, and it may be back at any time.
		return limit.Rejected
	default:
		if c.status != 0 && c.whole {
			return limit.Abandoned
		}
		return limit.Failed
	}
}
