package claim

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// MaxStoredBody is the longest answer in bytes that is kept for repeats; of a
// longer one only the fact that it was complete is kept.
const MaxStoredBody = 32 << 10

// Fingerprint identifies what a request asks for, to tell a repeat from another
// request under the same key.
type Fingerprint [16]byte

// FingerprintOf hashes a request's method, path with query, and body.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Fingerprint(hash.Sum(nil)[:16])
}

// Claim asks for the right to run a request.
type Claim struct {
	// Key is the idempotency key as the caller sent it.
	Key string
	// Caller is the name of the caller. Keys of different callers never meet.
	Caller string
	// Fingerprint is the request's.
	Fingerprint Fingerprint
	// Attempt names this very try to run the request. It is random and never
	// used for a second try.
	Attempt string
	// Holder is the gateway that makes the attempt. Coordinator.Begin fills it in.
	Holder Origin
}

// identity is what records are kept by.
type identity struct{ caller, key string }

func (c Claim) identity() identity { return identity{caller: c.Caller, key: c.Key} }

// Result is what became of an attempt.
type Result struct {
	// Outcome is Complete, NotRun (the upstream said that it did not start) or
	// Unknown.
	Outcome outcome.Outcome
	// Status, Header and Body are the answer that the caller got; Header is the
	// small part worth repeating, such as Content-Type.
	Status int
	Header map[string]string
	Body   []byte
	// BodyDropped says that Body was too long to keep, or had to go: the request
	// was answered completely, but the answer cannot be given again.
	BodyDropped bool
}

// State is what a decider knows of a key.
type State uint8

// The states of a record.
const (
	// StateFree: the attempt was abandoned before it sent a byte.
	StateFree State = iota + 1
	// StateGranted: the attempt may be running.
	StateGranted
	// StateComplete: the attempt was answered completely.
	StateComplete
	// StateUnknown: the attempt ended without a complete answer and may have run.
	StateUnknown
)

// Record is what a decider remembers of a key.
type Record struct {
	Claim
	State State
	// Issued and Granted are Unix milliseconds of the origin's clock.
	Issued, Granted int64
	// Result is set in StateComplete.
	Result Result
}

// Recorded is the answer to a repeat of a request that is complete.
type Recorded struct{ Result }

// finish moves the record to what the result says.
func (r *Record) finish(result Result) {
	switch result.Outcome {
	case outcome.Complete:
		r.State = StateComplete
		r.Result = bounded(result, MaxStoredBody)
	case outcome.NotRun:
		r.State = StateFree
	default:
		r.State = StateUnknown
	}
}

// bounded drops a body that is longer than limit.
func bounded(result Result, limit int) Result {
	if len(result.Body) > limit {
		result.Body, result.BodyDropped = nil, true
	}
	return result
}
