package route

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Times after which a refused caller is asked to retry.
const (
	// retryNoUpstream is about the time until a domain that has recovered, or an upstream
	// that was ejected, is used again.
	retryNoUpstream = 2 * time.Second
	// retryNoConfiguration is about the time that a new instance takes to get a
	// configuration.
	retryNoConfiguration = 2 * time.Second
	// minRetryAfter prevents immediate retries.
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

// refuseFull is for a request that has left the queue and would have to wait again; it can
// be retried once a running request has ended.
func refuseFull(p *pool, req *Request) *outcome.Refusal {
	holding := answerTokens(req) / defaultDecodeRate / float64(len(p.locals))
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded,
		max(minRetryAfter, seconds(holding)), "this gateway's limit is reached at every usable upstream")
}

// refuseBackingOff is for a pool in which all upstreams have just rejected requests.
func refuseBackingOff(backoff time.Duration) *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded,
		max(minRetryAfter, backoff), "every usable upstream has just said that it is too busy")
}

// refuseLate is for a request that would miss its deadline by late. Waiting, in seconds, is
// the part of the predicted time that depends on the load: once it has fallen by late, the
// same request can succeed. If waiting is less than late, a retry does not help.
func refuseLate(late time.Duration, waiting float64) *outcome.Refusal {
	retry := max(minRetryAfter, late)
	if seconds(waiting) < late {
		retry = 0
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonDeadline, retry,
		"the deadline would be missed")
}
