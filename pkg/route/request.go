// Package route decides where a request runs: on an upstream of the own failure domain, in
// another failure domain, or nowhere.
//
// A Table is compiled from the blackboard's sections whenever one changes; Pick is then a
// function of the request, the table and this gateway's own load.
//
// Guarantees: a decision never leaves the regions that the caller and the model or service
// both permit; a request of ClassDomain is never sent to another domain; a refusal by this
// package is always "not run".
package route

import (
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/limit"
)

// Class limits how far a request may be forwarded. It only ever becomes more restrictive.
type Class uint8

// Classes of a request.
const (
	// ClassEntry: it came from a caller, and may be sent to another domain.
	ClassEntry Class = iota
	// ClassDomain: it came from another domain, and must run in this one.
	ClassDomain
)

// Request holds the properties of a request that a decision depends on. All decisions on a
// request must use the same Request.
type Request struct {
	// Caller is the sender of the request. It is never nil.
	Caller *config.Caller
	// Serves is the name of the model or service, and Kind the kind of its upstreams.
	Serves string
	Kind   config.UpstreamKind
	// Version selects one model version; if empty, the declared split decides.
	Version string
	// Prefixes holds cumulative hashes of the prompt at each message's end, and
	// PrefixTokens the estimated prompt tokens up to there. PrefixTokens may be empty:
	// messages then count as equally long.
	Prefixes     []uint64
	PrefixTokens []int
	// PromptTokens is the estimated length of the prompt, MaxTokens the longest answer;
	// zero if the request does not specify it.
	PromptTokens, MaxTokens int
	// Deadline is when the answer must be complete; zero if there is none.
	Deadline time.Time
	// Class is the request's class. Origin is the failure domain that forwarded it, empty
	// for ClassEntry.
	Class  Class
	Origin string
	// Tried names the upstreams and failure domains that have failed this
	// request; they are not picked again.
	Tried []string
	// SplitRandom is a random number that decides the version split.
	SplitRandom uint64
	// Waiting is the predicted wait in this gateway's own queue, if the request
	// runs in this domain.
	Waiting time.Duration
	// Admitted is true if the request has left this gateway's queue: upstreams at which the
	// gateway's limit is reached are then not picked.
	Admitted bool
	// counted is true once the request has been counted towards the spill rules.
	counted bool
}

// Decision is where a request goes. Exactly one of Upstream and Domain is set.
type Decision struct {
	// Upstream is an upstream of the own failure domain.
	Upstream *config.Upstream
	// Domain is another failure domain; the request is sent to one of its Entries.
	Domain *board.DomainDigest
	// Pool is the key of the pool that was chosen, PoolKey(serves, version). It is also the
	// key of this gateway's queue.
	Pool string
	// Version is the model version that was chosen; empty for services.
	Version string
	// FirstToken is the predicted time to the first byte, and Predicted the time
	// to the whole answer, own queue included.
	FirstToken, Predicted time.Duration
	// Run is the part of Predicted that follows the own queue.
	Run time.Duration
	// Spilled is true if the request leaves a region that could run it.
	Spilled bool
}

// LocalLoad provides this gateway's own present load. *limit.Tracker implements it.
type LocalLoad interface {
	// Load returns the gateway's own load at an upstream and the limits that apply there.
	Load(upstream string) limit.Load
}

// Rand is a source of random numbers; *math/rand/v2.Rand implements it.
type Rand interface {
	// Uint64 returns 64 random bits.
	Uint64() uint64
}

// PoolKey returns the key of the pool of upstreams that serve one model version, or one
// service.
func PoolKey(serves, version string) string {
	if version == "" {
		return serves
	}
	return serves + poolSeparator + version
}

// poolSeparator separates the name and the version in a PoolKey. Declared names do not
// contain it.
const poolSeparator = "@"

// PoolServes returns the model or service that a PoolKey names.
func PoolServes(key string) string {
	serves, _, _ := strings.Cut(key, poolSeparator)
	return serves
}
