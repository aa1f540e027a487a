// Package dispatch processes an accepted request: claim, admission, choice of a
// target, attempts, and the answer or refusal.
//
// Guarantees: a request that may not be repeated is retried only if no byte of it
// was sent or its receiver reported that it did not start; permission is checked
// again right before each attempt; each request ends in one outcome.
package dispatch

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/admission"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// Request is a completely received request of an authenticated caller.
type Request struct {
	// ID is unique over all callers. Engines echo it.
	ID string
	// CallerID is the request's ID as the caller knows it.
	CallerID string
	// Caller is the caller's declaration when the request was read.
	Caller *config.Caller
	// Serves names the model or the service, according to Kind.
	Serves string
	Kind   config.UpstreamKind
	// Method and URI (path and query) are those of the request.
	Method, URI string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// Prefixes are the hashes of the prompt's prefixes.
	Prefixes []uint64
	// PrefixTokens are the numbers of tokens of these prefixes.
	PrefixTokens []int
	// PromptTokens and MaxTokens are estimates of the work.
	PromptTokens, MaxTokens int
	// Repeatable is true if running the request twice is harmless.
	Repeatable bool
	// Priority orders the request within its caller's share.
	Priority admission.Priority
	// Deadline is the time by which the answer must be complete; zero means none.
	Deadline time.Time
	// IdempotencyKey is empty when the caller gave none.
	IdempotencyKey string
	// Origin is the failure domain that forwarded the request, or empty if it came
	// from its caller. A forwarded request is not forwarded again.
	Origin string
	// Revision is the configuration revision that the forwarding gateway used.
	Revision config.Revision
	// Offset is the number of chunks of the answer that the sender already has.
	Offset int
	// Version is the model version that must answer; empty means any.
	Version string
	// SplitRandom is the random number for the version split, the same at each attempt.
	SplitRandom uint64
}
