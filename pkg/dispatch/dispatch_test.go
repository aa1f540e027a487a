package dispatch_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/dispatch"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/relay"
	"github.com/lilacweir/lilacweir/pkg/trace"
)

// The behaviour of an upstream in one attempt.
const (
	refuses    = "refuses"  // reports that it did not start
	closed     = "closed"   // cannot be reached
	crashes    = "dies"     // runs, then aborts the connection
	fails      = "fails"    // runs, answers 500
	mismatches = "crosses"  // runs, answers as if to another request
	answers    = "answers"  // runs
	withdraw   = "withdraw" // is no longer permitted when the attempt is made
)

// script is a Router with targets that behave as scripted for each attempt.
type script struct {
	steps    []string
	next     int
	address  string
	dead     string
	budget   int
	own      []string
	attempts int
	current  atomic.Value // the step that the upstream acts out
	ran      atomic.Int32
}

func (s *script) LocalUpstreams() []string               { return s.own }
func (s *script) Route(*dispatch.Request) dispatch.Route { return s }
func (s *script) Release()                               {}

func (s *script) Next(context.Context, []string) (dispatch.Choice, func(relay.Report), *outcome.Refusal) {
	if s.next >= len(s.steps) {
		return dispatch.Choice{}, nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, time.Second, "none left")
	}
	choice := dispatch.Choice{Target: relay.Target{Name: s.steps[s.next], Address: s.address, Kind: config.KindService}}
	if s.steps[s.next] == closed {
		choice.Target.Address = s.dead
	}
	s.current.Store(s.steps[s.next])
	s.next++
	s.attempts++
	return choice, func(relay.Report) {}, nil
}

func (s *script) Permitted(_ *dispatch.Request, choice *dispatch.Choice) *outcome.Refusal {
	if choice.Target.Name == withdraw {
		return outcome.Refuse(http.StatusForbidden, outcome.ReasonForbiddenRegion, 0, "not permitted any more")
	}
	return nil
}

func (s *script) Retry() bool {
	s.budget--
	return s.budget >= 0
}

// ServeHTTP is the upstream.
func (s *script) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	step := s.current.Load()
	if step == refuses {
		w.Header().Set(header.NotStarted, header.True)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.ran.Add(1)
	switch step {
	case crashes:
		panic(http.ErrAbortHandler)
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
	case mismatches:
		w.Header().Set(header.RequestID, "another")
	}
}

// For any upstream behaviour, a request that may not be repeated runs at most once,
// not-run is reported only if nothing ran, and retries stay within their bounds.
func TestReportedOutcomesMatchTheRuns(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := listener.Addr().String()
	_ = listener.Close()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	rapid.Check(t, func(t *rapid.T) {
		step := rapid.SampledFrom([]string{refuses, closed, crashes, fails, mismatches, answers, withdraw})
		s := &script{steps: rapid.SliceOfN(step, 0, 6).Draw(t, "steps"), dead: dead, budget: rapid.IntRange(0, 3).Draw(t, "budget")}
		budget := s.budget
		server := httptest.NewServer(s)
		defer server.Close()
		s.address = server.Listener.Addr().String()
		client := relay.NewClient(dial, dial)
		defer client.Close()
		d := &dispatch.Dispatcher{
			Router: s, Client: client, Log: zerolog.Nop(), Trace: trace.NewLog(1),
			Metrics: dispatch.NewMetrics(metrics.NewRegistry()), Now: time.Now, Domain: "here",
		}
		recorder := httptest.NewRecorder()
		repeatable := rapid.Bool().Draw(t, "repeatable")
		request := &dispatch.Request{
			ID: "r", CallerID: "r", Caller: &config.Caller{Name: "app"}, Kind: config.KindService,
			Method: http.MethodPost, URI: "/", Header: http.Header{}, Body: []byte("x"), Repeatable: repeatable,
		}
		d.Serve(context.Background(), request, relay.NewSink(recorder, time.Now))
		reported, ran := recorder.Header().Get(header.Outcome), int(s.ran.Load())
		switch {
		case !repeatable && ran > 1:
			t.Fatalf("ran %d times", ran)
		case reported == string(outcome.NotRun) && ran > 0:
			t.Fatalf("reported not-run, but ran %d times", ran)
		case reported == string(outcome.Complete) && ran == 0:
			t.Fatal("reported complete, but never ran")
		case reported == "":
			t.Fatal("reported no outcome")
		case s.attempts > 4:
			t.Fatalf("%d attempts", s.attempts)
		case repeatable && ran > budget+1:
			t.Fatalf("ran %d times with a budget of %d retries", ran, budget)
		}
	})
}
