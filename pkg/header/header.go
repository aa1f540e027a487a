// Package header names the HTTP headers that callers, gateways and upstreams exchange, and
// determines which of them are forwarded.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between callers and gateways.
const (
	RequestID      = "X-Request-Id"
	Deadline       = "X-Lilacweir-Deadline"
	Priority       = "X-Lilacweir-Priority"
	Outcome        = "X-Lilacweir-Outcome"
	Domain         = "X-Lilacweir-Domain"
	Upstream       = "X-Lilacweir-Upstream"
	IdempotencyKey = "Idempotency-Key"
	// Replayed is "true" on the recorded answer of an earlier run.
	Replayed      = "Idempotency-Replayed"
	Authorization = "Authorization"
	RetryAfter    = "Retry-After"
	ContentType   = "Content-Type"
)

// Headers between gateways.
const (
	Origin = "X-Lilacweir-Origin"
	Class  = "X-Lilacweir-Class"
	Caller = "X-Lilacweir-Caller"
	// CallerProof proves that the sender received a key of the caller.
	CallerProof = "X-Lilacweir-Caller-Proof"
	Revision    = "X-Lilacweir-Revision"
	// Version is the model version that the answer must come from.
	Version = "X-Lilacweir-Version"
	// Attempts is the number of upstreams on which the receiver may run a forwarded
	// request; on a refusal, the number that it was sent to.
	Attempts = "X-Lilacweir-Attempts"
	// Reason is why the receiver of a forwarded request refused it.
	Reason = "X-Lilacweir-Reason"
	// AboveShare is set if the receiver refused a forwarded request because its organisation is above
	// its fair share there.
	AboveShare = "X-Lilacweir-Above-Share"
	// Quarantined is the fingerprint of the request or prompt segment for which the receiver of a
	// forwarded request refused it.
	Quarantined = "X-Lilacweir-Quarantined"
	// StreamOrigin is the service and software version at which a forwarded stream must go on; on
	// an answer, those that began it or go on with it.
	StreamOrigin = "X-Lilacweir-Stream-Origin"
)

// ClassDomain is the class of a forwarded request: its receiver uses upstreams
// of its own failure domain and never forwards it again.
const ClassDomain = "domain"

// Headers between operators and agents; Revision is that of the answer.
const (
	// Operator is the name of the operator; the key is sent as a bearer token.
	Operator = "X-Lilacweir-Operator"
	// Verdict is ok, accepted, refused or unknown.
	Verdict = "X-Lilacweir-Verdict"
)

// Headers between gateways and upstreams.
const (
	// ResumeOffset is the number of chunks that an engine is asked to skip.
	ResumeOffset = "X-Resume-Offset"
	// NotStarted is "true" if the upstream did not start the request.
	NotStarted = "X-Not-Started"
	// Leaving is "true" if the upstream is about to leave.
	Leaving = "X-Leaving"
)

// True is the value of a boolean header that is set.
const True = "true"

// ownPrefix is the prefix of headers that only gateways may set.
const ownPrefix = "X-Lilacweir-"

// hopByHop lists headers that concern one connection (RFC 9110, section 7.6.1),
// and those that a gateway sets itself.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
	Authorization:         true,
	RequestID:             true,
	ResumeOffset:          true,
	NotStarted:            true,
	Leaving:               true,
}

// CopyEndToEnd copies the end-to-end headers of from into to. Keys, connection
// headers and the gateways' own headers are left out.
func CopyEndToEnd(to, from http.Header) {
	named := connectionHeaders(from)
	for name, values := range from {
		if hopByHop[name] || named[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		to[name] = values
	}
}

// connectionHeaders returns the headers that the Connection header names.
func connectionHeaders(from http.Header) map[string]bool {
	values := from["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// Size returns the total length in bytes of a header's names and values.
func Size(fields http.Header) int {
	size := 0
	for name, values := range fields {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
