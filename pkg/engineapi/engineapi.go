// Package engineapi defines the messages between model engines and lilacweir: the
// chat-completions API with streaming, and the control endpoints. The headers are
// in package header.
package engineapi

import "github.com/lilacweir/lilacweir/pkg/prefix"

// Paths of an engine.
const (
	PathChat        = "/v1/chat/completions"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
)

// StreamDone is the data of the event that ends a complete stream.
const StreamDone = "[DONE]"

// Priorities of a request.
const (
	PriorityLow    = "low"
	PriorityNormal = "normal"
	PriorityHigh   = "high"
)

// ChatRequest is the body of PathChat.
type ChatRequest struct {
	Model     string           `json:"model"`
	Messages  []prefix.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream,omitempty"`
	// Priority is low, normal or high; empty means normal.
	Priority string `json:"priority,omitempty"`
}

// Objects of ChatChunk and ChatAnswer.
const (
	ObjectChunk  = "chat.completion.chunk"
	ObjectAnswer = "chat.completion"
)

// ChatChunk is the data of one server-sent event.
type ChatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
}

// ChunkChoice holds a chunk's text.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Content string `json:"content"`
}

// ChatAnswer is the answer to a request without streaming.
type ChatAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Model   string         `json:"model"`
	Choices []AnswerChoice `json:"choices"`
	Usage   Usage          `json:"usage"`
}

// AnswerChoice holds the complete text.
type AnswerChoice struct {
	Index        int            `json:"index"`
	Message      prefix.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Cancel is the body of PathCancel.
type Cancel struct {
	ID string `json:"id"`
}

// Load is the answer of GET PathLoad, as of AgeMillis ago.
type Load struct {
	Running     int `json:"running"`
	Queued      int `json:"queued"`
	Concurrency int `json:"concurrency"`
	// DecodeRate is in tokens per second for one stream at the current batch size,
	// PrefillRate in prompt tokens per second.
	DecodeRate  float64 `json:"decode_rate"`
	PrefillRate float64 `json:"prefill_rate"`
	Version     string  `json:"version"`
	Leaving     bool    `json:"leaving"`
	AgeMillis   int64   `json:"age_ms"`
	// Prefixes holds hashes of cached prefixes, in hexadecimal.
	Prefixes []string `json:"prefixes,omitempty"`
}

// Kinds of cache event.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`
}

// CacheEvents is the answer of GET PathCacheEvents?after=N. Events may be late or
// missing.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Kinds of order.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// Order is the body of POST PathOrders. An engine that checks fencing numbers answers
// 412 if the number is below the highest that it has seen.
type Order struct {
	ID    string `json:"id"`
	Kind  string `json:"kind"`
	Model string `json:"model"`
	// Version is set for OrderLoad, Role for OrderRole.
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the fencing number of the order.
	Fence int64 `json:"fence"`
}

// ErrorStaleFence is the error of a refused order.
const ErrorStaleFence = "stale-fence"

// OrderState is the answer of GET PathOrders.
type OrderState struct {
	// Version is the loaded version; Loading the one being loaded.
	Version string `json:"version"`
	Loading string `json:"loading,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the highest fencing number seen.
	Fence int64 `json:"fence"`
	// LastOrder is the ID of the last accepted order.
	LastOrder string `json:"last_order,omitempty"`
}

// ErrorAnswer is the body of a refusal.
type ErrorAnswer struct {
	Error string `json:"error"`
}
