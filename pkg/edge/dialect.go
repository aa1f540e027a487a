package edge

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// Attributes are the properties of a request that its headers give.
type Attributes struct {
	// RequestID identifies this attempt of the caller. Retries have their own.
	RequestID string
	// Deadline is the time for which the caller waits, zero if it is not given.
	Deadline time.Duration
	// PromptTokens is the size of the prompt, and Tokens that of the prompt and the longest
	// permitted answer. They are zero if they are not given.
	PromptTokens, Tokens int
	// Segments are the prompt's segments in order.
	Segments []steer.Segment
	// ResumeAfter is the ID of the event after which a stream resumes, empty to start at its
	// beginning.
	ResumeAfter string
	// Resumes is the RequestID of the attempt that brought the first event of the stream which
	// the caller takes up, empty if it takes none up.
	Resumes string
}

// Send holds the header values that this instance sets on a request that it sends.
type Send struct {
	// TimeLeft is the time within which the answer must be complete.
	TimeLeft time.Duration
	// Upstream is the name of the upstream that must answer, empty for an instance.
	Upstream string
	// Priority is the priority at the upstream. Zero is served first.
	Priority int
	// Source is the address of an engine from which the upstream should copy the cache blocks of
	// the prompt that it lacks, empty for none.
	Source string
	// ResumeAfter overrides Attributes.ResumeAfter when a stream is resumed.
	ResumeAfter string
	// Keyed is true if callers authenticate with keys, which must not be passed on. Organisation
	// is the owner of the request for an upstream, empty if it is anonymous.
	Keyed        bool
	Organisation string
}

// Reading holds the values of an answer's header.
type Reading struct {
	// RequestID identifies the request that is answered, empty if it is not given.
	RequestID string
	// NotRun is true if the server states that it did not run the request and never will.
	NotRun bool
	// Signed is true if the server has signed the answer as its own.
	Signed bool
	// RetryAfter is the time after which the server accepts a retry, zero if it is not given.
	// BackingOff is true if the server rejected the request and asks this instance to send
	// nothing until then.
	RetryAfter time.Duration
	BackingOff bool
	// Limit is what the server advertises about the requests that it accepts from all instances
	// together. LimitErr is set if its rate limit is not a number, and BrittleErr if the number of
	// rejections that it bears is not valid.
	Limit                limit.Named
	LimitErr, BrittleErr error
	// Leaving is true if the server reports that it is leaving.
	Leaving bool
	// Upstream is the name of the answering server and ColdFor the remaining time for which it is
	// cold, in answers to health queries.
	Upstream string
	ColdFor  time.Duration
}

// Dialect reads and writes the headers by which callers, upstreams and instances of a deployment
// describe their requests and answers.
type Dialect interface {
	// Attributes reads a request's header. The error names the invalid field.
	Attributes(header http.Header) (Attributes, error)
	// Outgoing returns the header of a request that is sent on: the end-to-end fields of the
	// caller's, without those that only the system may set, and the fields of send.
	Outgoing(from http.Header, send Send) http.Header
	// Reading reads an answer's header.
	Reading(status int, header http.Header) Reading
	// StatusRequest returns the status query for an upstream at an address. Started reads the
	// upstream's start time from the answer, in Unix milliseconds by its own clock, zero if it is
	// not given.
	StatusRequest(address string) *exchange.Request
	Started(status int, body []byte) (int64, error)
	// HealthRequest returns the query, at the health path of its service, for the cold state of
	// an upstream at an address.
	HealthRequest(address, path string) *exchange.Request
	// Answer returns the end-to-end fields of an answer's header.
	Answer(from http.Header) http.Header
	// Refusal returns the header of a refusal by this instance. A zero retryAfter is left out.
	Refusal(requestID string, retryAfter time.Duration) http.Header
}
