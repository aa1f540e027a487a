package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

// site is a server behind a port. Its handler reads bodies at /read, and answers elsewhere before it has read one; at
// /hold its answer waits for release.
type site struct {
	*is.I
	guard   *Guard
	address string
	release chan struct{}
	// ended and refused count connections that were closed, and requests that were refused.
	ended, refused func(reason string) int64
}

func newSite(t *testing.T, connections int, limits Limits) *site {
	t.Helper()
	registry := metrics.NewRegistry()
	series := telemetry.NewSeries(registry, 50)
	s := &site{I: is.New(t), release: make(chan struct{})}
	s.guard = New(Options{Memory: mb, MaxMemory: 2 * mb, Limits: func() Limits { return limits }, Now: time.Now, Log: zerolog.Nop(), Series: series})
	port := s.guard.Port("test", connections)
	counter := func(name string) func(reason string) int64 {
		return func(reason string) int64 {
			return series.Counter(name, port.label(), reasonLabel(cause(reason))).Count()
		}
	}
	s.ended, s.refused = counter("clients.closed"), counter("clients.refused")
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	port.Apply(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.NoErr(err)
	s.address = listener.Addr().String()
	go func() { _ = server.Serve(port.Over(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/hold":
		<-s.release
	case "/read":
		body, err := s.guard.ReadBody(w, r, mb/2, time.Now().Add(5*time.Second))
		if err != nil {
			EndEarly(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer body.Release()
		_, _ = fmt.Fprint(w, len(body.Bytes))
	default:
		EndEarly(w, r)
		w.WriteHeader(http.StatusTooManyRequests)
	}
}

func (s *site) dial() net.Conn {
	conn, err := net.Dial("tcp", s.address)
	s.NoErr(err)
	s.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	return conn
}

func (s *site) send(conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	s.NoErr(err)
}

func (s *site) answer(conn net.Conn) *http.Response {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	s.NoErr(err)
	return response
}

// isClosed reports whether the server closes a connection without an answer.
func isClosed(conn net.Conn) bool {
	n, err := conn.Read(make([]byte, 1))
	return n == 0 && err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// TestNewConnectionsTakeThePlaceOfIdleOnes guards against a port that takes no new client since others stay, and
// against one that closes the connection of a request that runs.
func TestNewConnectionsTakeThePlaceOfIdleOnes(t *testing.T) {
	s := newSite(t, 2, Limits{})
	busy, idle := s.dial(), s.dial()
	s.send(busy, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
	s.send(idle, "GET /read HTTP/1.1\r\nHost: a\r\n\r\n")
	s.Equal(s.answer(idle).StatusCode, http.StatusOK)
	s.await(t, serving, 1)
	s.await(t, waiting, 1)
	next := s.dial()
	s.send(next, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
	s.True(isClosed(idle))
	s.Equal(s.ended("made-room"), int64(1))
	// Both that are left run, so that there is no place.
	s.await(t, serving, 2)
	s.True(isClosed(s.dial()))
	s.Equal(s.ended("connections"), int64(1))
	close(s.release)
	s.Equal(s.answer(busy).StatusCode, http.StatusOK)
	s.Equal(s.answer(next).StatusCode, http.StatusOK)
}

// await waits until a number of connections are in a phase.
func (s *site) await(t *testing.T, in phase, count int) {
	t.Helper()
	for s.guard.ports[0].count(in) < count {
		if !clock.Sleep(t.Context(), time.Millisecond) {
			t.Fatal("the test was ended")
		}
	}
}

// count returns the number of connections in a phase.
func (p *Port) count(in phase) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := 0
	for c := range p.conns {
		if c.phase == in {
			found++
		}
	}
	return found
}

// TestDeclaredTimesAreEnforced guards against limits that are declared and have no effect.
func TestDeclaredTimesAreEnforced(t *testing.T) {
	for name, sent := range map[string]string{"idle": "", "slow-head": "GET / HTTP/1.1\r\n"} {
		t.Run(name, func(t *testing.T) {
			limits := Limits{Head: time.Hour, Idle: time.Hour}
			if sent == "" {
				limits.Idle = time.Millisecond
			} else {
				limits.Head = time.Millisecond
			}
			s := newSite(t, 10, limits)
			conn := s.dial()
			s.send(conn, sent)
			for s.ended(name) == 0 {
				clock.Sleep(t.Context(), 5*time.Millisecond)
				s.guard.Sweep()
			}
			s.True(isClosed(conn))
		})
	}
}

// TestEarlyAnswersDoNotWaitForTheBody guards against an answer that comes only once the rest of a body has arrived,
// and against the rest being taken for a request.
func TestEarlyAnswersDoNotWaitForTheBody(t *testing.T) {
	for name, framing := range map[string]string{
		"length": "Content-Length: 1000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n3e8\r\n", "long": "Content-Length: 1000000\r\n\r\n",
		"expecting": "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 10, Limits{})
			conn := s.dial()
			s.send(conn, "POST /early HTTP/1.1\r\nHost: a\r\n"+framing)
			response := s.answer(conn)
			s.Equal(response.StatusCode, http.StatusTooManyRequests)
			s.True(response.Close)
			// What the client still sends neither resets the connection nor is taken for a request.
			s.send(conn, "GET /read HTTP/1.1\r\nHost: a\r\n\r\n")
			rest, err := io.ReadAll(conn)
			s.NoErr(err)
			s.Equal(len(rest), 0)
		})
	}
}

// TestConnectionsWithShortBodiesAreKept guards against a connection that is closed for each refusal.
func TestConnectionsWithShortBodiesAreKept(t *testing.T) {
	s := newSite(t, 10, Limits{})
	conn := s.dial()
	for range 2 {
		s.send(conn, "POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello")
		response := s.answer(conn)
		s.Equal(response.StatusCode, http.StatusTooManyRequests)
		s.True(!response.Close)
	}
}

// TestBodiesAreReadWithinTheMemory guards against bodies that are cut, joined or never given back.
func TestBodiesAreReadWithinTheMemory(t *testing.T) {
	s := newSite(t, 10, Limits{})
	conn := s.dial()
	for _, length := range []int{0, 1, firstPiece, firstPiece + 1, 3*firstPiece - 1, mb / 2} {
		s.send(conn, fmt.Sprintf("POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length)))
		text, err := io.ReadAll(s.answer(conn).Body)
		s.NoErr(err)
		s.Equal(string(text), fmt.Sprint(length))
		s.send(conn, fmt.Sprintf("POST /read HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", max(1, length), strings.Repeat("x", max(1, length))))
		s.send(conn, "0\r\n\r\n")
		text, err = io.ReadAll(s.answer(conn).Body)
		s.NoErr(err)
		s.Equal(string(text), fmt.Sprint(max(1, length)))
	}
	s.send(conn, fmt.Sprintf("POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", mb/2+1))
	s.Equal(s.answer(conn).StatusCode, http.StatusServiceUnavailable)
	s.Equal(s.refused("too-large"), int64(1))
	for used, _ := s.guard.memory.Used(); used != 0; used, _ = s.guard.memory.Used() {
		clock.Sleep(t.Context(), time.Millisecond)
	}
}
