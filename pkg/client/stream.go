package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// ChatPath is the path of chat requests.
const ChatPath = "/v1/chat/completions"

// maxEvent bounds one line of a stream, in bytes.
const maxEvent = 1 << 20

// ErrIncomplete is returned if a stream ended without its end marker.
var ErrIncomplete = errors.New("the stream ended without its end marker")

// ErrBrokenStream is returned if the gateway reported that the answer was interrupted.
var ErrBrokenStream = errors.New("the answer broke off")

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is a chat request.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// Chat sends a streaming chat request. onText, unless nil, receives the text of each
// chunk as it arrives.
func (c *Client) Chat(ctx context.Context, gateway string, chat ChatRequest, options Options, onText func(text string)) *Answer {
	chat.Stream = true
	body, err := json.Marshal(chat)
	if err != nil {
		return &Answer{Outcome: outcome.NotRun, Err: fmt.Errorf("encode request: %w", err)}
	}
	response, answer := c.send(ctx, gateway, http.MethodPost, ChatPath, body, options)
	if answer.Err != nil {
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	if answer.Status != http.StatusOK {
		answer.Body, _ = io.ReadAll(io.LimitReader(response.Body, maxEvent))
		answer.classify()
		return answer
	}
	answer.readStream(response.Body, onText)
	return answer
}

// readStream reads server-sent events until the end marker. Without it the answer is not
// complete.
func (a *Answer) readStream(body io.Reader, onText func(string)) {
	a.Outcome = outcome.Unknown
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEvent)
	broken := false
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			broken = true
			continue
		}
		data, found := bytes.CutPrefix(line, []byte("data: "))
		if !found {
			continue
		}
		if broken {
			a.failStream(data)
			return
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			a.Outcome = outcome.Complete
			return
		}
		a.addChunk(data, onText)
	}
	a.Err = ErrIncomplete
	if err := lines.Err(); err != nil {
		a.Err = fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
}

func (a *Answer) failStream(data []byte) {
	var envelope refusalEnvelope
	_ = json.Unmarshal(data, &envelope)
	a.Refusal = envelope.Error
	a.Err = fmt.Errorf("%w: %s: %s", ErrBrokenStream, a.Refusal.Type, a.Refusal.Message)
}

func (a *Answer) addChunk(data []byte, onText func(string)) {
	var piece chunk
	if json.Unmarshal(data, &piece) != nil || len(piece.Choices) == 0 {
		return
	}
	text := piece.Choices[0].Delta.Content
	a.Chunks++
	a.Body = append(a.Body, text...)
	if onText != nil {
		onText(text)
	}
}
