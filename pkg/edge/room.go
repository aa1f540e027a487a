package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/room"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// An upstream that says that it crashes when it rejects too many requests gets no more from all
// instances of its region together than it has slots, see package room. What finds no place goes to
// another instance that has one, to another region with room, waits for a short time, or is refused.

const (
	// maxRoomWait bounds the wait for a place, and roomWaitShare is the share of the request's time
	// in which it may wait.
	maxRoomWait   = 2 * time.Second
	roomWaitShare = 0.5
	// roomPollInterval is the interval at which a waiting request is routed again without a sign that
	// a place is free: another region may have room, and places of requests that were given up
	// become free by time.
	roomPollInterval = 50 * time.Millisecond
	// roomHopPause is the time for which another instance is not asked again after it had no place.
	roomHopPause = 100 * time.Millisecond
)

// recordBrittle records whether an upstream's own answer, to a request sent at a time, says that it is
// brittle.
func (e *Edge) recordBrittle(upstream *fleet.Upstream, reading *Reading, sent time.Time) {
	e.guards.Heard(upstream.Service)
	switch {
	case reading.BrittleErr != nil:
	case reading.Limit.Brittle:
		e.guards.Begin(upstream.Service, e.now())
	case reading.Signed && !e.knowsBrittle(upstream.Service):
		e.guards.End(upstream.Service, sent)
	}
}

// mergeBrittle records whether an upstream is brittle by another instance's report.
func (e *Edge) mergeBrittle(told *limit.ToldLimit, service string) {
	at := e.now().Add(-told.Age)
	switch {
	case told.Named.Brittle:
		e.guards.Begin(service, at)
	case !e.knowsBrittle(service):
		e.guards.End(service, at)
	}
	if e.upstreamLimits.LearnRejection(*told) {
		e.places.RejectedElsewhere(told.Upstream, told.RejectionAge, told.Named.Tolerance)
	}
}

// knowsBrittle reports whether an upstream of a service in the own region is brittle.
func (e *Edge) knowsBrittle(service string) bool {
	view := e.board.Fleet.Load()
	for id := range e.upstreamLimits.Brittle() {
		if upstream := view.Find(id); upstream != nil && upstream.Service == service && upstream.Region == e.settings.Region {
			return true
		}
	}
	return false
}

// roomSettleTime is the time for which a new connection to an upstream with divided room is left idle: it
// may occupy a slot for a moment, beside its first request.
const roomSettleTime = 2 * time.Millisecond

// connectionSettleTime returns the time for which a new connection to an upstream of a service is left
// idle.
func (e *Edge) connectionSettleTime(service string) time.Duration {
	if e.divided(service) {
		return roomSettleTime
	}
	return 0
}

// part returns this instance's part of an upstream's room, nil if that is not divided.
func (e *Edge) part(upstream *fleet.Upstream) *room.Part {
	if !e.divided(upstream.Service) {
		return nil
	}
	total := e.slots(upstream.Service, upstream.Region)
	part := room.Part{Slots: e.members.Part(upstream.Region, upstream.ID, e.self.Name, upstream.Slots, total)}
	if !e.joined() && e.guards.Active(upstream.Service) {
		// The others do not count this instance yet.
		part.Slots = 0
	}
	if service := e.service(upstream); service != nil && service.Engine != nil && upstream.Slots > 0 {
		part.Tokens = service.Engine.CacheTokens * part.Slots / upstream.Slots
	}
	return &part
}

// divided reports whether the room of a service's upstreams is divided. That of a service of which
// nothing is known yet is, if this instance has a part of it.
func (e *Edge) divided(service string) bool {
	return e.guards.Active(service) || (e.guards.Unheard(service) && e.hasPart(service))
}

// hasPart reports whether this instance has a part of the room of a service in its region.
func (e *Edge) hasPart(service string) bool {
	view, region := e.board.Fleet.Load(), e.self.Region
	total := e.slots(service, region)
	return slices.ContainsFunc(view.Service(service), func(u *fleet.Upstream) bool {
		return u.Region == region && e.members.Part(region, u.ID, e.self.Name, u.Slots, total) > 0
	})
}

// slots returns the number of slots of a service in a region, after it has updated the members among
// which they are divided.
func (e *Edge) slots(service, region string) int {
	e.countInstances()
	total := 0
	for _, upstream := range e.board.Fleet.Load().Service(service) {
		if upstream.Region == region {
			total += upstream.Slots
		}
	}
	return total
}

// joined reports whether the other instances know this one: by its former process, or since they have
// had time to.
func (e *Edge) joined() bool { return e.replaces.Load() || !e.starting() }

// noteReplaced records whether a former process of this instance was registered when this one read the
// first list. That list may hold the entry of this process already.
func (e *Edge) noteReplaced(view *fleet.View) {
	e.replaces.Store(slices.ContainsFunc(view.Instances, func(i fleet.Instance) bool {
		return i.Name == e.self.Name && i.Incarnation != e.self.Incarnation
	}))
}

// placesAt returns the function with which a decision asks for the places at an upstream of a service,
// nil if its room is not divided.
func (e *Edge) placesAt(service string) func(u *fleet.Upstream) (places, free int) {
	if !e.divided(service) {
		return nil
	}
	return func(u *fleet.Upstream) (places, free int) {
		part := e.part(u)
		if part == nil {
			return u.Slots, u.Slots
		}
		return part.Slots, e.places.Free(u.ID, *part)
	}
}

// leavePlace ends a request's place at an upstream.
func (c *call) leavePlace(place *room.Place, ended result) {
	upstream := c.to.survey.Best.Upstream
	guarded := c.part(upstream) != nil
	switch {
	case ended == notRun && c.status == http.StatusServiceUnavailable && guarded:
		place.Rejected(c.upstreamLimits.Of(upstream.ID).Tolerance)
		c.upstreamLimits.Rejected(upstream.ID)
		c.counts.series.Counter("upstream.room_rejections", label(labelTarget, upstream.ID)).Inc(1)
		c.gossip.RequestRound()
	case c.complete || ended == done || ended == notRun:
		place.Answered()
	default:
		place.GivenUp()
	}
	if guarded {
		c.lines.Of(c.service.Name).Notify()
	}
}

// ahead returns how many waiting requests come before this one.
func (j *job) ahead() int {
	switch {
	case j.waiter != nil:
		return j.waiter.Ahead()
	case !j.divided(j.service.Name):
		return 0
	default:
		return j.lines.Of(j.service.Name).Ahead(j.route.Priority)
	}
}

// leaveLine ends the request's wait for a place.
func (j *job) leaveLine() {
	if j.waiter != nil {
		j.waiter.Leave()
		j.waiter = nil
	}
}

// awaitRoom reports whether a request that found no place should be routed again, after one may have
// become free. If not it sets the refusal's RetryAfter.
func (j *job) awaitRoom(ctx context.Context, refusal *outcome.Refusal) bool {
	var none *surveyError
	if refusal.Reason != outcome.ReasonNoRoom || !errors.As(refusal.Err, &none) {
		// Others may get a place meanwhile.
		j.leaveLine()
		return false
	}
	if standing, above := j.aboveShareOfRoom(&none.survey); above && j.lineTooLong {
		*refusal = *j.shareRefusal(standing, &none.survey)
		return false
	} else if above {
		// A neighbour may have a free place.
		j.lineTooLong = true
		return true
	}
	expected := none.survey.PlaceWait
	if left := j.roomDeadline(none.survey.PlaceWaitInTime).Sub(j.now()); none.survey.Places > 0 && expected <= left {
		return j.awaitTurn(ctx, min(left, roomPollInterval))
	}
	if !j.lineTooLong && !j.forwarded {
		// A neighbour's line may be shorter.
		j.lineTooLong = true
		return true
	}
	j.recordShare(false)
	lasted := j.overload.RecordLate(j.service.Name, j.route.Priority, j.now())
	refusal.RetryAfter = steer.OverloadRetryAfter(max(expected, lasted), j.deadline.Sub(j.now()), rand.Float64())
	return false
}

// awaitTurn waits until a place may be free, or for a time.
func (j *job) awaitTurn(ctx context.Context, most time.Duration) bool {
	j.guards.Busy(j.service.Name)
	if j.waiter == nil {
		j.waiter = j.lines.Of(j.service.Name).Join(j.route.Priority)
	}
	timer := time.NewTimer(max(most, time.Millisecond))
	defer timer.Stop()
	again := true
	j.await(func() {
		select {
		case <-j.waiter.Turn():
		case <-timer.C:
		case <-ctx.Done():
			again = false
		}
	})
	return again
}

// roomDeadline returns the time until which the request may wait for a place: within a share of its time,
// and so that its answer is in time, if its route has a target.
func (j *job) roomDeadline(inTime time.Duration) time.Time {
	most := min(maxRoomWait, time.Duration(roomWaitShare*float64(j.deadline.Sub(j.started))))
	if inTime > 0 {
		most = min(most, inTime)
	}
	return j.started.Add(most)
}

// withPlaces keeps, of the instances that could serve a request of a service, those that have places
// there, as often as they have.
func (e *Edge) withPlaces(candidates []*peer.Known, service *httproute.Service) []*peer.Known {
	view := e.board.Fleet.Load()
	if len(candidates) == 0 || !e.guards.Active(service.Name) {
		return candidates
	}
	region, parts := candidates[0].Instance.Region, make(map[string]int)
	total := e.slots(service.Name, region)
	for _, upstream := range view.Service(service.Name) {
		if upstream.Region == region && view.Usable(upstream) {
			e.members.AddParts(parts, region, upstream.ID, upstream.Slots, total)
		}
	}
	var kept []*peer.Known
	for _, candidate := range candidates {
		for range parts[candidate.Instance.Name] {
			kept = append(kept, candidate)
		}
	}
	return kept
}
