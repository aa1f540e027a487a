// Package origin knows which software version of which service began a stream, so that the stream
// goes on at that version alone, whichever instance its caller comes back to.
//
// Each instance records the origins of the streams that it passes on, for as long as their callers
// may take them up. While the origin could not be told without a record, because servers of several
// versions serve or served lately or the instance's list of them may be old, it also sends its
// records to a few other instances, chosen by rendezvous hashing of the request's ID inside its
// region and outside. An instance that has no record asks those that should have one.
//
// Guarantees: an origin is returned only if it was recorded, or if no other version of the service
// can have begun a stream that may still be taken up. Records are bounded; the oldest go first, and
// without its record a stream is not taken up.
package origin

import (
	"fmt"
	"net/url"
	"strings"
)

// Origin is the service and the software version that wrote the first event of a stream. Version
// is empty for servers that report none.
type Origin struct{ Service, Version string }

// separator separates service and version in the text form; escaped names do not contain it.
const separator = ";"

// String returns the text form, which Parse reads.
func (o Origin) String() string {
	return url.QueryEscape(o.Service) + separator + url.QueryEscape(o.Version)
}

// ParseError reports a text that is not the form of an origin.
type ParseError struct{ Text string }

// Error implements error.
func (e *ParseError) Error() string { return fmt.Sprintf("origin of a stream: %.100q", e.Text) }

// Parse reads the text form of an origin. The error is a *ParseError.
func Parse(text string) (Origin, error) {
	escapedService, escapedVersion, found := strings.Cut(text, separator)
	service, err := url.QueryUnescape(escapedService)
	if !found || err != nil || service == "" {
		return Origin{}, &ParseError{Text: text}
	}
	version, err := url.QueryUnescape(escapedVersion)
	if err != nil {
		return Origin{}, &ParseError{Text: text}
	}
	return Origin{Service: service, Version: version}, nil
}

// Source is how the origin of a stream is known.
type Source string

const (
	// Unknown: nobody who was asked knows it.
	Unknown Source = "unknown"
	// Recorded here, or Told by another instance that has a record.
	Recorded Source = "recorded"
	Told     Source = "told"
	// Proved: the service has had no other version for longer than a stream lasts, by this
	// instance's list or by that of another one.
	Proved Source = "proved"
	// Forwarded with the request by the instance that serves the caller.
	Forwarded Source = "forwarded"
)

// Answer is what is known of the origin of a stream.
type Answer struct {
	Origin Origin
	Source Source
	// Asked is the number of instances that were asked, Silent that of those that did not answer.
	Asked, Silent int
}
