package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/httproute"
)

// unframedRoutes are the routes whose answers may end with their connection, by name.
func unframedRoutes() map[string]httproute.Route {
	whole, stream, resumed := safeRoute, chatRoute, resumableRoute
	whole.Timeout, whole.MaxAttempts = 4*time.Second, 1
	resumed.Timeout, resumed.MaxAttempts = 4*time.Second, 3
	return map[string]httproute.Route{"answers in one piece": whole, "streams": stream, "streams that may be resumed": resumed}
}

// lethalAnswers counts the answers to lethal requests that look complete.
func (s *simulation) lethalAnswers(isLethal func(answer *callerAnswer) bool) (complete int) {
	for i := range s.answers {
		if answer := &s.answers[i]; isLethal(answer) && answer.err == nil && answer.status == http.StatusOK {
			complete++
		}
	}
	return complete
}

// TestCrashThatLooksLikeAGoodEndCounts guards against answers without a length or chunks that a
// crash cuts off behind a whole event: they look complete, and clear what crashed the upstream.
func TestCrashThatLooksLikeAGoodEndCounts(t *testing.T) {
	for name, route := range unframedRoutes() {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 25, route, threeRegions, func(s *simulation) {
				s.unframed = true
				s.lethal = map[string]lethalSegment{lethalID: {share: 1, ending: endsUnframedAfterEvent}}
				newSegmentLoad(s).runLethal(25 * time.Second)
				s.is.Equal(s.lethalAnswers(func(answer *callerAnswer) bool { return holds(answer.prompt, lethalID) }), 0) // cut answers that look complete
			})
		})
	}
}

// TestRequestWhoseCrashLooksLikeAGoodEndIsQuarantined guards against the same with one request that
// comes again and again.
func TestRequestWhoseCrashLooksLikeAGoodEndIsQuarantined(t *testing.T) {
	for name, route := range unframedRoutes() {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 26, route, threeRegions, func(s *simulation) {
				s.unframed = true
				s.lethal = map[string]lethalSegment{lethalID: {share: 1, ending: endsUnframedAfterEvent}}
				n := 0
				s.every(50*time.Millisecond, 20*time.Second, func() {
					n++
					s.ask(fmt.Sprintf("innocent %d", n))
					if n%4 == 0 {
						up := s.up()
						s.askPromptAt(up[s.random.IntN(len(up))], "again", []string{lethalID, "1"})
					}
				})
				s.running.Wait()
				crashes := s.crashesOf(lethalID)
				s.Logf("%d engines crashed", len(crashes))
				s.is.True(len(crashes) >= crashesAllowed)
				s.is.True(len(s.sendsOf(lethalID, crashes[crashesAllowed-1].Add(propagationTime))) <= crashesAllowed)
				s.is.Equal(s.lethalAnswers(func(answer *callerAnswer) bool { return holds(answer.prompt, lethalID) }), 0)
			})
		})
	}
}

// TestUnframedAnswersAreComplete guards against refusing or repeating answers that end with their
// connection because the upstream has written all of them.
func TestUnframedAnswersAreComplete(t *testing.T) {
	for name, route := range unframedRoutes() {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 27, route, threeRegions, func(s *simulation) {
				s.unframed = true
				s.every(25*time.Millisecond, 5*time.Second, func() { s.ask("question") })
				s.running.Wait()
				whole := strings.Count(s.answers[0].reply.body, "data:")
				s.is.Equal(whole, answerEvents)
				incomplete := slices.ContainsFunc(s.answers, func(a callerAnswer) bool {
					return a.err != nil || a.status != http.StatusOK || strings.Count(a.reply.body, "data:") != answerEvents
				})
				s.is.True(!incomplete)
				s.is.Equal(len(s.sent("question", time.Time{})), len(s.answers)) // each was sent once
			})
		})
	}
}

// TestUnframedAnswersOfALeavingUpstreamAreComplete guards against taking the last answers of an
// upstream that leaves, and has closed its listener, for answers that a crash cut off.
func TestUnframedAnswersOfALeavingUpstreamAreComplete(t *testing.T) {
	runSimulation(t, 28, chatRoute, []simRegion{{"north", 2, 2}}, func(s *simulation) {
		s.unframed = true
		leaving := s.engines[0]
		s.every(25*time.Millisecond, time.Second, func() { s.ask("question") })
		s.mu.Lock()
		leaving.draining = true
		s.mu.Unlock()
		_ = leaving.listener.Close()
		s.discover()
		s.running.Wait()
		for _, answer := range s.answers {
			s.is.NoErr(answer.err)
			s.is.Equal(answer.status, http.StatusOK)
		}
	})
}

// TestStreamThatALeavingUpstreamCutsOffIsContinued guards against an incomplete stream that looks
// complete, since it has neither a length nor chunks and its upstream ends while it is leaving; and
// against taking a complete one for broken.
func TestStreamThatALeavingUpstreamCutsOffIsContinued(t *testing.T) {
	rejects := respond(http.StatusServiceUnavailable, "full", testNotRun+": 1")
	for name, c := range map[string]struct {
		// written is the number of events that the leaving upstream writes, events that of the answer.
		written int
		other   script
		events  int
	}{
		"cut off":                         {2, sendRest(4), 4},
		"complete":                        {4, sendRest(4), 4},
		"cut off, and nobody else serves": {2, rejects, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var h *harness
			var upstreams []*upstream
			var first atomic.Bool
			for n := range 2 {
				upstreams = append(upstreams, newUpstream(t, func(conn net.Conn, request *http.Request) bool {
					if first.Swap(true) {
						return c.other(conn, request)
					}
					view := *h.edge.board.Fleet.Load()
					view.Upstreams = slices.Clone(view.Upstreams)
					view.Upstreams[n].Draining = true
					view.Index()
					h.edge.board.Fleet.Store(&view)
					writeResponse(conn, request, http.StatusOK, "Connection: close\r\n", "", "Content-Type: text/event-stream")
					for i := 1; i <= c.written; i++ {
						_, _ = fmt.Fprintf(conn, "id: %d\ndata: piece\n\n", i)
					}
					_ = upstreams[n].listener.Close()
					return false
				}))
			}
			h = newHarness(t, resumableRoute, upstreams...)
			got := h.ask(http.MethodPost, "/r/", "x")
			h.is.Equal(got.err == nil, c.events == 4) // a part of the stream does not look complete
			h.is.Equal(strings.Count(got.body, "id:"), c.events)
			crashed, _ := h.edge.quarantine.Counts()
			h.is.Equal(crashed, 0)
		})
	}
}

// sendRest returns a script that writes the events after the one that the caller has.
func sendRest(last int) script {
	return func(conn net.Conn, request *http.Request) bool {
		after, _ := strconv.Atoi(request.Header.Get(testAfter))
		return sendEvents(after+1, last, true)(conn, request)
	}
}

// TestSilentConnectionIsNoSignOfLife guards against an answer that its upstream's crash cut off and that looks
// complete, since an idle connection to the upstream has failed silently.
func TestSilentConnectionIsNoSignOfLife(t *testing.T) {
	var u *upstream
	both := make(chan struct{}, 2)
	u = newUpstream(t, func(conn net.Conn, request *http.Request) bool {
		if request.RequestURI != "/r/crash" {
			// Two requests at a time leave two idle connections.
			both <- struct{}{}
			for len(both) < cap(both) {
				clock.Sleep(t.Context(), time.Millisecond)
			}
			return respond(http.StatusOK, "whole")(conn, request)
		}
		_ = u.listener.Close()
		writeResponse(conn, request, http.StatusOK, "", "half of an ans")
		return false
	})
	h := newHarness(t, unsafeRoute, u)
	var warm sync.WaitGroup
	for range 2 {
		warm.Go(func() { h.ask(http.MethodPost, "/r/", "x") })
	}
	warm.Wait()
	h.is.True(h.edge.upstreams.Connected("u-0"))
	got := h.ask(http.MethodPost, "/r/crash", "x")
	h.is.Equal(got.status, http.StatusBadGateway)
}

// TestUnframedAnswerOfAnotherInstanceIsNotWhole guards against passing on as whole an answer of another instance that
// ended with its connection: instances mark the end of every body.
func TestUnframedAnswerOfAnotherInstanceIsNotWhole(t *testing.T) {
	unframed := func(conn net.Conn, request *http.Request) bool {
		writeResponse(conn, request, http.StatusOK, "", "a part")
		return false
	}
	headOnly := func(conn net.Conn, request *http.Request) bool {
		writeResponse(conn, request, http.StatusOK, "", "")
		return true
	}
	for name, of := range map[string]struct {
		method string
		script script
		whole  bool
	}{
		"no framing":         {http.MethodPost, unframed, false},
		"no framing, GET":    {http.MethodGet, unframed, false},
		"length":             {http.MethodPost, respond(http.StatusOK, "whole"), true},
		"head of no framing": {http.MethodHead, headOnly, true},
	} {
		t.Run(name, func(t *testing.T) {
			peer := newUpstream(t, of.script)
			h := newHarness(t, safeRoute)
			request, err := http.NewRequest(of.method, "http://a.example/r/", nil)
			h.is.NoErr(err)
			target := exchange.Target{ID: "s-1", Address: peer.listener.Addr().String()}
			c := &call{job: &job{Edge: h.edge, request: request}, pool: h.edge.peers, target: target, peer: true}
			answer, err := c.pool.Do(t.Context(), target, &exchange.Request{
				Method: of.method, URI: "/r/", Host: "a.example", Header: http.Header{}, Matches: func(int, http.Header) bool { return true },
			})
			h.is.NoErr(err)
			defer answer.Close()
			_, err = io.Copy(io.Discard, answer)
			h.is.NoErr(err)
			h.is.Equal(c.checkEnd(t.Context(), answer) == nil, of.whole)
		})
	}
}
