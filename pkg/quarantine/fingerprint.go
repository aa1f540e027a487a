package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Fingerprint identifies a request by its organisation, method, host, path, query and body. It
// is a prefix of a SHA-256, so that no caller can construct a request that is mistaken for
// another caller's.
type Fingerprint struct {
	High, Low uint64
	// Length is the body's, in bytes; segmentLength for a prompt segment.
	Length int
}

// Content is the input of a fingerprint.
type Content struct {
	// Organisation is the owner of the request; empty if anonymous.
	Organisation       string
	Method, Host, Path string
	Body               []byte
}

// Fingerprint returns the fingerprint of the content.
func (c *Content) Fingerprint() Fingerprint {
	sum := sha256.New()
	var length [8]byte
	for _, text := range [...]string{c.Organisation, c.Method, c.Host, c.Path} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		// Writes to a hash never fail.
		_, _ = sum.Write(length[:])
		_, _ = sum.Write([]byte(text))
	}
	_, _ = sum.Write(c.Body)
	var digest [sha256.Size]byte
	sum.Sum(digest[:0])
	return Fingerprint{
		High:   binary.BigEndian.Uint64(digest[:8]),
		Low:    binary.BigEndian.Uint64(digest[8:16]),
		Length: len(c.Body),
	}
}

// Compare orders fingerprints.
func (f Fingerprint) Compare(other Fingerprint) int {
	return cmp.Or(cmp.Compare(f.High, other.High), cmp.Compare(f.Low, other.Low), cmp.Compare(f.Length, other.Length))
}

// ParseError reports a text that is not a fingerprint.
type ParseError struct{ Text string }

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("no fingerprint of a request: %.100q", e.Text)
}

// Key returns the fingerprint as a key of a store; Parse reads it.
func (f Fingerprint) Key() string {
	if _, ok := f.Segment(); ok {
		return f.String()
	}
	return fmt.Sprintf("%s-%d", f, f.Length)
}

// Parse reads a Key. The error is a *ParseError.
func Parse(key string) (Fingerprint, error) {
	if id, ok := strings.CutPrefix(key, segmentPrefix); ok {
		return parseSegment(key, id)
	}
	sum, length, _ := strings.Cut(key, "-")
	digest, err := hex.DecodeString(sum)
	if err != nil || len(digest) != 16 {
		return Fingerprint{}, &ParseError{Text: key}
	}
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 {
		return Fingerprint{}, &ParseError{Text: key}
	}
	return Fingerprint{High: binary.BigEndian.Uint64(digest[:8]), Low: binary.BigEndian.Uint64(digest[8:]), Length: n}, nil
}

// String returns the fingerprint in hexadecimal, as in logs; that of a segment names its ID.
func (f Fingerprint) String() string {
	if segment, ok := f.Segment(); ok {
		return segmentPrefix + segment.String()
	}
	return fmt.Sprintf("%016x%016x", f.High, f.Low)
}
