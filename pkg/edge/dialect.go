package edge

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// Attributes are what a request's headers say of it.
type Attributes struct {
	// RequestID names this try of the caller; each has its own.
	RequestID string
	// Deadline is for how long the caller waits; zero: it does not say.
	Deadline time.Duration
	// PromptTokens is the prompt's size, Tokens that and the longest answer's; zero where
	// it is not said.
	PromptTokens, Tokens int
	// Parts are the prompt's parts in order.
	Parts []steer.Part
	// After is the event after which a stream is to go on; empty: from its beginning.
	After string
}

// Send is what this instance says of a request that it sends on.
type Send struct {
	// Left is the time in which the answer must be whole.
	Left time.Duration
	// Upstream is the name of the upstream that must answer; empty for an instance.
	Upstream string
	// Priority is the rank at the upstream; 0 goes first.
	Priority int
	// Source is the address of an engine from whose cache the upstream should copy
	// what it lacks of the prompt; empty: none.
	Source string
	// After overrides Attributes.After when a stream is resumed.
	After string
	// Keyed says that callers show keys, which must not be passed on; Organisation is
	// whose request it is, for an upstream; empty: nobody's.
	Keyed        bool
	Organisation string
}

// Reading is what an answer's header says.
type Reading struct {
	// RequestID is the request that it answers; empty when it does not say.
	RequestID string
	// NotRun is true when the server states that it did not run the request and
	// never will.
	NotRun bool
	// Proven is true when the server has signed the answer as its own.
	Proven bool
	// RetryAfter is when the server asks to come back; zero when it does not say. Resting is
	// true where it turned the request away and wants nothing from this instance until then.
	RetryAfter time.Duration
	BackingOff bool
	// Limit is how many requests a second the server says that it takes from all instances
	// together. LimitErr is set where it says something that is no number.
	Limit    limit.Named
	LimitErr error
	// Leaving is true when the server says that it leaves.
	Leaving bool
	// Upstream is the name of the server that answers, ColdFor for how long it is still cold, in
	// answers to questions about its health.
	Upstream string
	ColdFor  time.Duration
}

// Dialect reads and writes the headers by which callers, upstreams and instances of
// a deployment tell each other what their requests and answers are.
type Dialect interface {
	// Attributes reads a request's header; the error says which field is bad.
	Attributes(header http.Header) (Attributes, error)
	// Outgoing returns the header of a request that is sent on: the end-to-end
	// fields of the caller's, less those that only the system may set, and what send
	// says.
	Outgoing(from http.Header, send Send) http.Header
	// Reading reads an answer's header.
	Reading(status int, header http.Header) Reading
	// StatusRequest asks an upstream at an address what it says of itself; Started reads
	// from the answer when it began, in Unix milliseconds by its clock (zero: it does not
	// say).
	StatusRequest(address string) *exchange.Request
	Started(status int, body []byte) (int64, error)
	// HealthRequest asks an upstream at an address, by a path of its service, whether it is cold.
	HealthRequest(address, path string) *exchange.Request
	// Answer returns the end-to-end fields of an answer's header.
	Answer(from http.Header) http.Header
	// Refusal returns the header of a refusal of this instance: whether the request
	// has run, and when to come back (zero: not said).
	Refusal(requestID string, retryAfter time.Duration) http.Header
}
