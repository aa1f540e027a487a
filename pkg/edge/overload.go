package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

const (
	// roomPart is the part of a route's target for which a request waits for room before
	// it is refused: a place is free again within some tens of milliseconds.
	capacityWaitShare = 1.0 / 8
	// roomPoll is how often it looks. Others' ends are told every 0.2 s, own ones are
	// known at once.
	capacityPollInterval = 20 * time.Millisecond
)

// overloaded refuses a request that no engine can begin in time.
func (j *job) overloadRefusal(survey *steer.Survey) *outcome.Refusal {
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, 0, "no upstream can begin the answer in time")
	refusal.Err = &surveyError{survey: *survey}
	return refusal
}

// awaitRoom waits a moment, and says whether to look again for a place for a request that
// was refused for want of one. Else the refusal tells the caller when to come back. One
// that another instance forwarded is not held here: there may be room elsewhere.
func (j *job) awaitCapacity(ctx context.Context, refusal *outcome.Refusal) bool {
	if refusal.Reason != outcome.ReasonOverloaded || j.sends > 0 {
		return false
	}
	patience := time.Duration(capacityWaitShare * float64(j.route.TargetLatency))
	if !j.forwarded && j.now().Sub(j.started) < patience && clock.Sleep(ctx, capacityPollInterval) {
		return true
	}
	lasted := j.overload.Late(j.service.Name, j.route.Priority, j.now())
	refusal.RetryAfter = steer.ReturnAfter(lasted, j.deadline.Sub(j.now()), rand.Float64())
	return false
}
