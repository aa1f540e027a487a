package edge

import (
	"errors"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/logging"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// slowFirstByte is the time to the first part of an answer from which the request is logged with
// its steps like a failure. Under low load all kinds of requests except the longest prompts have
// a 99th percentile of their total time below 0.4 s.
const slowFirstByte = time.Second

// noFirstByte is logged as the time to the first part if none was passed on.
const noFirstByte = -time.Millisecond

// step is a log line of a request that exceeded the budget when it happened.
type step struct {
	at     time.Time
	name   event.Name
	fields func(*zerolog.Event)
}

// logStep logs a step of the request. If the budget for successful requests is exhausted the step
// is deferred, and written if the request fails or is slow. fields is called once, then or later,
// so what it reads must not change.
func (j *job) logStep(name event.Name, fields func(*zerolog.Event)) {
	if max(j.goodLog.GetLevel(), zerolog.GlobalLevel()) > zerolog.InfoLevel {
		return
	}
	line := j.goodLog.Info()
	if !line.Enabled() {
		j.deferredSteps = append(j.deferredSteps, step{at: j.now(), name: name, fields: fields})
		return
	}
	j.writeStep(line, name, fields)
}

func (j *job) writeStep(line *zerolog.Event, name event.Name, fields func(*zerolog.Event)) {
	line.Str(event.KeyRequest, j.attributes.RequestID)
	fields(line)
	line.Msg(string(name))
}

func (j *job) logDeferredSteps() {
	for _, held := range j.deferredSteps {
		line := j.stepLog.Info().Str(event.KeyAt, held.at.UTC().Format(logging.TimeLayout))
		j.writeStep(line, held.name, held.fields)
	}
	j.deferredSteps = nil
}

// logRouting logs the target of the request, with the inputs of the decision and their age.
func (j *job) logRouting(chosen *target) {
	world := chosen.world
	send, forwarded, runs, after := j.sends+1, j.forwarded, j.runs, j.resumeAfter()
	storeAge := j.ageMS(j.store.LastAnswerAt())
	j.logStep(event.RequestRouted, func(line *zerolog.Event) {
		best := &chosen.survey.Best
		line.Str(event.KeyRoute, j.route.Name).Str(event.KeyService, j.service.Name).
			Str(event.KeyTarget, chosen.name()).Str(event.KeyDomain, chosen.domain()).
			Int(event.KeySend, send).Int(event.KeyRuns, runs).Bool(event.KeyForwarded, forwarded).
			Uint64(event.KeyVersion, j.config.Version).Uint64(event.KeyRevision, world.Fleet.Revision).
			Int64(event.KeyStoreAgeMS, storeAge).
			Int(event.KeyPrompt, j.attributes.PromptTokens).Int(event.KeyUncached, best.Uncached).
			Int(event.KeyInFlight, best.InFlight).Int(event.KeyPrefill, best.Prefill).
			Float64(event.KeyCost, best.Cost).Dur(event.KeyPredictedMS, best.TimeToFirstToken).Str(event.KeyPart, lastSharedSegment(j.attributes.Segments)).
			Bool(event.KeyCopy, best.Source != nil).Int(event.KeyUsable, chosen.survey.Usable)
		if chosen.peer == nil {
			line.Str(event.KeySoftware, best.Upstream.Software)
		} else {
			line.Int64(event.KeyHeardMS, world.Now.Sub(chosen.peer.ReportedAt).Milliseconds())
		}
		if chosen.yielded {
			line.Bool(event.KeyYielded, true)
		}
		if after != "" {
			line.Str(event.KeyAfter, after)
		}
	})
}

// logRejection logs that the target states that it did not run the request. Of an upstream it logs the
// load that the choice assumed, how old the reports of it were, and the own load now.
func (c *call) logRejection() {
	target, send, status := c.to.name(), c.sends, c.status
	if c.peer {
		c.logStep(event.AttemptRejected, func(line *zerolog.Event) {
			line.Str(event.KeyTarget, target).Int(event.KeySend, send).Int(event.KeyStatus, status)
		})
		return
	}
	best, now := &c.to.survey.Best, c.now()
	_, age := c.to.world.Peers.RegionPeers(c.to.world.Now)
	own, brittle := c.tracker.Load(target).InFlight, c.upstreamLimits.Of(target).Brittle
	inFlight, slots, waited := best.InFlight, best.Upstream.Slots, now.Sub(c.sent)
	c.logStep(event.AttemptRejected, func(line *zerolog.Event) {
		line.Str(event.KeyTarget, target).Int(event.KeySend, send).Int(event.KeyStatus, status).Str(event.KeyService, c.service.Name).
			Int(event.KeyInFlight, inFlight).Int(event.KeySlots, slots).Int(event.KeyOwn, own).Int64(event.KeyHeardMS, age.Milliseconds()).
			Bool(event.KeyBrittle, brittle).Dur(event.KeyMS, waited)
	})
}

// logFailedAttempt logs why an attempt ended without an answer that can be passed on.
func (c *call) logFailedAttempt(unsent bool) {
	line := c.failedLog.Warn().Str(event.KeyRequest, c.attributes.RequestID).Str(event.KeyTarget, c.to.name())
	if !unsent && line.Enabled() {
		line.Stringer(event.KeyContent, c.fingerprint()).Str(event.KeySegments, segmentIDs(sharedSegments(c.attributes.Segments)))
	}
	line.Int(event.KeySend, c.sends).Int(event.KeyStatus, c.status).Bool(event.KeyUnsent, unsent).
		Bool(event.KeyBegun, c.writer.started).Dur(event.KeyLeftMS, c.deadline.Sub(c.now())).
		Str(event.KeyEndedBy, string(c.lastEnding)).Err(c.err).Msg(string(event.AttemptFailed))
}

// logHedge logs that the request is also sent to another target, since this attempt is stalled.
func (c *call) logHedge(to *target) {
	stalled, hedge, begun, left := c.to.name(), to.name(), c.writer.started, c.deadline.Sub(c.now())
	c.logStep(event.RequestHedged, func(line *zerolog.Event) {
		line.Str(event.KeyUpstream, stalled).Str(event.KeyTarget, hedge).Bool(event.KeyBegun, begun).Dur(event.KeyLeftMS, left)
	})
}

// logOvertaken logs that the attempt was cancelled because another one answers the caller.
func (c *call) logOvertaken() {
	target, send := c.to.name(), c.sends
	c.logStep(event.AttemptOvertaken, func(line *zerolog.Event) {
		line.Str(event.KeyTarget, target).Int(event.KeySend, send)
	})
}

// logUnframed logs that an upstream's answer ended with its connection.
func (c *call) logUnframed() {
	target, send, status := c.to.name(), c.sends, c.status
	c.logStep(event.AnswerUnframed, func(line *zerolog.Event) {
		line.Str(event.KeyTarget, target).Int(event.KeySend, send).Int(event.KeyStatus, status)
	})
}

// logEnd logs the end of a request that was answered, even if only with an upstream's error, or
// whose caller disconnected.
func (j *job) logEnd(took time.Duration) {
	first := noFirstByte
	if !j.writer.firstByteAt.IsZero() {
		first = j.writer.firstByteAt.Sub(j.started)
	}
	if first >= slowFirstByte || j.writer.status >= http.StatusInternalServerError || j.callerLeft() {
		j.logDeferredSteps()
		j.writeStep(j.failedLog.Info(), event.RequestEnded, j.endFields(first, took))
		return
	}
	j.logStep(event.RequestEnded, j.endFields(first, took))
}

// callerLeft reports whether the caller disconnected.
func (j *job) callerLeft() bool { return j.request.Context().Err() != nil }

// answeredOutcome returns the outcome of a request that was not refused.
func (j *job) answeredOutcome() outcome.Outcome {
	if j.callerLeft() {
		return outcomeCallerGone
	}
	return outcome.Complete
}

func (j *job) endFields(first, took time.Duration) func(*zerolog.Event) {
	return func(line *zerolog.Event) {
		line.Str(event.KeyOutcome, string(j.answeredOutcome())).Int(event.KeyStatus, j.writer.status).Int(event.KeySends, j.sends).Bool(event.KeyForwarded, j.forwarded).
			Dur(event.KeyFirstMS, first).Dur(event.KeyMS, took)
	}
}

// logRefusal logs why a request did not get a complete answer.
func (j *job) logRefusal(refusal *outcome.Refusal, took time.Duration) {
	status := refusal.Status
	if j.returnsUpstreamFailure() {
		status = j.upstreamFailure.status
	}
	j.logDeferredSteps()
	j.writeStep(j.failedLog.Warn(), event.RequestFailed, func(line *zerolog.Event) {
		if j.route != nil {
			line.Str(event.KeyRoute, j.route.Name)
		}
		line.Str(event.KeyOutcome, string(refusal.Outcome)).Str(event.KeyReason, string(refusal.Reason)).
			Int(event.KeyStatus, status).Int64(event.KeyRetryMS, refusal.RetryAfter.Milliseconds()).
			Int(event.KeySends, j.sends).Int(event.KeyRuns, j.runs).
			Bool(event.KeyForwarded, j.forwarded).Bool(event.KeyBegun, j.writer.started).Dur(event.KeyMS, took).
			Str(event.KeyDetail, refusal.Detail).AnErr(event.KeyLast, j.lastError)
		if j.lastEnding != "" {
			line.Str(event.KeyEndedBy, string(j.lastEnding)).Dur(event.KeyLeftMS, j.deadline.Sub(j.now()))
		}
		if refusal.Reason == outcome.ReasonQuarantined {
			line.Stringer(event.KeyContent, j.quarantinedAs)
		}
		j.addIdentity(line, refusal)
		var none *surveyError
		if !errors.As(refusal.Err, &none) {
			line.AnErr(event.KeyCause, refusal.Err)
			return
		}
		line.Int(event.KeyKnown, none.survey.Known).Int(event.KeyUsable, none.survey.Usable).
			Int(event.KeyResting, none.survey.BackingOff).Int(event.KeyCold, none.survey.Cold).Int(event.KeyLimited, none.survey.Limited).Int(event.KeyUnreachable, none.survey.Unreachable).Int(event.KeyUnresponsive, none.survey.Unresponsive).Int(event.KeyCrowded, none.survey.Crowded).Int(event.KeyPlaces, none.survey.Places).Int(event.KeyInFlight, none.survey.InFlight).
			Int(event.KeySlots, none.survey.Slots)
		if len(none.backingOff) > 0 {
			line.Str(event.KeyBackingOff, strings.Join(none.backingOff, ","))
		}
	})
}

// addIdentity adds the organisation of a refused request, the configuration version, and the
// state of a limit that refused it.
func (j *job) addIdentity(line *zerolog.Event, refusal *outcome.Refusal) {
	if j.config == nil || !j.config.Keyed() {
		return
	}
	line.Str(event.KeyOrganisation, j.organisationName()).Uint64(event.KeyVersion, j.config.Version)
	var above *shareError
	if errors.As(refusal.Err, &above) {
		line.Float64(event.KeyUsed, math.Round(above.standing.Used)).Float64(event.KeyShare, math.Round(above.standing.Share))
	}
	var over *quota.OverLimitError
	if errors.As(refusal.Err, &over) {
		line.Float64(event.KeyBalance, math.Round(over.Balance)).Float64(event.KeyDemand, math.Round(over.Demand)).
			Float64(event.KeyLimit, over.Limit).Float64(event.KeyHeard, over.Reachable)
	}
}

func logEjection(log zerolog.Logger, change limit.Ejection) {
	if change.For == 0 {
		log.Info().Str(event.KeyUpstream, change.Upstream).Msg(string(event.UpstreamRestored))
		return
	}
	log.Warn().Str(event.KeyUpstream, change.Upstream).Int64(event.KeyForMS, change.For.Milliseconds()).
		Int(event.KeyFailures, change.Failures).Float64(event.KeyLateness, change.Lateness).Msg(string(event.UpstreamEjected))
}

// lastSharedSegment returns the ID of the prompt's last shared segment, empty if none is shared.
func lastSharedSegment(parts []steer.Segment) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}
