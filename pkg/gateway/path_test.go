package gateway

import (
	"context"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/header"
)

// call is one kind of request in these tests.
type call struct{ method, path, body string }

var (
	upload = call{http.MethodPost, "/sleeplog/uploads", "one night"} // may not be repeated
	export = call{http.MethodGet, "/sleeplog/exports/7", ""}         // repeatable
	review = call{http.MethodPost, "/v1/chat/completions", reviewBody}
)

const complete, notRun, unknown = "complete", "not-run", "unknown"

// TestBrokenPath breaks the path at each point and compares the outcome reported to
// the caller with the upstreams' journal.
func TestBrokenPath(t *testing.T) {
	tests := []struct {
		name  string
		call  call
		key   string
		fault func(h *harness)
		want  string
		// least and most bound how often the request ran.
		least, most int
	}{
		{"upload whole", upload, residentKey, func(*harness) {}, complete, 1, 1},
		{"upload before connect", upload, residentKey, func(h *harness) { h.changeAddress("log-n1", closedAddress(t)) }, notRun, 0, 0},
		{"upload mid-body", upload, residentKey, func(h *harness) { h.truncateUpstream("log-n1", 30, -1) }, unknown, 0, 1},
		{"upload after the body", upload, residentKey, func(h *harness) { h.set("log-n1", "die", "1") }, unknown, 1, 1},
		{"upload not started", upload, residentKey, func(h *harness) { h.set("log-n1", "refuse", "1") }, notRun, 0, 0},
		{"upload answer truncated", upload, residentKey, func(h *harness) { h.truncateUpstream("log-n1", -1, 120) }, unknown, 1, 1},
		{"upload refused by the service itself", upload, residentKey, func(h *harness) { h.set("log-n1", "fail", "1") }, complete, 1, 1},
		{"export before connect", export, residentKey, func(h *harness) { h.changeAddress("log-n1", closedAddress(t)) }, notRun, 0, 0},
		{"export answer truncated", export, residentKey, func(h *harness) { h.truncateUpstream("log-n1", -1, 120) }, unknown, 1, 4},
		{"review whole", review, residentKey, func(*harness) {}, complete, 1, 1},
		{"review before connect of one engine", review, residentKey, func(h *harness) { h.changeAddress("nurse-n1", closedAddress(t)) }, complete, 1, 1},
		{"review before the first byte", review, residentKey, func(h *harness) { h.set("nurse-n1", "die-after", "0") }, complete, 1, 2},
		{"review after the first byte", review, residentKey, func(h *harness) { h.set("nurse-n1", "die-after", "3"); h.set("nurse-n2", "die-after", "9") }, complete, 2, 4},
		{"review truncated without its end", review, residentKey, func(h *harness) { h.set("nurse-n1", "truncate", ""); h.set("nurse-n2", "truncate", "") }, unknown, 1, 4},
		{"review with crossed answers from every engine", review, residentKey, func(h *harness) { h.set("nurse-n1", "cross", ""); h.set("nurse-n2", "cross", "") }, unknown, 1, 4},
		{"forwarded upload whole", upload, roamerKey, func(*harness) {}, complete, 1, 1},
		{"forwarded upload, link down", upload, roamerKey, func(h *harness) { h.connect(closedAddress(t)) }, notRun, 0, 0},
		{"forwarded upload, link broken in the request", upload, roamerKey, func(h *harness) { h.truncateLink(30, -1) }, unknown, 0, 1},
		{"forwarded upload, answer lost", upload, roamerKey, func(h *harness) { h.truncateLink(-1, 1) }, unknown, 1, 1},
		{"forwarded upload, upstream unreachable", upload, roamerKey, func(h *harness) { h.changeAddress("log-s1", closedAddress(t)) }, notRun, 0, 0},
		{"forwarded upload, upstream crashes", upload, roamerKey, func(h *harness) { h.set("log-s1", "die", "1") }, unknown, 1, 1},
		{"forwarded review whole", review, roamerKey, func(*harness) {}, complete, 1, 1},
		{"forwarded review, engine crashes", review, roamerKey, func(h *harness) { h.set("nurse-s1", "die-after", "5") }, complete, 2, 16}, // four attempts at each gateway
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			test.fault(h)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			got := h.send(ctx, test.call.method, test.call.path, test.key, test.call.body, nil)
			reported := h.reported(got)
			runs := h.runs()
			t.Logf("status %d, ran %d, error %v, answer %q", got.status, runs, got.err, got.body)
			is.Equal(reported, test.want)
			is.True(runs >= test.least && runs <= test.most) // as recorded in the journal
			if reported == complete && test.call == review {
				is.Equal(texts(got.body), texts(newHarness(t).send(ctx, http.MethodPost, review.path, residentKey, review.body, nil).body))
			}
			if reported != complete && got.status >= http.StatusBadRequest {
				is.True(strings.Contains(got.body, `"request_id":"`))
			}
		})
	}
}

// reported returns the outcome as a caller would read it.
func (h *harness) reported(got answer) string {
	switch {
	case got.err != nil:
		return unknown // a broken connection carries no outcome
	case got.outcome != "":
		return got.outcome
	case strings.Contains(got.body, "event: error"):
		return unknown
	case strings.HasSuffix(got.body, "data: [DONE]\n\n"):
		return complete
	default:
		return "truncated without an error"
	}
}

// texts returns a stream without the request IDs in it.
func texts(stream string) string {
	var out strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		_, text, found := strings.Cut(line, `"object"`)
		if !found {
			text = line
		}
		out.WriteString(text + "\n")
	}
	return out.String()
}

func (h *harness) set(upstream, verb, argument string) {
	var err error
	if e, ok := h.engines[upstream]; ok {
		err = e.Set(verb, argument)
	} else {
		err = h.services[upstream].Set(verb, argument)
	}
	if err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) truncateUpstream(name string, requestBytes, answerBytes int64) {
	upstream, _ := h.north.config.Load().Upstream(name)
	h.changeAddress(name, newTruncatingProxy(h.t, upstream.Address, requestBytes, answerBytes))
}

func (h *harness) truncateLink(requestBytes, answerBytes int64) {
	h.connect(newTruncatingProxy(h.t, h.southPeers, requestBytes, answerBytes))
}

func TestStreamResumesAfterABrokenLink(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	whole := h.send(ctx, review.method, review.path, roamerKey, review.body, http.Header{header.RequestID: {"same"}})
	is.Equal(whole.header.Get(header.Domain), "south-a")
	is.Equal(whole.header.Get(header.RequestID), "same")
	south := twoInstanceDomain(h, newTruncatingProxy(t, h.southPeers, -1, 1500), h.southPeers)
	h.north.Exchange(south)
	resumed := h.send(ctx, review.method, review.path, roamerKey, review.body, http.Header{header.RequestID: {"same"}})
	is.NoErr(resumed.err)
	ids := regexp.MustCompile(`roamer~same~[0-9a-z]+`)
	one := ids.FindString(resumed.body)
	is.Equal(strings.Count(resumed.body, one), strings.Count(resumed.body, `"id"`))               // one request ID throughout
	is.Equal(strings.ReplaceAll(resumed.body, one, "ID"), ids.ReplaceAllString(whole.body, "ID")) // byte for byte, across two gateways
}
