package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/header"
)

// discard is a caller that discards the answer.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

// stepReader returns one chunk for each read, and finally the end marker.
type stepReader struct {
	chunk []byte
	left  int
}

func (r *stepReader) Read(p []byte) (int, error) {
	if r.left < 0 {
		return 0, io.EOF
	}
	r.left--
	if r.left < 0 {
		return copy(p, doneEvent), nil
	}
	return copy(p, r.chunk), nil
}

func (*stepReader) Close() error { return nil }

// streamed relays a stream of that many chunks.
func streamed(chunks int) *Failure {
	client := &Client{idle: time.Hour}
	a := &attempt{
		client: client,
		target: Target{Kind: config.KindEngine},
		call:   &Call{RequestID: testID},
		sink:   NewSink(&discard{header: http.Header{}}, time.Now),
		ctx:    context.Background(),
		timer:  time.NewTimer(time.Hour),
	}
	response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: &stepReader{chunk: []byte(chunkOf(testID, 1)), left: chunks}}
	buffer := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buffer)
	return a.stream(response, buffer[:])
}

func TestChunksAllocateNothing(t *testing.T) {
	is := is.New(t)
	is.True(streamed(3) == nil)
	few := testing.AllocsPerRun(100, func() { streamed(10) })
	many := testing.AllocsPerRun(100, func() { streamed(2010) })
	is.True(many-few < 20) // less than one allocation per hundred chunks
}

func BenchmarkChunk(b *testing.B) {
	b.ReportAllocs()
	if failure := streamed(b.N); failure != nil {
		b.Fatal(failure.Refusal)
	}
}

// Load of BenchmarkRelayedToDirect: chunks arrive one by one, as from an engine.
const (
	benchStreams = 64
	benchPace    = 2 * time.Millisecond
)

// BenchmarkRelayedToDirect compares the CPU time of caller, engine and gateway
// together for a relayed chunk with that for a direct one.
func BenchmarkRelayedToDirect(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(pacedEngine))
	defer engine.Close()
	client := NewClient(plainDial, plainDial)
	defer client.Close()
	target := Target{Name: "engine", Address: engine.Listener.Addr().String(), Kind: config.KindEngine}
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := &Call{RequestID: r.Header.Get(header.RequestID), Method: r.Method, URI: r.RequestURI, Header: http.Header{}}
		client.Do(r.Context(), target, call, NewSink(w, time.Now))
	}))
	defer gateway.Close()
	per := b.N/benchStreams + 1
	direct, relayed := time.Duration(0), time.Duration(0)
	const slices = 2
	for range slices {
		direct += streamAll(b, engine.URL, per)
		relayed += streamAll(b, gateway.URL, per)
	}
	chunks := float64(slices * per * benchStreams)
	b.ReportMetric(chunks/direct.Seconds(), "direct-chunks/core-s")
	b.ReportMetric(chunks/relayed.Seconds(), "relayed-chunks/core-s")
	b.ReportMetric(direct.Seconds()/relayed.Seconds(), "ratio")
}

func pacedEngine(w http.ResponseWriter, r *http.Request) {
	count := 0
	_, _ = fmt.Sscan(r.URL.Query().Get("chunks"), &count)
	id := r.Header.Get(header.RequestID)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(header.RequestID, id)
	ticker := time.NewTicker(benchPace)
	defer ticker.Stop()
	chunk := []byte(chunkOf(id, 1))
	for range count {
		<-ticker.C
		_, _ = w.Write(chunk)
		w.(http.Flusher).Flush()
	}
	_, _ = io.WriteString(w, doneEvent)
}

// streamAll reads streams from a server and returns the CPU time used.
func streamAll(b *testing.B, url string, chunks int) time.Duration {
	before := cpuTime(b)
	var running sync.WaitGroup
	for i := range benchStreams {
		running.Go(func() {
			request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/?chunks=%d", url, chunks), nil)
			if err != nil {
				b.Error(err)
				return
			}
			request.Header.Set(header.RequestID, fmt.Sprint("bench-", i))
			response, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				b.Error(err)
				return
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil || !strings.HasSuffix(string(body), doneEvent) {
				b.Error("stream is incomplete")
			}
		})
	}
	running.Wait()
	return cpuTime(b) - before
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
