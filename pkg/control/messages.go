// Package control holds the net/rpc messages between lilacweir's own processes:
// those between an instance's agent and its gateway, and those between agents. It
// also holds the dialing, TLS and deadline rules that all control calls share.
//
// Guarantee: every call has a deadline, and a broken connection is dialed again at
// the next call.
package control

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// GatewayService is the net/rpc name under which a gateway serves its agent.
const GatewayService = "Gateway"

// ExchangeArgs is sent by the agent to its own gateway, at once when something
// changed and at least every ExchangeInterval.
type ExchangeArgs struct {
	// WantHead requests the gateway's configuration, when the agent has none or an
	// older one.
	WantHead bool
	// Head is the configuration, if it is newer than the gateway's last reported one.
	Head *config.Head
	// Members, Upstreams, Domains and Platform are the agent's current sections; nil
	// if unchanged since the last successful exchange with this incarnation.
	Members   *board.Members
	Upstreams *board.Upstreams
	Domains   *board.Domains
	Platform  *board.PlatformHealth
	// SentAt is the agent's time of day when it sent them; see Depart.
	SentAt time.Time
}

// ExchangeReply is the gateway's state, from which a restarted agent recovers the
// configuration, and its load.
type ExchangeReply struct {
	// Incarnation is the gateway's; a new one makes the agent send all sections.
	Incarnation uint64
	// Revision is the configuration in force in the gateway.
	Revision config.Revision
	// Head is the gateway's configuration, if the agent requested it (see
	// ExchangeArgs.WantHead).
	Head *config.Head
	// Load is the gateway's current load.
	Load board.GatewayLoad
	// Leaving is true once the gateway has begun to shut down.
	Leaving bool
	// Observations are what the gateway currently observes of its upstreams, by
	// upstream name.
	Observations map[string]Observation
}

// Observation is what a gateway saw of one upstream.
type Observation struct {
	// Leaving is true if the upstream itself reported that it is leaving.
	Leaving bool
	// Ejected is true while the gateway sends it nothing because of failures.
	Ejected bool
}

// WhyArgs is the argument of Gateway.Why, which reads the gateway's request log.
type WhyArgs struct {
	// RequestID names the request.
	RequestID string
}

// WhyReply is a gateway's log of a request.
type WhyReply struct {
	Found bool
	// Lines is the request's path, one event a line, short enough for an operator's
	// phone.
	Lines []string
}
