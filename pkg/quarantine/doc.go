// Package quarantine prevents requests that crash their upstreams from being run again.
//
// When an upstream crashes, each request in flight there may be the cause, and most are not. An
// instance records them as suspects and reports them to the others. A request that was in flight
// in CrashesToQuarantine crashes is quarantined: every instance refuses it, and its crashes no
// longer count against the requests beside it. No instance retries it on its own; it is refused
// until an operator clears it. A request that completes is cleared as well.
//
// Guarantees: memory is bounded; requests of one organisation never quarantine those of another;
// and all instances together stop sending a quarantined request.
package quarantine
