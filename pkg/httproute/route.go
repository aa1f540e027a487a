// Package httproute holds declared HTTP routes: which requests they take, by host
// and longest path prefix, to which service they lead, and what may be done with
// a request on its way there.
//
// A Configuration is immutable once compiled. Its version never goes back within
// a process's life; the holder sees to that with Newer.
package httproute

import (
	"slices"
	"time"
)

// Kind says what may be repeated on a route.
type Kind string

// Kinds of route.
const (
	// Safe requests may run any number of times.
	Safe Kind = "safe"
	// Unsafe requests run once at most.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by server-sent events. They run once at most,
	// unless the route is resumable.
	Streaming Kind = "streaming"
)

// Route leads the requests of a host under a path prefix to services.
type Route struct {
	Name string
	// Host is compared without its port and without regard to case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting, from the moment its
	// request was read. Zero: no bound but the caller's own deadline.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, that
	// the operators aim at.
	TargetLatency time.Duration
	// TargetGap is the longest pause between a stream's events that they aim at.
	TargetGap time.Duration
	// Priority is the rank under overload; 0 goes first.
	Priority int
	// Yields is the target of the most demanding more urgent route that shares a service
	// with this one; zero: there is none. Compile sets it.
	Yields time.Duration
	// MaxAttempts is on how many upstreams one request may run.
	MaxAttempts int
	// Backends are the services that share the route's requests by weight.
	Backends []Backend
	// Homes are the regions in which requests may be processed; empty: all.
	Homes []string
	// organisationHomes are those of the request's organisation, which bind as well.
	organisationHomes []string
	// Public requests need no key.
	Public bool
	// Resumable streams may be continued on another upstream after a given event.
	Resumable bool
	// SharedPrompts says that requests tell the parts of their prompt, and are
	// cheaper where earlier parts are cached.
	SharedPrompts bool
}

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Repeatable says whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// PermittedIn says whether the route's requests may be processed in a region.
func (r *Route) PermittedIn(region string) bool {
	return permits(r.Homes, region) && permits(r.organisationHomes, region)
}

// permits says whether homes, all regions if there are none, hold a region.
func permits(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Pick returns the service of a request; roll is any number that is the same on
// each try of the request.
func (r *Route) Pick(roll uint64) string {
	total := 0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(roll % uint64(total))
	for _, backend := range r.Backends {
		if at < backend.Weight {
			return backend.Service
		}
		at -= backend.Weight
	}
	return ""
}

// Service is a set of upstreams that stand in for each other.
type Service struct {
	Name string
	// MaxConnections is what one upstream accepts from all instances together.
	MaxConnections int
	// ColdRate is how many requests a second an upstream bears while it is cold;
	// zero: no bound.
	ColdRate float64
	// WarmUp is for how long an upstream is cold after its start, HealthPath where it says whether it
	// is; zero: not said.
	WarmUp     time.Duration
	HealthPath string
	// Engine describes model engines; nil for plain services.
	Engine *Engine
}

// Engine is what the upstreams of a service of model engines have in common.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// CacheTokens is the memory for running requests and cached prompt parts.
	CacheTokens int
	// Copies says that an engine can copy cached prompt parts from another.
	Copies bool
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}
