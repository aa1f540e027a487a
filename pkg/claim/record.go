package claim

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// MaxStoredBody is the longest answer, in bytes, that is stored for repeats. For a
// longer one only its completion is recorded.
const MaxStoredBody = 32 << 10

// Fingerprint identifies the content of a request, to distinguish a repeat from
// another request under the same key.
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

// Claim requests the right to run a request.
type Claim struct {
	// Key is the idempotency key as the caller sent it.
	Key string
	// Caller is the name of the caller. Each caller has its own key space.
	Caller      string
	Fingerprint Fingerprint
	// Attempt is the random ID of this attempt to run the request. It is never
	// reused.
	Attempt string
	// Holder is the gateway that makes the attempt. Coordinator.Begin fills it in.
	Holder Origin
}

// identity is the map key of records.
type identity struct{ caller, key string }

func (c Claim) identity() identity { return identity{caller: c.Caller, key: c.Key} }

// Result is the final result of an attempt.
type Result struct {
	// Outcome is Complete, NotRun (the upstream reported that it did not start)
	// or Unknown.
	Outcome outcome.Outcome
	// Status, Header and Body are the caller's answer. Header holds only the few
	// fields to replay, such as Content-Type.
	Status int
	Header map[string]string
	Body   []byte
	// BodyDropped means that Body was too long or was dropped to bound memory: the
	// request was answered completely, but the answer cannot be replayed.
	BodyDropped bool
}

// State is the state of a record.
type State uint8

// The states of a record.
const (
	// StateFree means that the attempt was abandoned before it sent a byte.
	StateFree State = iota + 1
	// StateGranted means that the attempt may be running.
	StateGranted
	// StateComplete means that the attempt was answered completely.
	StateComplete
	// StateUnknown means that the attempt ended without a complete answer and may
	// have run.
	StateUnknown
)

// Record is a decider's record of a key.
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

// finish sets the record's state from the result.
func (r *Record) finish(result Result) {
	switch result.Outcome {
	case outcome.Complete:
		r.State = StateComplete
		r.Result = dropLongBody(result, MaxStoredBody)
	case outcome.NotRun:
		r.State = StateFree
	default:
		r.State = StateUnknown
	}
}

// dropLongBody drops a body that is longer than limit.
func dropLongBody(result Result, limit int) Result {
	if len(result.Body) > limit {
		result.Body, result.BodyDropped = nil, true
	}
	return result
}
