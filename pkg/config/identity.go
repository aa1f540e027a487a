package config

import (
	"encoding/base32"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// identityBytes is the number of random bytes in a change's ID. Two IDs of one
// revision collide once in 2^40.
const identityBytes = 5

var (
	identityEncoding = base32.HexEncoding.WithPadding(base32.NoPadding)
	identityPattern  = regexp.MustCompile(`^c(\d{1,19})-[0-9a-v]{8}$`)
)

// NewID returns a change ID like "c117-3kq09v2d". It contains the revision that
// the proposer saw, which bounds the search for it in the audit trail. The error
// is the random source's.
func NewID(seen Revision, random io.Reader) (string, error) {
	bytes := make([]byte, identityBytes)
	if _, err := io.ReadFull(random, bytes); err != nil {
		return "", fmt.Errorf("random change ID: %w", err)
	}
	return fmt.Sprintf("c%d-%s", seen, strings.ToLower(identityEncoding.EncodeToString(bytes))), nil
}

// ParseID returns the revision that the proposer saw, or false when the text is
// not a change's ID.
func ParseID(id string) (Revision, bool) {
	match := identityPattern.FindStringSubmatch(id)
	if match == nil {
		return 0, false
	}
	seen, err := strconv.ParseUint(match[1], 10, 64)
	return Revision(seen), err == nil
}
