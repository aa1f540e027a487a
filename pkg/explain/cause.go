package explain

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Time windows in which other events are related to a failure.
const (
	// causeLookback bounds the age of a cause. It exceeds the first ejection period and the
	// time after which a silent instance is removed.
	causeLookback = 5 * time.Second
	// causeLookahead bounds the delay of a cause's log line: an upstream's entry expires some
	// seconds after the upstream has gone.
	causeLookahead = 8 * time.Second
	// relatedWindow is the distance within which failures of other requests are related.
	relatedWindow = time.Second
	// contentWindow is the distance within which tries of the same request count together.
	contentWindow = 10 * time.Minute
	// quarantineLookback bounds the age of a quarantine's causes.
	quarantineLookback = time.Hour
)

// slowAnswer is the time to the first part of an answer that is explained as late.
const slowAnswer = time.Second

// causes returns the reasons for the outcome of a span.
func (l *Log) causes(span *Span) []string {
	var all []string
	seen := make(map[string]bool)
	for _, attempt := range span.steps(event.AttemptFailed) {
		if target := attempt.Get(event.KeyTarget); !seen[target] {
			seen[target] = true
			all = append(all, l.attemptCauses(attempt)...)
		}
	}
	switch {
	case span.End == nil:
		all = append(all, l.missingEndCauses(span)...)
	case span.End.Event == event.RequestFailed:
		all = append(all, l.refusalCauses(span)...)
		all = append(all, l.storeCauses(span)...)
	case span.End.Get(event.KeyOutcome) == callerGone:
		all = append(all, l.callerGoneCauses(span)...)
	case time.Duration(span.End.Int(event.KeyFirstMS))*time.Millisecond >= slowAnswer:
		all = append(all, l.lateAnswerCauses(span)...)
	}
	return slices.Compact(all)
}

// attemptCauses describes a failed attempt and related events at its target.
func (l *Log) attemptCauses(attempt *Line) []string {
	target := attempt.Get(event.KeyTarget)
	all := []string{target + " " + describeAttemptFailure(attempt)}
	if others := l.failuresAt(target, attempt.Time); others > 0 {
		all = append(all, fmt.Sprintf("attempts of other requests that failed at %[2]s within %[3]v: %[1]d", others, target, relatedWindow))
	}
	all = append(all, l.sameContentFailures(attempt)...)
	return append(all, l.eventsOfTarget(target, attempt.Time)...)
}

// sameContentFailures counts other tries of the same content that broke off, and their targets.
func (l *Log) sameContentFailures(attempt *Line) []string {
	content := attempt.Get(event.KeyContent)
	if content == "" {
		return nil
	}
	places := make(map[string]bool)
	tries := make(map[string]bool)
	for _, line := range l.between(event.AttemptFailed, attempt.Time.Add(-contentWindow), attempt.Time.Add(contentWindow)) {
		if line.Get(event.KeyContent) != content || line.Int(event.KeyStatus) >= http.StatusInternalServerError {
			continue
		}
		tries[line.Get(event.KeyRequest)] = true
		if target := line.Get(event.KeyTarget); target != attempt.Get(event.KeyTarget) {
			places[target] = true
		}
	}
	if len(tries) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("the same request, in %d other tries, broke off at %d other targets within %v", len(tries), len(places), contentWindow)}
}

// describeAttemptFailure describes the failure of an attempt.
func describeAttemptFailure(attempt *Line) string {
	switch {
	case attempt.Is(event.KeyUnsent):
		return "could not be reached: " + attempt.Get(event.KeyError)
	case attempt.Int(event.KeyStatus) >= http.StatusInternalServerError:
		return fmt.Sprintf("answered %d", attempt.Int(event.KeyStatus))
	default:
		return "broke off: " + attempt.Get(event.KeyError) + endedBy(attempt)
	}
}

// endedByTarget is the value of event.KeyEndedBy if the target itself ended an attempt.
const endedByTarget = "target"

// endedBy says who ended an attempt, if that was not its target.
func endedBy(line *Line) string {
	if ended := line.Get(event.KeyEndedBy); ended != "" && ended != endedByTarget {
		return ", ended by the " + ended
	}
	return ""
}

func (l *Log) failuresAt(target string, at time.Time) int {
	count := 0
	for _, line := range l.between(event.AttemptFailed, at.Add(-relatedWindow), at.Add(relatedWindow)) {
		if line.Get(event.KeyTarget) == target {
			count++
		}
	}
	return count
}

// targetEvents are the events that explain failures at a target, with the key that names it.
var targetEvents = []struct {
	name event.Name
	key  string
	text string
}{
	{event.UpstreamGone, event.KeyUpstream, "was gone from the store"},
	{event.UpstreamEnded, event.KeyUpstream, "had ended: nobody listened at its address"},
	{event.UpstreamEjected, event.KeyUpstream, "was ejected"},
	{event.UpstreamLimited, event.KeyUpstream, "named a limit on its requests"},
	{event.UpstreamResting, event.KeyUpstream, "asked for rest"},
	{event.UpstreamLeaving, event.KeyUpstream, "said in an answer that it leaves"},
	{event.PeerLost, event.KeyPeer, "was no longer heard of"},
	{event.PeerLeaving, event.KeyPeer, "was leaving"},
	{event.Leaving, event.KeyInstance, "was told to end"},
	{event.Start, event.KeyInstance, "started anew"},
}

// eventsOfTarget describes the events of an upstream or instance around a time.
func (l *Log) eventsOfTarget(target string, at time.Time) []string {
	var all []string
	for _, kind := range targetEvents {
		for _, line := range l.between(kind.name, at.Add(-causeLookback), at.Add(causeLookahead)) {
			if line.Get(kind.key) == target {
				all = append(all, fmt.Sprintf("%s %s %s", target, kind.text, relativeTime(at, line.Time)))
				break
			}
		}
	}
	return all
}

// relativeTime formats the time to relative to from.
func relativeTime(from, to time.Time) string {
	apart := to.Sub(from).Round(time.Millisecond)
	if apart < 0 {
		return fmt.Sprintf("%v before", -apart)
	}
	return fmt.Sprintf("%v after", apart)
}

// missingEndCauses explains why an instance did not log the end of a span.
func (l *Log) missingEndCauses(span *Span) []string {
	at := span.last()
	for _, line := range l.between(event.Start, at, at.Add(time.Hour)) {
		if line.Instance == span.Instance {
			return []string{fmt.Sprintf("%s started anew %s: it ended with the request in work", span.Instance, relativeTime(at, line.Time))}
		}
	}
	if left := l.timeRanges[span.Instance].last.Sub(at); left < causeLookback {
		return []string{fmt.Sprintf("the log of %s ends %v later", span.Instance, left.Round(time.Millisecond))}
	}
	return nil
}

// refusalCauses explains the reason of a refusal.
func (l *Log) refusalCauses(span *Span) []string {
	end := span.End
	switch outcome.Reason(end.Get(event.KeyReason)) {
	case outcome.ReasonNoUpstream, outcome.ReasonNoRoom, outcome.ReasonUnreachable, outcome.ReasonUnresponsive:
		return l.noUpstreamCauses(span)
	case outcome.ReasonOriginUnknown, outcome.ReasonOriginGone:
		return l.originCauses(span)
	case outcome.ReasonUnknownRoute:
		return l.noRouteCauses(span)
	case outcome.ReasonNoConfiguration:
		return []string{span.Instance + " had no configuration yet" + l.sinceEvent(span, event.Start)}
	case outcome.ReasonUnauthenticated:
		return []string{fmt.Sprintf("%s: by configuration %s, in force there%s", end.Get(event.KeyDetail), end.Get(event.KeyVersion), l.sinceEvent(span, event.ConfigurationInForce))}
	case outcome.ReasonCallerLimit:
		return []string{fmt.Sprintf("%s asks for %s units a second, its limit is %s by configuration %s; %s had a balance of %s, from the use that a part of %s of the instances told it",
			end.Get(event.KeyOrganisation), end.Get(event.KeyDemand), end.Get(event.KeyLimit), end.Get(event.KeyVersion), span.Instance, end.Get(event.KeyBalance), end.Get(event.KeyHeard))}
	case outcome.ReasonQuarantined:
		return l.quarantineCauses(span)
	case outcome.ReasonDraining:
		return []string{span.Instance + " was leaving" + l.sinceEvent(span, event.Leaving)}
	case outcome.ReasonOverloaded:
		if end.Get(event.KeyShare) != "" {
			return shareCauses(span)
		}
		if end.Get(event.KeyKnown) != "" {
			return l.capacityCauses(span)
		}
		return l.retryBudgetCauses(span)
	case outcome.ReasonDeadline:
		return []string{fmt.Sprintf("its time was over after %d ms and %d sends", end.Int(event.KeyMS), end.Int(event.KeySends))}
	case outcome.ReasonBadRequest, outcome.ReasonTooLarge, outcome.ReasonSlowCaller:
		return []string{"the caller: " + strings.TrimSuffix(end.Get(event.KeyDetail)+": "+end.Get(event.KeyCause), ": ")}
	default:
		return []string{end.Get(event.KeyDetail)}
	}
}

// originCauses explains why a stream could not be taken up: how its origin is known, and which
// instances were lost or which of the service's upstreams went before.
func (l *Log) originCauses(span *Span) []string {
	all := []string{span.End.Get(event.KeyDetail)}
	for _, step := range span.steps(event.StreamOrigin) {
		all = append(all, "the request "+describeOrigin(step))
	}
	at := span.End.Time
	for _, name := range []event.Name{event.Start, event.UpstreamGone} {
		if n := len(l.between(name, at.Add(-originLookback), at)); n > 0 {
			all = append(all, fmt.Sprintf("%d × %s in the %v before", n, name, originLookback))
		}
	}
	return all
}

// originLookback is the time before a refusal in which the end of a stream's instance or of its
// software version may explain it.
const originLookback = 10 * time.Second

// quarantineCauses lists the upstreams that crashed while running a quarantined request.
func (l *Log) quarantineCauses(span *Span) []string {
	content := span.End.Get(event.KeyContent)
	until := span.End.Time
	all := []string{"the same request, " + content + ", is quarantined: upstreams that ran it ended one after the other"}
	quarantined := event.RequestQuarantined
	segment, ofSegment := strings.CutPrefix(content, "segment-")
	if ofSegment {
		quarantined = event.SegmentQuarantined
		all = []string{"the prompt segment " + segment + " is quarantined: upstreams that ran requests with it ended one after the other"}
	}
	holds := func(line *Line) bool {
		if ofSegment {
			return slices.Contains(strings.Split(line.Get(event.KeySegments), ","), segment)
		}
		return line.Get(event.KeyContent) == content
	}
	for _, line := range l.between(quarantined, until.Add(-quarantineLookback), until) {
		if line.Get(event.KeyContent) == content {
			all = append(all, fmt.Sprintf("%s quarantined it %s", line.Instance, relativeTime(until, line.Time)))
			break
		}
	}
	var crashed []string
	for _, line := range l.between(event.AttemptFailed, until.Add(-quarantineLookback), until) {
		target := line.Get(event.KeyTarget)
		if holds(line) && !slices.Contains(crashed, target) && l.crashed(target, line.Time) {
			crashed = append(crashed, target)
		}
	}
	if len(crashed) > 0 {
		all = append(all, "ended with it in work, as far as these logs show: "+strings.Join(crashed, ", "))
	}
	return all
}

// crashed reports whether an instance found that an upstream had crashed around a time.
func (l *Log) crashed(upstream string, at time.Time) bool {
	for _, line := range l.between(event.UpstreamEnded, at.Add(-relatedWindow), at.Add(relatedWindow)) {
		if line.Get(event.KeyUpstream) == upstream {
			return true
		}
	}
	return false
}

// sinceEvent describes the instance's last event of a name before the end of the span.
func (l *Log) sinceEvent(span *Span, name event.Name) string {
	line := l.last(span.Instance, span.End.Time, name)
	if line == nil {
		return ""
	}
	return fmt.Sprintf(" (%s %s)", name, relativeTime(span.End.Time, line.Time))
}

// noUpstreamCauses explains why no upstream of the service accepted the request.
func (l *Log) noUpstreamCauses(span *Span) []string {
	end := span.End
	if end.Int(event.KeyKnown) == 0 {
		return append([]string{end.Get(event.KeyDetail)}, l.upstreamFailures(span)...)
	}
	all := []string{describeUpstreams(end)}
	if unreachable := end.Int(event.KeyUnreachable); unreachable > 0 {
		all = append(all, fmt.Sprintf("to %d of them %s could make no connection%s, and it found no instance that could", unreachable, span.Instance, l.sinceEvent(span, event.PathLost)))
	}
	if unresponsive := end.Int(event.KeyUnresponsive); unresponsive > 0 {
		all = append(all, fmt.Sprintf("%d of them delivered no data%s", unresponsive, l.sinceEvent(span, event.UpstreamDark)))
	}
	if limited := end.Int(event.KeyLimited); limited > 0 {
		all = append(all, fmt.Sprintf("%d of them name limits on their requests, of which the part of %s was used", limited, span.Instance))
	}
	if crowded := end.Int(event.KeyCrowded); crowded > 0 {
		all = append(all, fmt.Sprintf("in %d of them, whose room the instances divide, %s had none of its %d places free%s",
			crowded, span.Instance, end.Int(event.KeyPlaces), l.sinceEvent(span, event.UpstreamBrittle)))
	}
	if rejections := len(span.steps(event.AttemptRejected)); rejections > 0 {
		all = append(all, fmt.Sprintf("%d of them rejected it", rejections))
	}
	return append(all, l.upstreamFailures(span)...)
}

// describeUpstreams describes the upstreams that the region had when a request was refused.
func describeUpstreams(end *Line) string {
	return fmt.Sprintf("of %d upstreams in the region %d are in service: %d rest after a failure or rejection, %d are cold; %d requests in work on %d slots",
		end.Int(event.KeyKnown), end.Int(event.KeyUsable), end.Int(event.KeyResting), end.Int(event.KeyCold), end.Int(event.KeyInFlight), end.Int(event.KeySlots))
}

// capacityCauses explains which upstreams and instances had no capacity for a request in time.
func (l *Log) capacityCauses(span *Span) []string {
	end := span.End
	all := []string{end.Get(event.KeyDetail)}
	var asked []string
	for _, step := range span.steps(event.AttemptRejected) {
		asked = append(asked, step.Get(event.KeyTarget))
	}
	if len(asked) > 0 {
		all = append(all, "asked, and refused by "+strings.Join(asked, ", "))
	}
	if regions := end.Get(event.KeyBackingOff); regions != "" {
		all = append(all, fmt.Sprintf("%s sent such requests to none of these regions for a while, since they had refused one for lack of capacity: %s", span.Instance, regions))
	}
	if end.Int(event.KeyKnown) > 0 {
		all = append(all, describeUpstreams(end))
	}
	return all
}

// upstreamFailures counts the failures of upstreams at the instance shortly before the end.
func (l *Log) upstreamFailures(span *Span) []string {
	var all []string
	until := span.End.Time
	for _, name := range []event.Name{event.UpstreamGone, event.UpstreamEjected, event.AttemptFailed} {
		if count := l.countAt(span.Instance, name, until.Add(-causeLookback), until); count > 0 {
			all = append(all, fmt.Sprintf("%d × %s at %s in the %v before", count, name, span.Instance, causeLookback))
		}
	}
	return all
}

func (l *Log) countAt(instance string, name event.Name, from, to time.Time) int {
	count := 0
	for _, line := range l.between(name, from, to) {
		if line.Instance == instance {
			count++
		}
	}
	return count
}

// noRouteCauses compares the configuration in force with that of other instances.
func (l *Log) noRouteCauses(span *Span) []string {
	end := span.End
	here := l.last(span.Instance, end.Time, event.ConfigurationInForce)
	if here == nil {
		return []string{"no route matches; the log does not tell the configuration in force"}
	}
	version := here.Int(event.KeyVersion)
	all := []string{fmt.Sprintf("no route matches in configuration %d", version)}
	for _, line := range l.between(event.ConfigurationInForce, end.Time.Add(-causeLookback), end.Time.Add(causeLookahead)) {
		if line.Int(event.KeyVersion) > version {
			return append(all, fmt.Sprintf("configuration %d came in force at %s %s", line.Int(event.KeyVersion), line.Instance, relativeTime(end.Time, line.Time)))
		}
	}
	return all
}

// shareCauses explains a refusal for the fair share of the request's organisation.
func shareCauses(span *Span) []string {
	end := span.End
	return []string{
		end.Get(event.KeyDetail),
		fmt.Sprintf("lately %s admitted work of %s of %s's requests of this priority, and its fair share beside the others was %s; they are refused first until that is level",
			span.Instance, end.Get(event.KeyUsed), end.Get(event.KeyOrganisation), end.Get(event.KeyShare)),
		fmt.Sprintf("%d requests in work on %d slots of the region", end.Int(event.KeyInFlight), end.Int(event.KeySlots)),
	}
}

// retryWindow is the time over which the retry budget bounds retries.
const retryWindow = 10 * time.Second

// retryBudgetCauses explains what used up the retry budget.
func (l *Log) retryBudgetCauses(span *Span) []string {
	until := span.End.Time
	failures := l.countAt(span.Instance, event.AttemptFailed, until.Add(-retryWindow), until)
	return []string{
		span.End.Get(event.KeyDetail),
		fmt.Sprintf("%d × %s at %s in the %v before", failures, event.AttemptFailed, span.Instance, retryWindow),
	}
}

// restoreWindow is the time after a restore of the store in which it may explain a failure,
// until the operator and the upstreams have written their entries again.
const restoreWindow = 30 * time.Second

// storeCauses reports whether the store was unreachable for the instance, or restored from a backup.
func (l *Log) storeCauses(span *Span) []string {
	var all []string
	until := span.End.Time
	if line := l.last(span.Instance, until, event.StoreLost, event.StoreRegained, event.Start); line != nil && line.Event == event.StoreLost {
		all = append(all, fmt.Sprintf("the store was lost to %s %s", span.Instance, relativeTime(until, line.Time)))
	}
	if line := l.last(span.Instance, until, event.StoreRestored); line != nil && until.Sub(line.Time) <= restoreWindow {
		all = append(all, fmt.Sprintf("the store had come back from a copy of its past %s, as %s heard", relativeTime(until, line.Time), span.Instance))
		if left := l.countAt(span.Instance, event.EntriesLeftOut, line.Time, until); left > 0 {
			all = append(all, fmt.Sprintf("%d × %s at %s since", left, event.EntriesLeftOut, span.Instance))
		}
	}
	return all
}

// callerGoneCauses explains what a caller waited for before it disconnected.
func (l *Log) callerGoneCauses(span *Span) []string {
	all := []string{fmt.Sprintf("the caller left after %d ms", span.End.Int(event.KeyMS))}
	return append(all, l.waitCauses(span)...)
}

// lateAnswerCauses explains the delay of an answer that began late.
func (l *Log) lateAnswerCauses(span *Span) []string {
	all := []string{fmt.Sprintf("the answer began after %d ms", span.End.Int(event.KeyFirstMS))}
	return append(all, l.waitCauses(span)...)
}

// waitCauses describes the attempts of a request and the load of the last target.
func (l *Log) waitCauses(span *Span) []string {
	var all []string
	routes := span.steps(event.RequestRouted)
	if len(routes) == 0 {
		return all
	}
	if len(routes) > 1 {
		spent := routes[len(routes)-1].Time.Sub(routes[0].Time)
		all = append(all, fmt.Sprintf("%v went on %d earlier attempts", spent.Round(time.Millisecond), len(routes)-1))
	}
	chosen := routes[len(routes)-1]
	all = append(all, fmt.Sprintf("%s had %d requests in work and %d prompt tokens to read, and %d of this one",
		chosen.Get(event.KeyTarget), chosen.Int(event.KeyInFlight), chosen.Int(event.KeyPrefill), chosen.Int(event.KeyUncached)))
	return append(all, l.eventsOfTarget(chosen.Get(event.KeyTarget), chosen.Time)...)
}
