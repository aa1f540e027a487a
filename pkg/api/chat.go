package api

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/admission"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/prefix"
)

// chatFields is the part of a chat completion beside its messages that routing needs.
type chatFields struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	Priority            string `json:"priority"`
}

// chatRequest is the part of a chat completion that routing needs.
type chatRequest struct {
	chatFields
	Messages prefix.Prompt `json:"messages"`
}

// decodeChat decodes a chat completion. Few messages are decoded at once, which is faster; many one at a time, since
// together they could take many times the memory of the body.
func decodeChat(body []byte) (*chatRequest, error) {
	if bytes.Count(body, []byte("{")) > prefix.MaxMessages {
		decoded := new(chatRequest)
		return decoded, json.Unmarshal(body, decoded)
	}
	var decoded struct {
		chatFields
		Messages []prefix.Message `json:"messages"`
	}
	err := json.Unmarshal(body, &decoded)
	return &chatRequest{chatFields: decoded.chatFields, Messages: prefix.PromptOf(decoded.Messages)}, err
}

// chat decodes a chat completion. It is repeatable, since engines keep no state of it.
func (s *Server) chat(_ echo.Context, index *Configuration, request *dispatch.Request) *outcome.Refusal {
	body, err := decodeChat(request.Body)
	if err != nil {
		return badRequest("the body is not a chat completion: " + err.Error())
	}
	if body.Messages.Messages == 0 {
		return badRequest("the body holds no messages")
	}
	model, ok := index.Model(body.Model)
	if !ok {
		return outcome.Refuse(http.StatusNotFound, outcome.ReasonUnknownModel, 0, "the model is not declared")
	}
	if allowed := request.Caller.Models; len(allowed) > 0 && !slices.Contains(allowed, body.Model) {
		return outcome.Refuse(http.StatusForbidden, outcome.ReasonForbiddenModel, 0, "the caller may not use this model")
	}
	request.MaxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	if request.MaxTokens < 0 || (model.MaxTokens > 0 && request.MaxTokens > model.MaxTokens) {
		return badRequest("max_tokens is out of the model's range")
	}
	if refusal := prioritize(request, body.Priority); refusal != nil {
		return refusal
	}
	request.Header.Set(header.ContentType, "application/json")
	request.Header.Del("Accept-Encoding") // a compressed response could not be checked
	request.Serves = body.Model
	request.Kind = config.KindEngine
	request.Repeatable = true
	request.Prefixes = body.Messages.Hashes
	request.PrefixTokens = body.Messages.TokensUpTo
	request.PromptTokens = body.Messages.Tokens()
	return nil
}

// prioritize sets the priority. The body's takes precedence; otherwise the header's is
// written into the body, where engines read it.
func prioritize(request *dispatch.Request, inBody string) *outcome.Refusal {
	if inBody != "" {
		priority, ok := parsePriority(inBody)
		if !ok {
			return badRequest(priorityExpected)
		}
		request.Priority = priority
		return nil
	}
	if request.Priority == admission.PriorityNormal {
		return nil
	}
	member := `{"priority":"` + priorityName(request.Priority) + `",`
	opening := bytes.IndexByte(request.Body, '{')
	request.Body = slices.Concat([]byte(member), request.Body[opening+1:])
	return nil
}

var priorities = map[string]admission.Priority{
	"":                       admission.PriorityNormal,
	engineapi.PriorityLow:    admission.PriorityLow,
	engineapi.PriorityNormal: admission.PriorityNormal,
	engineapi.PriorityHigh:   admission.PriorityHigh,
}

func parsePriority(text string) (priority admission.Priority, ok bool) {
	priority, ok = priorities[text]
	return priority, ok
}

func priorityName(priority admission.Priority) string {
	switch {
	case priority < admission.PriorityNormal:
		return engineapi.PriorityLow
	case priority > admission.PriorityNormal:
		return engineapi.PriorityHigh
	default:
		return engineapi.PriorityNormal
	}
}
