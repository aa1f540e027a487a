package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// pipeListener is a listener with in-memory connections, for virtual time.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.done); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// sendToPeer forwards one request to a gateway that runs serve, in virtual time.
func sendToPeer(kind config.UpstreamKind, serve func(ctx context.Context, sink *Sink)) (Report, *httptest.ResponseRecorder, time.Duration) {
	return sendTo(Target{Name: "peer", Address: "peer:1", Kind: kind, Peer: true}, serve)
}

// sendTo sends one request to a target that runs serve, in virtual time.
func sendTo(target Target, serve func(ctx context.Context, sink *Sink)) (Report, *httptest.ResponseRecorder, time.Duration) {
	listener := newPipeListener()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engineapi.PathCancel {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
		serve(r.Context(), NewSink(w, time.Now))
	})}
	go func() { _ = server.Serve(listener) }()
	client := NewClient(listener.dial, listener.dial)
	recorder := httptest.NewRecorder()
	start := time.Now()
	report := client.Do(context.Background(), target, testCall(false), NewSink(recorder, time.Now))
	took := time.Since(start)
	synctest.Wait() // a cancel may be in flight
	client.Close()
	_ = server.Close()
	return report, recorder, took
}

func TestUnresponsivePeerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		report, _, took := sendToPeer(config.KindService, func(ctx context.Context, _ *Sink) { <-ctx.Done() })
		is.Equal(report.Failure.Refusal.Outcome, outcome.Unknown)
		is.Equal(took, peerIdleTimeout)
	})
}

func TestKeepAlivesExtendTheWaitForAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		report, recorder, took := sendToPeer(config.KindService, func(_ context.Context, sink *Sink) {
			defer sink.KeepAlive()()
			time.Sleep(time.Minute)
			_ = sink.Answer(http.StatusOK, []byte("late but whole"))
		})
		is.True(report.Failure == nil)
		is.Equal(recorder.Body.String(), "late but whole")
		is.Equal(took, time.Minute)
	})
}

func TestKeepAlivesExtendTheWaitInAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		report, recorder, _ := sendToPeer(config.KindEngine, func(_ context.Context, sink *Sink) {
			defer sink.KeepAlive()()
			sink.Head(func(fields http.Header) { fields.Set(header.ContentType, streamType) })
			sink.Stream = true
			sink.begin(http.StatusOK)
			for i := range 3 {
				_ = sink.write([]byte(chunkOf(testID, i)))
				time.Sleep(20 * time.Second)
			}
			_ = sink.write([]byte(doneEvent))
		})
		is.True(report.Failure == nil)
		is.Equal(len(recorder.Body.String()) > len(wholeStream(testID, 0, 3)), true)
	})
}

func TestStalledStreamTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		report, recorder, took := sendTo(Target{Name: "engine", Address: "engine:1", Kind: config.KindEngine}, func(ctx context.Context, sink *Sink) {
			time.Sleep(20 * time.Second) // queueing and prefill may take long
			sink.Head(func(fields http.Header) { fields.Set(header.ContentType, streamType) })
			sink.begin(http.StatusOK)
			_ = sink.write([]byte(chunkOf(testID, 0)))
			<-ctx.Done()
		})
		is.True(report.TimedOut)
		is.Equal(recorder.Body.String(), chunkOf(testID, 0))
		is.Equal(took, 20*time.Second+streamIdleTimeout)
	})
}
