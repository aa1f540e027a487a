// Package quarantine keeps requests that end the upstreams that run them from being run
// again.
//
// When an upstream ends, each request in work there may be the cause, and most are not. An
// instance notes them as suspects and tells the others. A request under which so many
// upstreams have ended is quarantined: it is refused everywhere, and the ends under it no
// longer count against the requests beside it. A request that runs to a good end is cleared.
//
// Guarantees: memory is bounded; what one organisation asks never quarantines what another
// asks; a quarantine ends by itself, after a term that doubles each time that the request
// ends another upstream.
package quarantine
