package relay

import (
	"encoding/json"
	"time"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// RefusalBody is the JSON form of a refusal, on every path.
type RefusalBody struct {
	Error RefusalError `json:"error"`
}

// RefusalError is the content of a refusal.
type RefusalError struct {
	Type         outcome.Reason  `json:"type"`
	Outcome      outcome.Outcome `json:"outcome"`
	Message      string          `json:"message"`
	RequestID    string          `json:"request_id"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

// EncodeRefusal returns the JSON form on one line.
func EncodeRefusal(refusal *outcome.Refusal) []byte {
	message, err := json.Marshal(RefusalBody{Error: RefusalError{
		Type:         refusal.Reason,
		Outcome:      refusal.Outcome,
		Message:      refusal.Detail,
		RequestID:    refusal.RequestID,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return nil
	}
	return message
}

// decodeRefusal decodes a peer's refusal; ok is false if data is not a refusal.
func decodeRefusal(data []byte, status int) (refusal *outcome.Refusal, ok bool) {
	var body RefusalBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Outcome == "" {
		return nil, false
	}
	return &outcome.Refusal{
		Outcome:    body.Error.Outcome,
		Reason:     body.Error.Type,
		Status:     status,
		RetryAfter: time.Duration(body.Error.RetryAfterMS) * time.Millisecond,
		Detail:     body.Error.Message,
	}, true
}
