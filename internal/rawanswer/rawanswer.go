// Package rawanswer has answers as raw bytes, broken ones among them, for tests: how servers write them, and how
// clients find them.
package rawanswer

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// Framing says how the end of an answer is marked.
type Framing string

// Ways to mark the end of an answer. That of an unframed one is the end of its connection.
const (
	WithLength Framing = "with a length"
	InChunks   Framing = "in chunks"
	Unframed   Framing = "without either"
)

// chunkSize is the length in bytes of a chunk.
const chunkSize = 1000

// LastChunk marks the end of a body in chunks.
const LastChunk = "0\r\n\r\n"

// Encode returns the field that frames a body, and the first cut bytes of the body as they are sent.
func (f Framing) Encode(body string, cut int) (field, sent string) {
	switch f {
	case WithLength:
		return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body[:cut]
	case InChunks:
		var out strings.Builder
		for at := 0; at < cut; at += chunkSize {
			part := body[at:min(at+chunkSize, cut)]
			fmt.Fprintf(&out, "%x\r\n%s\r\n", len(part), part)
		}
		if cut == len(body) {
			out.WriteString(LastChunk)
		}
		return "Transfer-Encoding: chunked\r\n", out.String()
	default:
		return "", body[:cut]
	}
}

// Reply is what a client got.
type Reply struct {
	// Raw is all that arrived.
	Raw []byte
	// Status is zero if that is no answer in the protocol.
	Status int
	Header http.Header
	Body   string
	// Whole is true if the answer's end is marked, and it was read to its end.
	Whole bool
	Err   error
}

// String shows the beginning of what was got.
func (r *Reply) String() string {
	return fmt.Sprintf("status %d, %d bytes, whole %v, error %v, raw %.300q", r.Status, len(r.Body), r.Whole, r.Err, r.Raw)
}

// Succeeded reports whether the answer looks like a complete success to its client.
func (r *Reply) Succeeded() bool { return r.Status/100 == 2 && r.Whole }

// Read reads the answer on a connection that the other side closes after it.
func Read(conn net.Conn) *Reply {
	raw, err := io.ReadAll(conn)
	r := &Reply{Raw: raw}
	response, parseErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if parseErr != nil {
		r.Err = cmp.Or(err, parseErr)
		return r
	}
	body, readErr := io.ReadAll(response.Body)
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	r.Status, r.Header, r.Body = response.StatusCode, response.Header, string(body)
	r.Whole, r.Err = framed && readErr == nil, errors.Join(err, readErr)
	return r
}
