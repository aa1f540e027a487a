package relay

import "bytes"

// Syntax elements of server-sent events, as engines and gateways write them.
var (
	eventEnd    = []byte("\n\n")
	dataField   = []byte("data:")
	doneData    = []byte("[DONE]")
	errorField  = []byte("event: error")
	idField     = []byte(`"id"`)
	commentLine = byte(':')
)

// scanResult is what a scan found after the events that may be relayed.
type scanResult int

const (
	scanMore     scanResult = iota // the stream continues
	scanDone                       // the end marker was read
	scanMismatch                   // the next event belongs to another request
	scanError                      // the sender reports that the answer is broken
)

// scan returns the length of the leading complete events that belong to the request,
// the number of chunks in them, and what follows.
func scan(data, requestID []byte) (whole, chunks int, next scanResult) {
	for {
		end := bytes.Index(data[whole:], eventEnd)
		if end < 0 {
			return whole, chunks, scanMore
		}
		event := data[whole : whole+end]
		switch classify(event, requestID) {
		case eventComment:
		case eventChunk:
			chunks++
		case eventDone:
			return whole + end + len(eventEnd), chunks, scanDone
		case eventError:
			return whole, chunks, scanError
		case eventMismatch:
			return whole, chunks, scanMismatch
		}
		whole += end + len(eventEnd)
	}
}

// eventClass is the kind of one event.
type eventClass int

const (
	eventComment eventClass = iota
	eventChunk
	eventDone
	eventError
	eventMismatch
)

func classify(event, requestID []byte) eventClass {
	if len(event) == 0 || event[0] == commentLine {
		return eventComment
	}
	if bytes.HasPrefix(event, errorField) {
		return eventError
	}
	if !bytes.HasPrefix(event, dataField) {
		return eventMismatch
	}
	data := bytes.TrimLeft(event[len(dataField):], " ")
	if bytes.Equal(data, doneData) {
		return eventDone
	}
	if hasRequestID(data, requestID) {
		return eventChunk
	}
	return eventMismatch
}

// hasRequestID reports whether the first "id" member of the JSON data is requestID.
// Quotes inside a JSON string are escaped, so content cannot be mistaken for the
// member.
func hasRequestID(data, requestID []byte) bool {
	at := bytes.Index(data, idField)
	if at < 0 {
		return false
	}
	rest := bytes.TrimLeft(data[at+len(idField):], " ")
	if len(rest) == 0 || rest[0] != ':' {
		return false
	}
	rest = bytes.TrimLeft(rest[1:], " ")
	closing := 1 + len(requestID)
	if len(rest) <= closing || rest[0] != '"' || rest[closing] != '"' {
		return false
	}
	return bytes.Equal(rest[1:closing], requestID)
}
