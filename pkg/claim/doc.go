// Package claim decides whether a request that carries an idempotency key may
// run, so that it runs at most once.
//
// A key issued by the system names the process incarnation of the gateway that
// issued it. That incarnation is the sole decider of the key: it holds all of the
// key's records in memory, so it alone can establish that there is none. If it is
// lost, no other instance decides in its place: repeats get the recorded answer
// from a copy, or unknown. A leaving gateway transfers its authority to exactly
// one successor. A key chosen by the caller (an opaque key) is claimed in the
// platform's key-value service.
//
// Guarantees: a key is granted to one attempt only, unless that attempt was
// abandoned before it sent a byte; a not-run refusal holds for the key, not only
// for the attempt; clocks of different machines are never compared.
//
// The package is independent of the transport: clock, randomness, peers,
// membership and the key-value service are passed in.
package claim
