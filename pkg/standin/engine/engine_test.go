package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/prefix"
	"github.com/lilacweir/lilacweir/pkg/standin/engine"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// testServer is an engine behind an HTTP server.
type testServer struct {
	t       *testing.T
	engine  *engine.Engine
	journal *journal.Journal
	url     string
}

func start(t *testing.T, change func(*engine.Settings)) testServer {
	t.Helper()
	settings := engine.Settings{
		Name: "nurse-1", Domain: "hall", Serves: "nurse", Version: "v1", Concurrency: 4, Queue: 8,
		DecodeRate: 10_000, PrefillRate: 1_000_000, CacheTokens: 1000, LoadLag: time.Millisecond,
	}
	if change != nil {
		change(&settings)
	}
	j := journal.New()
	e := engine.New(settings, clock.System{}, j)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	return testServer{t: t, engine: e, journal: j, url: server.URL}
}

func (server testServer) post(path string, message any, headers map[string]string) (int, http.Header, string) {
	server.t.Helper()
	body, _ := json.Marshal(message)
	request, _ := http.NewRequestWithContext(server.t.Context(), http.MethodPost, server.url+path, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, response.Header, string(answer)
	}
	return response.StatusCode, response.Header, string(answer)
}

func (server testServer) get(path string, into any) {
	server.t.Helper()
	response, err := http.Get(server.url + path)
	if err != nil {
		server.t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		server.t.Fatal(err)
	}
}

func chatRequest(content string, tokens int) engineapi.ChatRequest {
	messages := []prefix.Message{{Role: "user", Content: content}}
	return engineapi.ChatRequest{Model: "nurse", Messages: messages, MaxTokens: tokens, Stream: true}
}

func requestIDHeader(id string) map[string]string { return map[string]string{header.RequestID: id} }

// waitFor waits until holds returns true for the journal's entries.
func (server testServer) waitFor(holds func([]journal.Entry) bool) {
	server.t.Helper()
	for !holds(server.journal.Entries("")) {
		select {
		case <-server.t.Context().Done():
			server.t.Fatal("the journal never held it")
		case <-time.After(time.Millisecond):
		}
	}
}

func TestResumedAnswerEqualsUninterruptedAnswer(t *testing.T) {
	is := is.New(t)
	first, second := start(t, nil), start(t, nil)
	status, _, whole := first.post(engineapi.PathChat, chatRequest("how did I sleep", 20), requestIDHeader("r1"))
	is.Equal(status, http.StatusOK)
	is.True(strings.HasSuffix(whole, "data: [DONE]\n\n"))

	is.NoErr(first.engine.Set("die-after", "7"))
	status, _, interrupted := first.post(engineapi.PathChat, chatRequest("how did I sleep", 20), requestIDHeader("r1"))
	is.Equal(status, 0) // the connection broke
	is.Equal(strings.Count(interrupted, "\n\n"), 7)
	headers := requestIDHeader("r1")
	headers[header.ResumeOffset] = "7"
	status, _, resumed := second.post(engineapi.PathChat, chatRequest("how did I sleep", 20), headers)
	is.Equal(status, http.StatusOK)
	is.Equal(interrupted+resumed, whole)

	is.NoErr(second.engine.Set("no-resume", ""))
	status, _, _ = second.post(engineapi.PathChat, chatRequest("how did I sleep", 20), headers)
	is.Equal(status, http.StatusConflict)
	entries := first.journal.Entries("nurse-1")
	is.Equal(len(entries), 2)
	is.Equal(entries[1].Result, journal.ResultBroken)
	is.Equal(entries[1].Chunks, 7)
}

func TestOlderOrdersAreRejectedOnlyWithFencing(t *testing.T) {
	for name, test := range map[string]struct {
		checks  bool
		status  int
		version string
	}{
		"checking": {checks: true, status: http.StatusPreconditionFailed, version: "v3"},
		"ignoring": {checks: false, status: http.StatusOK, version: "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := start(t, func(s *engine.Settings) { s.ChecksFencing = test.checks })
			newer := engineapi.Order{ID: "o2", Kind: engineapi.OrderLoad, Version: "v3", Fence: 9}
			older := engineapi.Order{ID: "o1", Kind: engineapi.OrderLoad, Version: "v2", Fence: 8}
			status, _, _ := server.post(engineapi.PathOrders, newer, nil)
			is.Equal(status, http.StatusOK)
			status, _, _ = server.post(engineapi.PathOrders, older, nil)
			is.Equal(status, test.status)
			var state engineapi.OrderState
			for state.Loading != "" || state.Version == "" {
				server.get(engineapi.PathOrders, &state)
			}
			is.Equal(state.Fence, int64(9))
			for state.Version == "v1" {
				server.get(engineapi.PathOrders, &state)
			}
			is.Equal(state.Version, test.version)
		})
	}
}

func TestQueueOrderFollowsPriorityAndCancelStopsARequest(t *testing.T) {
	is := is.New(t)
	server := start(t, func(s *engine.Settings) { s.Concurrency = 1 })
	is.NoErr(server.engine.Set("stall", "1"))
	go server.post(engineapi.PathChat, chatRequest("first", 5), requestIDHeader("first"))
	server.waitFor(func(entries []journal.Entry) bool { return len(entries) == 1 && entries[0].Chunks == 1 })
	is.NoErr(server.engine.Set("ok", ""))

	done := make(chan struct{}, 2)
	for queued, priority := range []string{engineapi.PriorityLow, engineapi.PriorityHigh} {
		request := chatRequest(priority, 2)
		request.Priority = priority
		go func() {
			server.post(engineapi.PathChat, request, requestIDHeader(priority))
			done <- struct{}{}
		}()
		var load engineapi.Load
		for load.Queued <= queued {
			server.get(engineapi.PathLoad, &load)
		}
		is.Equal(load.Running, 1)
	}
	status, _, _ := server.post(engineapi.PathCancel, engineapi.Cancel{ID: "first"}, nil)
	is.Equal(status, http.StatusNoContent)
	<-done
	<-done
	entries := server.journal.Entries("")
	is.Equal(entries[0].Result, journal.ResultCancelled)
	is.Equal(entries[1].RequestID, engineapi.PriorityHigh) // arrived last, ran first
	is.Equal(entries[2].RequestID, engineapi.PriorityLow)
}

func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	is := is.New(t)
	server := start(t, func(s *engine.Settings) { s.CacheTokens = 100 })
	hash := func(content string) string {
		hashes := prefix.Hashes([]prefix.Message{{Role: "user", Content: content}})
		return strconv.FormatUint(hashes[0], 16)
	}
	long := []string{strings.Repeat("a", 240), strings.Repeat("b", 160)}
	server.post(engineapi.PathChat, chatRequest(long[0], 1), requestIDHeader("a"))
	server.post(engineapi.PathChat, chatRequest(long[1], 1), requestIDHeader("b")) // 60 and 40 tokens fill it
	server.post(engineapi.PathChat, chatRequest(long[0], 1), requestIDHeader("a")) // makes the first the most recently used
	server.post(engineapi.PathChat, chatRequest("short", 1), requestIDHeader("c"))
	var events engineapi.CacheEvents
	server.get(engineapi.PathCacheEvents+"?after=3", &events)
	is.Equal(events.Events, []engineapi.CacheEvent{{Sequence: 4, Kind: engineapi.CacheEvicted, Prefix: hash(long[1])}})
}

func TestInjectedFaultsShowInResponses(t *testing.T) {
	is := is.New(t)
	server := start(t, nil)
	is.NoErr(server.engine.Set("refuse", "1"))
	status, answered, _ := server.post(engineapi.PathChat, chatRequest("x", 2), requestIDHeader("r1"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(answered.Get(header.NotStarted), "true")
	is.NoErr(server.engine.Set("cross", ""))
	_, answered, answer := server.post(engineapi.PathChat, chatRequest("x", 2), requestIDHeader("r2"))
	is.True(answered.Get(header.RequestID) != "r2")
	is.True(!strings.Contains(answer, `"r2"`))
	is.NoErr(server.engine.Set("ok", ""))
	is.NoErr(server.engine.Set("truncate", ""))
	status, _, answer = server.post(engineapi.PathChat, chatRequest("x", 8), requestIDHeader("r3"))
	is.Equal(status, http.StatusOK)
	is.Equal(strings.Count(answer, "\n\n"), 4)
	is.True(!strings.Contains(answer, engineapi.StreamDone))
	is.NoErr(server.engine.Set("leave", ""))
	status, answered, _ = server.post(engineapi.PathChat, chatRequest("x", 2), requestIDHeader("r4"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(answered.Get(header.Leaving), "true")
	is.Equal(len(server.journal.Entries("")), 2) // rejected requests did not run
	is.True(server.engine.Set("melt", "") != nil)
	is.True(server.engine.Set("fail", "many") != nil)
}
