package api

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// FuzzRequest checks that any headers and body from a caller or another gateway are
// either dispatched with bounded values, or refused in the form of refusals without
// being dispatched.
func FuzzRequest(f *testing.F) {
	f.Add(true, "Bearer secret", "a-1", "1500", "high", "lw1.a.b.0.0.ffffffffffffffff", "there", "domain", "app", "5", "3", goodChat)
	f.Add(false, "bearer  secret", "a~1", "-1", "", "k", "here", "entry", "nobody", "18446744073709551616", "-1", "{")
	f.Add(true, "Bearer", "\x00", "99999999999999999999", "HIGH", "", "", "", "", "", "", `{"model":"nurse","messages":null,"max_tokens":-1}`)
	f.Fuzz(func(t *testing.T, peers bool, key, id, deadline, priority, idempotency, origin, class, caller, revision, offset, body string) {
		server, fake := newTestServer()
		handler := server.Callers().Handler
		if peers {
			handler = server.Peers().Handler
		}
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		for name, value := range map[string]string{
			header.Authorization: key, header.RequestID: id, header.Deadline: deadline, header.Priority: priority,
			header.IdempotencyKey: idempotency, header.Origin: origin, header.Class: class, header.Caller: caller,
			header.Revision: revision, header.ResumeOffset: offset,
		} {
			request.Header.Set(name, value)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if fake.got == nil {
			checkRefused(t, recorder)
			return
		}
		got := fake.got
		known := got.Caller != nil && got.Caller.Name == "app"
		if !known || got.ID == "" || got.Offset < 0 || time.Until(got.Deadline) > maxDeadline || recorder.Code != http.StatusOK {
			t.Fatalf("status %d, passed on as %+v", recorder.Code, got)
		}
		if peers && (got.Origin != "there" && got.Origin != origin || got.Origin == "here") {
			t.Fatalf("origin %q", got.Origin)
		}
	})
}

// checkRefused checks that the response is one refusal with the outcome not run.
func checkRefused(t *testing.T, recorder *httptest.ResponseRecorder) {
	t.Helper()
	var body struct {
		Error struct {
			Type    outcome.Reason  `json:"type"`
			Outcome outcome.Outcome `json:"outcome"`
		} `json:"error"`
	}
	err := json.Unmarshal(recorder.Body.Bytes(), &body)
	if err != nil || body.Error.Type == "" || recorder.Code < http.StatusBadRequest {
		t.Fatalf("status %d, body %q: %v", recorder.Code, recorder.Body, err)
	}
	if body.Error.Outcome != outcome.NotRun || recorder.Header().Get(header.Outcome) != string(outcome.NotRun) {
		t.Fatalf("outcome %q", recorder.Body)
	}
}
