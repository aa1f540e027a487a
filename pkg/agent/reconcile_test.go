package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock/clocktest"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// A gateway's load changes with each exchange while it serves. If each change
// triggered the next exchange, the two would exchange without a pause.
func TestOnlyMembershipAndStateChangesTriggerAnExchange(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name   string
		change func(a *Agent)
		want   bool
	}{
		{"nothing", func(*Agent) {}, false},
		{"own load", func(a *Agent) { a.mesh.setLoad(board.GatewayLoad{Requests: 8}, nil) }, false},
		{"a peer's load", func(a *Agent) {
			a.mesh.receive(&control.Beat{From: "a-2", Epoch: 5, Sequence: 2, UpTo: 2, Facts: control.Facts{Load: &board.GatewayLoad{Requests: 3}}}, now)
		}, false},
		{"an upstream's load", func(a *Agent) {
			a.mesh.setUpstream(board.UpstreamLoad{Name: "u-1", State: board.UpstreamLive, Running: 4})
		}, false},
		{"an upstream that leaves", func(a *Agent) { a.mesh.setMark("u-1", true) }, true},
		{"an upstream that is silent", func(a *Agent) {
			a.mesh.setUpstream(board.UpstreamLoad{Name: "u-1", State: board.UpstreamSilent})
		}, true},
		{"a gateway that leaves", func(a *Agent) { a.mesh.setGateway(9, true, now) }, true},
		{"a peer that leaves", func(a *Agent) { a.mesh.goodbye("a-2", 5, now) }, true},
		{"a successor for idempotency keys", func(a *Agent) {
			a.mesh.setLoad(board.GatewayLoad{Requests: 7, Successor: "a-2"}, nil)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := settledAgent(t, now)
			c.change(a)
			a.publish(now)
			is.Equal(len(a.exchange) == 1, c.want)
		})
	}
}

// settledAgent returns an agent with one peer and one upstream, and no exchange
// pending.
func settledAgent(t *testing.T, now time.Time) *Agent {
	t.Helper()
	network, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, nil)
	is.New(t).NoErr(err)
	a := New(Options{
		Settings: &settings.Instance{Instance: "a-1", Domain: "a", Region: "r"},
		Mesh:     network, Local: network, Log: zerolog.Nop(), Registry: metrics.NewRegistry(), Epoch: 1,
	})
	u := config.Upstream{Name: "u-1", Kind: config.KindEngine, Serves: "m", Domain: "a"}
	a.keeper.Offer(&config.Head{Revision: 1, Declaration: &config.Declaration{Upstreams: []config.Upstream{u}}}, spread.SourcePlatform)
	a.mesh.receive(&control.Beat{From: "a-2", Epoch: 5, Sequence: 1, UpTo: 1, Facts: control.Facts{
		Identity: &member.Identity{Name: "a-2", Domain: "a", Region: "r", Epoch: 5},
	}}, now)
	a.mesh.setGateway(9, false, now)
	a.mesh.setLoad(board.GatewayLoad{Requests: 7}, nil)
	a.mesh.setUpstream(board.UpstreamLoad{Name: "u-1", State: board.UpstreamLive, Running: 3})
	a.publish(now)
	for len(a.exchange) > 0 {
		<-a.exchange
	}
	return a
}

// Many domains send the same configuration at the same time; it is decoded once.
func TestAHeldConfigurationIsNotDecodedAgain(t *testing.T) {
	is := is.New(t)
	a := settledAgent(t, time.Unix(1_800_000_000, 0))
	unreadable := func(to config.Revision) error {
		return a.applyUpdate(&control.HeadUpdate{To: to, Whole: []byte("no head")}, spread.SourceDomain)
	}
	is.NoErr(unreadable(1)) // held already
	is.True(unreadable(2) != nil)
	is.True(unreadable(0) != nil) // without a target revision it must be decoded
}

func TestAFreshInstanceOwnsNoDigests(t *testing.T) {
	is := is.New(t)
	a := settledAgent(t, time.Unix(1_800_000_000, 0))
	a.Settings.Seeds = []settings.Seed{{Domain: "b", Mesh: "127.0.0.1:1"}}
	is.Equal(len(a.digestJobs([]string{"a-1"})), 0)
	a.started = a.started.Add(-SettleTime)
	is.Equal(len(a.digestJobs([]string{"a-1"})), 1)
}

// TestDigestsAreOrderedWhileTheClockStepsBack guards against digests that other domains leave out as older ones,
// since the time of day was set back.
func TestDigestsAreOrderedWhileTheClockStepsBack(t *testing.T) {
	is := is.New(t)
	now := clocktest.NewClock()
	a := settledAgent(t, now.Now())
	a.started = now.Now()
	before := a.ownDigest(now.Now())
	now.Seconds = -3600
	now.Advance(time.Second)
	after := a.ownDigest(now.Now())
	is.Equal(after.Sequence-before.Sequence, uint64(time.Second))
}
