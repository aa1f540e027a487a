// Package control is what lilacweir's own processes say to each other by
// net/rpc: the link between an instance's agent and its gateway, and the shared
// dialing, TLS and deadline rules of all control calls.
//
// Guarantee: every call has a deadline, and a broken connection is dialed anew
// at the next call.
package control

import (
	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// GatewayService is the net/rpc name under which a gateway serves its agent.
const GatewayService = "Gateway"

// ExchangeArgs is sent by the agent to its own gateway, at once when something
// changed and at least every ExchangeInterval.
type ExchangeArgs struct {
	// WantHead asks for the gateway's configuration: the agent has none.
	WantHead bool
	// Head is the configuration, when it is newer than the gateway said it has.
	Head *config.Head
	// Members, Upstreams and Domains are the agent's present sections; nil when
	// unchanged since the last successful exchange with this incarnation.
	Members   *board.Members
	Upstreams *board.Upstreams
	Domains   *board.Domains
	Platform  *board.PlatformHealth
}

// ExchangeReply is the gateway's side: what it has, so that an agent that was
// restarted learns it again, and its load.
type ExchangeReply struct {
	// Incarnation is the gateway's; a new one makes the agent send everything.
	Incarnation uint64
	// Revision is the configuration in force in the gateway.
	Revision config.Revision
	// Head is the gateway's configuration, when the agent sent none and the
	// gateway's is wanted (see ExchangeArgs.WantHead).
	Head *config.Head
	// Load is the gateway's load now.
	Load board.GatewayLoad
	// Leaving is true once the gateway has been told to stop.
	Leaving bool
	// Observations are what the gateway saw of its upstreams since the last
	// exchange, by upstream name.
	Observations map[string]Observation
}

// Observation is what a gateway saw of one upstream.
type Observation struct {
	// Leaving is true when the upstream itself answered that it is leaving.
	Leaving bool
	// Ejected is true while the gateway sends it nothing because of failures.
	Ejected bool
}

// WhyArgs is the argument of Gateway.Why, which reads the gateway's request log.
type WhyArgs struct {
	// RequestID names the request.
	RequestID string
}

// WhyReply is what a gateway remembers of a request.
type WhyReply struct {
	Found bool
	// Lines is the request's path, one event a line, for an operator's phone.
	Lines []string
}
