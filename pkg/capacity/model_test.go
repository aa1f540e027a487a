package capacity_test

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/agent"
	"github.com/lilacweir/lilacweir/pkg/capacity"
)

// recorded has every series that the estimate of control traffic needs.
const recorded = `
BenchmarkBeat/nodes=1-12 1 0 sent-B/op 0 received-B/op
BenchmarkBeat/nodes=9-12 1 800 sent-B/op 400 received-B/op
BenchmarkUpstreamShare/upstreams=1-12 1 30 sent-B/op
BenchmarkUpstreamShare/upstreams=5-12 1 70 sent-B/op
BenchmarkPrefixShare/upstreams=1-12 1 50 sent-B/op
BenchmarkPrefixShare/upstreams=5-12 1 210 sent-B/op
BenchmarkDigestShare/domains=1-12 1 40 sent-B/op
BenchmarkDigestShare/domains=5-12 1 120 sent-B/op
BenchmarkDigestFetch/domains=1-12 1 5 sent-B/op 50 received-B/op
BenchmarkDigestFetch/domains=5-12 1 25 sent-B/op 250 received-B/op
BenchmarkPoll/upstreams=1-12 1 3 sent-B/op 7 received-B/op
BenchmarkPoll/upstreams=5-12 1 15 sent-B/op 35 received-B/op
BenchmarkApply/upstreams=10-12 1 600 change-bytes
BenchmarkApply/upstreams=1000-12 1 600 change-bytes
BenchmarkEncodeHead/upstreams=10-12 1 1000 head-bytes
BenchmarkEncodeHead/upstreams=1000-12 1 2980 head-bytes
BenchmarkEncodeHead/callers=1-12 1 100 head-bytes
BenchmarkEncodeHead/callers=60-12 1 690 head-bytes
`

// small has round numbers: 2 domains of 5 nodes and 10 servers each, and one change a
// second.
var small = capacity.Target{Nodes: 10, Servers: 20, Domains: 2, Organisations: 60, ChangesPerDay: 86400}

func measured(t *testing.T, text string) *capacity.Measured {
	t.Helper()
	series, err := capacity.Read(strings.NewReader(text))
	is.New(t).NoErr(err)
	return capacity.NewMeasured(series)
}

func TestLinksMultipliesSlopesByRates(t *testing.T) {
	terms, err := capacity.Links(small, measured(t, recorded), capacity.Shares{Digests: 1, Polls: 0.5, Watches: 0.4})
	is.New(t).NoErr(err)
	beats := 4 / agent.BeatInterval.Seconds()
	polls := 10 / agent.PollInterval.Seconds()
	prefixes := 5 / agent.PrefixInterval.Seconds()
	fetches := 1 / agent.DigestInterval.Seconds()
	want := []struct{ events, sent, received float64 }{
		{beats, beats * 100, beats * 50},
		{polls / 2, 0, polls / 2 * 10},
		{prefixes, 0, prefixes * 30},
		{0, 0, 0}, // this node fetches all digests itself
		{1, 600, 600},
		{fetches, fetches * 5, fetches * 50},
		{fetches / 5, fetches / 5 * 50, fetches / 5 * 5},
		{fetches, fetches * 4 * 20, 0},
		{polls / 2, polls / 2 * 3, polls / 2 * 7},
		{polls / 2, polls / 2 * 4 * 10, 0},
		{prefixes, prefixes * 4 * 30, 0},
		{0.4, 0, 0.4 * 4 / 3 * 1020},
	}
	is.New(t).Equal(len(terms), len(want))
	for i, term := range terms {
		t.Run(term.What, func(t *testing.T) {
			is := is.New(t)
			is.True(almostEqual(term.Events, want[i].events))
			is.True(almostEqual(term.Sent, want[i].sent))
			is.True(almostEqual(term.Received, want[i].received))
		})
	}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

func TestLinksNamesTheMissingSeries(t *testing.T) {
	is := is.New(t)
	without := strings.ReplaceAll(recorded, "BenchmarkPoll/", "BenchmarkOther/")
	_, err := capacity.Links(small, measured(t, without), capacity.MeanShares(small))
	var missing *capacity.MissingError
	is.True(errors.As(err, &missing))
	is.Equal(missing.Benchmark, "Poll")
}

func TestBytesGrowMoreSlowlyThanTheFleet(t *testing.T) {
	is := is.New(t)
	m := measured(t, recorded)
	sum := func(target capacity.Target) (bytes float64) {
		terms, err := capacity.Links(target, m, capacity.MeanShares(target))
		is.NoErr(err)
		for _, term := range terms {
			bytes += term.Sent + term.Received
		}
		return bytes
	}
	wide := capacity.UsersTarget
	wide.Nodes, wide.Servers, wide.Domains = 2*wide.Nodes, 2*wide.Servers, 2*wide.Domains
	is.True(sum(wide) < 1.2*sum(capacity.UsersTarget)) // twice the domains, of the same size
}
