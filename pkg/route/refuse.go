package route

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Times after which a refused caller is asked to come back.
const (
	// retryNoUpstream is about how long it takes until a domain that came back,
	// or an upstream that was ejected, is used again.
	retryNoUpstream = 2 * time.Second
	// retryNoConfiguration is about how long a fresh instance takes to get one.
	retryNoConfiguration = 2 * time.Second
	// minRetryAfter keeps callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
)

func refuseNoConfiguration() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, retryNoConfiguration,
		"this instance has no configuration yet")
}

func refuseUnknown(req *Request) *outcome.Refusal {
	return outcome.Refuse(http.StatusNotFound, outcome.ReasonUnknownModel, 0,
		"no model or service named "+req.Serves+" is declared")
}

func refuseModel() *outcome.Refusal {
	return outcome.Refuse(http.StatusForbidden, outcome.ReasonForbiddenModel, 0,
		"the caller may not use this model")
}

func refuseRegion() *outcome.Refusal {
	return outcome.Refuse(http.StatusForbidden, outcome.ReasonForbiddenRegion, 0,
		"the request may not be processed in any region that it can reach from here")
}

func refuseNoUpstream() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, retryNoUpstream,
		"no usable upstream in the permitted regions")
}

// refuseFull is for a request that would have to wait although it has left the
// queue; it can come back once a request has ended.
func refuseFull(p *pool, req *Request) *outcome.Refusal {
	holding := answerTokens(req) / defaultDecodeRate / float64(len(p.locals))
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded,
		max(minRetryAfter, seconds(holding)), "this gateway's limit is reached at every usable upstream")
}

// refuseBackingOff is for a pool whose upstreams have all just rejected requests.
func refuseBackingOff(backoff time.Duration) *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded,
		max(minRetryAfter, backoff), "every usable upstream has just said that it is too busy")
}

// refuseLate is for a deadline that would be missed by late. Waiting, in seconds,
// is the part of the predicted time that passes with the load: once it has gone
// down by late, the same request can succeed. Where it is too small for that,
// coming back does not help.
func refuseLate(late time.Duration, waiting float64) *outcome.Refusal {
	retry := max(minRetryAfter, late)
	if seconds(waiting) < late {
		retry = 0
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonDeadline, retry,
		"the deadline would be missed")
}
