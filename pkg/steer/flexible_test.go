package steer_test

import (
	"fmt"
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

// lateAnswers returns a Lateness after 50 answers of a route in north, some of them late.
func lateAnswers(service *httproute.Service, route *httproute.Route, late int) *steer.Lateness {
	l := steer.NewLateness()
	for i := range 50 {
		took := route.TargetLatency / 2
		if i < late {
			took = 2 * route.TargetLatency
		}
		l.Observe(service, route, "north", took, now)
	}
	return l
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
		// late is how many of 50 answers of the bound route were late.
		late     int
		min, max int
	}{
		"half of the slots taken":           {2, service, long, idle, 50, 0, 0},
		"three quarters taken":              {3, service, long, idle, 10, 950, 1000},
		"queueing":                          {8, service, long, idle, 10, 950, 1000},
		"some bound answers late":           {8, service, long, idle, 1, 250, 450},
		"bound answers in time":             {8, service, long, idle, 0, 0, 0},
		"bound route":                       {8, service, short, idle, 10, 0, 0},
		"more urgent than the bound":        {8, sameService, urgent, idle, 10, 0, 0},
		"other region contested as well":    {8, service, long, remoteRegion("south", 1, 16, 0), 10, 0, 0},
		"other region as loaded":            {4, service, long, remoteRegion("east", 15, 16, 0), 10, 0, 0},
		"other region late":                 {4, service, long, remoteRegion("east", 4, 16, 400_000), 10, 0, 0},
		"other region evacuated or cut off": {8, service, long, steer.RemoteRegion{}, 10, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSnapshot(loads{"u0": limit.Load{InFlight: c.inFlight}}, upstream("u0", "llm", "north"))
			w.Estimates, w.Lateness = trainedEstimator(100, 0.02), lateAnswers(service, short, c.late)
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
	service, short, long := contendedService(t, 2)
	w := newSnapshot(loads{"u0": {InFlight: 3}, "u1": {InFlight: 2}}, upstream("u0", "llm", "north"), upstream("u1", "llm", "north"))
	w.Estimates, w.Lateness = trainedEstimator(100, 0.02), lateAnswers(service, short, 10)
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

// TestInstancesAgreeOnTheSegmentsThatLeave guards against segments that are read in both regions, as each
// request with them is sent to one or the other at random.
func TestInstancesAgreeOnTheSegmentsThatLeave(t *testing.T) {
	service, short, long := contendedService(t, 2)
	long.SharedPrompts = true
	left := 0
	for segment := range 200 {
		went := 0
		for random := range uint64(20) {
			w := newSnapshot(loads{"u0": {InFlight: 3}, "u1": {InFlight: 2}}, upstream("u0", "llm", "north"), upstream("u1", "llm", "north"))
			w.Estimates, w.Lateness, w.Random = trainedEstimator(100, 0.02), lateAnswers(service, short, 10), random*0x9e3779b97f4a7c15
			req := &steer.Request{Route: long, Service: service, PromptTokens: 2000, Segments: []steer.Segment{{ID: fmt.Sprint(segment), Tokens: 1000}, {ID: "own", Tokens: 1000}}}
			if steer.Yield(w, req, w.SurveyRegion(req), []steer.RemoteRegion{remoteRegion("east", 1, 16, 0)}) != nil {
				went++
			}
		}
		if went != 0 && went != 20 {
			t.Fatalf("%d of 20 requests with one segment left", went)
		}
		left += went / 20
	}
	is.New(t).True(left > 70 && left < 130)
}

// TestLatenessForgets guards against an overload that is remembered after it has ended.
func TestLatenessForgets(t *testing.T) {
	is := is.New(t)
	service, short, _ := contendedService(t, 2)
	l := lateAnswers(service, short, 50)
	is.True(l.ShareOfBound("llm", 2, now) > 0.8)
	is.True(l.ShareOfBound("llm", 0, now) == 0)
	is.True(l.ShareOfBound("llm", 2, now.Add(10*time.Second)) < 0.1)
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
