package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/header"
)

func testMix() *Mix {
	return &Mix{
		Callers: []Caller{{Name: "clinic", Key: "k", Domain: "larisa-hall", Region: "thessalia"}},
		Items: []Item{
			{Name: "review", Weight: 1, Callers: []string{"clinic"}, Chat: &Chat{Model: "m", Histories: 2, HistoryBytes: 400, QuestionBytes: 30, MaxTokens: 2}},
			{Name: "upload", Weight: 1, Callers: []string{"clinic"}, Call: &Call{Method: "POST", Path: "/s/nights", BodyBytes: 50, Key: true}},
		},
	}
}

// gateway answers chats with two chunks from another domain and rejects uploads.
func gateway(address *string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/instances":
			list := client.Instances{Instances: []client.Instance{{Domain: "larisa-hall", Address: *address}}, ValidMS: 60_000, KeyPrefix: "lw1.a"}
			_ = json.NewEncoder(w).Encode(list)
		case client.ChatPath:
			w.Header().Set(header.Domain, "peristeri-hall")
			const chunk = `data: {"choices":[{"delta":{"content":"x"}}]}` + "\n\n"
			_, _ = w.Write([]byte(chunk + chunk + "data: [DONE]\n\n"))
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"error":{"type":"overloaded","outcome":"not-run"}}`))
		}
	})
}

func TestRunCountsEveryRequest(t *testing.T) {
	is := is.New(t)
	var address string
	server := httptest.NewServer(gateway(&address))
	defer server.Close()
	address = strings.TrimPrefix(server.URL, "http://")
	run := &Run{
		Mix: testMix(), Seeds: map[string][]string{"larisa-hall": {address}},
		Regions: map[string]string{"larisa-hall": "thessalia", "peristeri-hall": "attiki"},
		Seed:    7, Rate: 400, Length: 200 * time.Millisecond, Timeout: 10 * time.Second,
	}
	report, err := run.Send(context.Background())
	is.NoErr(err)
	total := report.Total()
	is.Equal(total.Sent, len(Arrivals(7, 400, 200*time.Millisecond)))
	is.Equal(total.Sent, total.Complete+total.NotRun+total.Unknown)
	is.Equal(report.Items[0].Complete, report.Items[0].Sent)
	is.Equal(report.Items[1].NotRun, report.Items[1].Sent)
	is.Equal(total.Remote, report.Items[0].Sent) // every chat was answered in another region
	is.Equal(report.Items[0].FirstToken.TotalCount(), int64(report.Items[0].Sent))
	is.Equal(report.Items[0].BetweenTokens.TotalCount(), int64(report.Items[0].Sent))
	var text bytes.Buffer
	is.NoErr(report.WriteText(&text))
	is.True(strings.Contains(text.String(), "not-run: overloaded"))
}

func TestSameSeedGivesTheSameLoad(t *testing.T) {
	is := is.New(t)
	is.Equal(Arrivals(3, 100, time.Second), Arrivals(3, 100, time.Second))
	first, second := newRand(3), newRand(3)
	mix := testMix()
	for range 20 {
		is.Equal(mix.draw(first), mix.draw(second))
	}
	is.True(len(Arrivals(4, 1000, 10*time.Second)) > 9000) // close to the requested rate
}

func TestSendRejectsAMixWithAnUnknownCaller(t *testing.T) {
	is := is.New(t)
	mix := testMix()
	mix.Items[1].Callers = []string{"nobody"}
	_, err := (&Run{Mix: mix}).Send(context.Background())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "nobody"))
}
