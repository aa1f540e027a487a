package quota

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

func limited(limits config.Limits) *config.Caller {
	return &config.Caller{Name: caller, Limits: limits}
}

func TestRequestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := NewGate(clock.System{})
		busy := limited(config.Limits{RequestsPerSecond: 4})
		for range 4 {
			pass, refusal := gate.Admit(busy, 0)
			is.Equal(refusal, nil)
			pass.Done(0)
		}
		_, refusal := gate.Admit(busy, 0)
		is.Equal(refusal.Status, http.StatusTooManyRequests)
		is.Equal(refusal.Reason, outcome.ReasonCallerLimit)
		is.Equal(refusal.Outcome, outcome.NotRun)
		is.Equal(refusal.RetryAfter.Round(time.Millisecond), 250*time.Millisecond)
		time.Sleep(refusal.RetryAfter - time.Millisecond)
		_, early := gate.Admit(busy, 0)
		is.True(early != nil)
		time.Sleep(time.Millisecond)
		_, refusal = gate.Admit(busy, 0)
		is.Equal(refusal, nil) // the suggested wait was enough
		free, refusal := gate.Admit(&config.Caller{Name: "other"}, 1_000_000)
		is.Equal(refusal, nil)
		free.Done(1) // a caller without limits has no pass
	})
}

func TestTokensAreCorrectedAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := NewGate(clock.System{})
		busy := limited(config.Limits{TokensPerMinute: 600})
		pass, refusal := gate.Admit(busy, 300) // more than the burst: taken as debt
		is.Equal(refusal, nil)
		_, refusal = gate.Admit(busy, 1)
		is.Equal(refusal.RetryAfter.Round(time.Second), 29*time.Second)
		pass.Done(5) // less than estimated
		again, refusal := gate.Admit(busy, 5)
		is.Equal(refusal, nil)
		again.Done(205) // more than estimated
		_, refusal = gate.Admit(busy, 1)
		is.Equal(refusal.RetryAfter.Round(time.Second), 20*time.Second)
	})
}

func TestConcurrent(t *testing.T) {
	is := is.New(t)
	gate := NewGate(clock.System{})
	busy := limited(config.Limits{Concurrent: 2})
	first, refusal := gate.Admit(busy, 0)
	is.Equal(refusal, nil)
	_, refusal = gate.Admit(busy, 0)
	is.Equal(refusal, nil)
	_, refusal = gate.Admit(busy, 0)
	is.Equal(refusal.Reason, outcome.ReasonCallerLimit)
	first.Done(0)
	_, refusal = gate.Admit(busy, 0)
	is.Equal(refusal, nil)
}

// TestOnlyTheLargestDemandsAreReported guards against reports that grow with the number of
// callers. A caller that is not reported keeps its floor share.
func TestOnlyTheLargestDemandsAreReported(t *testing.T) {
	is := is.New(t)
	gate := NewGate(clock.System{})
	for i := range 600 {
		busy := &config.Caller{Name: fmt.Sprintf("caller-%03d", i), Limits: config.Limits{RequestsPerSecond: 1000}}
		for range 1 + i/10 {
			_, _ = gate.Admit(busy, 0)
		}
	}
	reported := gate.Demand()
	is.Equal(len(reported), GatewayDemands)
	is.Equal(reported[len(reported)-1].Caller, "caller-599")
	domain := DomainDemand([]board.Instance{{Incarnation: 1, State: board.InstanceLive, Load: board.GatewayLoad{Demand: reported}}}, time.Now())
	is.Equal(len(domain), DomainDemands)
	is.True(!Differs(domain, domain))
	is.True(Differs(domain, domain[1:]))
}

// TestWhichInstancesCount: an unreachable gateway keeps its share for SilentHold, one that left
// or crashed does not.
func TestWhichInstancesCount(t *testing.T) {
	now := start.Add(SilentHold)
	cases := []struct {
		name     string
		instance board.Instance
		want     bool
	}{
		{"live", board.Instance{Incarnation: 1, State: board.InstanceLive}, true},
		{"leaving", board.Instance{Incarnation: 1, State: board.InstanceLeaving}, true},
		{"silent", board.Instance{Incarnation: 1, State: board.InstanceSilent, LastHeard: start.Add(time.Second)}, true},
		{"silent for long", board.Instance{Incarnation: 1, State: board.InstanceSilent, LastHeard: start}, false},
		{"left", board.Instance{Incarnation: 1, State: board.InstanceLeft}, false},
		{"without a gateway", board.Instance{State: board.InstanceLive}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(mayAdmit(&c.instance, now), c.want) })
	}
}
