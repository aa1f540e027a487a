package crowd

import (
	"bytes"
	"fmt"
	"io"
)

// Silent returns a client that sends nothing.
func Silent() Client { return func(io.ReadWriter) error { return nil } }

// Bytes returns a client that sends bytes.
func Bytes(sent []byte) Client {
	return func(to io.ReadWriter) error {
		_, err := to.Write(sent)
		return err
	}
}

// Asking returns a client that sends whole requests one after the other, without reading an answer.
func Asking(request string, times int) Client { return Bytes(bytes.Repeat([]byte(request), times)) }

// Answered returns a client that waits for the beginning of an answer after it has sent what another one sends.
func Answered(client Client) Client {
	return func(to io.ReadWriter) error {
		if err := client(to); err != nil {
			return err
		}
		_, err := to.Read(make([]byte, 1))
		return err
	}
}

// Sending returns a client that sends a request's head, which has neither framing nor end, and a body of an
// announced length in pieces. It stops short of the body's end by held bytes.
func Sending(head string, length, held, piece int) Client {
	return func(to io.ReadWriter) error {
		if _, err := fmt.Fprintf(to, "%sContent-Length: %d\r\n\r\n", head, length); err != nil {
			return err
		}
		return repeat(to, bytes.Repeat([]byte("b"), piece), length-held)
	}
}

// Chunking returns a client that sends a request's head, which has neither framing nor end, and a body of
// length bytes in chunks, without its end.
func Chunking(head string, length, chunk int) Client {
	return func(to io.ReadWriter) error {
		if _, err := io.WriteString(to, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		one := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, bytes.Repeat([]byte("c"), chunk))
		perWrite := max(1, writeSize/len(one))
		return repeat(to, bytes.Repeat(one, perWrite), length/chunk*len(one))
	}
}

// writeSize is the size in bytes of one write of small chunks.
const writeSize = 64 << 10

// Fields returns a client that sends a request's head, which has no end, and bytes of short fields with
// distinct names.
func Fields(head string, length int) Client {
	fields := make([]byte, 0, length)
	for n := 0; len(fields) < length; n++ {
		fields = fmt.Appendf(fields, "f%x:\r\n", n)
	}
	return Bytes(append([]byte(head), fields...))
}

// repeat writes length bytes, a piece at a time.
func repeat(to io.Writer, piece []byte, length int) error {
	for length > 0 {
		n, err := to.Write(piece[:min(length, len(piece))])
		if err != nil {
			return err
		}
		length -= n
	}
	return nil
}
