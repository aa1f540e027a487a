package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// clientTimeout bounds a command.
const clientTimeout = 10 * time.Second

// RefusedError reports a command that the stand-in rejected.
type RefusedError struct {
	// Message is the reason that the stand-in returned.
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Message }

// Send sends a command to the stand-in at address and returns its response, JSON
// lines. A rejection returns a *RefusedError.
func Send(ctx context.Context, address string, command Command) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	body, err := json.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("command: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathCommand, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("command: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("command: %w", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		var failure Failure
		if json.Unmarshal(answer, &failure) != nil {
			failure.Error = response.Status
		}
		return nil, &RefusedError{Message: failure.Error}
	}
	return answer, nil
}
