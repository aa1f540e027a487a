package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestChunkRateMeasuresBothPaths(t *testing.T) {
	is := is.New(t)
	const chunk = `data: {"choices":[{"delta":{"content":"x"}}]}` + "\n\n"
	serve := func(end string) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(strings.Repeat(chunk, 3) + end))
		}))
	}
	whole, cut := serve("data: [DONE]\n\n"), serve("")
	defer whole.Close()
	defer cut.Close()
	rate := &ChunkRate{
		Gateway: strings.TrimPrefix(cut.URL, "http://"), Direct: strings.TrimPrefix(whole.URL, "http://"),
		Model: "m", Streams: 4, Tokens: 3, Slices: 2, Processes: []int{os.Getpid()},
	}
	result, err := rate.Send(context.Background())
	is.NoErr(err)
	is.Equal(result.Direct.Chunks, 24)
	is.Equal(result.Direct.Failed, 0)
	is.Equal(result.Gateway.Failed, 8) // a stream without its final event is not complete
	_, err = ProcessCPU(-1)
	is.True(err != nil)
}
