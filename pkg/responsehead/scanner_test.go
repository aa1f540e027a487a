package responsehead

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// FuzzScan compares the scanner, fed in pieces, with net/http: what it accepts must parse to fields with proper names.
func FuzzScan(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.0 204\n\n", "HTTP/1.1 102 P\r\n\r\nHTTP/1.1 200 OK\r\nA:\r\n\r\n",
		"HTTP/1.1 000 T\r\n\r\n", "HTTP/1.1 101 S\r\n\r\n", "HTTP/1.1 600 H\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n",
		"HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA\x01: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n", "HTTP/1.1 200 OK\r\n: b\r\n\r\n", "HTTP/1.1 200 O\x00K\r\n\r\n",
	} {
		f.Add(text, 3)
	}
	f.Fuzz(func(t *testing.T, text string, piece int) {
		piece = max(1, piece)
		var pieces, whole Scanner
		var err error
		for at := 0; at < len(text) && err == nil; at += min(piece, len(text)-at) {
			err = pieces.Scan([]byte(text[at:min(at+piece, len(text))]))
		}
		if oneErr := whole.Scan([]byte(text)); (oneErr == nil) != (err == nil) {
			t.Fatalf("in pieces %v, whole %v", err, oneErr)
		}
		var malformed *Error
		if err != nil && !errors.As(err, &malformed) {
			t.Fatalf("error %T", err)
		}
		if err != nil || pieces.at != inBody {
			return
		}
		reader := bufio.NewReader(strings.NewReader(text))
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			if !IsStatus(response.StatusCode) {
				t.Fatalf("status %d was accepted", response.StatusCode)
			}
			for name := range response.Header {
				if strings.ContainsFunc(name, func(r rune) bool { return r >= 0x7f || !isTokenByte(byte(r)) }) {
					t.Fatalf("name %q was accepted", name)
				}
			}
			if response.StatusCode >= http.StatusOK {
				return
			}
		}
	})
}

// TestMalformedHeads guards against accepting heads that are none in the protocol.
func TestMalformedHeads(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, text := range []string{
		"HTTP/1.1 000 T\r\n", "HTTP/1.1 099 T\r\n", "HTTP/1.1 101 T\r\n", "HTTP/1.1 600 T\r\n", "HTTP/1.1 20 \r\n", "HTTP/1.1 2000\r\n", "HTTP/1.1 200OK\r\n",
		"HTTP/2.0 200 OK\r\n", "http/1.1 200 OK\r\n", "HTTP/1.1  200 OK\r\n", "\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 200 O\x01K\r\n",
		ok + "A : b\r\n", ok + "A\t: b\r\n", ok + "A B: c\r\n", ok + " A: b\r\n", ok + "A: b\r\n\tC\r\n", ok + "A\x00: b\r\n", ok + "\xe9: b\r\n",
		ok + ": b\r\n", ok + "A\r\n", ok + "A: b\rc\r\n", ok + "A: \x00\r\n", ok + "A: \x7f\r\n", ok + "\rA: b\r\n",
		"HTTP/1.1 102 P\r\n\r\n" + "HTTP/1.1 000 T\r\n", "HTTP/1.0 200 OK\r\nA: b\r\ntransfer-Encoding: chunked\r\n",
	} {
		var scanner Scanner
		var malformed *Error
		if err := scanner.Scan([]byte(text)); !errors.As(err, &malformed) {
			t.Errorf("%q: %v", text, err)
		}
	}
	for _, text := range []string{
		ok + "\r\n\x00\x01 body", ok + "Transfer-Encoding: chunked\r\n\r\n\x00", "HTTP/1.0 200 OK\r\nTransfer-Encoding-A: b\r\nA-Transfer-Encoding:\r\n\r\n\x00",
		"HTTP/1.0 599\r\n\r\n", "HTTP/1.1 200 \r\nA:\r\nB: \t caf\xe9\t\n\n\x00", "HTTP/1.1 103 E\r\nA: b\r\n\r\n" + ok + "\r\n\x00",
	} {
		var scanner Scanner
		if err := scanner.Scan([]byte(text)); err != nil || scanner.at != inBody {
			t.Errorf("%q: %v at %d", text, err, scanner.at)
		}
	}
}
