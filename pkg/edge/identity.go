package edge

import (
	"errors"
	"net/http"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/quota"
)

// identify finds whose request it is. The instance that a caller reached decides it by the
// caller's key, and shows another one a proof that it saw the key; what a caller says of
// its organisation, or of a proof, is never looked at.
func (j *job) identify() *outcome.Refusal {
	if !j.config.Keyed() {
		return nil
	}
	if j.forwarded {
		return j.identifyForwarded()
	}
	key, given := bearer(j.request.Header)
	if given {
		j.organisation, j.keyDigest = j.config.Holder(key)
	}
	switch {
	case j.organisation != nil || j.route.Public:
		return nil
	case given && j.store.Lost():
		// The key may have been added since this instance last heard of a configuration.
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, j.startRetry(), "the key is not known here, and the platform's store does not answer")
	default:
		return outcome.Refuse(http.StatusUnauthorized, outcome.ReasonUnauthenticated, 0, "the key is missing or not known")
	}
}

// identifyForwarded checks the sender's proof under the keys that are known here. Without
// one, a withdrawn key or an older configuration on either side is as likely as a caller
// that plays an instance.
func (j *job) identifyForwarded() *outcome.Refusal {
	name := j.request.Header.Get(header.Caller)
	if name == "" && j.route.Public {
		return nil
	}
	j.organisation, j.keyDigest = j.config.Proven(name, j.attributes.RequestID, j.request.Header.Get(header.CallerProof))
	if j.organisation == nil {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonUnauthenticated, noConfigurationRetry, "the organisation of the forwarded request is not proven")
	}
	return nil
}

// bearer returns the key that a caller shows; given is false unless there is exactly one.
func bearer(fields http.Header) (key string, given bool) {
	values := fields.Values(header.Authorization)
	if len(values) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, strings.EqualFold(scheme, "Bearer") && key != ""
}

// charge counts the request against its organisation's limit, at the instance that the
// caller reached alone.
func (j *job) charge() *outcome.Refusal {
	if j.organisation == nil || j.forwarded {
		return nil
	}
	limit := &j.organisation.Limit
	grant, err := j.limiter.Admit(j.organisation.Name, quota.Limit{Rate: limit.Rate, Burst: limit.Burst}, limit.Cost(j.attributes.Tokens))
	var over *quota.OverLimitError
	if errors.As(err, &over) {
		refusal := outcome.Refuse(http.StatusTooManyRequests, outcome.ReasonCallerLimit, over.Wait, "the organisation has used its limit")
		refusal.Err = err
		return refusal
	}
	j.grant = grant
	return nil
}

// nameOrganisation adds to a request that is sent on whose it is: its name for an upstream,
// name and proof for another instance. The caller's key goes to neither.
func (c *call) setOrganisation(fields http.Header) {
	fields.Del(header.Caller)
	fields.Del(header.CallerProof)
	if c.peer && c.organisation != nil {
		fields.Set(header.Caller, c.organisation.Name)
		fields.Set(header.CallerProof, c.keyDigest.Proof(c.organisation.Name, c.attributes.RequestID))
	}
}

// organisationName is whose request it is; empty: nobody's.
func (j *job) organisationName() string {
	if j.organisation == nil {
		return ""
	}
	return j.organisation.Name
}

// limits are the declared limits by organisation.
func declaredLimits(config *httproute.Configuration) map[string]quota.Limit {
	byOrganisation := make(map[string]quota.Limit)
	for _, organisation := range config.Organisations() {
		if limit := organisation.Limit; limit.Rate > 0 {
			byOrganisation[organisation.Name] = quota.Limit{Rate: limit.Rate, Burst: limit.Burst}
		}
	}
	return byOrganisation
}
