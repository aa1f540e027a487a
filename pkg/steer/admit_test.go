package steer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// trainedEstimator returns an Estimator trained with answers that began after base
// milliseconds plus perToken for each prompt token.
func trainedEstimator(base, perToken float64) *steer.Estimator {
	e := steer.NewEstimator()
	u := upstream("u", "llm", "north")
	for i := range 400 {
		tokens := i % 40 * 500
		e.Observe(&steer.Candidate{Upstream: &u, Uncached: tokens}, ms(base+perToken*float64(tokens)), now)
	}
	return e
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// TestEstimatorLearnsTimeToFirstToken covers engines up to seven times faster and four
// times slower than the initial estimate.
func TestEstimatorLearnsTimeToFirstToken(t *testing.T) {
	for _, perToken := range []float64{1.0 / 280, 1.0 / 70, 1.0 / 40, 1.0 / 10} {
		t.Run(fmt.Sprint(perToken), func(t *testing.T) {
			forecast := trainedEstimator(50, perToken).Forecast("llm", now)
			for _, tokens := range []float64{0, 3000, 20000} {
				want := 50 + perToken*tokens
				if got := forecast.Reading(tokens); math.Abs(got-want) > 0.15*want+5 {
					t.Errorf("%v tokens: predicted %.0f ms, want %.0f", tokens, got, want)
				}
			}
		})
	}
}

// TestSlowUpstreamFactorDecays checks that a slow upstream is detected, and tried again
// some seconds after its last answer.
func TestSlowUpstreamFactorDecays(t *testing.T) {
	is := is.New(t)
	e := trainedEstimator(100, 0.02)
	slow := upstream("slow", "llm", "north")
	for range 15 {
		e.Observe(&steer.Candidate{Upstream: &slow, Uncached: 2000}, ms(8*140), now)
	}
	forecast := e.Forecast("llm", now)
	is.True(forecast.Factor("slow") > 4)
	is.True(forecast.Factor("u") < 1.5)
	later := e.Forecast("llm", now.Add(20*time.Second))
	is.True(later.Factor("slow") < 2)
}

// TestFrozenEngineDoesNotSkewTheEstimate guards against one frozen engine that spoils the
// estimate of the service's other engines.
func TestFrozenEngineDoesNotSkewTheEstimate(t *testing.T) {
	e := trainedEstimator(100, 0.02)
	frozen := upstream("frozen", "llm", "north")
	for range 10 {
		e.Observe(&steer.Candidate{Upstream: &frozen, Uncached: 1000}, 20*time.Second, now)
	}
	forecast := e.Forecast("llm", now)
	is.New(t).True(forecast.Reading(1000) < 250)
}

// timedRequest returns a request of a route with a target.
func timedRequest(priority int, target, yields time.Duration) *steer.Request {
	route := *prompt
	route.TargetLatency, route.Priority, route.UrgentTarget = target, priority, yields
	return &steer.Request{Route: &route, Service: engine, PromptTokens: 1000, Segments: []steer.Segment{{ID: "own", Tokens: 1000}}}
}

// queuedSnapshot returns a snapshot with one engine that has prefill unread prompt tokens.
func queuedSnapshot(prefill int) *steer.Snapshot {
	w := newSnapshot(loads{"u": limit.Load{InFlight: 1, Prefill: prefill}}, upstream("u", "llm", "north"))
	w.Estimates = trainedEstimator(100, 0.02)
	return w
}

// TestRequestIsLateWhenPredictedAfterItsTarget also checks that a prompt that uses up the
// whole target alone may still wait a little.
func TestRequestIsLateWhenPredictedAfterItsTarget(t *testing.T) {
	is := is.New(t)
	is.True(!queuedSnapshot(10_000).SurveyRegion(timedRequest(0, 600*time.Millisecond, 0)).Best.Late)
	is.True(queuedSnapshot(25_000).SurveyRegion(timedRequest(0, 600*time.Millisecond, 0)).Best.Late)
	is.True(!queuedSnapshot(25_000).SurveyRegion(timedRequest(0, 1200*time.Millisecond, 0)).Best.Late)
	long := timedRequest(0, 600*time.Millisecond, 0)
	long.PromptTokens = 40_000
	is.True(!queuedSnapshot(5_000).SurveyRegion(long).Best.Late)
	is.True(queuedSnapshot(15_000).SurveyRegion(long).Best.Late)
}

func TestLessUrgentRequestsYieldOnlyUnderContention(t *testing.T) {
	is := is.New(t)
	request := timedRequest(1, 800*time.Millisecond, 600*time.Millisecond)
	is.True(!queuedSnapshot(15_000).SurveyRegion(request).Best.Late)
	request.Contended = true
	is.True(queuedSnapshot(15_000).SurveyRegion(request).Best.Late)
	is.True(!queuedSnapshot(5_000).SurveyRegion(request).Best.Late)
}

func TestRegionBacksOffAfterCapacityRefusal(t *testing.T) {
	is := is.New(t)
	request := timedRequest(0, time.Second, 0)
	w := newSnapshot(loads{}, upstream("u1", "llm", "south"))
	w.Peers = &peer.View{Others: []peer.Known{{Instance: fleet.Instance{Name: "s-1", Region: "south"}, Ready: true, ReportedAt: now}}}
	is.Equal(len(w.Regions(request)), 1)
	w.Local = loads{steer.RegionKey("south", request): limit.Load{Backoff: time.Second}}
	is.Equal(len(w.Regions(request)), 0)
	is.Equal(len(w.Regions(timedRequest(1, time.Second, 0))), 1)
}
