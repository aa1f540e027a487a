package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/relay"
)

func TestCallerLimit(t *testing.T) {
	is := is.New(t)
	server, fake := newTestServer()
	caller, _ := fake.configuration.Caller("app")
	caller.Limits = config.Limits{TokensPerMinute: 60}
	send := func(handler http.Handler, fields http.Header) *httptest.ResponseRecorder {
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(goodChat))
		request.Header = fields
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder
	}
	callers, peers := server.Callers().Handler, server.Peers().Handler
	fake.serve = func(sink *relay.Sink) {
		sink.Refuse(outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, 0, "full"))
	}
	is.Equal(send(callers, callerHeader()).Code, http.StatusServiceUnavailable)
	fake.serve = func(sink *relay.Sink) { _ = sink.Answer(http.StatusOK, []byte("served")) }
	is.Equal(send(callers, callerHeader()).Code, http.StatusOK) // the request that did not run used no tokens
	refused := send(callers, callerHeader())
	is.Equal(refused.Code, http.StatusTooManyRequests)
	is.Equal(refused.Header().Get(header.Outcome), string(outcome.NotRun))
	is.Equal(refused.Header().Get("Retry-After"), "6") // 6 tokens used, 5 of them for the answer; refilled at 1 a second
	is.True(strings.Contains(refused.Body.String(), string(outcome.ReasonCallerLimit)))
	is.Equal(send(peers, peerHeader()).Code, http.StatusOK) // it was counted at the entry gateway
	is.Equal(server.registry.Get("refusals.caller-limit").(interface{ Count() int64 }).Count(), int64(1))
}
