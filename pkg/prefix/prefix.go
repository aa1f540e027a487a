// Package prefix hashes prompt prefixes, so that gateways and engines identify the same
// cached prefix by the same number.
package prefix

import "github.com/cespare/xxhash/v2"

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// bytesPerToken is the estimated length of a token in a prompt.
const bytesPerToken = 4

// separator terminates each field, so that moving bytes between fields changes the hash.
var separator = []byte{0}

// Hashes returns the cumulative xxhash64 of the messages at the end of each one:
// element i covers messages 0 to i.
func Hashes(messages []Message) []uint64 {
	digest := xxhash.New()
	hashes := make([]uint64, 0, len(messages))
	for _, message := range messages {
		message.writeTo(digest)
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

func (m *Message) writeTo(digest *xxhash.Digest) {
	_, _ = digest.WriteString(m.Role)
	_, _ = digest.Write(separator)
	_, _ = digest.WriteString(m.Content)
	_, _ = digest.Write(separator)
}

// Tokens estimates the length of a prompt in tokens, rounded up.
func Tokens(messages []Message) int {
	total := 0
	for _, message := range messages {
		total += len(message.Content)
	}
	return tokensOf(total)
}

// TokensUpTo estimates the cumulative tokens at the end of each message: element i covers
// messages 0 to i, as in Hashes.
func TokensUpTo(messages []Message) []int {
	tokens := make([]int, len(messages))
	total := 0
	for i, message := range messages {
		total += len(message.Content)
		tokens[i] = tokensOf(total)
	}
	return tokens
}

func tokensOf(size int) int { return (size + bytesPerToken - 1) / bytesPerToken }
