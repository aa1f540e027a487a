package edge

import (
	"errors"
	"net/http"
	"sync"

	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/fairshare"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// While a service of this region has too little capacity, requests of an organisation above its fair
// share are refused first, so that others find capacity, see package fairshare. The instance that would
// send a request to an upstream decides and records it, also for forwarded requests.

// shareError gives, in logs, the use and the fair share of the organisation whose request was refused,
// and the state of the upstreams.
type shareError struct {
	standing fairshare.Standing
	survey   surveyError
}

// Error implements error.
func (e *shareError) Error() string { return e.survey.Error() }

// Unwrap returns the state of the upstreams.
func (e *shareError) Unwrap() error { return &e.survey }

// yieldsShare reports whether a refusal is for the organisation's fair share.
func (j *job) yieldsShare(refusal *outcome.Refusal) bool {
	if j.organisation == nil {
		return false
	}
	var above *shareError
	return errors.As(refusal.Err, &above)
}

// applyShare moves a request of an organisation above its fair share to another region that can begin
// the answer in time, and returns a refusal if there is none. It returns nil for other requests.
func (j *job) applyShare(chosen *target, query *steer.Request, sent bool) *outcome.Refusal {
	if j.organisation == nil || chosen.peer != nil {
		return nil
	}
	best := &chosen.survey.Best
	j.shareCost = j.shareCostAt(best)
	if sent || !j.contended(chosen.world, best) {
		return nil
	}
	standing, ok := j.shares.Admit(j.shareRequest(), chosen.world.Now)
	if ok {
		return nil
	}
	if chosen.peer = j.timelyElsewhere(chosen.world, query, &chosen.survey); chosen.peer != nil {
		return nil
	}
	return j.shareRefusal(standing, &chosen.survey)
}

// contended reports whether a request that gets capacity now takes it from others: it is late itself, or
// requests that are as urgent were late lately and it would not begin at once. In divided room a free
// place is nobody else's.
func (j *job) contended(world *steer.Snapshot, best *steer.Candidate) bool {
	if best.Late || world.Room != nil || j.service.Engine == nil {
		return best.Late
	}
	return (best.Full() || best.Prefill > 0) && j.overload.Contended(j.service.Name, j.route.Priority+1, world.Now)
}

// shareCostAt returns what the request takes of its service's capacity: at an engine the predicted time in
// ms in which it reads the prompt, at a plain upstream a call.
func (j *job) shareCostAt(best *steer.Candidate) float64 {
	if j.service.Engine == nil {
		return 1
	}
	tokens := j.attributes.PromptTokens
	if best.Upstream != nil {
		tokens = best.Uncached
	}
	forecast := j.estimates.Forecast(j.service.Name, j.now())
	return max(1, forecast.Reading(float64(tokens)))
}

// shareRequest returns the request as shares see it, under contention.
func (j *job) shareRequest() *fairshare.Request {
	return &fairshare.Request{
		Class:        fairshare.Class{Service: j.service.Name, Priority: j.route.Priority},
		Organisation: j.organisation.Name, Weight: j.organisation.Weight, Cost: j.shareCost, Contended: true,
	}
}

// timelyElsewhere returns an instance of another region that can begin the answer in time, nil if there
// is none.
func (j *job) timelyElsewhere(world *steer.Snapshot, query *steer.Request, here *steer.Survey) *peer.Known {
	if j.forwarded || j.hops >= maxHops || j.service.Engine == nil {
		return nil
	}
	// Any time until the deadline is worse than an answer in time.
	survey := *here
	survey.Best.Late, survey.Best.TimeToFirstToken = true, j.deadline.Sub(world.Now)
	if remote := world.Choose(query, survey, world.Regions(query)); remote != nil {
		if peers := j.withPlaces(remote.Peers, j.service); len(peers) > 0 {
			return j.choosePeer(peers, world.Random)
		}
	}
	return nil
}

func (j *job) shareRefusal(standing fairshare.Standing, survey *steer.Survey) *outcome.Refusal {
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, 0, "the organisation is above its fair share of the service, which has no capacity in time for all")
	refusal.Err = &shareError{standing: standing, survey: surveyError{survey: *survey}}
	return refusal
}

// aboveShareOfRoom reports whether a request without a place must not wait for one, since its organisation
// is above its fair share.
func (j *job) aboveShareOfRoom(survey *steer.Survey) (fairshare.Standing, bool) {
	if j.organisation == nil || j.waiter != nil {
		return fairshare.Standing{}, false
	}
	j.shareCost = j.shareCostAt(&survey.Best)
	standing, ok := j.shares.Admit(j.shareRequest(), j.now())
	return standing, !ok
}

// recordShare records, once for each request, that it was sent to an upstream of this region, or refused
// for lack of capacity.
func (j *job) recordShare(admitted bool) {
	if j.organisation == nil || j.shareRecorded || !j.route.PermittedIn(j.settings.Region) {
		return
	}
	j.shareRecorded = true
	j.shares.Record(j.shareRequest(), admitted, j.now())
}

// recordShareRefusal records that another instance refused the request for the fair share of its
// organisation. Further instances are not asked: each hop costs a round trip, and the organisation is
// above its share here too or would not have been sent there.
func (c *call) recordShareRefusal(answer *exchange.Answer) {
	if c.refusedByPeer(answer) && answer.Header.Get(header.AboveShare) != "" {
		c.hops = maxHops
	}
}

// organisationLabels bounds the organisations with counters of their own. The others share one.
type organisationLabels struct {
	mu    sync.Mutex
	named map[string]bool
}

// otherOrganisations is the label of the organisations without counters of their own.
const otherOrganisations = "other"

// of returns the label of an organisation: its name, if it is one of the first to be counted.
func (l *organisationLabels) of(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.named[name]:
		return name
	case len(l.named) >= maxOrganisationMetrics:
		return otherOrganisations
	case l.named == nil:
		l.named = make(map[string]bool)
	}
	l.named[name] = true
	return name
}
