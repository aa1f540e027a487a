package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/admission"
	"github.com/lilacweir/lilacweir/pkg/api"
	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/relay"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// eventually waits for a condition that another goroutine establishes.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx := testContext(t)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatal("condition never held: " + what)
		}
	}
}

func refusalIn(t *testing.T, got answer) relay.RefusalError {
	t.Helper()
	var body relay.RefusalBody
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Fatalf("no refusal: %v: %q", err, got.body)
	}
	return body.Error
}

func TestRevisionNeverGoesDown(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	older := &config.Head{Revision: 6, Declaration: &config.Declaration{}}
	reply := h.north.Exchange(control.ExchangeArgs{Head: older, WantHead: true})
	is.Equal(reply.Revision, config.Revision(7))
	is.Equal(reply.Head, h.head) // a restarted agent recovers it
	same := &config.Head{Revision: 7, Declaration: &config.Declaration{}}
	is.Equal(h.north.Exchange(control.ExchangeArgs{Head: same, WantHead: true}).Head, h.head)
	is.Equal(h.send(testContext(t), upload.method, upload.path, residentKey, "x", nil).status, http.StatusOK)
	text := h.send(testContext(t), http.MethodGet, "/metrics", "", "", nil).body
	is.True(strings.Contains(text, "lilacweir_config_revision 7\n"))
	is.True(strings.Contains(text, "lilacweir_requests_all 1\n"))
}

func TestWithoutConfigurationNothingRuns(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	fresh := h.newGateway("north-2", "north-a", "north")
	callers, _ := fresh.Handlers()
	h.url = h.serve(callers)
	got := h.send(testContext(t), upload.method, upload.path, residentKey, "x", nil)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.outcome, notRun)
	is.Equal(refusalIn(t, got).Type, outcome.ReasonNoConfiguration)
	is.Equal(h.runs(), 0)
	is.Equal(h.send(testContext(t), http.MethodGet, "/readyz", "", "", nil).status, http.StatusServiceUnavailable)
	is.Equal(h.send(testContext(t), http.MethodGet, "/healthz", "", "", nil).status, http.StatusOK)
}

func TestInstancesListsOnlyServingInstances(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.north.Exchange(control.ExchangeArgs{Members: &board.Members{Instances: []board.Instance{
		{Name: "north-2", State: board.InstanceLive, Incarnation: 1, Revision: 7},
		{Name: "north-3", State: board.InstanceLive, Incarnation: 1}, // just started, without configuration
		{Name: "north-4", State: board.InstanceLeaving, Incarnation: 1, Revision: 7},
		{Name: "north-5", State: board.InstanceLive, Revision: 7}, // without a gateway
	}}})
	var names []string
	for _, entry := range h.north.Instances(&config.Caller{}).Instances {
		names = append(names, entry.Instance)
	}
	is.Equal(names, []string{"north-1", "north-2"})
}

func TestRequestWithKeyRunsOnceAndIsReplayed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	var list api.Instances
	is.NoErr(json.Unmarshal([]byte(h.send(testContext(t), http.MethodGet, "/v1/instances", residentKey, "", nil).body), &list))
	is.Equal(list.Instances[0].Instance, "north-1")
	is.Equal(len(list.Instances), 1) // the south is not permitted
	fields := http.Header{header.IdempotencyKey: {list.KeyPrefix + ".0123456789abcdef"}}
	first := h.send(testContext(t), upload.method, upload.path, residentKey, upload.body, fields)
	again := h.send(testContext(t), upload.method, upload.path, residentKey, upload.body, fields)
	is.Equal(first.status, http.StatusOK)
	is.Equal(again.status, http.StatusOK)
	is.Equal(again.body, first.body)
	is.Equal(again.header.Get(header.Replayed), header.True)
	other := h.send(testContext(t), upload.method, upload.path, residentKey, "another night", fields)
	is.Equal(other.outcome, unknown)
	is.Equal(h.runs(), 1)
}

func TestRepeatAfterALostAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	prefix, _ := h.north.claims.Prefix()
	fields := http.Header{header.IdempotencyKey: {prefix + ".0123456789abcdef"}}
	h.set("log-n1", "die", "1")
	is.Equal(h.reported(h.send(testContext(t), upload.method, upload.path, residentKey, upload.body, fields)), unknown)
	is.Equal(h.reported(h.send(testContext(t), upload.method, upload.path, residentKey, upload.body, fields)), unknown)
	is.Equal(h.runs(), 1)
	h.set("log-n1", "refuse", "1")
	unused := http.Header{header.IdempotencyKey: {prefix + ".fedcba9876543210"}}
	is.Equal(h.reported(h.send(testContext(t), upload.method, upload.path, residentKey, upload.body, unused)), notRun)
	eventually(t, "the end of the upstream's backoff", func() bool { return h.north.tracker.Load("log-n1").Backoff == 0 })
	is.Equal(h.reported(h.send(testContext(t), upload.method, upload.path, residentKey, upload.body, unused)), complete)
	is.Equal(h.runs(), 2)
}

func TestLongAnswerIsNotReplayedInPart(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	prefix, _ := h.north.claims.Prefix()
	fields := http.Header{header.IdempotencyKey: {prefix + ".0123456789abcdef"}}
	path := upload.path + "?bytes=200000"
	first := h.send(testContext(t), upload.method, path, residentKey, upload.body, fields)
	is.Equal(len(first.body), 200000)
	again := h.send(testContext(t), upload.method, path, residentKey, upload.body, fields)
	is.Equal(again.status, http.StatusConflict)
	is.Equal(again.outcome, complete)
	is.Equal(h.runs(), 1)
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.set("nurse-n1", "leave", "")
	for range 20 {
		is.Equal(h.reported(h.send(testContext(t), review.method, review.path, residentKey, review.body, nil)), complete)
	}
	reply := h.north.Exchange(control.ExchangeArgs{})
	is.True(reply.Observations["nurse-n1"].Leaving || len(h.journal.Entries("nurse-n1")) == 0)
	is.Equal(len(h.journal.Entries("nurse-n1")), 0)
	h.north.marks.mark("nurse-n2", time.Now())
	stale := &board.Upstreams{ByName: map[string]board.UpstreamLoad{"nurse-n2": {State: board.UpstreamLive, ReportedAt: time.Now()}}}
	h.north.Exchange(control.ExchangeArgs{Upstreams: stale})
	is.True(h.north.marks.marked("nurse-n2")) // an older live mark does not win
	later := time.Now().Add(2 * markClearDelay)
	stale.ByName["nurse-n2"] = board.UpstreamLoad{State: board.UpstreamLeaving, ReportedAt: later}
	h.north.Exchange(control.ExchangeArgs{Upstreams: stale})
	is.True(h.north.marks.marked("nurse-n2")) // its own report says leaving
	for _, back := range []board.UpstreamLoad{
		{State: board.UpstreamLive, ReportedAt: later},
		{State: board.UpstreamLeaving, Marked: true, ReportedAt: later}, // this gateway's own mark
	} {
		h.north.marks.mark("nurse-n2", time.Now())
		stale.ByName["nurse-n2"] = back
		h.north.Exchange(control.ExchangeArgs{Upstreams: stale})
		is.True(!h.north.marks.marked("nurse-n2")) // it is live again
	}
}

func TestPermissionIsRecheckedBeforeTheUpstream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	request := h.north.requestOf(t, "resident")
	route := h.north.Route(request)
	defer route.Release()
	choice, done, refusal := route.Next(testContext(t), nil)
	is.True(refusal == nil)
	defer done(relay.Report{})
	is.True(h.north.Permitted(request, &choice) == nil)
	declaration := *h.head.Declaration
	declaration.Callers = []config.Caller{{Name: "resident", KeyHash: config.HashKey(residentKey), Home: "south", Regions: []string{"south"}}}
	h.north.Exchange(control.ExchangeArgs{Head: &config.Head{Revision: 8, Declaration: &declaration}})
	is.Equal(h.north.Permitted(request, &choice).Outcome, outcome.NotRun)
	forwarded := h.send(testContext(t), review.method, review.path, residentKey, review.body, nil)
	is.Equal(forwarded.outcome, notRun) // the south's configuration has an older revision
	is.Equal(refusalIn(t, forwarded).Type, outcome.ReasonStaleRevision)
	is.Equal(h.runs(), 0)
}

func TestCallerDisconnectCancelsTheEngine(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.set("nurse-n1", "stall", "2")
	h.set("nurse-n2", "stall", "2")
	ctx, leave := context.WithCancel(testContext(t))
	request, err := http.NewRequestWithContext(ctx, review.method, "http://"+h.url+review.path, strings.NewReader(reviewBody))
	is.NoErr(err)
	request.Header.Set(header.Authorization, "Bearer "+residentKey)
	response, err := http.DefaultTransport.RoundTrip(request)
	is.NoErr(err)
	defer response.Body.Close()
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	is.NoErr(err)
	leave()
	eventually(t, "the engine's stream is cancelled", func() bool {
		entries := h.journal.Entries("")
		return len(entries) == 1 && entries[0].Result == journal.ResultCancelled
	})
}

func TestWhyLinesFitAPhoneScreen(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.set("nurse-n1", "die-after", "3")
	h.set("nurse-n2", "die-after", "9")
	h.send(testContext(t), review.method, review.path, residentKey, review.body, http.Header{header.RequestID: {"r7"}})
	var reply control.WhyReply
	is.NoErr((&Service{gateway: h.north}).Why(control.WhyArgs{RequestID: "r7"}, &reply))
	is.True(reply.Found)
	text := strings.Join(reply.Lines, "\n")
	for _, part := range []string{"arrived resident", "sent nurse-n", "failed nurse-n", "resumed nurse-n", "ended complete"} {
		is.True(strings.Contains(text, part)) // one line for each event
	}
	for _, line := range reply.Lines {
		is.True(len(line) <= 40)
	}
}

// TestGracefulShutdown follows the list of instances, as callers do, while a
// gateway leaves with a stream running.
func TestGracefulShutdown(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	gateway := h.north
	gateway.settings.Gateway = settings.Gateway{Callers: closedAddress(t), Peers: closedAddress(t), Control: closedAddress(t), MaxBody: 1 << 20}
	gateway.log = zerolog.Nop()
	h.url = gateway.settings.Gateway.Callers
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- gateway.Run(ctx) }()
	eventually(t, "the gateway answers", func() bool {
		return h.send(testContext(t), http.MethodGet, "/healthz", "", "", nil).status == http.StatusOK
	})
	h.set("nurse-n1", "slow", "3000")
	h.set("nurse-n2", "slow", "3000")
	long := make(chan answer, 1)
	body := strings.Replace(reviewBody, `:12,`, `:100,`, 1)
	go func() { long <- h.send(testContext(t), review.method, review.path, residentKey, body, nil) }()
	eventually(t, "the stream runs", func() bool { return h.runs() == 1 })
	stop()
	eventually(t, "the list leaves it out", func() bool {
		got := h.send(testContext(t), http.MethodGet, "/v1/instances", residentKey, "", nil)
		return strings.Contains(got.body, `"instances":[]`)
	})
	late := h.send(testContext(t), upload.method, upload.path, residentKey, upload.body, nil)
	is.Equal(late.status, http.StatusOK) // lists that callers hold are still valid
	eventually(t, "new requests are refused", func() bool {
		got := h.send(testContext(t), upload.method, upload.path, residentKey, upload.body, nil)
		return got.status == http.StatusServiceUnavailable && got.outcome == notRun && got.header.Get(header.RetryAfter) != ""
	})
	is.Equal(h.reported(<-long), complete)
	is.NoErr(<-ended)
}

func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	request, err := http.NewRequest(review.method, "http://"+h.southPeers+review.path, strings.NewReader(reviewBody))
	is.NoErr(err)
	for name, value := range map[string]string{header.Origin: "north-a", header.Class: header.ClassDomain, header.Caller: "resident", header.Revision: "7"} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(response.Header.Get(header.Outcome), notRun)
	is.True(strings.Contains(string(body), "forbidden-region")) // checked at the receiver
	is.Equal(h.runs(), 0)
}

func TestManyCallersEachGetTheirOwnAnswer(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	results := make(chan string)
	const callers = 40
	for i := range callers {
		go func() {
			body := fmt.Sprintf(`{"model":"nurse","messages":[{"role":"user","content":"night %d"}],"max_tokens":20,"stream":true}`, i)
			got := h.send(testContext(t), review.method, review.path, residentKey, body, http.Header{header.RequestID: {fmt.Sprint("n", i)}})
			if h.reported(got) != complete || strings.Count(got.body, fmt.Sprintf(`"id":"resident~n%d~`, i)) != 20 {
				results <- got.body
				return
			}
			results <- ""
		}()
	}
	for range callers {
		is.Equal(<-results, "")
	}
}

// Limits fall with each late or failed answer, and the queue's capacity follows
// with the next compiled table. A request that is admitted in between waits for a
// slot.
func TestAdmittedRequestWaitsAfterTheLimitsFell(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	var releases []func()
	for _, pool := range h.north.table.Load().Pools() {
		for _, name := range pool.Upstreams {
			releases = append(releases, h.fillSlots(pool.Key, name)...)
		}
	}
	answered := make(chan answer, 1)
	go func() {
		answered <- h.send(testContext(t), review.method, review.path, residentKey, review.body, nil)
	}()
	eventually(t, "the request waits or is answered", func() bool {
		return len(h.north.queue.Waiting()) > 0 || len(answered) > 0
	})
	if len(answered) > 0 {
		got := <-answered
		t.Fatalf("answered at once: %d %s %s", got.status, h.reported(got), got.body)
	}
	for _, release := range releases {
		release()
	}
	is.Equal(h.reported(<-answered), complete)
}

// fillSlots lowers the north's limit at an upstream by failures, each two followed
// by a success so that it is not ejected, and takes every remaining slot as
// requests do: in the queue and at the upstream. It returns the functions that
// release them.
func (h *harness) fillSlots(pool, upstream string) []func() {
	is := is.New(h.t)
	const failures = 40
	for range failures {
		for _, result := range []limit.Result{limit.Failed, limit.Failed, limit.Succeeded} {
			if flight, ok := h.north.tracker.Start(upstream, 0, 0); ok {
				flight.Done(result)
			}
		}
	}
	var releases []func()
	for range h.north.tracker.Load(upstream).Limit {
		leave, refusal := h.north.queue.Acquire(h.t.Context(), admission.Ticket{Caller: &config.Caller{Name: "holder"}, Serves: pool, Cost: 1})
		is.True(refusal == nil)
		flight, ok := h.north.tracker.Start(upstream, 0, 0)
		is.True(ok)
		releases = append(releases, func() { flight.Done(limit.Succeeded); leave() })
	}
	return releases
}

// Once a request has found a domain's link broken, the domain gets no request that
// may not be repeated: the next is refused as not run, until a probe succeeds.
func TestBrokenLinkIsNotUsedUntilAProbeSucceeds(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	link := newSwitchedLink(t, h.southPeers)
	h.connect(link.address)
	link.broken.Store(true)
	send := func() string {
		return h.reported(h.send(testContext(t), upload.method, upload.path, roamerKey, upload.body, nil))
	}
	is.Equal(send(), unknown)
	is.Equal(send(), notRun)
	is.Equal(h.runs(), 0)
	link.broken.Store(false)
	eventually(t, "the link is used again", func() bool { return send() == complete })
	is.Equal(h.runs(), 1)
}

func TestDeadlineEndsARequestWithItsOutcome(t *testing.T) {
	tests := []struct {
		name, stall, deadline string
		status                int
		outcome               string
	}{
		{"cannot be met", "0", "50", http.StatusServiceUnavailable, notRun},
		{"before the first byte", "0", "1500", http.StatusGatewayTimeout, unknown},
		{"inside the stream", "3", "1500", http.StatusOK, unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t)
			h.set("nurse-n1", "stall", test.stall)
			h.set("nurse-n2", "stall", test.stall)
			got := h.send(testContext(t), review.method, review.path, residentKey, review.body, http.Header{header.Deadline: {test.deadline}})
			is.Equal(got.status, test.status)
			is.Equal(h.reported(got), test.outcome)
			is.True(strings.Contains(got.body, string(outcome.ReasonDeadline)))
			is.True(h.runs() <= 1)
		})
	}
}

// One engine that rejects everything must not fail requests while another one is
// idle.
func TestRejectingEngineFailsNoRequests(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.set("nurse-n1", "refuse", "1000")
	for i := range 30 {
		body := fmt.Sprintf(`{"model":"nurse","messages":[{"role":"user","content":"night %d"}],"max_tokens":2,"stream":true}`, i)
		is.Equal(h.reported(h.send(testContext(t), review.method, review.path, residentKey, body, nil)), complete)
	}
	is.Equal(len(h.journal.Entries("nurse-n1")), 0)
	is.Equal(h.runs(), 30)
}

// If all engines of a domain reject requests, requests go to another domain at once
// after the first have discovered it; those that may not leave are refused with a
// Retry-After.
func TestRequestsLeaveADomainThatRejectsAll(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	declaration := *h.head.Declaration
	declaration.Spill = []config.Spill{{From: "north", To: "south", Percent: 100}}
	declaration.Callers = append(slices.Clone(declaration.Callers),
		config.Caller{Name: "both", KeyHash: config.HashKey("key-both"), Home: "north", Regions: []string{"north", "south"}})
	h.head = &config.Head{Revision: h.head.Revision + 1, Declaration: &declaration}
	h.connect(h.southPeers)
	h.south.Exchange(control.ExchangeArgs{Head: h.head})
	h.set("nurse-n1", "refuse", "1000")
	h.set("nurse-n2", "refuse", "1000")
	const requests = 8 // the credit that the south gave
	for range requests {
		got := h.send(testContext(t), review.method, review.path, "key-both", review.body, nil)
		is.Equal(h.reported(got), complete)
		is.Equal(got.header.Get(header.Domain), "south-a")
	}
	// Without a backoff there are two retries for each request; the bound allows for
	// a machine so slow that some backoffs end in between.
	is.True(h.north.metrics.Retried.Count() < 3*requests/2)
	got := h.send(testContext(t), review.method, review.path, residentKey, review.body, nil)
	is.Equal(h.reported(got), notRun)
	is.True(got.header.Get(header.RetryAfter) != "")
}
