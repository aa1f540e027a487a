package load

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/standin/admin"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

func TestComparisonUsesBothPaths(t *testing.T) {
	is := is.New(t)
	var direct, through atomic.Int64
	counting := func(counter *atomic.Int64, path string) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != path {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			counter.Add(1)
		}))
	}
	gateway, service := counting(&through, "/s/exports/1"), counting(&direct, "/exports/1")
	defer gateway.Close()
	defer service.Close()
	comparison := &Comparison{
		Gateway: strings.TrimPrefix(gateway.URL, "http://"), Direct: strings.TrimPrefix(service.URL, "http://"),
		Path: "/s/exports/1", Seed: 1, Rate: 500, Length: 100 * time.Millisecond,
	}
	result := comparison.Send(context.Background())
	is.Equal(result.Failed, 0)
	is.Equal(result.Gateway.TotalCount(), through.Load())
	is.Equal(result.Direct.TotalCount(), direct.Load())
	is.True(through.Load() > 0 && direct.Load() > 0)
	var text bytes.Buffer
	is.NoErr(result.WriteText(&text))
	is.True(strings.Contains(text.String(), "added"))
}

func TestCostIgnoresRequestsStartedBefore(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	entry := func(offset, held time.Duration, result string) journal.Entry {
		started := began.Add(offset)
		return journal.Entry{Kind: journal.KindChat, Started: started, Finished: started.Add(held), Result: result}
	}
	kept := journal.New()
	kept.Add(entry(-time.Second, time.Second, journal.ResultFinished))
	kept.Add(entry(time.Second, 2*time.Second, journal.ResultFinished))
	kept.Add(entry(time.Second, 3*time.Second, journal.ResultBroken))
	server := httptest.NewServer(admin.New(kept).Handler())
	defer server.Close()
	cost, err := ReadCost(context.Background(), strings.TrimPrefix(server.URL, "http://"), began)
	is.NoErr(err)
	is.Equal(*cost, Cost{Runs: 2, Engine: 5 * time.Second, Wasted: 3 * time.Second})
}
