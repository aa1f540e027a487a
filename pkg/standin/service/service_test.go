package service_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
	"github.com/lilacweir/lilacweir/pkg/standin/service"
)

func TestJournalHoldsOnlyCallsThatRan(t *testing.T) {
	settings := service.Settings{Name: "sleeplog-1", Domain: "hall", Serves: "sleeplog-api", Concurrency: 1}
	for name, test := range map[string]struct {
		verb   string
		status int
		ran    int
	}{
		"healthy": {verb: "ok", status: http.StatusOK, ran: 1},
		"failing": {verb: "fail", status: http.StatusInternalServerError, ran: 1},
		"dying":   {verb: "die", status: 0, ran: 1},
		"refuses": {verb: "refuse", status: http.StatusServiceUnavailable, ran: 0},
		"leaving": {verb: "leave", status: http.StatusServiceUnavailable, ran: 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := journal.New()
			upstream := service.New(settings, clock.System{}, j)
			server := httptest.NewServer(upstream.Handler())
			defer server.Close()
			is.NoErr(upstream.Set(test.verb, "1"))
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/uploads", strings.NewReader("night"))
			is.NoErr(err)
			request.Header.Set(header.IdempotencyKey, "key-1")
			request.Header.Set(header.Caller, "residents-app")
			status := 0
			if response, err := http.DefaultClient.Do(request); err == nil {
				status = response.StatusCode
				is.NoErr(response.Body.Close())
				notStarted := response.Header.Get(header.NotStarted) == "true"
				is.Equal(notStarted, test.ran == 0) // the header is set if and only if the call did not run
			}
			is.Equal(status, test.status)
			entries := j.Entries("sleeplog-1")
			is.Equal(len(entries), test.ran)
			for _, entry := range entries {
				is.Equal(entry.IdempotencyKey, "key-1")
				is.Equal(entry.Caller, "residents-app")
			}
		})
	}
}

func TestHealthCheckIsNotJournaledAndConsumesNoFault(t *testing.T) {
	is := is.New(t)
	j := journal.New()
	upstream := service.New(service.Settings{Name: "sleeplog-1", Concurrency: 1}, clock.System{}, j)
	server := httptest.NewServer(upstream.Handler())
	defer server.Close()
	get := func(path string) *http.Response {
		response, err := http.Get(server.URL + path)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response
	}
	is.NoErr(upstream.Set("refuse", "1"))
	is.Equal(get("/healthz").StatusCode, http.StatusOK)
	is.Equal(len(j.Entries("")), 0)                                   // not in the journal
	is.Equal(get("/calls").StatusCode, http.StatusServiceUnavailable) // consumed no fault
	is.NoErr(upstream.Set("leave", ""))
	is.Equal(get("/healthz").Header.Get(header.Leaving), header.True)
}
