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

// admit holds a caller to its limits. A request that another gateway passed on was
// counted there.
func (s *Server) admit(request *dispatch.Request) (*quota.Pass, *outcome.Refusal) {
	if request.Origin != "" {
		return nil, nil
	}
	return s.quota.Admit(request.Caller, estimate(request))
}

// estimate is how many tokens a request may take; a plain service's takes none.
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

// settle replaces the estimate by what was used: nothing when nothing ran, and a
// stream's chunks, each of which is a token. Of other answers the estimate stays.
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
