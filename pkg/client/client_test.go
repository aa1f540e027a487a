package client

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

func TestChatOutcome(t *testing.T) {
	const first = `data: {"choices":[{"delta":{"content":"a "}}]}` + "\n\n"
	cases := []struct {
		name, stream string
		want         outcome.Outcome
		text         string
	}{
		{"whole", first + "data: [DONE]\n\n", outcome.Complete, "a "},
		{"cut", first, outcome.Unknown, "a "},
		{"marked", first + "event: error\ndata: {\"error\":{\"type\":\"upstream-failed\"}}\n\n", outcome.Unknown, "a "},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(header.Outcome, "complete")
				_, _ = w.Write([]byte(test.stream))
			}))
			defer server.Close()
			answer := New("k", nil).Chat(context.Background(), strings.TrimPrefix(server.URL, "http://"), ChatRequest{}, Options{}, nil)
			is.Equal(answer.Outcome, test.want)
			is.Equal(string(answer.Body), test.text)
			is.Equal(answer.Err == nil, test.want == outcome.Complete)
		})
	}
}

func TestCallOutcome(t *testing.T) {
	cases := []struct {
		name, header, body string
		status             int
		want               outcome.Outcome
	}{
		{"complete", "complete", "{}", 200, outcome.Complete},
		{"service's own error is an answer", "complete", "{}", 404, outcome.Complete},
		{"refused", "not-run", `{"error":{"type":"overloaded","outcome":"not-run","retry_after_ms":5}}`, 503, outcome.NotRun},
		{"unmarked failure", "", "x", 502, outcome.Unknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.header != "" {
					w.Header().Set(header.Outcome, test.header)
				}
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			answer := New("k", nil).Call(context.Background(), strings.TrimPrefix(server.URL, "http://"), "GET", "/", nil, Options{})
			is.Equal(answer.Outcome, test.want)
		})
	}
}

func TestUnansweredOutcome(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}()
	client := New("k", nil)
	sent := client.Call(context.Background(), address, "POST", "/", []byte("{}"), Options{})
	is.Equal(sent.Outcome, outcome.Unknown) // the request was sent
	<-accepted
	is.NoErr(listener.Close())
	refused := client.Call(context.Background(), address, "POST", "/", []byte("{}"), Options{})
	is.Equal(refused.Outcome, outcome.NotRun) // no connection was made
}
