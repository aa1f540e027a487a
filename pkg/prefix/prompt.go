package prefix

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// MaxMessages is the number of messages up to which a Prompt tells prompts apart.
const MaxMessages = 4096

// Prompt is what routing needs of a prompt's messages. Its size does not depend on their number, so that a body of
// many small messages takes little more memory than its bytes.
type Prompt struct {
	// Hashes and TokensUpTo are those of the functions of these names, for the first MaxMessages messages.
	Hashes     []uint64
	TokensUpTo []int
	// Messages is the number of messages, and bytes the length of their contents.
	Messages, bytes int
	digest          *xxhash.Digest
}

// PromptOf returns the prompt of messages.
func PromptOf(messages []Message) Prompt {
	var p Prompt
	for i := range messages {
		p.add(&messages[i])
	}
	return p
}

// Tokens estimates the length of the prompt in tokens, rounded up.
func (p *Prompt) Tokens() int { return tokensOf(p.bytes) }

func (p *Prompt) add(message *Message) {
	if p.digest == nil {
		p.digest = xxhash.New()
	}
	p.Messages++
	p.bytes += len(message.Content)
	if p.Messages > MaxMessages {
		return
	}
	message.writeTo(p.digest)
	p.Hashes = append(p.Hashes, p.digest.Sum64())
	p.TokensUpTo = append(p.TokensUpTo, tokensOf(p.bytes))
}

// UnmarshalJSON implements json.Unmarshaler. It reads a list of messages one at a time.
func (p *Prompt) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	if !bytes.HasPrefix(data, []byte("[")) {
		// Decoding into a list gives the error that names the types.
		return json.Unmarshal(data, new([]Message))
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return err
	}
	for decoder.More() {
		var message Message
		if err := decoder.Decode(&message); err != nil {
			return err
		}
		p.add(&message)
	}
	return nil
}
