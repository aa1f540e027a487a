package steer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

func versioned(id, version string) fleet.Upstream {
	u := upstream(id, "llm", "north")
	u.Software = version
	return u
}

// TestCacheIsNotCopiedBetweenSoftwareVersions guards against an engine that goes on from the memory
// of another software version, whose blocks need not fit.
func TestCacheIsNotCopiedBetweenSoftwareVersions(t *testing.T) {
	is := is.New(t)
	for _, versions := range [][2]string{{"v1", "v1"}, {"v1", "v2"}} {
		local := loads{}
		w := newSnapshot(local, versioned("u0", versions[0]), versioned("u1", versions[1]))
		holder := w.SurveyRegion(longRequest("p")).Best.Upstream.ID
		w.Recent.Add(longRequest("p").Segments, holder, now)
		local[holder] = limit.Load{InFlight: 30, Prefill: 600_000}
		best := w.SurveyRegion(longRequest("p")).Best
		is.True(best.Upstream.ID != holder)
		is.Equal(best.Source != nil, versions[0] == versions[1])
	}
}

// TestStreamGoesOnAtItsSoftwareVersionOnly guards against upstreams of other versions, however
// idle, in the own region and in others.
func TestStreamGoesOnAtItsSoftwareVersionOnly(t *testing.T) {
	is := is.New(t)
	far := versioned("u2", "v3")
	far.Region = "south"
	w := newSnapshot(loads{"u0": {InFlight: 50}}, versioned("u0", "v1"), versioned("u1", "v2"), far)
	req := longRequest("p")
	for version, want := range map[string]string{"v1": "u0", "v2": "u1"} {
		req.Software = &version
		is.Equal(w.SurveyRegion(req).Best.Upstream.ID, want)
		is.True(w.HasVersion(req))
	}
	for version, left := range map[string]bool{"v3": true, "v4": false, "": false} {
		req.Software = &version
		is.Equal(w.SurveyRegion(req).Best.Upstream, nil)
		is.Equal(w.HasVersion(req), left)
	}
}

// views returns the last of a series of views of the same upstreams, as a process reads them.
func views(at time.Time, series ...[]fleet.Upstream) (last *fleet.View) {
	for _, upstreams := range series {
		view := &fleet.View{Upstreams: upstreams, Evacuated: map[string]bool{}}
		view.Index()
		view.InheritHistory(last, at)
		last = view
	}
	return last
}

// TestLeavingUpstreamFinishesStreamsOfItsVersion guards against refusing streams while a release
// takes the last upstreams of their version away, and against using those for anything else, or for
// longer than they serve.
func TestLeavingUpstreamFinishesStreamsOfItsVersion(t *testing.T) {
	is := is.New(t)
	leaving, version := versioned("u0", "v1"), "v1"
	leaving.Draining = true
	w := newSnapshot(loads{})
	for name, c := range map[string]struct {
		view *fleet.View
		age  time.Duration
		req  steer.Request
		used bool
	}{
		"has just begun to leave": {views(now, []fleet.Upstream{versioned("u0", "v1")}, []fleet.Upstream{leaving}), 0, steer.Request{Software: &version, LastResort: true}, true},
		"not the last resort":     {views(now, []fleet.Upstream{versioned("u0", "v1")}, []fleet.Upstream{leaving}), 0, steer.Request{Software: &version}, false},
		"a new stream":            {views(now, []fleet.Upstream{versioned("u0", "v1")}, []fleet.Upstream{leaving}), 0, steer.Request{LastResort: true}, false},
		"leaves for long":         {views(now, []fleet.Upstream{versioned("u0", "v1")}, []fleet.Upstream{leaving}), time.Second, steer.Request{Software: &version, LastResort: true}, false},
		"may leave for long":      {views(now, []fleet.Upstream{leaving}), 0, steer.Request{Software: &version, LastResort: true}, false},
	} {
		w.Fleet, w.Now = c.view, now.Add(c.age)
		c.req.Route, c.req.Service = prompt, engine
		t.Log(name)
		is.Equal(w.SurveyRegion(&c.req).Best.Upstream != nil, c.used)
	}
	w.Fleet, w.Now = views(now, []fleet.Upstream{versioned("u0", "v1")}, []fleet.Upstream{leaving}), now
	w.Leaving = func(string) bool { return true }
	is.Equal(w.SurveyRegion(&steer.Request{Route: prompt, Service: engine, Software: &version, LastResort: true}).Best.Upstream, nil)
}

// TestNewStreamsAvoidANewSoftwareVersion guards against streams that begin at a version which not
// all instances know yet: one that does not might take the service's only version for theirs.
func TestNewStreamsAvoidANewSoftwareVersion(t *testing.T) {
	is := is.New(t)
	w := newSnapshot(loads{"u0": {InFlight: 50}})
	w.Fleet = views(now, []fleet.Upstream{versioned("u0", "v1")}, []fleet.Upstream{versioned("u0", "v1"), versioned("u1", "v2")})
	req := longRequest("p")
	is.Equal(w.SurveyRegion(req).Best.Upstream.ID, "u0")
	is.Equal(w.SurveyRegion(&steer.Request{Route: call, Service: engine}).Best.Upstream.ID, "u1")
	req.Tried = []string{"u0"}
	is.Equal(w.SurveyRegion(req).Best.Upstream, nil)
	req.LastResort = true
	is.Equal(w.SurveyRegion(req).Best.Upstream.ID, "u1")
	w.Now = now.Add(fleet.SettleTime)
	is.Equal(w.SurveyRegion(longRequest("p")).Best.Upstream.ID, "u1")
}
