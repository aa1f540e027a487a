// Package relay carries one attempt of a request to one upstream, or to the
// gateway of another failure domain, and the answer back to the caller.
//
// Guarantees: a request is said not to have run only when no byte of it left or
// the receiver said that it did not start; a chunk or an answer that belongs to
// another request is never passed on; a broken answer never looks complete.
package relay

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Target is where an attempt goes.
type Target struct {
	// Name is the upstream's name, or the failure domain's for a peer.
	Name string
	// Address is an IP number and a port.
	Address string
	// Kind is the kind of upstream that answers in the end.
	Kind config.UpstreamKind
	// Peer is true for the gateway of another failure domain.
	Peer bool
}

// Call is a request as it is sent. It is not modified, so that attempts can
// share it.
type Call struct {
	// RequestID must be echoed by engines and peers.
	RequestID string
	// Method and URI (path and query) name the resource.
	Method, URI string
	// Header holds the headers to send.
	Header http.Header
	Body   []byte
	// AtMostOnce is true for a request that may not be repeated.
	AtMostOnce bool
	// Offset counts chunks that the caller already had when the request came in.
	Offset int
	// OnFirstByte is called when the answer's first part has come; nil for none.
	OnFirstByte func()
}

// Failure is an attempt that did not end in a whole answer.
type Failure struct {
	// Refusal is what the caller is told if nothing else is tried. Its Outcome
	// says whether the request ran.
	Refusal *outcome.Refusal
	// CallerGone is true when the caller's side failed: nothing else is tried.
	CallerGone bool
	// Mismatched is true when an answer to another request was dropped.
	Mismatched bool
	// Overload is true when the receiver refused for lack of capacity, which is
	// no sign of its being broken.
	Overload bool
	// Unsent is true when the attempt was not made at all.
	Unsent bool
}

// Report is the end of one attempt.
type Report struct {
	// Failure is nil when the caller received the whole answer.
	Failure *Failure
	// Leaving is true when the upstream said that it is leaving.
	Leaving bool
	// Status is the HTTP status that the target answered; zero for none.
	Status int
	// TimedOut is true when the attempt was ended because nothing more came.
	TimedOut bool
	// FirstByte is how long the head of the answer took.
	FirstByte time.Duration
}

// Bounds of connections to upstreams and peers.
const (
	// idleTimeout ends an attempt whose target says nothing for so long.
	idleTimeout = 60 * time.Second
	// streamSilence ends an attempt inside a stream: an engine that decodes at all
	// sends several chunks a second, and the stream can go on elsewhere.
	streamIdleTimeout = 5 * time.Second
	// idleConnections is how many idle connections are kept for a target.
	idleConnections = 256
	// idleLifetime is shorter than the usual keep-alive of servers.
	idleLifetime = 20 * time.Second
	// cancelTimeout bounds the call that tells an engine to stop.
	cancelTimeout = time.Second
	// maxAnswerHeader bounds the head of an answer in bytes.
	maxAnswerHeader = 64 << 10
)
