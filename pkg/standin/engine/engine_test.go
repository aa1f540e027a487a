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

// bench is an engine behind a server.
type bench struct {
	t       *testing.T
	engine  *engine.Engine
	journal *journal.Journal
	url     string
}

func start(t *testing.T, change func(*engine.Settings)) bench {
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
	return bench{t: t, engine: e, journal: j, url: server.URL}
}

func (b bench) post(path string, message any, headers map[string]string) (int, http.Header, string) {
	b.t.Helper()
	body, _ := json.Marshal(message)
	request, _ := http.NewRequestWithContext(b.t.Context(), http.MethodPost, b.url+path, bytes.NewReader(body))
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

func (b bench) get(path string, into any) {
	b.t.Helper()
	response, err := http.Get(b.url + path)
	if err != nil {
		b.t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		b.t.Fatal(err)
	}
}

func ask(content string, tokens int) engineapi.ChatRequest {
	messages := []prefix.Message{{Role: "user", Content: content}}
	return engineapi.ChatRequest{Model: "nurse", Messages: messages, MaxTokens: tokens, Stream: true}
}

func named(id string) map[string]string { return map[string]string{header.RequestID: id} }

// waitFor waits until the journal holds a state.
func (b bench) waitFor(holds func([]journal.Entry) bool) {
	b.t.Helper()
	for !holds(b.journal.Entries("")) {
		select {
		case <-b.t.Context().Done():
			b.t.Fatal("the journal never held it")
		case <-time.After(time.Millisecond):
		}
	}
}

func TestResumedAnswerEqualsTheWhole(t *testing.T) {
	is := is.New(t)
	first, second := start(t, nil), start(t, nil)
	status, _, whole := first.post(engineapi.PathChat, ask("how did I sleep", 20), named("r1"))
	is.Equal(status, http.StatusOK)
	is.True(strings.HasSuffix(whole, "data: [DONE]\n\n"))

	is.NoErr(first.engine.Set("die-after", "7"))
	status, _, broken := first.post(engineapi.PathChat, ask("how did I sleep", 20), named("r1"))
	is.Equal(status, 0) // the connection broke
	is.Equal(strings.Count(broken, "\n\n"), 7)
	headers := named("r1")
	headers[header.ResumeOffset] = "7"
	status, _, rest := second.post(engineapi.PathChat, ask("how did I sleep", 20), headers)
	is.Equal(status, http.StatusOK)
	is.Equal(broken+rest, whole)

	is.NoErr(second.engine.Set("no-resume", ""))
	status, _, _ = second.post(engineapi.PathChat, ask("how did I sleep", 20), headers)
	is.Equal(status, http.StatusConflict)
	entries := first.journal.Entries("nurse-1")
	is.Equal(len(entries), 2)
	is.Equal(entries[1].Result, journal.ResultBroken)
	is.Equal(entries[1].Chunks, 7)
}

func TestOrdersAndFencing(t *testing.T) {
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
			b := start(t, func(s *engine.Settings) { s.ChecksFencing = test.checks })
			newer := engineapi.Order{ID: "o2", Kind: engineapi.OrderLoad, Version: "v3", Fence: 9}
			older := engineapi.Order{ID: "o1", Kind: engineapi.OrderLoad, Version: "v2", Fence: 8}
			status, _, _ := b.post(engineapi.PathOrders, newer, nil)
			is.Equal(status, http.StatusOK)
			status, _, _ = b.post(engineapi.PathOrders, older, nil)
			is.Equal(status, test.status)
			var state engineapi.OrderState
			for state.Loading != "" || state.Version == "" {
				b.get(engineapi.PathOrders, &state)
			}
			is.Equal(state.Fence, int64(9))
			for state.Version == "v1" {
				b.get(engineapi.PathOrders, &state)
			}
			is.Equal(state.Version, test.version)
		})
	}
}

func TestPrioritiesAndCancel(t *testing.T) {
	is := is.New(t)
	b := start(t, func(s *engine.Settings) { s.Concurrency = 1 })
	is.NoErr(b.engine.Set("stall", "1"))
	go b.post(engineapi.PathChat, ask("first", 5), named("first"))
	b.waitFor(func(entries []journal.Entry) bool { return len(entries) == 1 && entries[0].Chunks == 1 })
	is.NoErr(b.engine.Set("ok", ""))

	done := make(chan struct{}, 2)
	for queued, priority := range []string{engineapi.PriorityLow, engineapi.PriorityHigh} {
		request := ask(priority, 2)
		request.Priority = priority
		go func() {
			b.post(engineapi.PathChat, request, named(priority))
			done <- struct{}{}
		}()
		var load engineapi.Load
		for load.Queued <= queued {
			b.get(engineapi.PathLoad, &load)
		}
		is.Equal(load.Running, 1)
	}
	status, _, _ := b.post(engineapi.PathCancel, engineapi.Cancel{ID: "first"}, nil)
	is.Equal(status, http.StatusNoContent)
	<-done
	<-done
	entries := b.journal.Entries("")
	is.Equal(entries[0].Result, journal.ResultCancelled)
	is.Equal(entries[1].RequestID, engineapi.PriorityHigh) // came last, went first
	is.Equal(entries[2].RequestID, engineapi.PriorityLow)
}

func TestPrefixCacheIsBounded(t *testing.T) {
	is := is.New(t)
	b := start(t, func(s *engine.Settings) { s.CacheTokens = 100 })
	hash := func(content string) string {
		hashes := prefix.Hashes([]prefix.Message{{Role: "user", Content: content}})
		return strconv.FormatUint(hashes[0], 16)
	}
	long := []string{strings.Repeat("a", 240), strings.Repeat("b", 160)}
	b.post(engineapi.PathChat, ask(long[0], 1), named("a"))
	b.post(engineapi.PathChat, ask(long[1], 1), named("b")) // 60 and 40 tokens fill it
	b.post(engineapi.PathChat, ask(long[0], 1), named("a")) // used again
	b.post(engineapi.PathChat, ask("short", 1), named("c"))
	var events engineapi.CacheEvents
	b.get(engineapi.PathCacheEvents+"?after=3", &events)
	is.Equal(events.Events, []engineapi.CacheEvent{{Sequence: 4, Kind: engineapi.CacheEvicted, Prefix: hash(long[1])}})
}

func TestFaultsAreTold(t *testing.T) {
	is := is.New(t)
	b := start(t, nil)
	is.NoErr(b.engine.Set("refuse", "1"))
	status, answered, _ := b.post(engineapi.PathChat, ask("x", 2), named("r1"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(answered.Get(header.NotStarted), "true")
	is.NoErr(b.engine.Set("cross", ""))
	_, answered, answer := b.post(engineapi.PathChat, ask("x", 2), named("r2"))
	is.True(answered.Get(header.RequestID) != "r2")
	is.True(!strings.Contains(answer, `"r2"`))
	is.NoErr(b.engine.Set("ok", ""))
	is.NoErr(b.engine.Set("truncate", ""))
	status, _, answer = b.post(engineapi.PathChat, ask("x", 8), named("r3"))
	is.Equal(status, http.StatusOK)
	is.Equal(strings.Count(answer, "\n\n"), 4)
	is.True(!strings.Contains(answer, engineapi.StreamDone))
	is.NoErr(b.engine.Set("leave", ""))
	status, answered, _ = b.post(engineapi.PathChat, ask("x", 2), named("r4"))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(answered.Get(header.Leaving), "true")
	is.Equal(len(b.journal.Entries("")), 2) // refused requests did not run
	is.True(b.engine.Set("melt", "") != nil)
	is.True(b.engine.Set("fail", "many") != nil)
}
