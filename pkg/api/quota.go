package api

import (
	"net/http"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/relay"
	"github.com/lilacweir/lilacweir/pkg/route"
)

// admit enforces the limits of the caller. A request that another gateway forwarded was
// counted there.
func (s *Server) admit(request *dispatch.Request) (*quota.Pass, *outcome.Refusal) {
	if request.Origin != "" {
		return nil, nil
	}
	return s.quota.Admit(request.Caller, estimate(request))
}

// estimate returns the number of tokens that a request may use; zero for a plain service.
func estimate(request *dispatch.Request) int {
	if request.Kind != config.KindEngine {
		return 0
	}
	answer := request.MaxTokens
	if answer == 0 {
		answer = route.ExpectedAnswerTokens
	}
	return request.PromptTokens + answer
}

// settle replaces the estimate with the tokens used: none if the request did not run, and
// the prompt and chunks of a stream, each chunk being a token. For other responses the
// estimate stays.
func settle(pass *quota.Pass, request *dispatch.Request, sink *relay.Sink) {
	used := pass.Tokens()
	sink.Head(func(fields http.Header) {
		if fields.Get(header.Outcome) == string(outcome.NotRun) {
			used = 0
			return
		}
		if sink.Stream {
			used = request.PromptTokens + sink.Chunks
		}
	})
	pass.Done(used)
}
