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

// identify finds the organisation of the request. The instance that the caller reached determines
// it from the caller's key, and sends other instances a proof that it saw the key. A caller's own
// header values for its organisation or a proof are never used.
func (j *job) identify() *outcome.Refusal {
	if !j.config.Keyed() {
		return nil
	}
	if j.forwarded {
		return j.identifyForwarded()
	}
	key, given := bearer(j.request.Header)
	if given {
		j.organisation, j.keyDigest = j.config.KeyOwner(key)
	}
	switch {
	case j.organisation != nil || j.route.Public:
		return nil
	case given && j.store.LastCallFailed():
		// The key may have been added since this instance last received a configuration.
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, j.startRetry(), "the key is not known here, and the platform's store does not answer")
	default:
		return outcome.Refuse(http.StatusUnauthorized, outcome.ReasonUnauthenticated, 0, "the key is missing or not known")
	}
}

// identifyForwarded checks the sender's proof against the keys that are known here. If it fails,
// a withdrawn key or an older configuration on either side is as likely as a caller that
// impersonates an instance.
func (j *job) identifyForwarded() *outcome.Refusal {
	name := j.request.Header.Get(header.Caller)
	if name == "" && j.route.Public {
		return nil
	}
	j.organisation, j.keyDigest = j.config.VerifyProof(name, j.attributes.RequestID, j.request.Header.Get(header.CallerProof))
	if j.organisation == nil {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonUnauthenticated, noConfigurationRetry, "the organisation of the forwarded request is not proven")
	}
	return nil
}

// bearer returns the caller's key. given is false unless there is exactly one.
func bearer(fields http.Header) (key string, given bool) {
	values := fields.Values(header.Authorization)
	if len(values) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, strings.EqualFold(scheme, "Bearer") && key != ""
}

// charge counts the request against its organisation's limit. Only the instance that the caller
// reached counts it.
func (j *job) charge() *outcome.Refusal {
	if j.organisation == nil || j.forwarded {
		return nil
	}
	limit := &j.organisation.Limit
	grant, err := j.limiter.AdmitWithin(j.organisation.Name, quota.Limit{Rate: limit.Rate, Burst: limit.Burst}, limit.Cost(j.attributes.Tokens), j.deadline.Sub(j.now()))
	var over *quota.OverLimitError
	if errors.As(err, &over) {
		refusal := outcome.Refuse(http.StatusTooManyRequests, outcome.ReasonCallerLimit, over.Wait, "the organisation has used its limit")
		refusal.Err = err
		return refusal
	}
	j.grant = grant
	return nil
}

// setOrganisation adds the organisation to a request that is sent on: its name for an upstream,
// its name and a proof for another instance. The caller's key is sent to neither.
func (c *call) setOrganisation(fields http.Header) {
	fields.Del(header.Caller)
	fields.Del(header.CallerProof)
	if c.peer && c.organisation != nil {
		fields.Set(header.Caller, c.organisation.Name)
		fields.Set(header.CallerProof, c.keyDigest.Proof(c.organisation.Name, c.attributes.RequestID))
	}
}

// organisationName returns the organisation of the request, empty if it is anonymous.
func (j *job) organisationName() string {
	if j.organisation == nil {
		return ""
	}
	return j.organisation.Name
}

// declaredLimits returns the declared limits by organisation.
func declaredLimits(config *httproute.Configuration) map[string]quota.Limit {
	byOrganisation := make(map[string]quota.Limit)
	for _, organisation := range config.Organisations() {
		if limit := organisation.Limit; limit.Rate > 0 {
			byOrganisation[organisation.Name] = quota.Limit{Rate: limit.Rate, Burst: limit.Burst}
		}
	}
	return byOrganisation
}
