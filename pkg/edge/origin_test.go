package edge

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/origin"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

const remoteRegion = "south"

// newRemoteHarness returns an instance without upstreams in its region, and with other instances
// in another region where an upstream of v1 serves.
func newRemoteHarness(t *testing.T, instances ...*upstream) *harness {
	t.Helper()
	h := newHarness(t, resumableRoute)
	view := &fleet.View{Upstreams: []fleet.Upstream{{ID: "far", Name: "far", Service: testService, Software: "v1", Domain: "s-a", Region: remoteRegion, Slots: 4}}}
	view.Index()
	h.edge.board.Fleet.Store(view)
	var others []peer.Known
	for n, instance := range instances {
		name := fmt.Sprintf("s-%d", n)
		others = append(others, peer.Known{
			Instance: fleet.Instance{Name: name, Domain: "s-a", Region: remoteRegion, Peers: instance.listener.Addr().String()},
			Ready:    true, ReportedAt: time.Now(),
		})
	}
	h.edge.gossip.View().Store(peer.NewView(others, nil, time.Now()))
	return h
}

// streamFrom returns a script that sends the events after the first two, with extra header fields.
func streamFrom(fields ...string) script {
	return func(conn net.Conn, request *http.Request) bool {
		writeResponse(conn, request, http.StatusOK, "Transfer-Encoding: chunked\r\n", "", fields...)
		sendChunk(conn, "id: 3\ndata: piece\n\n")
		sendChunk(conn, "")
		return true
	}
}

func originField(version string) string {
	return header.StreamOrigin + ": " + origin.Origin{Service: testService, Version: version}.String()
}

// TestStreamIsNotPassedOnWithoutItsSoftwareVersion guards against events of another software
// version from an instance of a release that does not know versions, or of one that is in doubt.
func TestStreamIsNotPassedOnWithoutItsSoftwareVersion(t *testing.T) {
	for name, c := range map[string]struct {
		fields []string
		passed bool
	}{
		"confirmed":       {[]string{originField("v1")}, true},
		"another version": {[]string{originField("v2")}, false},
		"no version":      {nil, false},
		"unreadable":      {[]string{header.StreamOrigin + ": v1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			other := newUpstream(t, streamFrom(c.fields...))
			h := newRemoteHarness(t, other)
			h.edge.origins.Begin("first", origin.Origin{Service: testService, Version: "v1"}, time.Minute)
			got := h.askAt(h.caller.URL, http.MethodPost, "/r/", "x", testResumes, "first", testAfter, "2")
			h.is.Equal(got.status == http.StatusOK, c.passed)
			h.is.Equal(got.body == "id: 3\ndata: piece\n\n", c.passed)
			h.is.Equal(got.header.Get(header.StreamOrigin), "")
			h.is.Equal(other.request(0).Header.Get(header.StreamOrigin), "llm;v1")
		})
	}
}

// TestStreamOfUnknownSoftwareVersionIsNotResumed guards against a stream that goes on anywhere,
// after an instance that does not tell versions has broken it off.
func TestStreamOfUnknownSoftwareVersionIsNotResumed(t *testing.T) {
	one, other := newUpstream(t, sendEvents(1, 2, false)), newUpstream(t, sendEvents(1, 2, false))
	h := newRemoteHarness(t, one, other)
	got := h.ask(http.MethodPost, "/r/", "x")
	h.is.True(got.err != nil)
	h.is.Equal(one.arrivals.Load()+other.arrivals.Load(), int32(1))
}

// TestStreamOriginIsForInstancesOnly guards against callers that choose a software version, and
// against showing it to callers and upstreams.
func TestStreamOriginIsForInstancesOnly(t *testing.T) {
	u := newUpstream(t, streamFrom(originField("forged")))
	h := newHarness(t, resumableRoute, u)
	forged := []string{header.StreamOrigin, "llm;", testAfter, "2"}
	got := h.askAt(h.caller.URL, http.MethodPost, "/r/", "x", forged...)
	h.is.Equal(got.status, http.StatusServiceUnavailable)
	h.is.Equal(got.header.Get(header.Outcome), string(outcome.NotRun))
	h.is.Equal(u.arrivals.Load(), int32(0))
	// Another instance may say where a stream goes on, and is told.
	got = h.askAt(h.peers.URL, http.MethodPost, "/r/", "x", forged...)
	h.is.Equal(got.status, http.StatusOK)
	h.is.Equal(got.header.Get(header.StreamOrigin), "llm;")
	got = h.askAt(h.caller.URL, http.MethodPost, "/r/", "x", header.StreamOrigin, "llm;")
	h.is.Equal(got.status, http.StatusOK)
	h.is.Equal(got.header.Get(header.StreamOrigin), "")
	for n := range 2 {
		h.is.Equal(u.request(n).Header.Get(header.StreamOrigin), "")
	}
}

// TestRegionWithoutASoftwareVersionIsNotOverloaded guards against a whole region that gets nothing
// for a while because it cannot go on with one stream.
func TestRegionWithoutASoftwareVersionIsNotOverloaded(t *testing.T) {
	refuse := respond(http.StatusServiceUnavailable, "", header.Outcome+": "+string(outcome.NotRun), header.Reason+": "+string(outcome.ReasonNoUpstream), testNotRun+": 1")
	h := newRemoteHarness(t, newUpstream(t, refuse))
	h.edge.origins.Begin("first", origin.Origin{Service: testService, Version: "v1"}, time.Minute)
	got := h.askAt(h.caller.URL, http.MethodPost, "/r/", "x", testResumes, "first", testAfter, "2")
	h.is.Equal(got.status, http.StatusServiceUnavailable)
	config := h.edge.board.Routes.Load()
	key := steer.RegionKey(remoteRegion, &steer.Request{Service: config.Service(testService), Route: config.Match("127.0.0.1", "/r/")})
	h.is.Equal(h.edge.tracker.Load(key).Backoff, time.Duration(0))
}

// TestStreamOfALostVersionIsRefusedAtOnce guards against callers that wait or come back for a
// software version that has no upstream left.
func TestStreamOfALostVersionIsRefusedAtOnce(t *testing.T) {
	u := newUpstream(t, streamFrom())
	h := newHarness(t, resumableRoute, u)
	h.edge.origins.Begin("first", origin.Origin{Service: testService, Version: "v0"}, time.Minute)
	got := h.askAt(h.caller.URL, http.MethodPost, "/r/", "x", testResumes, "first", testAfter, "2")
	h.is.Equal(got.status, http.StatusServiceUnavailable)
	h.is.Equal(got.header.Get(header.Outcome), string(outcome.NotRun))
	h.is.Equal(got.header.Get("Retry-After"), "0")
	h.is.Equal(u.arrivals.Load(), int32(0))
	h.is.True(h.lines.Has("request-failed", string(outcome.ReasonOriginGone)))
}

// TestResumedStreamKeepsItsService guards against a stream that begins at one service of a route
// and goes on at another one.
func TestResumedStreamKeepsItsService(t *testing.T) {
	one, other := newUpstream(t, streamFrom()), newUpstream(t, streamFrom())
	h := newHarness(t, resumableRoute, one, other)
	view := *h.edge.board.Fleet.Load()
	view.Upstreams[1].Service = "other"
	view.Index()
	h.edge.board.Fleet.Store(&view)
	declare := func(version uint64, backends ...httproute.Backend) {
		route := resumableRoute
		route.Name, route.Host, route.Prefix, route.Timeout, route.Backends = "r", "127.0.0.1", "/r/", 10*time.Second, backends
		config, err := httproute.Compile(version, httproute.Limits{BodyBytes: 1 << 20}, []httproute.Route{route}, []httproute.Service{{Name: testService}, {Name: "other"}})
		h.is.NoErr(err)
		h.edge.board.Routes.Store(config)
	}
	declare(2, httproute.Backend{Service: testService, Weight: 1}, httproute.Backend{Service: "other", Weight: 1})
	h.edge.origins.Begin("first", origin.Origin{Service: "other"}, time.Minute)
	const tries = 12
	for range tries {
		got := h.askAt(h.caller.URL, http.MethodPost, "/r/", "x", testResumes, "first", testAfter, "2")
		h.is.Equal(got.status, http.StatusOK)
	}
	h.is.Equal(one.arrivals.Load(), int32(0))
	h.is.Equal(other.arrivals.Load(), int32(tries))
	// The route no longer leads there.
	declare(3, httproute.Backend{Service: testService, Weight: 1})
	got := h.askAt(h.caller.URL, http.MethodPost, "/r/", "x", testResumes, "first", testAfter, "2")
	h.is.Equal(got.status, http.StatusServiceUnavailable)
	h.is.Equal(one.arrivals.Load(), int32(0))
}
