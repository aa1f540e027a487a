package httproute

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// Organisation is a caller of the deployment with its declared properties.
type Organisation struct {
	Name string
	// Keys are the digests of the keys that identify its requests.
	Keys []KeyDigest
	// Priority overrides the priorities of routes; nil if those of the routes apply.
	Priority *int
	// Homes are the regions in which its requests may be processed; all regions if empty.
	Homes []string
	Limit UsageLimit
	// Weight is its weight in the division of limited capacity; 1 if it is zero.
	Weight float64
}

// UsageLimit bounds what an organisation may use, over all instances together.
type UsageLimit struct {
	// Rate is in units a second, Burst in units; a Rate of zero means no limit.
	Rate, Burst float64
	// Tokens is true if the unit is a token of prompt and answer; otherwise it is a
	// request.
	Tokens bool
	// Plain is the number of tokens that is counted for a request that declares none.
	Plain int
}

// Cost returns the units of a request that declares so many tokens for its prompt and its
// longest answer; zero tokens if it declares none.
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

// KeyDigest is the SHA-256 digest of a key. Keys themselves are not stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// setOrganisations indexes the organisations by key. A key of two organisations is a
// *Fault, because the owner of its requests would be ambiguous.
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
				return &Fault{Version: c.Version, Place: place, Problem: "a key belongs to another organisation as well"}
			}
			c.byKey[digest] = organisation
		}
	}
	return nil
}

// Keyed reports whether requests must carry a key, except those of public routes.
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

// KeyOwner returns the organisation that owns the key, nil if there is none, and the digest
// of the key.
func (c *Configuration) KeyOwner(key string) (*Organisation, KeyDigest) {
	digest := DigestKey(key)
	owner := c.byKey[digest]
	if owner == nil {
		return nil, digest
	}
	for i := range owner.Keys {
		if subtle.ConstantTimeCompare(owner.Keys[i][:], digest[:]) == 1 {
			return owner, digest
		}
	}
	return nil, digest
}

// proofContext separates these proofs from any other use of a key's digest.
const proofContext = "lilacweir forwarded request\x00"

// Proof returns an HMAC that proves to another instance, without the key, that a request
// carried the key with this digest.
func (d KeyDigest) Proof(organisation, requestID string) string {
	code := hmac.New(sha256.New, d[:])
	// A hash never returns an error.
	_, _ = code.Write([]byte(proofContext + organisation + "\x00" + requestID))
	return hex.EncodeToString(code.Sum(nil))
}

// VerifyProof returns the organisation of a forwarded request with a valid proof by one of its
// present keys, and that key's digest; nil if there is none.
func (c *Configuration) VerifyProof(organisation, requestID, proof string) (*Organisation, KeyDigest) {
	owner := c.organisations[organisation]
	if owner == nil {
		return nil, KeyDigest{}
	}
	for _, digest := range owner.Keys {
		if hmac.Equal([]byte(digest.Proof(organisation, requestID)), []byte(proof)) {
			return owner, digest
		}
	}
	return nil, KeyDigest{}
}

// For returns the route as it applies to an organisation's requests; nil for requests
// without one.
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
