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
	// before is the time before a failure in which an event may be its cause. It exceeds the
	// first ejection period and the time after which a silent instance is removed.
	before = 5 * time.Second
	// after is the time after a failure in which its cause may be logged, because an
	// upstream's entry expires some seconds after the upstream has gone.
	after = 8 * time.Second
	// beside is the distance in time within which failures of other requests count as related.
	beside = time.Second
	// contentWindow is the time before and after a failure in which tries of the same request
	// are counted together.
	contentWindow = 10 * time.Minute
	// quarantineWindow is the time before a refusal in which the causes of a quarantine are sought.
	quarantineWindow = time.Hour
)

// slow is the time to the first part of an answer from which the delay is explained.
const slow = time.Second

// causes returns the reasons for the outcome of a visit.
func (l *Log) causes(visit *Visit) []string {
	var all []string
	told := make(map[string]bool)
	for _, attempt := range visit.steps(event.AttemptFailed) {
		if target := attempt.Get(event.KeyTarget); !told[target] {
			told[target] = true
			all = append(all, l.whyAttempt(attempt)...)
		}
	}
	switch {
	case visit.End == nil:
		all = append(all, l.whyUnended(visit)...)
	case visit.End.Event == event.RequestFailed:
		all = append(all, l.whyRefused(visit)...)
		all = append(all, l.store(visit)...)
	case visit.End.Get(event.KeyOutcome) == callerGone:
		all = append(all, l.whyLeft(visit)...)
	case time.Duration(visit.End.Int(event.KeyFirstMS))*time.Millisecond >= slow:
		all = append(all, l.whyLate(visit)...)
	}
	return slices.Compact(all)
}

// whyAttempt describes a failed attempt and related events at its target.
func (l *Log) whyAttempt(attempt *Line) []string {
	target := attempt.Get(event.KeyTarget)
	all := []string{target + " " + howFailed(attempt)}
	if others := l.failuresAt(target, attempt.Time); others > 0 {
		all = append(all, fmt.Sprintf("attempts of other requests that failed at %[2]s within %[3]v: %[1]d", others, target, beside))
	}
	all = append(all, l.sameContent(attempt)...)
	return append(all, l.fateOf(target, attempt.Time)...)
}

// sameContent counts the other tries of the same request, by content, that broke off, and
// their targets.
func (l *Log) sameContent(attempt *Line) []string {
	content := attempt.Get(event.KeyContent)
	if content == "" {
		return nil
	}
	places := make(map[string]bool)
	tries := make(map[string]bool)
	for _, line := range l.near(event.AttemptFailed, attempt.Time.Add(-contentWindow), attempt.Time.Add(contentWindow)) {
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

// howFailed describes the failure of an attempt.
func howFailed(attempt *Line) string {
	switch {
	case attempt.Is(event.KeyUnsent):
		return "could not be reached: " + attempt.Get(event.KeyError)
	case attempt.Int(event.KeyStatus) >= http.StatusInternalServerError:
		return fmt.Sprintf("answered %d", attempt.Int(event.KeyStatus))
	default:
		return "broke off: " + attempt.Get(event.KeyError)
	}
}

func (l *Log) failuresAt(target string, at time.Time) int {
	count := 0
	for _, line := range l.near(event.AttemptFailed, at.Add(-beside), at.Add(beside)) {
		if line.Get(event.KeyTarget) == target {
			count++
		}
	}
	return count
}

// fates are the events that explain a failure at a target, with the key that names the target.
var fates = []struct {
	name event.Name
	key  string
	says string
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

// fateOf describes the events of an upstream or instance around a time.
func (l *Log) fateOf(target string, at time.Time) []string {
	var all []string
	for _, fate := range fates {
		for _, line := range l.near(fate.name, at.Add(-before), at.Add(after)) {
			if line.Get(fate.key) == target {
				all = append(all, fmt.Sprintf("%s %s %s", target, fate.says, distance(at, line.Time)))
				break
			}
		}
	}
	return all
}

// distance formats the time to relative to from.
func distance(from, to time.Time) string {
	apart := to.Sub(from).Round(time.Millisecond)
	if apart < 0 {
		return fmt.Sprintf("%v before", -apart)
	}
	return fmt.Sprintf("%v after", apart)
}

// whyUnended explains why an instance did not log the end of a visit.
func (l *Log) whyUnended(visit *Visit) []string {
	at := visit.last()
	for _, line := range l.near(event.Start, at, at.Add(time.Hour)) {
		if line.Instance == visit.Instance {
			return []string{fmt.Sprintf("%s started anew %s: it ended with the request in work", visit.Instance, distance(at, line.Time))}
		}
	}
	if left := l.spans[visit.Instance].last.Sub(at); left < before {
		return []string{fmt.Sprintf("the log of %s ends %v later", visit.Instance, left.Round(time.Millisecond))}
	}
	return nil
}

// whyRefused explains the reason of a refusal.
func (l *Log) whyRefused(visit *Visit) []string {
	end := visit.End
	switch outcome.Reason(end.Get(event.KeyReason)) {
	case outcome.ReasonNoUpstream:
		return l.whyNoUpstream(visit)
	case outcome.ReasonUnknownRoute:
		return l.whyNoRoute(visit)
	case outcome.ReasonNoConfiguration:
		return []string{visit.Instance + " had no configuration yet" + l.since(visit, event.Start)}
	case outcome.ReasonUnauthenticated:
		return []string{fmt.Sprintf("%s: by configuration %s, in force there%s", end.Get(event.KeyDetail), end.Get(event.KeyVersion), l.since(visit, event.ConfigurationInForce))}
	case outcome.ReasonCallerLimit:
		return []string{fmt.Sprintf("%s asks for %s units a second, its limit is %s by configuration %s; %s had a balance of %s, from the use that a part of %s of the instances told it",
			end.Get(event.KeyOrganisation), end.Get(event.KeyDemand), end.Get(event.KeyLimit), end.Get(event.KeyVersion), visit.Instance, end.Get(event.KeyBalance), end.Get(event.KeyHeard))}
	case outcome.ReasonQuarantined:
		return l.whyQuarantined(visit)
	case outcome.ReasonDraining:
		return []string{visit.Instance + " was leaving" + l.since(visit, event.Leaving)}
	case outcome.ReasonOverloaded:
		return l.whyNoRepeat(visit)
	case outcome.ReasonDeadline:
		return []string{fmt.Sprintf("its time was over after %d ms and %d sends", end.Int(event.KeyMS), end.Int(event.KeySends))}
	case outcome.ReasonBadRequest, outcome.ReasonTooLarge, outcome.ReasonSlowCaller:
		return []string{"the caller: " + strings.TrimSuffix(end.Get(event.KeyDetail)+": "+end.Get(event.KeyCause), ": ")}
	default:
		return []string{end.Get(event.KeyDetail)}
	}
}

// whyQuarantined lists the upstreams that crashed while running a request that is now
// refused as quarantined.
func (l *Log) whyQuarantined(visit *Visit) []string {
	content := visit.End.Get(event.KeyContent)
	until := visit.End.Time
	all := []string{"the same request, " + content + ", is quarantined: upstreams that ran it ended one after the other"}
	for _, line := range l.near(event.RequestQuarantined, until.Add(-quarantineWindow), until) {
		if line.Get(event.KeyContent) == content {
			all = append(all, fmt.Sprintf("%s quarantined it %s", line.Instance, distance(until, line.Time)))
			break
		}
	}
	var ended []string
	for _, line := range l.near(event.AttemptFailed, until.Add(-quarantineWindow), until) {
		target := line.Get(event.KeyTarget)
		if line.Get(event.KeyContent) == content && !slices.Contains(ended, target) && l.ended(target, line.Time) {
			ended = append(ended, target)
		}
	}
	if len(ended) > 0 {
		all = append(all, "ended with it in work, as far as these logs show: "+strings.Join(ended, ", "))
	}
	return all
}

// ended reports whether an instance found that an upstream had crashed around a time.
func (l *Log) ended(upstream string, at time.Time) bool {
	for _, line := range l.near(event.UpstreamEnded, at.Add(-beside), at.Add(beside)) {
		if line.Get(event.KeyUpstream) == upstream {
			return true
		}
	}
	return false
}

// since describes the instance's last event of a name before the end of the visit.
func (l *Log) since(visit *Visit, name event.Name) string {
	line := l.last(visit.Instance, visit.End.Time, name)
	if line == nil {
		return ""
	}
	return fmt.Sprintf(" (%s %s)", name, distance(visit.End.Time, line.Time))
}

// whyNoUpstream explains why no upstream of the service accepted the request.
func (l *Log) whyNoUpstream(visit *Visit) []string {
	end := visit.End
	known, usable, cold := end.Int(event.KeyKnown), end.Int(event.KeyUsable), end.Int(event.KeyCold)
	if known == 0 {
		return append([]string{end.Get(event.KeyDetail)}, l.lostUpstreams(visit)...)
	}
	all := []string{fmt.Sprintf("of %d upstreams in the region %d are in service: %d rest after a failure or rejection, %d are cold; %d requests in work on %d slots",
		known, usable, end.Int(event.KeyResting), cold, end.Int(event.KeyInFlight), end.Int(event.KeySlots))}
	if limited := end.Int(event.KeyLimited); limited > 0 {
		all = append(all, fmt.Sprintf("%d of them name limits on their requests, of which the part of %s was used", limited, visit.Instance))
	}
	if rejections := len(visit.steps(event.AttemptRejected)); rejections > 0 {
		all = append(all, fmt.Sprintf("%d of them rejected it", rejections))
	}
	return append(all, l.lostUpstreams(visit)...)
}

// lostUpstreams counts the upstream failures that the instance logged shortly before the end.
func (l *Log) lostUpstreams(visit *Visit) []string {
	var all []string
	until := visit.End.Time
	for _, name := range []event.Name{event.UpstreamGone, event.UpstreamEjected, event.AttemptFailed} {
		if count := l.countAt(visit.Instance, name, until.Add(-before), until); count > 0 {
			all = append(all, fmt.Sprintf("%d × %s at %s in the %v before", count, name, visit.Instance, before))
		}
	}
	return all
}

func (l *Log) countAt(instance string, name event.Name, from, to time.Time) int {
	count := 0
	for _, line := range l.near(name, from, to) {
		if line.Instance == instance {
			count++
		}
	}
	return count
}

// whyNoRoute compares the configuration in force with that of other instances.
func (l *Log) whyNoRoute(visit *Visit) []string {
	end := visit.End
	here := l.last(visit.Instance, end.Time, event.ConfigurationInForce)
	if here == nil {
		return []string{"no route matches; the log does not tell the configuration in force"}
	}
	version := here.Int(event.KeyVersion)
	all := []string{fmt.Sprintf("no route matches in configuration %d", version)}
	for _, line := range l.near(event.ConfigurationInForce, end.Time.Add(-before), end.Time.Add(after)) {
		if line.Int(event.KeyVersion) > version {
			return append(all, fmt.Sprintf("configuration %d came in force at %s %s", line.Int(event.KeyVersion), line.Instance, distance(end.Time, line.Time)))
		}
	}
	return all
}

// retryWindow is the time over which the retry budget bounds retries.
const retryWindow = 10 * time.Second

// whyNoRepeat explains what used up the retry budget.
func (l *Log) whyNoRepeat(visit *Visit) []string {
	until := visit.End.Time
	failures := l.countAt(visit.Instance, event.AttemptFailed, until.Add(-retryWindow), until)
	return []string{
		visit.End.Get(event.KeyDetail),
		fmt.Sprintf("%d × %s at %s in the %v before", failures, event.AttemptFailed, visit.Instance, retryWindow),
	}
}

// restoreWindow is the time after a restore of the store from a backup in which the restore may
// explain a failure: the operator and the upstreams have to write their entries again.
const restoreWindow = 30 * time.Second

// store reports whether the store was unreachable for the instance, or restored from a backup.
func (l *Log) store(visit *Visit) []string {
	var all []string
	until := visit.End.Time
	if line := l.last(visit.Instance, until, event.StoreLost, event.StoreRegained, event.Start); line != nil && line.Event == event.StoreLost {
		all = append(all, fmt.Sprintf("the store was lost to %s %s", visit.Instance, distance(until, line.Time)))
	}
	if line := l.last(visit.Instance, until, event.StoreRestored); line != nil && until.Sub(line.Time) <= restoreWindow {
		all = append(all, fmt.Sprintf("the store had come back from a copy of its past %s, as %s heard", distance(until, line.Time), visit.Instance))
		if left := l.countAt(visit.Instance, event.EntriesLeftOut, line.Time, until); left > 0 {
			all = append(all, fmt.Sprintf("%d × %s at %s since", left, event.EntriesLeftOut, visit.Instance))
		}
	}
	return all
}

// whyLeft explains what a caller waited for before it disconnected.
func (l *Log) whyLeft(visit *Visit) []string {
	all := []string{fmt.Sprintf("the caller left after %d ms", visit.End.Int(event.KeyMS))}
	return append(all, l.whyWaited(visit)...)
}

// whyLate explains the delay of an answer that began late.
func (l *Log) whyLate(visit *Visit) []string {
	all := []string{fmt.Sprintf("the answer began after %d ms", visit.End.Int(event.KeyFirstMS))}
	return append(all, l.whyWaited(visit)...)
}

// whyWaited describes the attempts of a request and the load of the last target.
func (l *Log) whyWaited(visit *Visit) []string {
	var all []string
	routes := visit.steps(event.RequestRouted)
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
	return append(all, l.fateOf(chosen.Get(event.KeyTarget), chosen.Time)...)
}
