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
	safe      = httproute.Route{Kind: httproute.Safe, MaxAttempts: 2}
	unsafe    = httproute.Route{Kind: httproute.Unsafe, MaxAttempts: 1}
	stream    = httproute.Route{Kind: httproute.Streaming, MaxAttempts: 1}
	resumable = httproute.Route{Kind: httproute.Streaming, MaxAttempts: 2, Resumable: true}
)

// both returns two upstreams with one script, so that it does not matter which is
// chosen first, and how many requests have come to them.
func both(t *testing.T, script script) (u []*upstream, arrivals func() int) {
	u = []*upstream{newUpstream(t, script), newUpstream(t, script)}
	return u, func() int { return int(u[0].arrivals.Load() + u[1].arrivals.Load()) }
}

// firstThen answers the first request that comes to any upstream by one script, and
// all later ones by another.
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

func TestRequestsArriveAsTheyWereSent(t *testing.T) {
	u := newUpstream(t, say(http.StatusTeapot, "short and stout", "X-Extra: kept"))
	b := newBed(t, unsafe, u)
	got := b.ask(http.MethodPut, "/r/a%2Fb?q=1&q=2", "body")
	b.is.Equal(got.status, http.StatusTeapot)
	b.is.Equal(got.body, "short and stout")
	b.is.Equal(got.header.Get("X-Extra"), "kept")
	b.is.Equal(u.request(0).Method, http.MethodPut)
	b.is.Equal(u.request(0).RequestURI, "/r/a%2Fb?q=1&q=2")
	b.is.Equal(u.request(0).ContentLength, int64(4))
	b.is.Equal(u.request(0).Header.Get(testUpstream), "u-0")
}

func TestARequestThatMayHaveRunIsSentOnceUnlessRepeatable(t *testing.T) {
	for name, c := range map[string]struct {
		route    httproute.Route
		arrivals int
		status   int
	}{
		"unsafe":    {unsafe, 1, http.StatusBadGateway},
		"streaming": {stream, 1, http.StatusBadGateway},
		"safe":      {safe, 2, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			u, arrivals := both(t, firstThen(reset, say(http.StatusOK, "second")))
			b := newBed(t, c.route, u...)
			got := b.ask(http.MethodPost, "/r/", "body")
			b.is.Equal(got.status, c.status)
			b.is.Equal(arrivals(), c.arrivals)
			if c.status != http.StatusOK {
				b.is.Equal(got.header.Get(header.Outcome), string(outcome.Unknown))
			}
		})
	}
}

func TestARejectedRequestMayGoElsewhereWhateverItsKind(t *testing.T) {
	reject := say(http.StatusServiceUnavailable, "full", testNotRun+": 1")
	u, arrivals := both(t, firstThen(reject, say(http.StatusOK, "done")))
	b := newBed(t, unsafe, u...)
	got := b.ask(http.MethodPost, "/r/", "body")
	b.is.Equal(got.status, http.StatusOK)
	b.is.Equal(arrivals(), 2)
}

func TestWhenAllRejectTheCallerLearnsThatNothingRanAndWhenToReturn(t *testing.T) {
	u, _ := both(t, say(http.StatusServiceUnavailable, "full", testNotRun+": 1"))
	b := newBed(t, unsafe, u...)
	got := b.ask(http.MethodPost, "/r/", "body")
	b.is.Equal(got.status, http.StatusServiceUnavailable)
	b.is.Equal(got.header.Get(header.Outcome), string(outcome.NotRun))
	b.is.True(got.header.Get("Retry-After") != "0")
}

// TestARejectionAfterARunIsNotCalledNotRun: the first try may have run.
func TestARejectionAfterARunIsNotCalledNotRun(t *testing.T) {
	u, _ := both(t, firstThen(reset, say(http.StatusServiceUnavailable, "full", testNotRun+": 1")))
	b := newBed(t, safe, u...)
	got := b.ask(http.MethodGet, "/r/", "")
	b.is.Equal(got.status, http.StatusBadGateway)
	b.is.Equal(got.header.Get(header.Outcome), string(outcome.Unknown))
}

func TestAServersFailureIsPassedOnWhenNothingBetterComes(t *testing.T) {
	u, arrivals := both(t, say(http.StatusInternalServerError, "broken"))
	b := newBed(t, safe, u...)
	got := b.ask(http.MethodGet, "/r/", "")
	b.is.Equal(got.status, http.StatusInternalServerError)
	b.is.Equal(got.body, "broken")
	b.is.Equal(got.header.Get(testProof), "yes")
	b.is.Equal(arrivals(), 2)
}

// TestAnAnsweredFailureIsTriedAgainWhereThereIsNoOtherUpstream: the same upstream
// counts once, and the next try may well succeed.
func TestAnAnsweredFailureIsTriedAgainWhereThereIsNoOtherUpstream(t *testing.T) {
	u := newUpstream(t, firstThen(say(http.StatusInternalServerError, "broken"), say(http.StatusOK, "done")))
	b := newBed(t, safe, u)
	b.is.Equal(b.ask(http.MethodGet, "/r/", "").body, "done")
}

// TestAnInstanceMayRunAForwardedRequestOnlyAsOftenAsItIsLent: attempts are counted
// over the instances that a request passes.
func TestAnInstanceMayRunAForwardedRequestOnlyAsOftenAsItIsLent(t *testing.T) {
	for _, lent := range []int{1, 2} {
		t.Run(fmt.Sprint(lent), func(t *testing.T) {
			u, arrivals := both(t, say(http.StatusInternalServerError, "broken"))
			b := newBed(t, safe, u...)
			got := b.askAt(b.peers.URL, http.MethodGet, "/r/", "", header.Attempts, fmt.Sprint(lent))
			b.is.Equal(got.status, http.StatusInternalServerError)
			b.is.Equal(arrivals(), lent)
		})
	}
}

func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	late := func(conn net.Conn, request *http.Request) bool {
		other := request.Clone(t.Context())
		other.Header.Set(testID, "another")
		write(conn, other, http.StatusOK, "Content-Length: 5\r\n", "wrong")
		write(conn, request, http.StatusOK, "Content-Length: 5\r\n", "right")
		return true
	}
	u := newUpstream(t, late)
	b := newBed(t, unsafe, u)
	b.is.Equal(b.ask(http.MethodPost, "/r/", "x").body, "right")
}

// TestBytesBeyondAnAnswerBelongToNoRequest: the connection is not used again.
func TestBytesBeyondAnAnswerBelongToNoRequest(t *testing.T) {
	twice := func(conn net.Conn, request *http.Request) bool {
		write(conn, request, http.StatusOK, "Content-Length: 2\r\n", "ok")
		write(conn, request, http.StatusOK, "Content-Length: 5\r\n", "extra")
		return true
	}
	u := newUpstream(t, twice)
	b := newBed(t, unsafe, u)
	for range 20 {
		b.is.Equal(b.ask(http.MethodPost, "/r/", "x").body, "ok")
	}
}

func TestAnswersThatAreNotWholeAreNotPassedOn(t *testing.T) {
	for name, bad := range map[string]script{
		"cut short": func(conn net.Conn, request *http.Request) bool {
			write(conn, request, http.StatusOK, "Content-Length: 100\r\n", "part")
			return false
		},
		"no HTTP": func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "garbage\r\n\r\n")
			return false
		},
		"reset without a length": func(conn net.Conn, request *http.Request) bool {
			write(conn, request, http.StatusOK, "Connection: close\r\n", "part")
			return reset(conn, request)
		},
		"unproven": func(conn net.Conn, request *http.Request) bool {
			head := "HTTP/1.1 200 OK\r\n" + testID + ": " + request.Header.Get(testID) + "\r\nContent-Length: 2\r\n\r\nok"
			_, _ = io.WriteString(conn, head)
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, unsafe, newUpstream(t, bad))
			got := b.ask(http.MethodPost, "/r/", "x")
			b.is.Equal(got.status, http.StatusBadGateway)
			b.is.Equal(got.header.Get(testProof), "")
		})
	}
}

func TestAnAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	b := newBed(t, unsafe, newUpstream(t, func(conn net.Conn, request *http.Request) bool {
		write(conn, request, http.StatusOK, "Connection: close\r\n", "to the end")
		return false
	}))
	b.is.Equal(b.ask(http.MethodPost, "/r/", "x").body, "to the end")
}

// events writes a stream's events, and then ends it or breaks off.
func events(from, to int, whole bool) script {
	return func(conn net.Conn, request *http.Request) bool {
		write(conn, request, http.StatusOK, "Transfer-Encoding: chunked\r\n", "", "Content-Type: text/event-stream")
		for i := from; i <= to; i++ {
			chunk(conn, fmt.Sprintf("id: %d\ndata: piece\n\n", i))
		}
		if !whole {
			chunk(conn, "id: 99\nda")
			return false
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	}
}

func chunk(conn net.Conn, data string) {
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data)
}

func TestAResumableStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	resume := func(conn net.Conn, request *http.Request) bool {
		is.New(t).Equal(request.Header.Get(testAfter), "3")
		return events(4, 6, true)(conn, request)
	}
	u, arrivals := both(t, firstThen(events(1, 3, false), resume))
	b := newBed(t, resumable, u...)
	got := b.ask(http.MethodPost, "/r/", "x")
	b.is.NoErr(got.err)
	b.is.Equal(arrivals(), 2)
	want := ""
	for i := 1; i <= 6; i++ {
		want += fmt.Sprintf("id: %d\ndata: piece\n\n", i)
	}
	b.is.Equal(got.body, want)
}

func TestAStreamThatMayNotBeResumedEndsVisiblyBroken(t *testing.T) {
	u, arrivals := both(t, events(1, 3, false))
	b := newBed(t, stream, u...)
	got := b.ask(http.MethodPost, "/r/", "x")
	b.is.True(got.err != nil)
	b.is.Equal(arrivals(), 1)
	b.is.True(!strings.Contains(got.body, "id: 99"))
}

func TestWhenTheCallerLeavesTheUpstreamsConnectionIsClosed(t *testing.T) {
	closed := make(chan struct{})
	wait := func(conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	}
	u := newUpstream(t, wait)
	b := newBed(t, safe, u)
	conn, err := net.Dial("tcp", b.caller.Listener.Addr().String())
	b.is.NoErr(err)
	_, err = io.WriteString(conn, "GET /r/ HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n")
	b.is.NoErr(err)
	b.eventually("the request arrives", func() bool { return u.arrivals.Load() == 1 })
	b.is.NoErr(conn.Close())
	<-closed
}

func TestARequestThatIsTooLateGetsItsAnswerAtTheRoutesTimeout(t *testing.T) {
	hang := func(conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
	route := safe
	route.Timeout = 50 * time.Millisecond
	b := newBed(t, route, newUpstream(t, hang))
	b.is.Equal(b.ask(http.MethodGet, "/r/", "").status, http.StatusGatewayTimeout)
}

func TestWithoutAConfigurationNothingIsDenied(t *testing.T) {
	b := newBed(t, safe)
	b.edge.board.Routes.Store(nil)
	got := b.ask(http.MethodGet, "/nowhere", "")
	b.is.Equal(got.status, http.StatusServiceUnavailable)
	b.is.Equal(got.header.Get(header.Outcome), string(outcome.NotRun))
}

func TestUnknownRoutesAreNotFound(t *testing.T) {
	b := newBed(t, safe, newUpstream(t, say(http.StatusOK, "ok")))
	b.is.Equal(b.ask(http.MethodGet, "/nowhere", "").status, http.StatusNotFound)
}

func TestBodiesAboveTheDeclaredLimitAreRefused(t *testing.T) {
	u := newUpstream(t, say(http.StatusOK, "ok"))
	b := newBed(t, unsafe, u)
	b.is.Equal(b.ask(http.MethodPost, "/r/", strings.Repeat("x", 1<<20+1)).status, http.StatusRequestEntityTooLarge)
	b.is.Equal(u.arrivals.Load(), int32(0))
}

func TestARequestCutOffOnItsWayInReachesNoUpstream(t *testing.T) {
	u := newUpstream(t, say(http.StatusOK, "ok"))
	b := newBed(t, unsafe, u)
	conn, err := net.Dial("tcp", b.caller.Listener.Addr().String())
	b.is.NoErr(err)
	_, err = io.WriteString(conn, "POST /r/ HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 10\r\n\r\nhalf")
	b.is.NoErr(err)
	b.is.NoErr(conn.(*net.TCPConn).CloseWrite())
	_, err = io.ReadAll(conn)
	b.is.NoErr(err)
	b.is.Equal(u.arrivals.Load(), int32(0))
}

func TestAForwardedRequestIsServedHereOrRefusedAsNotRun(t *testing.T) {
	route := safe
	route.Homes = []string{"south"}
	u := newUpstream(t, say(http.StatusOK, "ok"))
	b := newBed(t, route, u)
	got := b.askAt(b.peers.URL, http.MethodGet, "/r/", "")
	b.is.Equal(got.status, http.StatusServiceUnavailable)
	b.is.Equal(got.header.Get(header.Outcome), string(outcome.NotRun))
	b.is.Equal(u.arrivals.Load(), int32(0))
}

func TestALeavingInstanceTakesOnlyWhatItCanEnd(t *testing.T) {
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

func TestALeavingInstanceAsksCallersToUseAnother(t *testing.T) {
	b := newBed(t, safe, newUpstream(t, say(http.StatusOK, "ok")))
	now := time.Now()
	b.edge.leaving.Store(&drainSchedule{acceptUntil: now.Add(time.Hour), cutAt: now.Add(time.Hour)})
	request, err := http.NewRequest(http.MethodGet, b.caller.URL+"/r/", nil)
	b.is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	b.is.NoErr(err)
	b.is.NoErr(response.Body.Close())
	b.is.Equal(response.StatusCode, http.StatusOK)
	b.is.True(response.Close)
	b.is.True(!b.edge.Ready())
}

// TestWithNoInstanceInTheRegionCallersAreSentWhereTheirHostIsPermitted.
func TestWithNoInstanceInTheRegionCallersAreSentWhereTheirHostIsPermitted(t *testing.T) {
	route := safe
	route.Homes = []string{"south", testRegion}
	b := newBed(t, route)
	view := &fleet.View{Instances: []fleet.Instance{{Name: "e-1", Region: "east"}, {Name: "s-1", Region: "south"}}}
	view.Index()
	b.edge.board.Fleet.Store(view)
	b.edge.leaving.Store(&drainSchedule{})
	names := func(region, host string) string {
		all := ""
		for _, instance := range b.edge.Roster(region, host) {
			all += instance.Name + " "
		}
		return all
	}
	b.is.Equal(names("east", "127.0.0.1"), "e-1 ")
	b.is.Equal(names("west", "127.0.0.1"), "s-1 ")
	b.is.Equal(len(b.edge.Roster("west", "other.example")), 2)
}

// TestWhereNoRegionIsPermittedToAllRoutesOfAHostThatOfMostIsNamed: while all instances of a
// region restart in turn, callers must not be led to a region where only a few of their
// requests may be processed, since two further routes of the host exclude each other.
func TestWhereNoRegionIsPermittedToAllRoutesOfAHostThatOfMostIsNamed(t *testing.T) {
	b := newBed(t, safe)
	declared := func(prefix string, homes ...string) httproute.Route {
		return httproute.Route{
			Name: prefix, Host: "a.example", Prefix: prefix, Kind: httproute.Safe, Homes: homes,
			Timeout: time.Second, Backends: []httproute.Backend{{Service: testService, Weight: 1}},
		}
	}
	config, err := httproute.Compile(2, httproute.Limits{}, []httproute.Route{
		declared("/both/", "east", "south"), declared("/e/", "east"), declared("/s/", "south"), declared("/all/"),
	}, []httproute.Service{{Name: testService}})
	b.is.NoErr(err)
	b.edge.board.Routes.Store(config)
	view := &fleet.View{Instances: []fleet.Instance{{Name: "s-1", Region: "south"}, {Name: "w-1", Region: "west"}}}
	view.Index()
	b.edge.board.Fleet.Store(view)
	b.edge.leaving.Store(&drainSchedule{})
	named := b.edge.Roster("east", "a.example")
	b.is.Equal(len(named), 1)
	b.is.Equal(named[0].Name, "s-1")
}

// TestAColdUpstreamGetsNothingRightAfterAStart: what the instance sent before it was
// restarted still counts.
func TestAColdUpstreamGetsNothingRightAfterAStart(t *testing.T) {
	b := newBed(t, safe)
	cold := &fleet.Upstream{ID: "u", ColdUntil: time.Now().Add(time.Hour)}
	service := &httproute.Service{ColdRate: 10}
	b.edge.startedAt = time.Now()
	b.is.True(!b.edge.admits(cold, service))
	b.edge.startedAt = time.Now().Add(-time.Minute)
	b.is.True(b.edge.admits(cold, service))
}

// TestAnUpstreamThatCannotBeReachedRests: the next requests do not each lose an attempt
// to it.
func TestAnUpstreamThatCannotBeReachedRests(t *testing.T) {
	gone := newUpstream(t, nil)
	u := newUpstream(t, say(http.StatusOK, "ok"))
	b := newBed(t, unsafe, gone, u)
	b.is.NoErr(gone.listener.Close())
	for range 10 {
		b.is.Equal(b.ask(http.MethodPost, "/r/", "x").status, http.StatusOK)
	}
	resting := b.edge.tracker.Load("u-0").Rest > 0
	b.is.True(resting || u.arrivals.Load() == 10)
}

// TestUpstreamsThatKeepFailingAreEjected: the pools follow the fleet.
func TestUpstreamsThatKeepFailingAreEjected(t *testing.T) {
	b := newBed(t, safe, newUpstream(t, reset), newUpstream(t, say(http.StatusOK, "ok")))
	b.edge.setPools(b.edge.board.Fleet.Load(), map[string]bool{})
	b.eventually("the failing upstream is ejected", func() bool {
		b.ask(http.MethodGet, "/r/", "")
		return b.edge.tracker.Load("u-0").Ejected
	})
}

func TestMetricsAreServedAsText(t *testing.T) {
	b := newBed(t, safe, newUpstream(t, say(http.StatusOK, "ok")))
	b.ask(http.MethodGet, "/r/", "")
	b.ask(http.MethodGet, "/nowhere", "")
	text := ""
	b.eventually("the end of the first request is counted", func() bool {
		recorder := httptest.NewRecorder()
		b.edge.metricsHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
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
		`lilacweir_retries_left{service="llm"} 40` + "\n",
		"lilacweir_configuration_version 1\n", "lilacweir_configuration_age_ms -1\n",
		"lilacweir_store_age_ms -1\n", "lilacweir_upstreams_dialed 1\n",
	} {
		if !strings.Contains(text, line) {
			t.Errorf("no line %q in\n%s", line, text)
		}
	}
}

// TestAStreamThatBreaksOffCountsAsOneSend: counted twice, it would use up the sends that
// bound how often a request may go elsewhere.
func TestAStreamThatBreaksOffCountsAsOneSend(t *testing.T) {
	begin := func(conn net.Conn, request *http.Request) bool {
		write(conn, request, http.StatusOK, "Transfer-Encoding: chunked\r\n", "c\r\nid: 1\ndata:\n\n\r\n")
		return reset(conn, request)
	}
	u, arrivals := both(t, begin)
	b := newBed(t, resumable, u...)
	b.ask(http.MethodPost, "/r/", "body")
	b.is.Equal(arrivals(), 2)
	b.eventually("the end is logged", func() bool { return len(b.lines.With("event=request-failed")) == 1 })
	b.is.Equal(len(b.lines.With("event=request-failed", "sends=2", "runs=2")), 1)
}

// TestARefusalNamesItsRequestAlsoWithoutAConfiguration: so does its line in the log.
func TestARefusalNamesItsRequestAlsoWithoutAConfiguration(t *testing.T) {
	b := newBed(t, safe)
	b.edge.board.Routes.Store(nil)
	got := b.askAt(b.caller.URL, http.MethodGet, "/r/", "", testID, "id-7")
	b.is.Equal(got.header.Get(testID), "id-7")
	b.is.Equal(len(b.lines.With("event=request-failed", "request=id-7", "reason=no-configuration")), 1)
}

// TestWhileTheStoreIsDownCallersAreAskedToComeBackLater than when a configuration is only
// being read.
func TestWhileTheStoreIsDownCallersAreAskedToComeBackLater(t *testing.T) {
	b := newBed(t, safe)
	b.edge.board.Routes.Store(nil)
	b.is.Equal(b.ask(http.MethodGet, "/r/", "").header.Get("Retry-After"), fmt.Sprint(noConfigurationRetry.Seconds()))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { b.edge.store.Run(ctx); close(ended) }()
	b.eventually("the store is lost", b.edge.store.Lost)
	b.is.Equal(b.ask(http.MethodGet, "/r/", "").header.Get("Retry-After"), fmt.Sprint(storeLostRetry.Seconds()))
	cancel()
	<-ended
}
