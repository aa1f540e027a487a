package dispatch

import (
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/relay"
)

// mayRetry reports whether another attempt may be made.
func (r *run) mayRetry(route Route, failure *relay.Failure) bool {
	switch {
	case failure.CallerGone, r.attempts >= maxAttempts:
		return false
	case failure.Unsent && failure.Refusal.Reason != outcome.ReasonNoUpstream:
		return false
	case r.sink.HeadWritten && !r.sink.Stream:
		return false
	case r.mayHaveRun && !r.request.Repeatable:
		return false
	case r.sink.HeadWritten:
		return true
	case failure.Refusal.Outcome == outcome.NotRun && (!failure.Overload || r.attempts < unbudgetedAttempts):
		return true
	}
	return r.Router.Retry() || r.switchDomain(route, failure)
}

// switchDomain excludes the own failure domain's upstreams, once, after an upstream
// refused for overload. It costs no retry from the budget, since it relieves the
// overloaded pool; the other domain's credit and the spill rules bound it.
func (r *run) switchDomain(route Route, failure *relay.Failure) bool {
	if r.leftDomain || r.request.Origin != "" || !failure.Overload || failure.Refusal.Outcome != outcome.NotRun {
		return false
	}
	r.leftDomain = true
	own := route.LocalUpstreams()
	r.tried = append(r.tried, own...)
	return len(own) > 0
}
