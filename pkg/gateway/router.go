package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/admission"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/relay"
	"github.com/lilacweir/lilacweir/pkg/route"
)

// randomSource is the random source of routing decisions.
type randomSource struct{}

// Uint64 implements route.Rand.
func (randomSource) Uint64() uint64 { return rand.Uint64() }

// maxSlotRetries bounds how often an upstream is picked again because the slot at
// the last one was taken in the meantime.
const maxSlotRetries = 3

// slotRetryAfter is the suggested retry delay when every slot is taken.
const slotRetryAfter = 200 * time.Millisecond

// requestRoute routes one request; it implements dispatch.Route.
type requestRoute struct {
	*Gateway
	request *dispatch.Request
	// query is the request as routing decisions see it, the same for all of them.
	query route.Request
	// release releases the slot that admission granted; nil until then.
	release func()
}

// Route implements dispatch.Router.
func (g *Gateway) Route(request *dispatch.Request) dispatch.Route {
	return &requestRoute{Gateway: g, request: request, query: newQuery(request)}
}

// Release implements dispatch.Route.
func (r *requestRoute) Release() {
	if r.release != nil {
		r.release()
	}
}

// LocalUpstreams implements dispatch.Route.
func (r *requestRoute) LocalUpstreams() []string {
	var names []string
	for _, upstream := range r.config.Load().Pool(r.request.Serves) {
		if upstream.Domain == r.settings.Domain {
			names = append(names, upstream.Name)
		}
	}
	return names
}

// Next implements dispatch.Route.
func (r *requestRoute) Next(ctx context.Context, tried []string) (dispatch.Choice, func(relay.Report), *outcome.Refusal) {
	r.query.Tried = r.suspects.exhausted(r.board.Domains.Load(), tried)
	r.query.Version = r.request.Version
	if r.release == nil {
		remote, refusal := r.admit(ctx)
		if refusal != nil {
			return dispatch.Choice{}, nil, refusal
		}
		if remote != nil {
			return r.forward(remote, tried)
		}
	}
	for attempt := 0; ; attempt++ {
		r.query.Admitted = true
		choice, done, refusal := r.reserveSlot(tried)
		if refusal == nil || refusal.Reason != outcome.ReasonOverloaded || attempt == maxRequeues {
			return choice, done, refusal
		}
		remote, refusal := r.requeue(ctx)
		if refusal != nil {
			return dispatch.Choice{}, nil, refusal
		}
		if remote != nil {
			return r.forward(remote, tried)
		}
	}
}

// maxRequeues bounds how often an admitted request is queued again because the
// limits at the upstreams fell below the slots that the queue gave out.
const maxRequeues = 3

// requeue queues the request again under the current limits. An admitted request is
// not refused only because the queue's capacity was updated late.
func (r *requestRoute) requeue(ctx context.Context) (*route.Decision, *outcome.Refusal) {
	r.release()
	r.release = nil
	r.query.Admitted = false
	r.refreshCapacities()
	return r.admit(ctx)
}

// admit decides whether the request stays in this domain, and if so waits for its
// turn in the queue. It returns the decision when the request goes to another
// domain.
func (r *requestRoute) admit(ctx context.Context) (*route.Decision, *outcome.Refusal) {
	decision, refusal := r.pick()
	if refusal != nil || decision.Domain != nil {
		return &decision, refusal
	}
	ticket := r.ticket(&decision)
	if wait := r.queue.Predict(ticket); wait > 0 {
		r.query.Waiting = wait
		decision, refusal = r.pick()
		r.query.Waiting = 0
		if refusal != nil || decision.Domain != nil {
			return &decision, refusal
		}
		ticket = r.ticket(&decision)
	}
	release, refusal := r.queue.Acquire(ctx, ticket)
	r.release = release
	return nil, refusal
}

func (r *requestRoute) pick() (route.Decision, *outcome.Refusal) {
	return r.table.Load().Pick(&r.query, localLoad{r.Gateway}, randomSource{}, r.clock.Now())
}

func (r *requestRoute) ticket(decision *route.Decision) admission.Ticket {
	answer := r.request.MaxTokens
	if answer == 0 && r.request.Kind == config.KindEngine {
		answer = route.ExpectedAnswerTokens
	}
	return admission.Ticket{
		Caller:   r.request.Caller,
		Serves:   decision.Pool,
		Cost:     admission.Cost(r.request.PromptTokens, answer),
		Priority: r.request.Priority,
		Deadline: r.request.Deadline,
		Run:      decision.Run,
	}
}

// reserveSlot reserves a slot at an upstream, or chooses another domain after all.
func (r *requestRoute) reserveSlot(tried []string) (dispatch.Choice, func(relay.Report), *outcome.Refusal) {
	for range maxSlotRetries {
		decision, refusal := r.pick()
		if refusal != nil {
			return dispatch.Choice{}, nil, refusal
		}
		if decision.Domain != nil {
			return r.forward(&decision, tried)
		}
		flight, ok := r.tracker.Start(decision.Upstream.Name, r.request.PromptTokens, decision.FirstToken)
		if ok {
			choice := r.localChoice(&decision)
			choice.OnFirstByte = flight.FirstByte
			return choice, r.finish(&decision, flight), nil
		}
	}
	return dispatch.Choice{}, nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, slotRetryAfter, "this gateway's limit is reached at every usable upstream")
}

// newQuery returns the request as routing decisions see it.
func newQuery(request *dispatch.Request) route.Request {
	query := route.Request{
		Caller:       request.Caller,
		Serves:       request.Serves,
		Kind:         request.Kind,
		Prefixes:     request.Prefixes,
		PrefixTokens: request.PrefixTokens,
		PromptTokens: request.PromptTokens,
		MaxTokens:    request.MaxTokens,
		Deadline:     request.Deadline,
		Origin:       request.Origin,
		SplitRandom:  request.SplitRandom,
	}
	if request.Origin != "" {
		query.Class = route.ClassDomain
	}
	return query
}

func (g *Gateway) localChoice(decision *route.Decision) dispatch.Choice {
	upstream := decision.Upstream
	return dispatch.Choice{
		Target:   relay.Target{Name: upstream.Name, Address: upstream.Address, Kind: upstream.Kind},
		Domain:   g.settings.Domain,
		Region:   g.settings.Region,
		Version:  decision.Version,
		Revision: g.table.Load().Revision(),
	}
}

// finish returns the callback for the report of an attempt at an upstream.
func (g *Gateway) finish(decision *route.Decision, flight *limit.Flight) func(relay.Report) {
	started := g.clock.Now()
	expected := decision.FirstToken
	upstream := decision.Upstream.Name
	return func(report relay.Report) {
		now := g.clock.Now()
		if report.Leaving {
			g.marks.mark(upstream, now)
		}
		result := resultOf(report.Failure)
		if result == limit.Abandoned && report.Status == 0 && now.Sub(started) > max(hungAfter, hungFactor*expected) {
			result = limit.Failed
		}
		if result == limit.Succeeded {
			g.retries.Success()
		}
		if result == limit.Rejected {
			flight.Reject(report.Failure.Refusal.RetryAfter)
			return
		}
		flight.Done(result)
	}
}

// An upstream counts as failed if it had not begun to answer after hungAfter and
// hungFactor times the predicted time, whoever cancelled the attempt.
const (
	hungAfter  = 3 * time.Second
	hungFactor = 4
)

func resultOf(failure *relay.Failure) limit.Result {
	switch {
	case failure == nil:
		return limit.Succeeded
	case failure.CallerGone, failure.Unsent:
		return limit.Abandoned
	case failure.Overload:
		return limit.Rejected
	default:
		return limit.Failed
	}
}

// forward chooses an instance of another failure domain.
func (r *requestRoute) forward(decision *route.Decision, tried []string) (dispatch.Choice, func(relay.Report), *outcome.Refusal) {
	digest := decision.Domain
	left := r.suspects.entriesLeft(digest, tried)
	if len(left) == 0 {
		return dispatch.Choice{}, nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, slotRetryAfter, "no instance of the other domain is left to ask")
	}
	entry := left[rand.IntN(len(left))]
	choice := dispatch.Choice{
		Target: relay.Target{
			Name:    targetName(digest.Domain, entry.Name),
			Address: entry.Addresses.Peers,
			Kind:    r.request.Kind,
			Peer:    true,
		},
		Domain:   digest.Domain,
		Region:   digest.Region,
		Version:  decision.Version,
		Revision: r.table.Load().Revision(),
	}
	done := func(report relay.Report) {
		if unanswered(&report) {
			r.suspects.failed(choice.Target.Name, digest, report.TimedOut)
		}
	}
	return choice, done, nil
}

// unanswered reports whether an attempt failed without any answer from the other
// side, or after it stopped sending.
func unanswered(report *relay.Report) bool {
	failure := report.Failure
	if failure == nil || failure.Unsent || failure.CallerGone {
		return false
	}
	return report.TimedOut || report.Status == 0
}

// nameSeparator separates a failure domain from its instance in the names of
// targets. Declared names do not contain it.
const nameSeparator = "/"

func targetName(domain, instance string) string { return domain + nameSeparator + instance }

// Permitted implements dispatch.Router: both the caller and the placement must
// permit the region, by the configuration that is in force now.
func (g *Gateway) Permitted(request *dispatch.Request, choice *dispatch.Choice) *outcome.Refusal {
	current := g.config.Load()
	caller, ok := current.Caller(request.Caller.Name)
	if !ok {
		return outcome.Refuse(http.StatusForbidden, outcome.ReasonForbiddenRegion, 0, "the caller is no longer declared")
	}
	region := current.Region(choice.Domain)
	placed := slices.Contains(placementRegions(current.Index, request), region)
	if region == "" || !placed || !slices.Contains(caller.Regions, region) {
		return outcome.Refuse(http.StatusForbidden, outcome.ReasonForbiddenRegion, 0, "the request may not be processed in "+strings.TrimSpace(region+" "+choice.Domain))
	}
	if choice.Target.Peer {
		return nil
	}
	upstream, ok := current.Upstream(choice.Target.Name)
	if !ok || upstream.Drained || upstream.Address != choice.Target.Address {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, slotRetryAfter, "the upstream was taken out of service")
	}
	return nil
}

// placementRegions returns the regions in which the requested model or service may
// run.
func placementRegions(index *config.Index, request *dispatch.Request) []string {
	if request.Kind == config.KindEngine {
		if model, ok := index.Model(request.Serves); ok {
			return model.Regions
		}
		return nil
	}
	if service, ok := index.Service(request.Serves); ok {
		return service.Regions
	}
	return nil
}

// Retry implements dispatch.Router.
func (g *Gateway) Retry() bool { return g.retries.Take() }
