package dispatch

import (
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/relay"
)

// again decides whether another attempt may be made.
func (r *run) again(route Route, failure *relay.Failure) bool {
	switch {
	case failure.CallerGone, r.attempts >= maxAttempts:
		return false
	case failure.Unsent && failure.Refusal.Reason != outcome.ReasonNoUpstream:
		return false
	case r.sink.Begun && !r.sink.Stream:
		return false
	case r.ran && !r.request.Repeatable:
		return false
	case r.sink.Begun:
		return true
	case failure.Refusal.Outcome == outcome.NotRun && (!failure.Overload || r.attempts < freeAttempts):
		return true
	}
	return r.Router.Retry() || r.leave(route, failure)
}

// leave gives up the own failure domain for another, once, after an upstream
// refused for overload. It costs no retry, since it spares the pool that is
// overloaded; the other domain's credit and the spill rules bound it.
func (r *run) leave(route Route, failure *relay.Failure) bool {
	if r.left || r.request.Origin != "" || !failure.Overload || failure.Refusal.Outcome != outcome.NotRun {
		return false
	}
	r.left = true
	own := route.LocalUpstreams()
	r.tried = append(r.tried, own...)
	return len(own) > 0
}
