package steer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// contendedService declares short urgent requests that may be processed in north and south, and long
// ones that may be processed anywhere.
func contendedService(t *testing.T, longPriority int) (service *httproute.Service, short, long *httproute.Route) {
	t.Helper()
	backends := []httproute.Backend{{Service: "llm", Weight: 1}}
	config, err := httproute.Compile(1, httproute.Limits{}, []httproute.Route{
		{Name: "short", Prefix: "/s/", Kind: httproute.Streaming, TargetLatency: 500 * time.Millisecond, Priority: 1, Homes: []string{"north", "south"}, Backends: backends},
		{Name: "long", Prefix: "/l/", Kind: httproute.Streaming, TargetLatency: 1500 * time.Millisecond, Priority: longPriority, Backends: backends},
	}, []httproute.Service{{Name: "llm", Engine: &httproute.Engine{Slots: 4}}})
	is.New(t).NoErr(err)
	return config.Service("llm"), &config.Routes[0], &config.Routes[1]
}

// TestFlexibleRequestsLeaveContestedRegions guards against flexible requests that hold slots of a region
// that other requests may not leave, and against moves that help nobody.
func TestFlexibleRequestsLeaveContestedRegions(t *testing.T) {
	service, short, long := contendedService(t, 2)
	sameService, _, urgent := contendedService(t, 0)
	idle := remoteRegion("east", 1, 16, 0)
	for name, c := range map[string]struct {
		inFlight int
		service  *httproute.Service
		route    *httproute.Route
		remote   steer.RemoteRegion
		min, max int
	}{
		"half of the slots taken":           {2, service, long, idle, 0, 0},
		"three quarters taken":              {3, service, long, idle, 950, 1000},
		"queueing":                          {8, service, long, idle, 950, 1000},
		"bound route":                       {8, service, short, idle, 0, 0},
		"more urgent than the bound":        {8, sameService, urgent, idle, 0, 0},
		"other region contested as well":    {8, service, long, remoteRegion("south", 1, 16, 0), 0, 0},
		"other region as loaded":            {4, service, long, remoteRegion("east", 15, 16, 0), 0, 0},
		"other region late":                 {4, service, long, remoteRegion("east", 4, 16, 400_000), 0, 0},
		"other region evacuated or cut off": {8, service, long, steer.RemoteRegion{}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSnapshot(loads{"u0": limit.Load{InFlight: c.inFlight}}, upstream("u0", "llm", "north"))
			w.Estimates = trainedEstimator(100, 0.02)
			var regions []steer.RemoteRegion
			if c.remote.Region != "" {
				regions = append(regions, c.remote)
			}
			req := &steer.Request{Route: c.route, Service: c.service, PromptTokens: 2000, Segments: []steer.Segment{{ID: "own", Tokens: 2000}}}
			went := 0
			for random := range uint64(1000) {
				w.Random = random * 0x9e3779b97f4a7c15
				if steer.Yield(w, req, w.SurveyRegion(req), regions) != nil {
					went++
				}
			}
			if went < c.min || went > c.max {
				t.Errorf("%d of 1,000 left, want %d to %d", went, c.min, c.max)
			}
		})
	}
}

// TestHalfOfTheFlexibleRequestsLeaveOnTheRamp guards against instances that all start and stop forwarding
// at the same load.
func TestHalfOfTheFlexibleRequestsLeaveOnTheRamp(t *testing.T) {
	service, _, long := contendedService(t, 2)
	w := newSnapshot(loads{"u0": {InFlight: 3}, "u1": {InFlight: 2}}, upstream("u0", "llm", "north"), upstream("u1", "llm", "north"))
	w.Estimates = trainedEstimator(100, 0.02)
	req := &steer.Request{Route: long, Service: service, PromptTokens: 2000, Segments: []steer.Segment{{ID: "own", Tokens: 2000}}}
	went := 0
	for random := range uint64(1000) {
		w.Random = random * 0x9e3779b97f4a7c15
		if steer.Yield(w, req, w.SurveyRegion(req), []steer.RemoteRegion{remoteRegion("east", 1, 16, 0)}) != nil {
			went++
		}
	}
	is.New(t).True(went > 400 && went < 600)
}

// TestReservesHoldOnlyWhereUrgentRequestsMayRun guards against long requests that are refused in a region
// for the sake of urgent ones that may not be processed there.
func TestReservesHoldOnlyWhereUrgentRequestsMayRun(t *testing.T) {
	is := is.New(t)
	service, _, long := contendedService(t, 2)
	long.UrgentTarget = 500 * time.Millisecond
	late := func(region string) bool {
		w := newSnapshot(loads{"u": limit.Load{InFlight: 1, Prefill: 30_000}}, upstream("u", "llm", region))
		w.Region, w.Estimates = region, trainedEstimator(100, 0.02)
		req := &steer.Request{Route: long, Service: service, PromptTokens: 1000, Contended: true, Segments: []steer.Segment{{ID: "own", Tokens: 1000}}}
		return w.SurveyRegion(req).Best.Late
	}
	is.True(late("north"))
	is.True(!late("east"))
}
