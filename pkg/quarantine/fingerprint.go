package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint names a request by what it asks for: requests with the same one have the same
// organisation, method, host, path, query and body. It is a part of a SHA-256, so that no
// caller can make a request that is taken for another's.
type Fingerprint struct {
	High, Low uint64
	// Length is the body's, in bytes.
	Length int
}

// Content is what a fingerprint is made of.
type Content struct {
	// Organisation is whose request it is; empty: nobody's.
	Organisation       string
	Method, Host, Path string
	Body               []byte
}

// Fingerprint returns the content's.
func (c *Content) Fingerprint() Fingerprint {
	sum := sha256.New()
	var length [8]byte
	for _, text := range [...]string{c.Organisation, c.Method, c.Host, c.Path} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		// A hash takes all that is written.
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

// String is the fingerprint in hexadecimal, as logs tell it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x%016x", f.High, f.Low) }
