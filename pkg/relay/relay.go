// Package relay sends one attempt of a request to one upstream, or to the gateway of
// another failure domain, and relays the answer to the caller.
//
// Guarantees: a request is reported as not run only if no byte of it was sent or the
// receiver reported that it did not start; a chunk or an answer that belongs to
// another request is never relayed; an incomplete answer never looks complete.
package relay

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Target is the receiver of an attempt.
type Target struct {
	// Name is the upstream's name, or the failure domain's for a peer.
	Name string
	// Address is an IP address and a port.
	Address string
	// Kind is the kind of upstream that finally answers.
	Kind config.UpstreamKind
	// Peer is true for the gateway of another failure domain.
	Peer bool
}

// Call is a request to send. It is not modified, so that attempts can share it.
type Call struct {
	// RequestID must be echoed by engines and peers.
	RequestID string
	// Method and URI (path and query) identify the resource.
	Method, URI string
	// Header holds the headers to send.
	Header http.Header
	Body   []byte
	// AtMostOnce is true for a request that may not be repeated.
	AtMostOnce bool
	// Offset is the number of chunks that the caller had when the request arrived.
	Offset int
	// OnFirstByte is called when the answer begins, unless nil.
	OnFirstByte func()
}

// Failure describes an attempt that did not end in a complete answer.
type Failure struct {
	// Refusal is the caller's refusal if there is no further attempt. Its Outcome
	// states whether the request ran.
	Refusal *outcome.Refusal
	// CallerGone is true if the caller's side failed or this instance ends: there is no further attempt.
	CallerGone bool
	// Mismatched is true if an answer to another request was dropped.
	Mismatched bool
	// Overload is true if the receiver refused for lack of capacity, which does not
	// indicate a fault.
	Overload bool
	// Unsent is true if the attempt was not made at all.
	Unsent bool
}

// Report is the result of one attempt.
type Report struct {
	// Failure is nil if the caller received the complete answer.
	Failure *Failure
	// Leaving is true if the upstream reported that it is leaving.
	Leaving bool
	// Status is the HTTP status of the target's answer; zero for none.
	Status int
	// TimedOut is true if the attempt ended by the idle timeout.
	TimedOut bool
	// FirstByte is the time until the head of the answer.
	FirstByte time.Duration
}

// Bounds of connections to upstreams and peers.
const (
	// idleTimeout ends an attempt after this time without data from its target.
	idleTimeout = 60 * time.Second
	// streamIdleTimeout is shorter inside a stream: an engine that decodes at all sends
	// several chunks per second, and the stream can resume on another upstream.
	streamIdleTimeout = 5 * time.Second
	// idleConnections bounds the idle connections to one target.
	idleConnections = 256
	// idleLifetime is shorter than the usual keep-alive of servers.
	idleLifetime = 20 * time.Second
	// cancelTimeout bounds the call that cancels a request at an engine.
	cancelTimeout = time.Second
	// maxAnswerHeader bounds the head of an answer in bytes.
	maxAnswerHeader = 64 << 10
)
