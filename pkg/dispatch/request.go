// Package dispatch takes a request from its acceptance to its end: claim,
// admission, choice of a target, attempts, and the answer or refusal.
//
// Guarantees: a request that may not be repeated is tried again only while no
// byte of it has left or its receiver said that it did not start; the permission
// is checked anew right before each attempt; each request ends in one outcome.
package dispatch

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/admission"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// Request is a request that was read as a whole and belongs to a known caller.
type Request struct {
	// ID is unique over all callers. Engines echo it.
	ID string
	// CallerID is the same as the caller knows it.
	CallerID string
	// Caller is as declared when the request was read.
	Caller *config.Caller
	// Serves names the model or the service; Kind tells which.
	Serves string
	Kind   config.UpstreamKind
	// Method and URI (path and query) are those of the request.
	Method, URI string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// Prefixes are the hashes of the prompt's beginnings.
	Prefixes []uint64
	// PrefixTokens are the tokens up to each of them.
	PrefixTokens []int
	// PromptTokens and MaxTokens are estimates of the work.
	PromptTokens, MaxTokens int
	// Repeatable says that running the request twice does no harm.
	Repeatable bool
	// Priority is the caller's, within its own share.
	Priority admission.Priority
	// Deadline is when the whole answer must be there; zero means none.
	Deadline time.Time
	// IdempotencyKey is empty when the caller gave none.
	IdempotencyKey string
	// Origin is the failure domain that forwarded the request; empty when it
	// came from its caller. A forwarded request is not forwarded again.
	Origin string
	// Revision is the configuration that the forwarding gateway decided by.
	Revision config.Revision
	// Offset counts chunks of the answer that the sender already has.
	Offset int
	// Version is the model version that the answer must come from; empty: any.
	Version string
	// Roll decides the version split; the same at each attempt.
	Roll uint64
}
