package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// fakeGateway is a gateway that may be leaving or without a configuration.
type fakeGateway struct {
	list         Instances
	leaving      bool
	unconfigured bool
	served       int
}

func (g *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/instances" {
		_ = json.NewEncoder(w).Encode(g.list)
		return
	}
	if g.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":{"type":"instance-leaving","outcome":"not-run"}}`))
		return
	}
	if g.unconfigured {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":{"type":"no-configuration","outcome":"unknown"}}`))
		return
	}
	g.served++
	w.Header().Set(header.Outcome, string(outcome.Complete))
}

func TestFollowerSkipsLeavingInstances(t *testing.T) {
	is := is.New(t)
	fakes := []*fakeGateway{{}, {}, {}}
	var list Instances
	for index, fake := range fakes {
		server := httptest.NewServer(fake)
		defer server.Close()
		domain := map[bool]string{true: "near", false: "far"}[index < 2]
		list.Instances = append(list.Instances, Instance{Domain: domain, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	list.ValidMS = 60_000
	for _, fake := range fakes {
		fake.list = list
	}
	follower := NewFollower(New("k", nil), []string{list.Instances[0].Address})
	post := func() outcome.Outcome {
		return follower.Call(context.Background(), http.MethodPost, "/sleeplog/nights", nil, Options{}).Outcome
	}
	for range 4 {
		is.Equal(post(), outcome.Complete)
	}
	is.Equal([]int{fakes[0].served, fakes[1].served, fakes[2].served}, []int{2, 2, 0}) // round-robin within the domain

	fakes[0].leaving, fakes[1].leaving = true, true
	is.Equal(post(), outcome.Complete)
	is.Equal(fakes[2].served, 1) // another domain only if its own has no usable instance
}

func TestFollowerRetriesOnlyWithAnIdempotencyKey(t *testing.T) {
	is := is.New(t)
	fakes := []*fakeGateway{{unconfigured: true}, {}}
	var list Instances
	for _, fake := range fakes {
		server := httptest.NewServer(fake)
		defer server.Close()
		list.Instances = append(list.Instances, Instance{Address: strings.TrimPrefix(server.URL, "http://")})
	}
	list.ValidMS = 60_000
	fakes[0].list, fakes[1].list = list, list
	for _, key := range []string{"", "key-1"} {
		follower := NewFollower(New("k", nil), []string{list.Instances[0].Address})
		follower.next = 1 // the unconfigured instance comes first
		answer := follower.Call(context.Background(), http.MethodPost, "/sleeplog/uploads", nil, Options{IdempotencyKey: key})
		is.Equal(answer.Outcome == outcome.Complete, key != "") // an unknown outcome is retried only with a key
	}
	is.Equal(fakes[1].served, 1)
}

// TestFollowerKeepsAnUnknownOutcome checks that once an attempt with a key may have run, an
// unreachable instance does not change the outcome to not run.
func TestFollowerKeepsAnUnknownOutcome(t *testing.T) {
	is := is.New(t)
	unconfigured := &fakeGateway{unconfigured: true}
	server := httptest.NewServer(unconfigured)
	defer server.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	first := strings.TrimPrefix(server.URL, "http://")
	unconfigured.list = Instances{ValidMS: 60_000, Instances: []Instance{{Address: first}, {Address: strings.TrimPrefix(closed.URL, "http://")}}}
	follower := NewFollower(New("k", nil), []string{first})
	follower.next = 1 // the unconfigured instance comes first
	answer := follower.Call(context.Background(), http.MethodPost, "/sleeplog/uploads", nil, Options{IdempotencyKey: "key-1"})
	is.Equal(answer.Outcome, outcome.Unknown)
	is.Equal(answer.Refusal.Type, outcome.ReasonNoConfiguration)
}
