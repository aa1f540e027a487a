package edge

import (
	"context"
	"errors"
	"time"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// If all upstreams that could take a request are silent together, what they share is silent, or they
// are only late. Such a request waits for one of them to deliver data again, within bounds: a
// caller that is refused returns to the same silence, with one try less.

const (
	// maxRecoveryWait bounds the wait. Upstreams whose machines have failed are detected within that
	// time.
	maxRecoveryWait = 3 * time.Second
	// recoveryWaitShare is the share of the request's time in which it may wait, so that enough is
	// left for its answer.
	recoveryWaitShare = 0.5
	// recoveryPollInterval is the interval at which a waiting request is routed again without a sign
	// of recovery: another region may have upstreams, or an upstream may be due for a probe.
	recoveryPollInterval = 250 * time.Millisecond
)

// awaitRecovery reports whether a request that found only unresponsive upstreams should be routed
// again, after one may have recovered. Forwarded requests do not wait: the instance that forwarded
// them may have other regions to ask, and waits itself.
func (j *job) awaitRecovery(ctx context.Context, refusal *outcome.Refusal) bool {
	if j.forwarded || !j.foundUnresponsive(refusal) || !j.now().Before(j.recoveryDeadline()) {
		return false
	}
	recovered := j.streams.whenRecovered()
	timer := time.NewTimer(min(recoveryPollInterval, j.recoveryDeadline().Sub(j.now())))
	defer timer.Stop()
	select {
	case <-recovered:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	j.forgetRefusedHops()
	return true
}

// foundUnresponsive reports whether a request was refused because upstreams are unresponsive, here or
// where it was forwarded.
func (j *job) foundUnresponsive(refusal *outcome.Refusal) bool {
	var none *surveyError
	if errors.As(refusal.Err, &none) && none.survey.Unresponsive > 0 {
		return true
	}
	return len(j.unresponsiveHops) > 0 || j.unresponsiveRegions.include(j.route, j.service.Name, j.now())
}

// recoveryDeadline returns the time until which the request may wait for an upstream to recover. A
// caller that has a part of its answer gains nothing from an earlier end.
func (j *job) recoveryDeadline() time.Time {
	if j.writer.started {
		return j.deadline
	}
	share := time.Duration(recoveryWaitShare * float64(j.deadline.Sub(j.started)))
	return j.started.Add(min(maxRecoveryWait, share))
}

// forgetRefusedHops makes the instances that refused the request for unresponsive upstreams
// candidates again.
func (j *job) forgetRefusedHops() {
	kept := j.tried[:0]
	for _, name := range j.tried {
		if !j.unresponsiveHops[name] {
			kept = append(kept, name)
		}
	}
	j.tried = kept
	j.hops -= len(j.unresponsiveHops)
	clear(j.unresponsiveHops)
}
