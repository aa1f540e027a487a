// Package claim decides whether a request that carries an idempotency key may
// run, so that it runs at most once.
//
// A key that the system gave out names the process incarnation of the gateway
// that issued it. That incarnation is the sole decider of the key: it holds all
// of the key's records in memory, so it alone can say that there is none. When
// it is gone, no one decides in its place: the answer is then the recorded one
// from a copy, or unknown. A leaving gateway passes its authority on to exactly
// one successor. A key that a caller made up itself (an opaque key) is claimed
// in the platform's key-value service.
//
// Guarantees: a key is granted to one attempt only, unless that attempt was
// abandoned before it sent a byte; a refusal that says not-run is true for the
// key, not only for the attempt; no clock of one machine is compared with that
// of another.
//
// The package knows nothing of transport: clock, randomness, peers, membership
// and the key-value service are passed in.
package claim
