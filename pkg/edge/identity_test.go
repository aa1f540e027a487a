package edge

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

const (
	ownKey   = "key-of-mill"
	otherKey = "key-of-dairy"
)

// organisations are two, each with a key.
func organisations() []httproute.Organisation {
	return []httproute.Organisation{
		{Name: "mill", Keys: []httproute.KeyDigest{httproute.DigestKey(ownKey)}},
		{Name: "dairy", Keys: []httproute.KeyDigest{httproute.DigestKey(otherKey)}},
	}
}

// newKeyedBed is a bed whose callers need keys.
func newKeyedBed(t *testing.T, route httproute.Route, upstreams ...*upstream) *bed {
	t.Helper()
	b := newBed(t, route, upstreams...)
	b.organisations = organisations()
	b.declare(2, route)
	return b
}

func bearerOf(key string) string { return "Bearer " + key }

// checkSaid wants an upstream's request to name the organisation, and no key in it.
func (b *bed) checkSaid(request *http.Request, organisation string) {
	b.Helper()
	b.is.Equal(request.Header.Get(testOrganisation), organisation)
	for name, values := range request.Header {
		b.is.True(!strings.Contains(strings.Join(values, " "), "key-of-")) // no key in any field
		b.is.True(name != header.Caller && name != header.CallerProof)
	}
}

// TestTheUpstreamIsToldWhoseRequestItIs, whatever the caller says of itself.
func TestTheUpstreamIsToldWhoseRequestItIs(t *testing.T) {
	u := newUpstream(t, say(http.StatusOK, "fine"))
	b := newKeyedBed(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1}, u)
	proof := httproute.DigestKey(otherKey).Proof("dairy", "id")
	got := b.askAt(b.caller.URL, http.MethodPost, "/r/x", "body", testID, "id",
		header.Authorization, bearerOf(ownKey), testOrganisation, "dairy", header.Caller, "dairy", header.CallerProof, proof)
	b.is.Equal(got.status, http.StatusOK)
	b.checkSaid(u.request(0), "mill")
	b.is.True(!b.lines.Has("key-of-"))
}

// TestOnlyKnownKeysAreServed, on kept connections and after changes of the configuration.
func TestOnlyKnownKeysAreServed(t *testing.T) {
	u := newUpstream(t, say(http.StatusOK, "fine"))
	route := httproute.Route{Kind: httproute.Safe, MaxAttempts: 1}
	b := newKeyedBed(t, route, u)
	ask := func(fields ...string) reply { return b.askAt(b.caller.URL, http.MethodGet, "/r/x", "", fields...) }
	b.is.Equal(ask().status, http.StatusUnauthorized)
	b.is.Equal(ask(header.Authorization, "Basic "+ownKey).status, http.StatusUnauthorized)
	b.is.Equal(ask(header.Authorization, bearerOf("")).status, http.StatusUnauthorized)
	b.is.Equal(ask(header.Authorization, bearerOf("key-of-nobody")).status, http.StatusUnauthorized)
	b.is.Equal(ask(header.Caller, "mill").status, http.StatusUnauthorized)
	b.is.Equal(ask(header.Authorization, bearerOf(ownKey)).status, http.StatusOK)
	b.organisations[0].Keys = nil // withdrawn
	b.declare(3, route)
	b.is.Equal(ask(header.Authorization, bearerOf(ownKey)).status, http.StatusUnauthorized)
	b.organisations[0].Keys = []httproute.KeyDigest{httproute.DigestKey("key-of-mill-2")}
	b.declare(4, route)
	b.is.Equal(ask(header.Authorization, bearerOf("key-of-mill-2")).status, http.StatusOK)
	b.is.Equal(u.arrivals.Load(), int32(2))
	b.is.True(!b.lines.Has("key-of-"))
}

// TestTwoKeysAreNone: it must not depend on a reader which of them counts.
func TestTwoKeysAreNone(t *testing.T) {
	is := is.New(t)
	_, given := bearer(http.Header{header.Authorization: {bearerOf(ownKey), bearerOf(otherKey)}})
	is.True(!given)
	key, given := bearer(http.Header{header.Authorization: {"bearer  " + ownKey}})
	is.True(given)
	is.Equal(key, ownKey)
}

// TestAPublicRouteNeedsNoKey, and a key that is shown all the same goes to nobody.
func TestAPublicRouteNeedsNoKey(t *testing.T) {
	u := newUpstream(t, say(http.StatusOK, "fine"))
	b := newKeyedBed(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1, Public: true}, u)
	b.is.Equal(b.ask(http.MethodGet, "/r/x", "").status, http.StatusOK)
	b.checkSaid(u.request(0), "")
	b.is.Equal(b.askAt(b.caller.URL, http.MethodGet, "/r/x", "", header.Authorization, bearerOf("key-of-nobody")).status, http.StatusOK)
	b.checkSaid(u.request(1), "")
}

// TestAnUnknownKeyIsNotJudgedWithoutTheStore: it may have been added meanwhile, and a
// caller does not come back after 401.
func TestAnUnknownKeyIsNotJudgedWithoutTheStore(t *testing.T) {
	u := newUpstream(t, say(http.StatusOK, "fine"))
	b := newKeyedBed(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1}, u)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { b.edge.store.Run(ctx); close(ended) }()
	b.eventually("the store is lost", b.edge.store.Lost)
	got := b.askAt(b.caller.URL, http.MethodGet, "/r/x", "", header.Authorization, bearerOf("key-of-nobody"))
	b.is.Equal(got.status, http.StatusServiceUnavailable)
	b.is.Equal(b.ask(http.MethodGet, "/r/x", "").status, http.StatusUnauthorized) // no key at all
	b.is.Equal(b.askAt(b.caller.URL, http.MethodGet, "/r/x", "", header.Authorization, bearerOf(ownKey)).status, http.StatusOK)
	cancel()
	<-ended
}

// TestAForwardedRequestIsProven: another instance is believed if it saw a key that is known
// here, for this request alone; who plays an instance is not.
func TestAForwardedRequestIsProven(t *testing.T) {
	u := newUpstream(t, say(http.StatusOK, "fine"))
	b := newKeyedBed(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1}, u)
	proof := httproute.DigestKey(ownKey).Proof("mill", "id-1")
	for name, c := range map[string]struct {
		status                  int
		id, organisation, proof string
	}{
		"proven":             {http.StatusOK, "id-1", "mill", proof},
		"another request":    {http.StatusServiceUnavailable, "id-2", "mill", proof},
		"another caller":     {http.StatusServiceUnavailable, "id-1", "dairy", httproute.DigestKey(ownKey).Proof("dairy", "id-1")},
		"no proof":           {http.StatusServiceUnavailable, "id-1", "mill", ""},
		"unknown caller":     {http.StatusServiceUnavailable, "id-1", "nobody", proof},
		"nothing but a name": {http.StatusServiceUnavailable, "id-1", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := b.askAt(b.peers.URL, http.MethodGet, "/r/x", "", testID, c.id, header.Caller, c.organisation, header.CallerProof, c.proof, header.Authorization, bearerOf(ownKey))
			is.Equal(got.status, c.status)
			if c.status != http.StatusOK {
				is.Equal(got.header.Get(header.Outcome), string(outcome.NotRun))
			}
		})
	}
	b.is.Equal(u.arrivals.Load(), int32(1))
	b.checkSaid(u.request(0), "mill")
}

// TestWhoseRequestItIsStaysOnEachTry: on a second upstream after a failure, and on a stream
// that goes on elsewhere.
func TestWhoseRequestItIsStaysOnEachTry(t *testing.T) {
	event := func(conn net.Conn, request *http.Request) bool {
		write(conn, request, http.StatusOK, "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n")
		return false
	}
	broken := func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get(testAfter) != "" {
			return event(conn, request)
		}
		write(conn, request, http.StatusOK, "Content-Length: 1000\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n")
		return false
	}
	first, second := newUpstream(t, broken), newUpstream(t, broken)
	b := newKeyedBed(t, httproute.Route{Kind: httproute.Streaming, Resumable: true, MaxAttempts: 2}, first, second)
	got := b.askAt(b.caller.URL, http.MethodPost, "/r/x", "body", header.Authorization, bearerOf(ownKey), testOrganisation, "dairy")
	b.is.Equal(got.status, http.StatusOK)
	b.is.Equal(first.arrivals.Load()+second.arrivals.Load(), int32(2))
	b.checkSaid(first.request(0), "mill")
	b.checkSaid(second.request(0), "mill")
}

// TestHomesOfAnOrganisationBind, beside those of the route.
func TestHomesOfAnOrganisationBind(t *testing.T) {
	u := newUpstream(t, say(http.StatusOK, "fine"))
	b := newKeyedBed(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1}, u)
	b.organisations[0].Homes = []string{"south"}
	urgent := 3
	b.organisations[1].Priority = &urgent
	b.declare(3, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1, Homes: []string{testRegion, "south"}, Priority: 1})
	got := b.askAt(b.caller.URL, http.MethodGet, "/r/x", "", header.Authorization, bearerOf(ownKey))
	b.is.Equal(got.status, http.StatusServiceUnavailable)
	b.is.Equal(u.arrivals.Load(), int32(0))
	b.is.Equal(b.askAt(b.caller.URL, http.MethodGet, "/r/x", "", header.Authorization, bearerOf(otherKey)).status, http.StatusOK)
	config := b.edge.board.Routes.Load()
	route := config.Match("127.0.0.1", "/r/x")
	b.is.Equal(route.For(config.Organisation("dairy")).Priority, 3)
	b.is.Equal(route.For(config.Organisation("mill")).Priority, 1)
	b.is.True(route.For(config.Organisation("mill")).PermittedIn("south"))
	b.is.True(!route.For(config.Organisation("mill")).PermittedIn(testRegion))
	b.is.Equal(route.For(nil), route)
}

// TestAnOrganisationOverItsLimitIsRefused before its body is read and without a hop, and is
// told when to come back; a forwarded request is not counted again, and one that did not
// run is not counted at all.
func TestAnOrganisationOverItsLimitIsRefused(t *testing.T) {
	u := newUpstream(t, say(http.StatusServiceUnavailable, "", testNotRun+": yes"))
	b := newKeyedBed(t, httproute.Route{Kind: httproute.Unsafe, MaxAttempts: 1}, u)
	b.organisations[0].Limit = httproute.UsageLimit{Rate: 1, Burst: 1000, Tokens: true, Plain: 200}
	b.declare(3, httproute.Route{Kind: httproute.Unsafe, MaxAttempts: 1})
	b.edge.limiter.SetLimits(declaredLimits(b.edge.board.Routes.Load()))
	ask := func(tokens string) reply {
		return b.askAt(b.caller.URL, http.MethodPost, "/r/x", "body", header.Authorization, bearerOf(ownKey), testTokens, tokens)
	}
	b.is.Equal(ask("900000").status, http.StatusServiceUnavailable) // does not run, and is returned
	b.is.True(b.edge.limiter.States()[0].Balance >= 0)
	grant, err := b.edge.limiter.Admit("mill", declaredLimits(b.edge.board.Routes.Load())["mill"], 3000)
	b.is.NoErr(err)
	arrivals := u.arrivals.Load()
	got := ask("")
	b.is.Equal(got.status, http.StatusTooManyRequests)
	b.is.Equal(u.arrivals.Load(), arrivals)
	b.is.True(got.header.Get("Retry-After") != "0")
	b.is.True(b.lines.Has("reason=caller-limit", "organisation=mill", "limit=1 ", "balance=-"))
	proof := httproute.DigestKey(ownKey).Proof("mill", "id-1")
	forwarded := b.askAt(b.peers.URL, http.MethodPost, "/r/x", "body", testID, "id-1", header.Caller, "mill", header.CallerProof, proof)
	b.is.Equal(forwarded.status, http.StatusServiceUnavailable)
	b.is.True(forwarded.header.Get(header.Reason) != string(outcome.ReasonCallerLimit))
	grant.Return()
}

// TestLimitsAreFollowed: what is declared reaches the limiter, and the metrics tell it.
func TestLimitsAreFollowed(t *testing.T) {
	b := newKeyedBed(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { b.edge.followLimits(ctx); close(ended) }()
	b.organisations = slices.Clone(b.organisations) // the configuration in force holds the former ones
	b.organisations[1].Limit = httproute.UsageLimit{Rate: 50, Burst: 50}
	b.declare(3, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1})
	b.eventually("the limit is known", func() bool { return len(b.edge.limiter.States()) == 1 })
	b.edge.updateLimitGauges()
	b.is.Equal(b.edge.counts.series.Gauge("limit.rate", label(labelOrganisation, "dairy")).Value(), int64(50))
	cancel()
	<-ended
}
