package api

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/ingress"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/relay"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

// fakeGateway is a Source and a Dispatcher that records the last dispatched request.
type fakeGateway struct {
	configuration *Configuration
	leaving       bool
	got           *dispatch.Request
	serve         func(sink *relay.Sink)
}

func (f *fakeGateway) Configuration() *Configuration      { return f.configuration }
func (f *fakeGateway) Instances(*config.Caller) Instances { return Instances{ValidMS: 1} }
func (f *fakeGateway) Ready() Readiness                   { return Readiness{State: StateServing} }
func (f *fakeGateway) NewRequestID() string               { return "made-1" }
func (f *fakeGateway) Roll() uint64                       { return 1 }
func (f *fakeGateway) Leaving() bool                      { return f.leaving }

func (f *fakeGateway) Serve(_ context.Context, request *dispatch.Request, sink *relay.Sink) {
	f.got = request
	f.serve(sink)
}

const testMaxBody = 1000

// newTestServer must not be called in a synctest bubble: the first meter of a process
// starts a goroutine that never ends, and the bubble's clock would wait for it.
func newTestServer() (*Server, *fakeGateway) {
	fake := &fakeGateway{
		serve: func(sink *relay.Sink) { _ = sink.Answer(http.StatusOK, []byte("served")) },
		configuration: &Configuration{Revision: 5, Index: config.NewIndex(&config.Declaration{
			Models: []config.Model{{Name: "nurse", MaxTokens: 100}, {Name: "other"}},
			Services: []config.Service{{Name: "log", Prefix: "/log/", Routes: []config.Route{
				{Method: http.MethodPost, Path: "uploads"}, {Method: http.MethodGet, Path: "e/*", Repeatable: true},
			}}},
			Callers: []config.Caller{{Name: "app", KeyHash: config.HashKey("secret"), Models: []string{"nurse"}}},
		})},
	}
	registry := metrics.NewRegistry()
	server := NewServer(Options{
		Source: fake, Dispatcher: fake, Metrics: dispatch.NewMetrics(registry), Registry: registry,
		MaxBody: testMaxBody, Now: time.Now, Domain: "here", Quota: quota.NewGate(clock.System{}),
		Guard: ingress.New(ingress.Options{Memory: testMaxBody, Now: time.Now, Series: telemetry.NewSeries(registry, 10)}),
	})
	return server, fake
}

const goodChat = `{"model":"nurse","messages":[{"role":"user","content":"hi"}],"max_tokens":5}`

func callerHeader(pairs ...string) http.Header {
	fields := http.Header{header.Authorization: {"Bearer secret"}}
	for i := 0; i < len(pairs); i += 2 {
		fields.Set(pairs[i], pairs[i+1])
	}
	return fields
}

func peerHeader(pairs ...string) http.Header {
	fields := callerHeader(header.Origin, "there", header.Class, "domain", header.Caller, "app", header.Revision, "5")
	fields.Del(header.Authorization)
	for i := 0; i < len(pairs); i += 2 {
		fields.Set(pairs[i], pairs[i+1])
	}
	return fields
}

func TestRefusals(t *testing.T) {
	const chat, post, get = "/v1/chat/completions", http.MethodPost, http.MethodGet
	leaving := func(f *fakeGateway) { f.leaving = true }
	tests := []struct {
		name, method, path, body string
		fields                   http.Header
		peers                    bool
		change                   func(*fakeGateway)
		status                   int
		reason                   outcome.Reason
		outcome                  outcome.Outcome
	}{
		{name: "no key", method: post, path: chat, body: goodChat, fields: http.Header{}, status: 401, reason: outcome.ReasonUnauthenticated},
		{name: "wrong key", method: post, path: chat, body: goodChat, fields: callerHeader(header.Authorization, "Bearer secre"), status: 401, reason: outcome.ReasonUnauthenticated},
		{name: "other scheme", method: post, path: chat, body: goodChat, fields: callerHeader(header.Authorization, "Basic secret"), status: 401, reason: outcome.ReasonUnauthenticated},
		{name: "no configuration", method: post, path: chat, body: goodChat, fields: callerHeader(), change: func(f *fakeGateway) { f.configuration = nil }, status: 503, reason: outcome.ReasonNoConfiguration},
		{name: "leaving", method: post, path: chat, body: goodChat, fields: callerHeader(), change: leaving, status: 503, reason: outcome.ReasonDraining},
		{name: "leaving, perhaps a repeat", method: post, path: "/log/uploads", fields: callerHeader(header.IdempotencyKey, "k"), change: leaving, status: 503, reason: outcome.ReasonDraining, outcome: outcome.Unknown},
		{name: "unknown model", method: post, path: chat, body: strings.Replace(goodChat, "nurse", "nobody", 1), fields: callerHeader(), status: 404, reason: outcome.ReasonUnknownModel},
		{name: "forbidden model", method: post, path: chat, body: strings.Replace(goodChat, "nurse", "other", 1), fields: callerHeader(), status: 403, reason: outcome.ReasonForbiddenModel},
		{name: "not JSON", method: post, path: chat, body: "{", fields: callerHeader(), status: 400, reason: outcome.ReasonBadRequest},
		{name: "no messages", method: post, path: chat, body: `{"model":"nurse"}`, fields: callerHeader(), status: 400, reason: outcome.ReasonBadRequest},
		{name: "too many tokens", method: post, path: chat, body: strings.Replace(goodChat, `:5}`, `:101}`, 1), fields: callerHeader(), status: 400, reason: outcome.ReasonBadRequest},
		{name: "bad priority", method: post, path: chat, body: goodChat, fields: callerHeader(header.Priority, "urgent"), status: 400, reason: outcome.ReasonBadRequest},
		{name: "bad deadline", method: post, path: chat, body: goodChat, fields: callerHeader(header.Deadline, "soon"), status: 400, reason: outcome.ReasonBadRequest},
		{name: "bad request ID", method: post, path: chat, body: goodChat, fields: callerHeader(header.RequestID, "a b"), status: 400, reason: outcome.ReasonBadRequest},
		{name: "scoped request ID from a caller", method: post, path: chat, body: goodChat, fields: callerHeader(header.RequestID, "app~1"), status: 400, reason: outcome.ReasonBadRequest},
		{name: "too large", method: post, path: "/log/uploads", body: strings.Repeat("x", testMaxBody+1), fields: callerHeader(), status: 413, reason: outcome.ReasonTooLarge},
		{name: "large header", method: post, path: "/log/uploads", fields: callerHeader("X-Large", strings.Repeat("x", maxHeader)), status: 431, reason: outcome.ReasonTooLarge},
		{name: "long query", method: get, path: "/log/e/1?" + strings.Repeat("x", maxHeader), fields: callerHeader(), status: 431, reason: outcome.ReasonTooLarge},
		{name: "undeclared prefix", method: get, path: "/elsewhere", fields: callerHeader(), status: 404, reason: outcome.ReasonUnknownRoute},
		{name: "undeclared method", method: http.MethodDelete, path: "/log/uploads", fields: callerHeader(), status: 404, reason: outcome.ReasonUnknownRoute},
		{name: "path out of its route", method: get, path: "/log/e/../uploads", fields: callerHeader(), status: 404, reason: outcome.ReasonUnknownRoute},
		{name: "encoded path out of its route", method: get, path: "/log/e/%2e%2e/uploads", fields: callerHeader(), status: 404, reason: outcome.ReasonUnknownRoute},
		{name: "peer without class", method: post, path: chat, body: goodChat, fields: peerHeader(header.Class, "entry"), peers: true, status: 508, reason: outcome.ReasonLoop},
		{name: "peer of this domain", method: post, path: chat, body: goodChat, fields: peerHeader(header.Origin, "here"), peers: true, status: 508, reason: outcome.ReasonLoop},
		{name: "peer with a newer configuration", method: post, path: chat, body: goodChat, fields: peerHeader(header.Revision, "6"), peers: true, status: 409, reason: outcome.ReasonStaleRevision},
		{name: "peer for an unknown caller", method: post, path: chat, body: goodChat, fields: peerHeader(header.Caller, "nobody"), peers: true, status: 403, reason: outcome.ReasonUnauthenticated},
		{name: "peer with a bad request ID", method: post, path: chat, body: goodChat, fields: peerHeader(header.RequestID, "a~b~c~d"), peers: true, status: 400, reason: outcome.ReasonBadRequest},
		{name: "peer with a bad offset", method: post, path: chat, body: goodChat, fields: peerHeader(header.ResumeOffset, "-1"), peers: true, status: 400, reason: outcome.ReasonBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server, fake := newTestServer()
			if test.change != nil {
				test.change(fake)
			}
			handler := server.Callers().Handler
			if test.peers {
				handler = server.Peers().Handler
			}
			request := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
			request.Header = test.fields
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			if test.outcome == "" {
				test.outcome = outcome.NotRun
			}
			var body relay.RefusalBody
			is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &body))
			is.Equal(recorder.Code, test.status)
			is.Equal(body.Error.Type, test.reason)
			is.Equal(body.Error.Outcome, test.outcome)
			is.Equal(recorder.Header().Get(header.Outcome), string(test.outcome))
			is.True(body.Error.RequestID != "")
			is.Equal(recorder.Header().Get(header.RequestID), body.Error.RequestID)
			is.Equal(recorder.Header().Get(header.RetryAfter) != "", body.Error.RetryAfterMS > 0)
			is.True(fake.got == nil) // nothing was dispatched
		})
	}
}

func TestAcceptedRequest(t *testing.T) {
	is := is.New(t)
	server, fake := newTestServer()
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions?trace=1", strings.NewReader(goodChat))
	request.Header = callerHeader(header.RequestID, "mine", header.Priority, "high", header.Deadline, "60000", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2")
	recorder := httptest.NewRecorder()
	server.Callers().Handler.ServeHTTP(recorder, request)
	is.Equal(recorder.Body.String(), "served")
	is.Equal(recorder.Header().Get(header.RequestID), "mine") // as the caller gave it
	got := fake.got
	is.Equal(got.ID, "app~mine~1") // scoped by caller and attempt
	is.Equal(got.CallerID, "mine")
	is.Equal(got.PrefixTokens, []int{1})
	is.Equal(got.PromptTokens, 1)
	is.Equal(len(got.Prefixes), 1)
	is.Equal(got.URI, "/v1/chat/completions?trace=1")
	is.True(got.Repeatable)
	is.Equal(string(got.Body), `{"priority":"high",`+goodChat[1:])
	is.True(time.Until(got.Deadline) > 50*time.Second)
	is.Equal(got.Header.Get("X-Kept"), "2")
	is.Equal(got.Header.Get("X-Hop"), "")
	is.Equal(got.Header.Get(header.Authorization), "") // the key is not forwarded
}

// pipeListener accepts one connection.
type pipeListener struct {
	conn chan net.Conn
	done chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conn:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { close(l.done); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// servePipe serves one in-memory connection, which works with a synctest clock, and
// returns its client end.
func servePipe(t *testing.T, server *http.Server) net.Conn {
	serverEnd, clientEnd := net.Pipe()
	listener := &pipeListener{conn: make(chan net.Conn, 1), done: make(chan struct{})}
	listener.conn <- serverEnd
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = clientEnd.Close()
		_ = server.Close()
	})
	return clientEnd
}

func TestSlowBodyIsRefused(t *testing.T) {
	server, fake := newTestServer()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conn := servePipe(t, server.Callers())
		start := time.Now()
		_, err := io.WriteString(conn, "POST /log/uploads HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 100\r\n\r\nslow")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusRequestTimeout)
		is.Equal(response.Header.Get(header.Outcome), string(outcome.NotRun))
		is.Equal(time.Since(start), bodyTimeout)
		is.True(fake.got == nil)
	})
}

func TestSlowHeaderClosesTheConnection(t *testing.T) {
	server, _ := newTestServer()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conn := servePipe(t, server.Callers())
		start := time.Now()
		_, err := io.WriteString(conn, "POST /log/uploads HTTP/1.1\r\nHost:")
		is.NoErr(err)
		_, _ = io.ReadAll(conn)
		is.Equal(time.Since(start), headerTimeout)
	})
}

func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	server, fake := newTestServer()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ended := make(chan error, 1)
		fake.serve = func(sink *relay.Sink) { ended <- sink.Answer(http.StatusOK, make([]byte, 1<<20)) }
		conn := servePipe(t, server.Callers())
		start := time.Now()
		_, err := io.WriteString(conn, "GET /log/e/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n\r\n")
		is.NoErr(err)
		var callerError *relay.CallerError
		is.True(errors.As(<-ended, &callerError))
		is.Equal(time.Since(start), relay.WriteTimeout)
	})
}

// A request line may hold an absolute URL, of which only the path and query are
// forwarded.
func TestOnlyPathAndQueryArePassedOn(t *testing.T) {
	is := is.New(t)
	server, fake := newTestServer()
	request := httptest.NewRequest(http.MethodGet, "http://elsewhere:1/log/e/a%2Fb?x=%20y", nil)
	request.Header = callerHeader()
	server.Callers().Handler.ServeHTTP(httptest.NewRecorder(), request)
	is.Equal(fake.got.URI, "/log/e/a%2Fb?x=%20y")
}
