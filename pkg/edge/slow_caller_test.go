package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/httproute"
)

// longAnswer is an upstream's answer of many parts, written as fast as it is read. Requests at other
// paths than slowPath get a short answer.
type longAnswer struct {
	head, part string
	written    atomic.Int64
	mu         sync.Mutex
	conns      []*net.TCPConn
}

const slowPath = "/r/slow"

func (a *longAnswer) serve(conn net.Conn, request *http.Request) bool {
	if request.RequestURI != slowPath {
		return sendEvents(1, 1, true)(conn, request)
	}
	a.mu.Lock()
	a.conns = append(a.conns, conn.(*net.TCPConn))
	a.mu.Unlock()
	_, err := io.WriteString(conn, strings.ReplaceAll(answerHead, "%s", request.Header.Get(testID))+a.head)
	for err == nil {
		_, err = io.WriteString(conn, a.part)
		a.written.Add(int64(len(a.part)))
	}
	return false
}

// cutOff ends the answers, every second one with a reset.
func (a *longAnswer) cutOff() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for n, conn := range a.conns {
		if n%2 == 0 {
			_ = conn.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// newLongAnswers returns answers of each framing that is read without a limit on its length.
func newLongAnswers() map[string]*longAnswer {
	events := strings.Repeat("id: 1\ndata: piece of a text\n\n", 200)
	chunked := fmt.Sprintf("%x\r\n%s\r\n", len(events), events)
	return map[string]*longAnswer{
		"stream":               {head: "Transfer-Encoding: chunked\r\n\r\n", part: chunked},
		"chunks":               {head: "Transfer-Encoding: chunked\r\n\r\n", part: chunked},
		"known length":         {head: "Content-Length: 1000000000\r\n\r\n", part: events},
		"known length, stream": {head: "Content-Length: 1000000000\r\n\r\n", part: events},
	}
}

// askSlowly sends a request whose answer the caller does not read yet.
func (h *harness) askSlowly(id int, deadline time.Duration) net.Conn {
	h.Helper()
	conn, err := net.Dial("tcp", h.caller.Listener.Addr().String())
	h.is.NoErr(err)
	h.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: slow-%d\r\n%s: %d\r\n\r\n", slowPath, testID, id, testDeadline, deadline.Milliseconds())
	h.is.NoErr(err)
	return conn
}

// awaitStalled waits until nothing of the answers is taken any more.
func (h *harness) awaitStalled(answers *longAnswer) {
	h.Helper()
	last, since := int64(-1), time.Now()
	h.eventually("nothing more is read", func() bool {
		if now := answers.written.Load(); now != last {
			last, since = now, time.Now()
		}
		return last > 0 && time.Since(since) > 300*time.Millisecond
	})
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// TestSlowCallersTakeLittleMemory guards against an instance that holds what its callers do not read,
// against other callers that wait for them, and against answers that look complete although their
// upstream cut them off before they were read.
func TestSlowCallersTakeLittleMemory(t *testing.T) {
	const callers, mostEach = 8, 256 << 10
	for name, answers := range newLongAnswers() {
		t.Run(name, func(t *testing.T) {
			route := safeRoute
			if strings.Contains(name, "stream") {
				route = streamRoute
			}
			h := newHarness(t, route, newUpstream(t, answers.serve))
			h.is.NoErr(h.ask(http.MethodGet, "/r/", "").err)
			before := heapInUse()
			var conns []net.Conn
			for id := range callers {
				conns = append(conns, h.askSlowly(id, 9*time.Second))
			}
			h.awaitStalled(answers)
			each := (heapInUse() - before) / callers
			t.Logf("%d bytes for each caller, %d written for each", each, answers.written.Load()/callers)
			h.is.True(each < mostEach)
			asked := time.Now()
			h.is.Equal(h.ask(http.MethodGet, "/r/", "").status, http.StatusOK)
			h.is.True(time.Since(asked) < time.Second)
			answers.cutOff()
			for _, conn := range conns {
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				h.is.NoErr(err)
				_, err = io.Copy(io.Discard, answer.Body)
				h.is.True(err != nil) // it does not look complete
			}
		})
	}
}

// TestSlowCallersAreNoEvidenceAgainstUpstreams guards against an upstream that is ejected or taken for
// unresponsive since callers do not read its answers.
func TestSlowCallersAreNoEvidenceAgainstUpstreams(t *testing.T) {
	for name, engine := range map[string]*httproute.Engine{"engine": {Slots: 4}, "plain": nil} {
		t.Run(name, func(t *testing.T) {
			answers := newLongAnswers()["stream"]
			h := newHarness(t, streamRoute, newUpstream(t, answers.serve), newUpstream(t, answers.serve))
			h.engine = engine
			h.declare(2, streamRoute)
			h.edge.setPools(h.edge.board.Fleet.Load(), map[string]bool{})
			go h.edge.watchStreams(t.Context())
			go h.edge.gossip.Run(t.Context())
			for id := range 12 {
				h.askSlowly(id, 2*time.Second)
			}
			h.awaitStalled(answers)
			h.eventually("the instance gives them up", func() bool { return h.edge.active.Load() == 0 })
			h.is.True(!h.lines.Has("upstream-dark"))
			h.is.True(!h.lines.Has("upstream-ejected"))
		})
	}
}

// TestUnreadAnswersOfAnEndedUpstreamAreCutOff guards against an answer that looks complete, as it has neither
// a length nor chunks and its upstream crashed, and perhaps started again, before its caller read it.
func TestUnreadAnswersOfAnEndedUpstreamAreCutOff(t *testing.T) {
	restart := func(h *harness, address string) {
		listener, err := net.Listen("tcp", address)
		h.is.NoErr(err)
		again := &upstream{listener: listener, script: startedAt(2000)}
		h.Cleanup(func() { _ = listener.Close() })
		go again.accept()
	}
	for name, happens := range map[string]func(h *harness, address string){
		"crash":   func(*harness, string) {},
		"restart": restart,
		"restart that is known": func(h *harness, address string) {
			restart(h, address)
			view := *h.edge.board.Fleet.Load()
			view.Upstreams = slices.Clone(view.Upstreams)
			view.Upstreams[0].ID, view.Upstreams[0].StartedAt = "u-0@2000", 2000
			view.Index()
			h.edge.board.Fleet.Store(&view)
		},
	} {
		for kind, route := range map[string]httproute.Route{"stream": streamRoute, "safe": safeRoute} {
			t.Run(name+", "+kind, func(t *testing.T) {
				answers := &longAnswer{head: "\r\n", part: strings.Repeat("id: 1\ndata: piece of a text\n\n", 200)}
				u := newUpstream(t, answers.serve)
				h := newHarness(t, route, u)
				h.edge.board.Fleet.Load().Upstreams[0].StartedAt = 1000
				conn := h.askSlowly(1, 9*time.Second)
				h.awaitStalled(answers)
				h.is.NoErr(u.listener.Close())
				h.is.NoErr(answers.conns[0].Close())
				happens(h, u.listener.Addr().String())
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				h.is.NoErr(err)
				n, err := io.Copy(io.Discard, answer.Body)
				h.is.True(err != nil)
				h.is.True(n > 0)
			})
		}
	}
}
