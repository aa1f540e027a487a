package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

var (
	safeRoute      = httproute.Route{Kind: httproute.Safe, MaxAttempts: 2}
	unsafeRoute    = httproute.Route{Kind: httproute.Unsafe, MaxAttempts: 1}
	streamRoute    = httproute.Route{Kind: httproute.Streaming, MaxAttempts: 1}
	resumableRoute = httproute.Route{Kind: httproute.Streaming, MaxAttempts: 2, Resumable: true}
)

// upstreamPair returns two upstreams with the same script, so that the order of choice does not
// matter, and a function that counts the requests to them.
func upstreamPair(t *testing.T, script script) (u []*upstream, arrivals func() int) {
	u = []*upstream{newUpstream(t, script), newUpstream(t, script)}
	return u, func() int { return int(u[0].arrivals.Load() + u[1].arrivals.Load()) }
}

// firstThen answers the first request to any upstream by one script, and all later ones by
// another.
func firstThen(first, then script) script {
	taken := make(chan struct{}, 1)
	return func(conn net.Conn, request *http.Request) bool {
		select {
		case taken <- struct{}{}:
			return first(conn, request)
		default:
			return then(conn, request)
		}
	}
}

func TestRequestsAreForwardedUnchanged(t *testing.T) {
	u := newUpstream(t, respond(http.StatusTeapot, "short and stout", "X-Extra: kept"))
	h := newHarness(t, unsafeRoute, u)
	got := h.ask(http.MethodPut, "/r/a%2Fb?q=1&q=2", "body")
	h.is.Equal(got.status, http.StatusTeapot)
	h.is.Equal(got.body, "short and stout")
	h.is.Equal(got.header.Get("X-Extra"), "kept")
	h.is.Equal(u.request(0).Method, http.MethodPut)
	h.is.Equal(u.request(0).RequestURI, "/r/a%2Fb?q=1&q=2")
	h.is.Equal(u.request(0).ContentLength, int64(4))
	h.is.Equal(u.request(0).Header.Get(testUpstream), "u-0")
}

func TestARequestThatMayHaveRunIsSentOnceUnlessRepeatable(t *testing.T) {
	for name, c := range map[string]struct {
		route    httproute.Route
		arrivals int
		status   int
	}{
		"unsafe":    {unsafeRoute, 1, http.StatusBadGateway},
		"streaming": {streamRoute, 1, http.StatusBadGateway},
		"safe":      {safeRoute, 2, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			u, arrivals := upstreamPair(t, firstThen(resetConnection, respond(http.StatusOK, "second")))
			h := newHarness(t, c.route, u...)
			got := h.ask(http.MethodPost, "/r/", "body")
			h.is.Equal(got.status, c.status)
			h.is.Equal(arrivals(), c.arrivals)
			if c.status != http.StatusOK {
				h.is.Equal(got.header.Get(header.Outcome), string(outcome.Unknown))
			}
		})
	}
}

func TestRejectedRequestIsRetriedOnAnotherUpstreamForAllRouteKinds(t *testing.T) {
	reject := respond(http.StatusServiceUnavailable, "full", testNotRun+": 1")
	u, arrivals := upstreamPair(t, firstThen(reject, respond(http.StatusOK, "done")))
	h := newHarness(t, unsafeRoute, u...)
	got := h.ask(http.MethodPost, "/r/", "body")
	h.is.Equal(got.status, http.StatusOK)
	h.is.Equal(arrivals(), 2)
}

func TestRejectionByAllUpstreamsIsReportedAsNotRunWithRetryAfter(t *testing.T) {
	u, _ := upstreamPair(t, respond(http.StatusServiceUnavailable, "full", testNotRun+": 1"))
	h := newHarness(t, unsafeRoute, u...)
	got := h.ask(http.MethodPost, "/r/", "body")
	h.is.Equal(got.status, http.StatusServiceUnavailable)
	h.is.Equal(got.header.Get(header.Outcome), string(outcome.NotRun))
	h.is.True(got.header.Get("Retry-After") != "0")
}

// TestRejectionAfterARunIsNotReportedAsNotRun covers a request with a first attempt that may have
// run.
func TestRejectionAfterARunIsNotReportedAsNotRun(t *testing.T) {
	u, _ := upstreamPair(t, firstThen(resetConnection, respond(http.StatusServiceUnavailable, "full", testNotRun+": 1")))
	h := newHarness(t, safeRoute, u...)
	got := h.ask(http.MethodGet, "/r/", "")
	h.is.Equal(got.status, http.StatusBadGateway)
	h.is.Equal(got.header.Get(header.Outcome), string(outcome.Unknown))
}

func TestUpstreamErrorIsPassedOnWhenNoAttemptSucceeds(t *testing.T) {
	u, arrivals := upstreamPair(t, respond(http.StatusInternalServerError, "broken"))
	h := newHarness(t, safeRoute, u...)
	got := h.ask(http.MethodGet, "/r/", "")
	h.is.Equal(got.status, http.StatusInternalServerError)
	h.is.Equal(got.body, "broken")
	h.is.Equal(got.header.Get(testProof), "yes")
	h.is.Equal(arrivals(), 2)
}

// TestUpstreamErrorIsRetriedOnTheOnlyUpstream guards against refusing a request because its only
// upstream was tried: the retry may well succeed.
func TestUpstreamErrorIsRetriedOnTheOnlyUpstream(t *testing.T) {
	u := newUpstream(t, firstThen(respond(http.StatusInternalServerError, "broken"), respond(http.StatusOK, "done")))
	h := newHarness(t, safeRoute, u)
	h.is.Equal(h.ask(http.MethodGet, "/r/", "").body, "done")
}

// TestForwardedRequestUsesNoMoreThanTheGrantedAttempts guards against counting attempts per
// instance instead of over all instances on the path of a request.
func TestForwardedRequestUsesNoMoreThanTheGrantedAttempts(t *testing.T) {
	for _, granted := range []int{1, 2} {
		t.Run(fmt.Sprint(granted), func(t *testing.T) {
			u, arrivals := upstreamPair(t, respond(http.StatusInternalServerError, "broken"))
			h := newHarness(t, safeRoute, u...)
			got := h.askAt(h.peers.URL, http.MethodGet, "/r/", "", header.Attempts, fmt.Sprint(granted))
			h.is.Equal(got.status, http.StatusInternalServerError)
			h.is.Equal(arrivals(), granted)
		})
	}
}

func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	late := func(conn net.Conn, request *http.Request) bool {
		other := request.Clone(t.Context())
		other.Header.Set(testID, "another")
		writeResponse(conn, other, http.StatusOK, "Content-Length: 5\r\n", "wrong")
		writeResponse(conn, request, http.StatusOK, "Content-Length: 5\r\n", "right")
		return true
	}
	u := newUpstream(t, late)
	h := newHarness(t, unsafeRoute, u)
	h.is.Equal(h.ask(http.MethodPost, "/r/", "x").body, "right")
}

// TestConnectionWithExtraBytesIsNotReused guards against taking bytes after an answer for the
// next request's answer.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	twice := func(conn net.Conn, request *http.Request) bool {
		writeResponse(conn, request, http.StatusOK, "Content-Length: 2\r\n", "ok")
		writeResponse(conn, request, http.StatusOK, "Content-Length: 5\r\n", "extra")
		return true
	}
	u := newUpstream(t, twice)
	h := newHarness(t, unsafeRoute, u)
	for range 20 {
		h.is.Equal(h.ask(http.MethodPost, "/r/", "x").body, "ok")
	}
}

func TestIncompleteAnswersAreNotPassedOn(t *testing.T) {
	for name, bad := range map[string]script{
		"cut short": func(conn net.Conn, request *http.Request) bool {
			writeResponse(conn, request, http.StatusOK, "Content-Length: 100\r\n", "part")
			return false
		},
		"no HTTP": func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "garbage\r\n\r\n")
			return false
		},
		"reset without a length": func(conn net.Conn, request *http.Request) bool {
			writeResponse(conn, request, http.StatusOK, "Connection: close\r\n", "part")
			return resetConnection(conn, request)
		},
		"unproven": func(conn net.Conn, request *http.Request) bool {
			head := "HTTP/1.1 200 OK\r\n" + testID + ": " + request.Header.Get(testID) + "\r\nContent-Length: 2\r\n\r\nok"
			_, _ = io.WriteString(conn, head)
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, unsafeRoute, newUpstream(t, bad))
			got := h.ask(http.MethodPost, "/r/", "x")
			h.is.Equal(got.status, http.StatusBadGateway)
			h.is.Equal(got.header.Get(testProof), "")
		})
	}
}

func TestAnAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	h := newHarness(t, unsafeRoute, newUpstream(t, func(conn net.Conn, request *http.Request) bool {
		writeResponse(conn, request, http.StatusOK, "Connection: close\r\n", "to the end")
		return false
	}))
	h.is.Equal(h.ask(http.MethodPost, "/r/", "x").body, "to the end")
}

func sendEvents(from, to int, whole bool) script {
	return func(conn net.Conn, request *http.Request) bool {
		writeResponse(conn, request, http.StatusOK, "Transfer-Encoding: chunked\r\n", "", "Content-Type: text/event-stream")
		for i := from; i <= to; i++ {
			sendChunk(conn, fmt.Sprintf("id: %d\ndata: piece\n\n", i))
		}
		if !whole {
			sendChunk(conn, "id: 99\nda")
			return false
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	}
}

func sendChunk(conn net.Conn, data string) {
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data)
}

func TestResumableStreamContinuesAfterTheLastCompleteEvent(t *testing.T) {
	resume := func(conn net.Conn, request *http.Request) bool {
		is.New(t).Equal(request.Header.Get(testAfter), "3")
		return sendEvents(4, 6, true)(conn, request)
	}
	u, arrivals := upstreamPair(t, firstThen(sendEvents(1, 3, false), resume))
	h := newHarness(t, resumableRoute, u...)
	got := h.ask(http.MethodPost, "/r/", "x")
	h.is.NoErr(got.err)
	h.is.Equal(arrivals(), 2)
	want := ""
	for i := 1; i <= 6; i++ {
		want += fmt.Sprintf("id: %d\ndata: piece\n\n", i)
	}
	h.is.Equal(got.body, want)
}

func TestBrokenStreamThatMayNotBeResumedAbortsTheAnswer(t *testing.T) {
	u, arrivals := upstreamPair(t, sendEvents(1, 3, false))
	h := newHarness(t, streamRoute, u...)
	got := h.ask(http.MethodPost, "/r/", "x")
	h.is.True(got.err != nil)
	h.is.Equal(arrivals(), 1)
	h.is.True(!strings.Contains(got.body, "id: 99"))
}

func TestUpstreamConnectionIsClosedWhenTheCallerDisconnects(t *testing.T) {
	closed := make(chan struct{})
	wait := func(conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	}
	u := newUpstream(t, wait)
	h := newHarness(t, safeRoute, u)
	conn, err := net.Dial("tcp", h.caller.Listener.Addr().String())
	h.is.NoErr(err)
	_, err = io.WriteString(conn, "GET /r/ HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n")
	h.is.NoErr(err)
	h.eventually("the request arrives", func() bool { return u.arrivals.Load() == 1 })
	h.is.NoErr(conn.Close())
	<-closed
}

func TestRequestIsAnsweredAtTheRoutesTimeout(t *testing.T) {
	hang := func(conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
	route := safeRoute
	route.Timeout = 50 * time.Millisecond
	h := newHarness(t, route, newUpstream(t, hang))
	h.is.Equal(h.ask(http.MethodGet, "/r/", "").status, http.StatusGatewayTimeout)
}

func TestWithoutAConfigurationRequestsAreRefusedAsNotRun(t *testing.T) {
	h := newHarness(t, safeRoute)
	h.edge.board.Routes.Store(nil)
	got := h.ask(http.MethodGet, "/nowhere", "")
	h.is.Equal(got.status, http.StatusServiceUnavailable)
	h.is.Equal(got.header.Get(header.Outcome), string(outcome.NotRun))
}

func TestUnknownRoutesAreNotFound(t *testing.T) {
	h := newHarness(t, safeRoute, newUpstream(t, respond(http.StatusOK, "ok")))
	h.is.Equal(h.ask(http.MethodGet, "/nowhere", "").status, http.StatusNotFound)
}

func TestBodiesAboveTheDeclaredLimitAreRefused(t *testing.T) {
	u := newUpstream(t, respond(http.StatusOK, "ok"))
	h := newHarness(t, unsafeRoute, u)
	h.is.Equal(h.ask(http.MethodPost, "/r/", strings.Repeat("x", 1<<20+1)).status, http.StatusRequestEntityTooLarge)
	h.is.Equal(u.arrivals.Load(), int32(0))
}

func TestTruncatedRequestBodyReachesNoUpstream(t *testing.T) {
	u := newUpstream(t, respond(http.StatusOK, "ok"))
	h := newHarness(t, unsafeRoute, u)
	conn, err := net.Dial("tcp", h.caller.Listener.Addr().String())
	h.is.NoErr(err)
	_, err = io.WriteString(conn, "POST /r/ HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 10\r\n\r\nhalf")
	h.is.NoErr(err)
	h.is.NoErr(conn.(*net.TCPConn).CloseWrite())
	_, err = io.ReadAll(conn)
	h.is.NoErr(err)
	h.is.Equal(u.arrivals.Load(), int32(0))
}

func TestAForwardedRequestIsServedHereOrRefusedAsNotRun(t *testing.T) {
	route := safeRoute
	route.Homes = []string{"south"}
	u := newUpstream(t, respond(http.StatusOK, "ok"))
	h := newHarness(t, route, u)
	got := h.askAt(h.peers.URL, http.MethodGet, "/r/", "")
	h.is.Equal(got.status, http.StatusServiceUnavailable)
	h.is.Equal(got.header.Get(header.Outcome), string(outcome.NotRun))
	h.is.Equal(u.arrivals.Load(), int32(0))
}

func TestLeavingInstanceAcceptsOnlyRequestsThatEndInTime(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	e := &Edge{settings: &Settings{}}
	e.settings.Limits.Grace, e.settings.Limits.DirectoryTTL = 8*time.Second, time.Second
	leaving := e.scheduleDrain(start)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	is.True(leaving.accepts(at(2.9), at(20)))
	is.True(!leaving.accepts(at(3.1), at(9)))
	is.True(leaving.accepts(at(3.1), at(4)))
	is.True((*drainSchedule)(nil).accepts(at(0), at(1000)))
}

func TestLeavingInstanceClosesCallersConnections(t *testing.T) {
	h := newHarness(t, safeRoute, newUpstream(t, respond(http.StatusOK, "ok")))
	now := time.Now()
	h.edge.leaving.Store(&drainSchedule{acceptUntil: now.Add(time.Hour), cutAt: now.Add(time.Hour)})
	request, err := http.NewRequest(http.MethodGet, h.caller.URL+"/r/", nil)
	h.is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	h.is.NoErr(err)
	h.is.NoErr(response.Body.Close())
	h.is.Equal(response.StatusCode, http.StatusOK)
	h.is.True(response.Close)
	h.is.True(!h.edge.Ready())
}

func TestRosterOfARegionWithoutInstancesNamesPermittedRegions(t *testing.T) {
	route := safeRoute
	route.Homes = []string{"south", testRegion}
	h := newHarness(t, route)
	view := &fleet.View{Instances: []fleet.Instance{{Name: "e-1", Region: "east"}, {Name: "s-1", Region: "south"}}}
	view.Index()
	h.edge.board.Fleet.Store(view)
	h.edge.leaving.Store(&drainSchedule{})
	names := func(region, host string) string {
		all := ""
		for _, instance := range h.edge.Roster(region, host) {
			all += instance.Name + " "
		}
		return all
	}
	h.is.Equal(names("east", "127.0.0.1"), "e-1 ")
	h.is.Equal(names("west", "127.0.0.1"), "s-1 ")
	h.is.Equal(len(h.edge.Roster("west", "other.example")), 2)
}

// TestRosterNamesTheRegionThatMostRoutesOfTheHostPermit guards against directing callers, while
// all instances of a region restart in turn, to a region in which few of their requests may be
// processed. Two further routes exclude each other's regions.
func TestRosterNamesTheRegionThatMostRoutesOfTheHostPermit(t *testing.T) {
	h := newHarness(t, safeRoute)
	declared := func(prefix string, homes ...string) httproute.Route {
		return httproute.Route{
			Name: prefix, Host: "a.example", Prefix: prefix, Kind: httproute.Safe, Homes: homes,
			Timeout: time.Second, Backends: []httproute.Backend{{Service: testService, Weight: 1}},
		}
	}
	config, err := httproute.Compile(2, httproute.Limits{}, []httproute.Route{
		declared("/both/", "east", "south"), declared("/e/", "east"), declared("/s/", "south"), declared("/all/"),
	}, []httproute.Service{{Name: testService}})
	h.is.NoErr(err)
	h.edge.board.Routes.Store(config)
	view := &fleet.View{Instances: []fleet.Instance{{Name: "s-1", Region: "south"}, {Name: "w-1", Region: "west"}}}
	view.Index()
	h.edge.board.Fleet.Store(view)
	h.edge.leaving.Store(&drainSchedule{})
	named := h.edge.Roster("east", "a.example")
	h.is.Equal(len(named), 1)
	h.is.Equal(named[0].Name, "s-1")
}

// TestColdUpstreamGetsNoRequestsRightAfterInstanceStart guards against overloading cold upstreams
// after a restart: the requests that the instance sent before still count.
func TestColdUpstreamGetsNoRequestsRightAfterInstanceStart(t *testing.T) {
	h := newHarness(t, safeRoute)
	cold := &fleet.Upstream{ID: "u", ColdUntil: time.Now().Add(time.Hour)}
	service := &httproute.Service{ColdRate: 10}
	h.edge.startedAt = time.Now()
	h.is.True(!h.edge.admits(cold, service))
	h.edge.startedAt = time.Now().Add(-time.Minute)
	h.is.True(h.edge.admits(cold, service))
}

// TestUnreachableUpstreamBacksOff guards against losing an attempt of each following request.
func TestUnreachableUpstreamBacksOff(t *testing.T) {
	unreachable := newUpstream(t, nil)
	u := newUpstream(t, respond(http.StatusOK, "ok"))
	h := newHarness(t, unsafeRoute, unreachable, u)
	h.is.NoErr(unreachable.listener.Close())
	for range 10 {
		h.is.Equal(h.ask(http.MethodPost, "/r/", "x").status, http.StatusOK)
	}
	backingOff := h.edge.tracker.Load("u-0").Backoff > 0
	h.is.True(backingOff || u.arrivals.Load() == 10)
}

// TestFailingUpstreamsAreEjected guards against ejector pools that do not follow the fleet.
func TestFailingUpstreamsAreEjected(t *testing.T) {
	h := newHarness(t, safeRoute, newUpstream(t, resetConnection), newUpstream(t, respond(http.StatusOK, "ok")))
	h.edge.setPools(h.edge.board.Fleet.Load(), map[string]bool{})
	h.eventually("the failing upstream is ejected", func() bool {
		h.ask(http.MethodGet, "/r/", "")
		return h.edge.tracker.Load("u-0").Ejected
	})
}

func TestMetricsAreServedAsText(t *testing.T) {
	h := newHarness(t, safeRoute, newUpstream(t, respond(http.StatusOK, "ok")))
	h.ask(http.MethodGet, "/r/", "")
	h.ask(http.MethodGet, "/nowhere", "")
	text := ""
	h.eventually("the end of the first request is counted", func() bool {
		recorder := httptest.NewRecorder()
		h.edge.metricsHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		text = recorder.Body.String()
		return strings.Contains(text, `outcome="complete"`)
	})
	for _, line := range []string{
		`lilacweir_requests{route="r",outcome="complete",reason=""} 1` + "\n",
		`lilacweir_requests{route="none",outcome="not-run",reason="unknown-route"} 1` + "\n",
		`lilacweir_requests_ms_count{route="r"} 1` + "\n",
		`lilacweir_requests_first_ms_count{route="r"} 1` + "\n",
		`lilacweir_attempts{domain="n-a",target="u-0",result="done"} 1` + "\n",
		`lilacweir_attempts_ms_count{domain="n-a",target="u-0"} 1` + "\n",
		`lilacweir_upstreams_usable{service="llm"} 1` + "\n",
		`lilacweir_retries_left{service="llm"} 95` + "\n",
		"lilacweir_configuration_version 1\n", "lilacweir_configuration_age_ms -1\n",
		"lilacweir_store_age_ms -1\n", "lilacweir_upstreams_dialed 1\n",
	} {
		if !strings.Contains(text, line) {
			t.Errorf("no line %q in\n%s", line, text)
		}
	}
}

// TestBrokenStreamCountsAsOneSend guards against counting a broken stream twice, which would use
// up the sends that bound retries.
func TestBrokenStreamCountsAsOneSend(t *testing.T) {
	begin := func(conn net.Conn, request *http.Request) bool {
		writeResponse(conn, request, http.StatusOK, "Transfer-Encoding: chunked\r\n", "c\r\nid: 1\ndata:\n\n\r\n")
		return resetConnection(conn, request)
	}
	u, arrivals := upstreamPair(t, begin)
	h := newHarness(t, resumableRoute, u...)
	h.ask(http.MethodPost, "/r/", "body")
	h.is.Equal(arrivals(), 2)
	h.eventually("the end is logged", func() bool { return len(h.lines.With("event=request-failed")) == 1 })
	h.is.Equal(len(h.lines.With("event=request-failed", "sends=2", "runs=2")), 1)
}

// TestRefusalNamesItsRequestWithoutAConfiguration also checks the log line.
func TestRefusalNamesItsRequestWithoutAConfiguration(t *testing.T) {
	h := newHarness(t, safeRoute)
	h.edge.board.Routes.Store(nil)
	got := h.askAt(h.caller.URL, http.MethodGet, "/r/", "", testID, "id-7")
	h.is.Equal(got.header.Get(testID), "id-7")
	h.is.Equal(len(h.lines.With("event=request-failed", "request=id-7", "reason=no-configuration")), 1)
}

// TestRetryAfterIsLongerWhileTheStoreIsUnavailable compares it with that of an instance that is
// only reading its configuration.
func TestRetryAfterIsLongerWhileTheStoreIsUnavailable(t *testing.T) {
	h := newHarness(t, safeRoute)
	h.edge.board.Routes.Store(nil)
	h.is.Equal(h.ask(http.MethodGet, "/r/", "").header.Get("Retry-After"), fmt.Sprint(noConfigurationRetry.Seconds()))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { h.edge.store.Run(ctx); close(ended) }()
	h.eventually("the store is lost", h.edge.store.LastCallFailed)
	h.is.Equal(h.ask(http.MethodGet, "/r/", "").header.Get("Retry-After"), fmt.Sprint(storeLostRetry.Seconds()))
	cancel()
	<-ended
}
