package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

const (
	// capacityWaitShare is the share of a route's target latency for which a request waits for
	// capacity before it is refused: a slot becomes free within some tens of milliseconds.
	capacityWaitShare = 1.0 / 8
	// capacityPollInterval is the interval between checks. Other instances report their ended
	// requests every 0.2 s; own ones are known at once.
	capacityPollInterval = 20 * time.Millisecond
)

// overloadRefusal returns the refusal of a request that no engine can start in time.
func (j *job) overloadRefusal(survey *steer.Survey) *outcome.Refusal {
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, 0, "no upstream can begin the answer in time")
	refusal.Err = &surveyError{survey: *survey}
	return refusal
}

// awaitCapacity reports whether a request that was refused for lack of capacity should be routed
// again, after a short wait. If not it sets the refusal's RetryAfter. Forwarded requests do not
// wait here: another region may have capacity. Nor do those of organisations above their fair share.
func (j *job) awaitCapacity(ctx context.Context, refusal *outcome.Refusal) bool {
	var late *surveyError
	if refusal.Reason != outcome.ReasonOverloaded || j.sends > 0 || !errors.As(refusal.Err, &late) || late.survey.Best.Upstream == nil {
		// An overload of other regions takes no capacity from the requests that are served here.
		return false
	}
	yields := j.yieldsShare(refusal)
	patience := time.Duration(capacityWaitShare * float64(j.route.TargetLatency))
	if !j.forwarded && !yields && j.now().Sub(j.started) < patience && clock.Sleep(ctx, capacityPollInterval) {
		return true
	}
	j.recordShare(false)
	var lasted time.Duration
	if yields {
		j.counts.yieldedShare(j.organisation.Name)
		lasted = j.overload.Lasted(j.service.Name, j.now())
	} else {
		lasted = j.overload.RecordLate(j.service.Name, j.route.Priority, j.now())
	}
	refusal.RetryAfter = steer.OverloadRetryAfter(lasted, j.deadline.Sub(j.now()), rand.Float64())
	return false
}
