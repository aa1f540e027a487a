package dispatch_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/claim"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/relay"
	"github.com/lilacweir/lilacweir/pkg/trace"
)

// slowClaims grants every claim. Recording a result blocks until the caller has been
// answered or the context ends.
type slowClaims struct {
	answered chan struct{}
	ended    chan claim.Result
	timedOut bool
}

func (s *slowClaims) Begin(context.Context, claim.Claim) (*claim.Grant, *claim.Recorded, *outcome.Refusal) {
	return claim.NewGrant(false, func(ctx context.Context, result claim.Result) {
		select {
		case <-s.answered:
		case <-ctx.Done():
			s.timedOut = true
		}
		s.ended <- result
	}), nil, nil
}

// localClaims grants every claim locally. It observes whether the answer was flushed
// before the result was recorded.
type localClaims struct {
	recorder      *httptest.ResponseRecorder
	answerFlushed bool
	recorded      int
}

func (l *localClaims) Begin(context.Context, claim.Claim) (*claim.Grant, *claim.Recorded, *outcome.Refusal) {
	return claim.NewGrant(true, func(context.Context, claim.Result) {
		l.answerFlushed = l.answerFlushed || l.recorder.Flushed
		l.recorded++
	}), nil, nil
}

// A gateway that decides the key itself records the result before it sends the
// answer, so that a repeat through it never gets in-progress.
func TestLocalResultIsRecordedBeforeTheAnswer(t *testing.T) {
	is := is.New(t)
	upstream := &script{steps: []string{answers}}
	claims := &localClaims{recorder: httptest.NewRecorder()}
	d := newClaimDispatcher(t, upstream, claims)
	d.Serve(context.Background(), keyedRequest(), relay.NewSink(claims.recorder, time.Now))
	is.Equal(claims.recorder.Code, http.StatusOK)
	is.Equal(claims.recorded, 1)
	is.True(!claims.answerFlushed)
}

func newClaimDispatcher(t *testing.T, upstream *script, claims dispatch.Claims) *dispatch.Dispatcher {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	upstream.address = server.Listener.Addr().String()
	client := relay.NewClient(dial, dial)
	t.Cleanup(client.Close)
	return &dispatch.Dispatcher{
		Router: upstream, Claims: claims, Client: client, Log: zerolog.Nop(), Trace: trace.NewLog(1),
		Metrics: dispatch.NewMetrics(metrics.NewRegistry()), Now: time.Now, Domain: "here",
	}
}

func keyedRequest() *dispatch.Request {
	return &dispatch.Request{
		ID: "r", CallerID: "r", Caller: &config.Caller{Name: "app"}, Kind: config.KindService,
		Method: http.MethodPost, URI: "/", Header: http.Header{}, Body: []byte("x"), IdempotencyKey: "k",
	}
}

// The answer to a caller does not wait for the remote decider of its key, which may
// be frozen, and the gateway's shutdown waits for the report to the decider.
func TestAnswerDoesNotWaitForARemoteRecord(t *testing.T) {
	for step, want := range map[string]outcome.Outcome{answers: outcome.Complete, refuses: outcome.NotRun, crashes: outcome.Unknown} {
		t.Run(step, func(t *testing.T) {
			is := is.New(t)
			upstream := &script{steps: []string{step}}
			claims := &slowClaims{answered: make(chan struct{}), ended: make(chan claim.Result, 1)}
			d := newClaimDispatcher(t, upstream, claims)
			d.Serve(context.Background(), keyedRequest(), relay.NewSink(httptest.NewRecorder(), time.Now))
			is.Equal(d.Metrics.Active.Count(), int64(1)) // a shutdown waits for the record
			close(claims.answered)
			is.Equal((<-claims.ended).Outcome, want)
			is.True(!claims.timedOut)
		})
	}
}

// If the own domain refuses for overload, and the unbudgeted attempts and the retry
// budget are used up, another domain is tried once, except for a forwarded request.
func TestLocalOverloadIsRetriedInAnotherDomainOnce(t *testing.T) {
	cases := []struct {
		name, origin string
		own          []string
		steps        []string
		attempts     int
		want         int
	}{
		{"other domain answers", "", []string{refuses}, []string{refuses, refuses, answers}, 3, http.StatusOK},
		{"other domain refuses", "", []string{refuses}, []string{refuses, refuses, refuses, answers}, 3, http.StatusServiceUnavailable},
		{"forwarded", "there", []string{refuses}, []string{refuses, refuses, answers}, 2, http.StatusServiceUnavailable},
		{"no local upstreams", "", nil, []string{refuses, refuses, answers}, 2, http.StatusServiceUnavailable},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			upstream := &script{steps: test.steps, own: test.own}
			d := newClaimDispatcher(t, upstream, nil)
			request := keyedRequest()
			request.IdempotencyKey, request.Repeatable, request.Origin = "", true, test.origin
			recorder := httptest.NewRecorder()
			d.Serve(context.Background(), request, relay.NewSink(recorder, time.Now))
			is.Equal(recorder.Code, test.want)
			is.Equal(upstream.attempts, test.attempts)
		})
	}
}
