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

func organisations() []httproute.Organisation {
	return []httproute.Organisation{
		{Name: "mill", Keys: []httproute.KeyDigest{httproute.DigestKey(ownKey)}},
		{Name: "dairy", Keys: []httproute.KeyDigest{httproute.DigestKey(otherKey)}},
	}
}

func newKeyedHarness(t *testing.T, route httproute.Route, upstreams ...*upstream) *harness {
	t.Helper()
	h := newHarness(t, route, upstreams...)
	h.organisations = organisations()
	h.declare(2, route)
	return h
}

func bearerOf(key string) string { return "Bearer " + key }

// checkForwardedIdentity checks that an upstream's request names the organisation and contains no
// key.
func (h *harness) checkForwardedIdentity(request *http.Request, organisation string) {
	h.Helper()
	h.is.Equal(request.Header.Get(testOrganisation), organisation)
	for name, values := range request.Header {
		h.is.True(!strings.Contains(strings.Join(values, " "), "key-of-")) // no key in any field
		h.is.True(name != header.Caller && name != header.CallerProof)
	}
}

// TestUpstreamReceivesTheOrganisationOfTheKey guards against trusting the caller's own headers.
func TestUpstreamReceivesTheOrganisationOfTheKey(t *testing.T) {
	u := newUpstream(t, respond(http.StatusOK, "fine"))
	h := newKeyedHarness(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1}, u)
	proof := httproute.DigestKey(otherKey).Proof("dairy", "id")
	got := h.askAt(h.caller.URL, http.MethodPost, "/r/x", "body", testID, "id",
		header.Authorization, bearerOf(ownKey), testOrganisation, "dairy", header.Caller, "dairy", header.CallerProof, proof)
	h.is.Equal(got.status, http.StatusOK)
	h.checkForwardedIdentity(u.request(0), "mill")
	h.is.True(!h.lines.Has("key-of-"))
}

// TestOnlyKnownKeysAreServed covers reused connections and changes of the configuration.
func TestOnlyKnownKeysAreServed(t *testing.T) {
	u := newUpstream(t, respond(http.StatusOK, "fine"))
	route := httproute.Route{Kind: httproute.Safe, MaxAttempts: 1}
	h := newKeyedHarness(t, route, u)
	ask := func(fields ...string) reply { return h.askAt(h.caller.URL, http.MethodGet, "/r/x", "", fields...) }
	h.is.Equal(ask().status, http.StatusUnauthorized)
	h.is.Equal(ask(header.Authorization, "Basic "+ownKey).status, http.StatusUnauthorized)
	h.is.Equal(ask(header.Authorization, bearerOf("")).status, http.StatusUnauthorized)
	h.is.Equal(ask(header.Authorization, bearerOf("key-of-nobody")).status, http.StatusUnauthorized)
	h.is.Equal(ask(header.Caller, "mill").status, http.StatusUnauthorized)
	h.is.Equal(ask(header.Authorization, bearerOf(ownKey)).status, http.StatusOK)
	h.organisations[0].Keys = nil // withdrawn
	h.declare(3, route)
	h.is.Equal(ask(header.Authorization, bearerOf(ownKey)).status, http.StatusUnauthorized)
	h.organisations[0].Keys = []httproute.KeyDigest{httproute.DigestKey("key-of-mill-2")}
	h.declare(4, route)
	h.is.Equal(ask(header.Authorization, bearerOf("key-of-mill-2")).status, http.StatusOK)
	h.is.Equal(u.arrivals.Load(), int32(2))
	h.is.True(!h.lines.Has("key-of-"))
}

// TestTwoAuthorizationHeadersAreNotAccepted guards against a result that depends on which header
// a reader uses.
func TestTwoAuthorizationHeadersAreNotAccepted(t *testing.T) {
	is := is.New(t)
	_, given := bearer(http.Header{header.Authorization: {bearerOf(ownKey), bearerOf(otherKey)}})
	is.True(!given)
	key, given := bearer(http.Header{header.Authorization: {"bearer  " + ownKey}})
	is.True(given)
	is.Equal(key, ownKey)
}

// TestAPublicRouteNeedsNoKey also checks that a key which is sent all the same is not passed on.
func TestAPublicRouteNeedsNoKey(t *testing.T) {
	u := newUpstream(t, respond(http.StatusOK, "fine"))
	h := newKeyedHarness(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1, Public: true}, u)
	h.is.Equal(h.ask(http.MethodGet, "/r/x", "").status, http.StatusOK)
	h.checkForwardedIdentity(u.request(0), "")
	h.is.Equal(h.askAt(h.caller.URL, http.MethodGet, "/r/x", "", header.Authorization, bearerOf("key-of-nobody")).status, http.StatusOK)
	h.checkForwardedIdentity(u.request(1), "")
}

// TestUnknownKeyIsNotRejectedWhileTheStoreIsUnavailable guards against a final answer to a key
// that may have been added since: a caller does not retry after 401.
func TestUnknownKeyIsNotRejectedWhileTheStoreIsUnavailable(t *testing.T) {
	u := newUpstream(t, respond(http.StatusOK, "fine"))
	h := newKeyedHarness(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1}, u)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { h.edge.store.Run(ctx); close(ended) }()
	h.eventually("the store is lost", h.edge.store.LastCallFailed)
	got := h.askAt(h.caller.URL, http.MethodGet, "/r/x", "", header.Authorization, bearerOf("key-of-nobody"))
	h.is.Equal(got.status, http.StatusServiceUnavailable)
	h.is.Equal(h.ask(http.MethodGet, "/r/x", "").status, http.StatusUnauthorized) // no key at all
	h.is.Equal(h.askAt(h.caller.URL, http.MethodGet, "/r/x", "", header.Authorization, bearerOf(ownKey)).status, http.StatusOK)
	cancel()
	<-ended
}

// TestForwardedRequestNeedsAProofOfItsOrganisation guards against callers that impersonate an
// instance: the sender must prove, for this request alone, that it saw a key which is known here.
func TestForwardedRequestNeedsAProofOfItsOrganisation(t *testing.T) {
	u := newUpstream(t, respond(http.StatusOK, "fine"))
	h := newKeyedHarness(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1}, u)
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
			got := h.askAt(h.peers.URL, http.MethodGet, "/r/x", "", testID, c.id, header.Caller, c.organisation, header.CallerProof, c.proof, header.Authorization, bearerOf(ownKey))
			is.Equal(got.status, c.status)
			if c.status != http.StatusOK {
				is.Equal(got.header.Get(header.Outcome), string(outcome.NotRun))
			}
		})
	}
	h.is.Equal(u.arrivals.Load(), int32(1))
	h.checkForwardedIdentity(u.request(0), "mill")
}

// TestEachAttemptNamesTheOrganisation covers a retry on a second upstream after a failure, and a
// resumed stream.
func TestEachAttemptNamesTheOrganisation(t *testing.T) {
	event := func(conn net.Conn, request *http.Request) bool {
		writeResponse(conn, request, http.StatusOK, "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n")
		return false
	}
	broken := func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get(testAfter) != "" {
			return event(conn, request)
		}
		writeResponse(conn, request, http.StatusOK, "Content-Length: 1000\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n")
		return false
	}
	first, second := newUpstream(t, broken), newUpstream(t, broken)
	h := newKeyedHarness(t, httproute.Route{Kind: httproute.Streaming, Resumable: true, MaxAttempts: 2}, first, second)
	got := h.askAt(h.caller.URL, http.MethodPost, "/r/x", "body", header.Authorization, bearerOf(ownKey), testOrganisation, "dairy")
	h.is.Equal(got.status, http.StatusOK)
	h.is.Equal(first.arrivals.Load()+second.arrivals.Load(), int32(2))
	h.checkForwardedIdentity(first.request(0), "mill")
	h.checkForwardedIdentity(second.request(0), "mill")
}

// TestHomeRegionsOfAnOrganisationAreEnforced checks them together with those of the route.
func TestHomeRegionsOfAnOrganisationAreEnforced(t *testing.T) {
	u := newUpstream(t, respond(http.StatusOK, "fine"))
	h := newKeyedHarness(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1}, u)
	h.organisations[0].Homes = []string{"south"}
	urgent := 3
	h.organisations[1].Priority = &urgent
	h.declare(3, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1, Homes: []string{testRegion, "south"}, Priority: 1})
	got := h.askAt(h.caller.URL, http.MethodGet, "/r/x", "", header.Authorization, bearerOf(ownKey))
	h.is.Equal(got.status, http.StatusServiceUnavailable)
	h.is.Equal(u.arrivals.Load(), int32(0))
	h.is.Equal(h.askAt(h.caller.URL, http.MethodGet, "/r/x", "", header.Authorization, bearerOf(otherKey)).status, http.StatusOK)
	config := h.edge.board.Routes.Load()
	route := config.Match("127.0.0.1", "/r/x")
	h.is.Equal(route.For(config.Organisation("dairy")).Priority, 3)
	h.is.Equal(route.For(config.Organisation("mill")).Priority, 1)
	h.is.True(route.For(config.Organisation("mill")).PermittedIn("south"))
	h.is.True(!route.For(config.Organisation("mill")).PermittedIn(testRegion))
	h.is.Equal(route.For(nil), route)
}

// TestAnOrganisationOverItsLimitIsRefused checks that the refusal is sent before the body is
// read, without a hop and with a Retry-After. A forwarded request is not counted again, and one
// that did not run is not counted at all.
func TestAnOrganisationOverItsLimitIsRefused(t *testing.T) {
	u := newUpstream(t, respond(http.StatusServiceUnavailable, "", testNotRun+": yes"))
	h := newKeyedHarness(t, httproute.Route{Kind: httproute.Unsafe, MaxAttempts: 1}, u)
	h.organisations[0].Limit = httproute.UsageLimit{Rate: 1, Burst: 1000, Tokens: true, Plain: 200}
	h.declare(3, httproute.Route{Kind: httproute.Unsafe, MaxAttempts: 1})
	h.edge.limiter.SetLimits(declaredLimits(h.edge.board.Routes.Load()))
	ask := func(tokens string) reply {
		return h.askAt(h.caller.URL, http.MethodPost, "/r/x", "body", header.Authorization, bearerOf(ownKey), testTokens, tokens)
	}
	h.is.Equal(ask("900000").status, http.StatusServiceUnavailable) // does not run, and is returned
	h.is.True(h.edge.limiter.States()[0].Balance >= 0)
	grant, err := h.edge.limiter.Admit("mill", declaredLimits(h.edge.board.Routes.Load())["mill"], 3000)
	h.is.NoErr(err)
	arrivals := u.arrivals.Load()
	got := ask("")
	h.is.Equal(got.status, http.StatusTooManyRequests)
	h.is.Equal(u.arrivals.Load(), arrivals)
	h.is.True(got.header.Get("Retry-After") != "0")
	h.is.True(h.lines.Has("reason=caller-limit", "organisation=mill", "limit=1 ", "balance=-"))
	proof := httproute.DigestKey(ownKey).Proof("mill", "id-1")
	forwarded := h.askAt(h.peers.URL, http.MethodPost, "/r/x", "body", testID, "id-1", header.Caller, "mill", header.CallerProof, proof)
	h.is.Equal(forwarded.status, http.StatusServiceUnavailable)
	h.is.True(forwarded.header.Get(header.Reason) != string(outcome.ReasonCallerLimit))
	grant.Refund()
}

func TestDeclaredLimitsReachTheLimiter(t *testing.T) {
	h := newKeyedHarness(t, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { h.edge.followLimits(ctx); close(ended) }()
	h.organisations = slices.Clone(h.organisations) // the configuration in force holds the former ones
	h.organisations[1].Limit = httproute.UsageLimit{Rate: 50, Burst: 50}
	h.declare(3, httproute.Route{Kind: httproute.Safe, MaxAttempts: 1})
	h.eventually("the limit is known", func() bool { return len(h.edge.limiter.States()) == 1 })
	h.edge.updateLimitGauges()
	h.is.Equal(h.edge.counts.series.Gauge("limit.rate", label(labelOrganisation, "dairy")).Value(), int64(50))
	cancel()
	<-ended
}
