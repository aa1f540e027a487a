package httproute

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// Organisation is a caller of the deployment with what is declared of it.
type Organisation struct {
	Name string
	// Keys are the digests of the keys by which its requests are known.
	Keys []KeyDigest
	// Priority takes the place of its routes' priorities; nil: those of the routes hold.
	Priority *int
	// Homes are the regions in which its requests may be processed; empty: all.
	Homes []string
	Limit UsageLimit
}

// UsageLimit bounds what an organisation may use, over all instances together.
type UsageLimit struct {
	// Rate is in units a second, Burst in units; a Rate of zero: no limit.
	Rate, Burst float64
	// Tokens says that the unit is a token of prompt and answer; otherwise it is a request.
	Tokens bool
	// Plain is how many tokens a request counts that does not tell any.
	Plain int
}

// Cost is what a request counts that tells the tokens of its prompt and of its longest
// answer; zero tokens: it does not tell.
func (l *UsageLimit) Cost(tokens int) int {
	switch {
	case !l.Tokens:
		return 1
	case tokens > 0:
		return tokens
	default:
		return l.Plain
	}
}

// KeyDigest stands for a key: keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// setOrganisations indexes the organisations by key. A key of two organisations would
// make it a matter of luck whose a request is: it is a *Fault.
func (c *Configuration) setOrganisations(organisations []Organisation) *Fault {
	c.organisations = make(map[string]*Organisation, len(organisations))
	c.byKey = make(map[KeyDigest]*Organisation, len(organisations))
	for i := range organisations {
		organisation := &organisations[i]
		place := "organisation " + organisation.Name
		if organisation.Name == "" || c.organisations[organisation.Name] != nil {
			return &Fault{Version: c.Version, Place: place, Problem: "the name is empty or not unique"}
		}
		c.organisations[organisation.Name] = organisation
		for _, digest := range organisation.Keys {
			if c.byKey[digest] != nil {
				return &Fault{Version: c.Version, Place: place, Problem: "a key is that of another organisation, too"}
			}
			c.byKey[digest] = organisation
		}
	}
	return nil
}

// Keyed says whether requests must carry a key, those of public routes apart.
func (c *Configuration) Keyed() bool { return len(c.organisations) > 0 }

// Organisation returns a declared organisation, or nil.
func (c *Configuration) Organisation(name string) *Organisation { return c.organisations[name] }

// Organisations returns the declared organisations, sorted by name.
func (c *Configuration) Organisations() []*Organisation {
	all := make([]*Organisation, 0, len(c.organisations))
	for _, organisation := range c.organisations {
		all = append(all, organisation)
	}
	slices.SortFunc(all, func(a, b *Organisation) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Holder returns whose key it is, with the digest of the key; nil: nobody's.
func (c *Configuration) Holder(key string) (*Organisation, KeyDigest) {
	digest := DigestKey(key)
	holder := c.byKey[digest]
	if holder == nil {
		return nil, digest
	}
	for i := range holder.Keys {
		if subtle.ConstantTimeCompare(holder.Keys[i][:], digest[:]) == 1 {
			return holder, digest
		}
	}
	return nil, digest
}

// proofContext separates these proofs from any other use of a key's digest.
const proofContext = "lilacweir forwarded request\x00"

// Proof shows another instance, without the key, that a request carried the key with this
// digest.
func (d KeyDigest) Proof(organisation, requestID string) string {
	code := hmac.New(sha256.New, d[:])
	// A hash never returns an error.
	_, _ = code.Write([]byte(proofContext + organisation + "\x00" + requestID))
	return hex.EncodeToString(code.Sum(nil))
}

// Proven returns the organisation of a forwarded request whose proof holds under one of
// its present keys, and that key's digest; nil: there is none.
func (c *Configuration) Proven(organisation, requestID, proof string) (*Organisation, KeyDigest) {
	holder := c.organisations[organisation]
	if holder == nil {
		return nil, KeyDigest{}
	}
	for _, digest := range holder.Keys {
		if hmac.Equal([]byte(digest.Proof(organisation, requestID)), []byte(proof)) {
			return holder, digest
		}
	}
	return nil, KeyDigest{}
}

// For is the route as it holds for an organisation's requests; nil: for requests without
// one.
func (r *Route) For(organisation *Organisation) *Route {
	if organisation == nil || (organisation.Priority == nil && len(organisation.Homes) == 0) {
		return r
	}
	route := *r
	route.organisationHomes = organisation.Homes
	if organisation.Priority != nil {
		route.Priority = *organisation.Priority
	}
	return &route
}
