// Package httproute holds declared HTTP routes: which requests they match, by host and
// longest path prefix, to which service they lead, and what may be done with a request on
// its way there.
//
// A Configuration is immutable once compiled. Its version never decreases within a
// process's lifetime; its owner ensures that with Newer.
package httproute

import (
	"slices"
	"time"
)

// Kind determines which requests of a route may be retried.
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
	// Timeout is the longest time that a caller waits, from the moment the request was
	// read. If zero, the route sets no bound.
	Timeout time.Duration
	// TargetLatency is the intended time to the answer, or to a stream's first event.
	TargetLatency time.Duration
	// TargetGap is the intended longest pause between a stream's events.
	TargetGap time.Duration
	// Priority is the rank under overload; 0 is the most urgent.
	Priority int
	// UrgentTarget is the shortest target of the more urgent routes that share a service with
	// this one; zero if there are none. Compile sets it.
	UrgentTarget time.Duration
	// MaxAttempts is the number of upstreams on which one request may run.
	MaxAttempts int
	// Backends are the services that share the route's requests by weight.
	Backends []Backend
	// Homes are the regions in which requests may be processed; all regions if empty.
	Homes []string
	// organisationHomes are the homes of the request's organisation, which apply as well.
	organisationHomes []string
	// Public requests need no key.
	Public bool
	// Resumable streams may be continued on another upstream after a given event.
	Resumable bool
	// SharedPrompts is true if requests declare the segments of their prompt, and are
	// cheaper if earlier segments are cached.
	SharedPrompts bool
}

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// PermittedIn reports whether the route's requests may be processed in a region.
func (r *Route) PermittedIn(region string) bool {
	return permits(r.Homes, region) && permits(r.organisationHomes, region)
}

// Bound reports whether the route's requests may be processed in some regions only.
func (r *Route) Bound() bool { return len(r.Homes) > 0 || len(r.organisationHomes) > 0 }

// permits reports whether homes, all regions if empty, include a region.
func permits(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Pick returns the service of a request; random is a random number that is the same for each
// attempt of the request.
func (r *Route) Pick(random uint64) string {
	total := 0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(random % uint64(total))
	for _, backend := range r.Backends {
		if at < backend.Weight {
			return backend.Service
		}
		at -= backend.Weight
	}
	return ""
}

// Service is a set of upstreams that can substitute for each other.
type Service struct {
	Name string
	// MaxConnections bounds one upstream's connections from all instances together.
	MaxConnections int
	// ColdRate is how many requests a second a cold upstream can serve; zero if unlimited.
	ColdRate float64
	// WarmUp is the time for which an upstream is cold after its start, HealthPath where it
	// reports whether it is; zero if not declared.
	WarmUp     time.Duration
	HealthPath string
	// Engine describes model engines; nil for plain services.
	Engine *Engine
	// demands are the classes of the routes that lead to the service. Compile sets them.
	demands []demand
}

// Engine holds the common properties of the upstreams of a service of model engines.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// CacheTokens is the memory for running requests and cached prompt segments, in tokens.
	CacheTokens int
	// Copies is true if an engine can copy cached prompt segments from another.
	Copies bool
}

// Limits bound the size of requests and the time that callers may take.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}
