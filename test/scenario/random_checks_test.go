package scenario

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// leaveBound is the time after which a leaving upstream receives no new work.
const leaveBound = 3 * time.Second

// evidence is the input of the checks and their results.
type evidence struct {
	d        *deployment
	entries  []journal.Entry
	hops     []hopLine
	attempts []*attempt
	past     history
	watcher  *watcher
	faults   *faultInjector
	// gateways lists the names of gateway processes by failure domain.
	gateways map[string][]string

	violations []string
	counts     []string
}

func (e *evidence) fail(promise, format string, args ...any) {
	e.violations = append(e.violations, promise+": "+fmt.Sprintf(format, args...))
}

func (e *evidence) count(format string, args ...any) {
	e.counts = append(e.counts, fmt.Sprintf(format, args...))
}

// check checks each guarantee in turn.
func (e *evidence) check() {
	e.checkRegions()
	e.checkHops()
	e.checkIsolation()
	e.checkAnswers()
	e.checkNotRun()
	e.checkAtMostOnce()
	e.checkShutdown()
	e.checkRevisions()
	e.checkVerdicts()
}

// checkRegions checks each run against the permissions and drains that the failure
// domain's gateways may have had in force at its start.
func (e *evidence) checkRegions() {
	regions, drains := 0, 0
	for index := range e.entries {
		entry := &e.entries[index]
		if entry.Kind == journal.KindOrder {
			continue
		}
		low, high, ok := e.watcher.between(e.gateways[entry.Domain], entry.Started, entry.Started)
		if !ok {
			e.fail("region", "no revision sample of %s at %s", entry.Domain, entry.Started)
			continue
		}
		regions++
		if !e.past.any(low, high, func(f revisionState) bool { return f.permitted[entry.Caller+" "+entry.Domain] }) {
			e.fail("region", "%s ran at %s for %s, forbidden in revisions %d to %d", entry.RequestID, entry.Upstream, entry.Caller, low, high)
		}
		low, high, ok = e.watcher.between(e.gateways[entry.Domain], entry.Started.Add(-leaveBound), entry.Started)
		if ok && e.past.any(low, high, func(f revisionState) bool { return f.anyDrained() }) {
			drains++
		}
		if ok && !e.past.any(low, high, func(f revisionState) bool { return !f.drained[entry.Upstream] }) {
			e.fail("leaving", "%s started at %s, which was drained in revisions %d to %d", entry.RequestID, entry.Upstream, low, high)
		}
	}
	e.count("region: %d runs checked against permissions; leaving: %d of them during a drain", regions, drains)
}

// checkHops checks that each forwarded request came from the failure domain that
// received it from its caller, and that no request ran in a domain without a hop.
func (e *evidence) checkHops() {
	entered := make(map[string]string)
	for _, hop := range e.hops {
		if hop.origin == "" {
			entered[hop.request] = hop.domain
		}
	}
	forwarded := 0
	reached := make(map[string]bool)
	for _, hop := range e.hops {
		if hop.origin == "" {
			continue
		}
		forwarded++
		reached[hop.request+" "+hop.domain] = true
		if entry, known := entered[hop.request]; known && entry != hop.origin {
			e.fail("loop", "%s entered at %s and was forwarded to %s by %s", hop.request, entry, hop.domain, hop.origin)
		}
	}
	for _, entry := range e.entries {
		domain, known := entered[entry.RequestID]
		if !known || domain == entry.Domain || reached[entry.RequestID+" "+entry.Domain] || e.killedNear(entry.Domain, entry.Started) {
			continue
		}
		e.fail("loop", "%s entered at %s and ran at %s without a hop there", entry.RequestID, domain, entry.Domain)
	}
	e.count("loop: %d hops checked against the entry domains of their requests", forwarded)
}

// killedNear returns whether a gateway of the domain was killed within randomTimeout,
// so that its log may lack the request.
func (e *evidence) killedNear(domain string, from time.Time) bool {
	for _, name := range e.gateways[domain] {
		for _, end := range e.faults.killed[name] {
			if end.overlaps(from, from.Add(randomTimeout)) {
				return true
			}
		}
	}
	return false
}

// checkIsolation checks that residents' requests completed while their failure domain
// was partitioned and had no other fault.
func (e *evidence) checkIsolation() {
	checked := 0
	for _, one := range e.attempts {
		domain := callerDomains[one.caller]
		if !strings.Contains(one.caller, "resident") || !one.followsList || one.cancelled {
			continue
		}
		for _, isolated := range e.faults.isolated[domain] {
			if one.from.Before(isolated.from) || one.until.After(isolated.until) || strings.HasPrefix(one.key, opaqueKey) {
				continue // opaque keys need the platform
			}
			checked++
			inProgress := one.repeatAfter == 0 && one.answer.Refusal.Type == outcome.ReasonKeyInProgress
			if one.answer.Outcome != outcome.Complete && !inProgress {
				e.fail("isolation", "%s %s in %s: %s", one.caller, one.id, domain, describeAttempt(one))
			}
		}
	}
	e.count("isolation: %d requests in partitioned domains", checked)
}

func describeAttempt(one *attempt) string {
	return fmt.Sprintf("%s status %d %s %v (sent %s, took %v)", one.answer.Outcome, one.answer.Status, one.answer.Refusal.Type, one.answer.Err,
		one.from.Format(time.StampMilli), one.until.Sub(one.from).Round(time.Millisecond))
}

// checkAnswers checks that each complete answer matches its request.
func (e *evidence) checkAnswers() {
	ends := make(map[string]int)
	for _, one := range e.attempts {
		end := string(one.answer.Outcome)
		if one.cancelled {
			end = "cancelled by the caller"
		}
		ends[strings.TrimSpace(end+" "+string(one.answer.Refusal.Type))]++
		if one.contentErr != nil {
			e.fail("whole", "%s %s: %v", one.caller, one.id, one.contentErr)
		}
	}
	e.count("whole: each complete answer compared with the expected one; results: %v", ends)
}

// checkNotRun checks each "not run" outcome against the journal: of gateways by
// request ID, and of callers for each attempt.
func (e *evidence) checkNotRun() {
	ranAttempt, ranRequest := make(map[string]bool), make(map[string]bool)
	for index := range e.entries {
		ranAttempt[e.entries[index].RequestID] = true
		ranRequest[e.entries[index].Caller+" "+ownID(&e.entries[index])] = true
	}
	reported := 0
	for _, hop := range e.hops {
		if hop.origin != "" || hop.outcome != string(outcome.NotRun) {
			continue
		}
		reported++
		if ranAttempt[hop.request] {
			e.fail("not-run", "%s was reported as not run, but ran", hop.request)
		}
	}
	for _, one := range e.attempts {
		if one.answer.Outcome == outcome.NotRun && ranRequest[one.caller+" "+one.id] {
			e.fail("not-run", "%s %s ended with %s, but ran", one.caller, one.id, describeAttempt(one))
		}
	}
	e.count("not-run: reported %d times by gateways, each compared with the journal", reported)
}

// checkAtMostOnce compares the runs of each key, and of each upload without one, with
// the outcomes of its attempts.
func (e *evidence) checkAtMostOnce() {
	runs := make(map[string][]journal.Entry)
	for index := range e.entries {
		entry := e.entries[index]
		switch {
		case entry.Kind != journal.KindCall || entry.Path != "/uploads" && entry.Path != uploadPath:
		case entry.IdempotencyKey != "":
			runs[entry.IdempotencyKey] = append(runs[entry.IdempotencyKey], entry)
		default:
			runs[entry.Caller+" "+ownID(&entry)] = append(runs[entry.Caller+" "+ownID(&entry)], entry)
		}
	}
	attempts := make(map[string][]*attempt)
	for _, one := range e.attempts {
		if one.path != uploadPath {
			continue
		}
		name := one.key
		if name == "" {
			name = one.caller + " " + one.id
		}
		attempts[name] = append(attempts[name], one)
	}
	for name, all := range attempts {
		e.checkAttempts(name, runs[name], all)
	}
	e.count("once: %d uploads, each with its attempts, compared with its runs", len(attempts))
}

func (e *evidence) checkAttempts(name string, runs []journal.Entry, attempts []*attempt) {
	if len(runs) > 1 {
		e.fail("once", "%s ran %d times: %s", name, len(runs), describeAttempts(attempts))
	}
	body := ""
	for _, one := range attempts {
		complete := one.answer.Outcome == outcome.Complete
		if complete && len(runs) == 0 {
			e.fail("once", "%s was reported complete but did not run: %s", name, describeAttempts(attempts))
		}
		if complete && body != "" && body != string(one.answer.Body) {
			e.fail("once", "%s received two different answers: %s and %s", name, body, one.answer.Body)
		}
		if complete {
			body = string(one.answer.Body)
		}
		// A repeat to a single address that could not be reached has no gateway's
		// answer, so its outcome does not cover the other attempts under the key.
		reported := one.answer.Status != 0 || one.followsList
		if reported && one.answer.Outcome == outcome.NotRun && len(runs) > 0 && ranBefore(runs[0].Started, one, attempts) {
			e.fail("not-run", "key %s was reported as not run, but ran at %s: %s", name, runs[0].Started.Format(time.StampMilli), describeAttempts(attempts))
		}
	}
}

// ranBefore returns whether a run contradicts the "not run" outcome of an attempt: it
// started before the attempt ended. If another attempt overlapped, the run may be that
// one's, so only a run before the start of the attempt counts.
func ranBefore(began time.Time, one *attempt, attempts []*attempt) bool {
	for _, other := range attempts {
		if other != one && other.overlaps(one.from, one.until) {
			return began.Before(one.from)
		}
	}
	return began.Before(one.until)
}

func describeAttempts(attempts []*attempt) string {
	var texts []string
	for _, one := range attempts {
		texts = append(texts, one.id+" "+describeAttempt(one))
	}
	return strings.Join(texts, "; ")
}

// checkShutdown checks that connections broke only at killed gateways and not by a
// graceful stop.
func (e *evidence) checkShutdown() {
	names := make(map[string]string)
	for name, instance := range e.d.instances {
		names[instance.Gateway.Callers] = name + "/gateway"
	}
	broken, stops := 0, 0
	for _, one := range e.attempts {
		if !connectionBroke(one) {
			continue
		}
		broken++
		killed := false
		for _, end := range e.faults.killed[names[one.gateway]] {
			killed = killed || end.overlaps(one.from, one.until)
		}
		if !killed {
			e.fail("shutdown", "the connection of %s to %s broke, but the gateway was not killed: %s", one.id, names[one.gateway], describeAttempt(one))
		}
	}
	for _, ends := range e.faults.stopped {
		stops += len(ends)
	}
	e.count("shutdown: %d processes stopped gracefully; %d broken connections compared with the kills", stops, broken)
}

// connectionBroke returns whether the connection to a gateway broke during an attempt.
func connectionBroke(one *attempt) bool {
	answer := one.answer
	if one.cancelled || answer.Err == nil || answer.Outcome != outcome.Unknown || errors.Is(answer.Err, client.ErrBrokenStream) {
		return false
	}
	return answer.Refusal.Type == ""
}

// checkRevisions checks that no process went back to an older revision.
func (e *evidence) checkRevisions() {
	checked := 0
	for name, samples := range e.watcher.samples {
		for index, one := range samples {
			checked++
			if index > 0 && one.start == samples[index-1].start && one.revision < samples[index-1].revision {
				e.fail("configuration", "%s went back from revision %d to %d", name, samples[index-1].revision, one.revision)
			}
		}
	}
	e.count("configuration: %d revision samples checked for order at each process", checked)
}

// checkVerdicts compares the replies to operators with the audit trail.
func (e *evidence) checkVerdicts() {
	accepted := make(map[string]int)
	for _, one := range e.past[min(2, len(e.past)):] {
		accepted[one.line]++
	}
	reported := make(map[string]int)
	states := make(map[string]int)
	for _, one := range e.faults.commands {
		read := readVerdict(one.text)
		if read.undecided {
			read = e.resolve(one)
		}
		line := strings.TrimSuffix(one.line, " !")
		switch {
		case read.undecided:
			states["open"]++
			e.fail("configuration", "result still unknown after healing: %s: %q", one.line, one.text)
		case read.refused:
			states["refused"]++
		default:
			states["accepted"]++
			reported[line]++
			e.checkAccepted(line, one, read)
		}
	}
	for line, times := range accepted {
		if reported[line] != times {
			e.fail("configuration", "%q is %d times in the audit trail, but was reported accepted %d times", line, times, reported[line])
		}
	}
	e.count("configuration: %d changes reported accepted and %d refused, compared with the audit trail of %d revisions", states["accepted"], states["refused"], len(e.past)-1)
}

// checkAccepted compares an accepted change with the audit trail. A change reported in
// force everywhere must stay so at each process that has a configuration, including
// processes started later.
func (e *evidence) checkAccepted(line string, one operatorCommand, read verdict) {
	if read.revision >= len(e.past) || e.past[read.revision].line != line {
		e.fail("configuration", "%q was reported as revision %d, which is another change", line, read.revision)
	}
	if !read.everywhere {
		return
	}
	for name, samples := range e.watcher.samples {
		for _, later := range samples {
			if later.from.After(one.until) && later.revision > 0 && later.revision < read.revision {
				e.fail("configuration", "revision %d was reported in force everywhere, but %s had %d", read.revision, name, later.revision)
			}
		}
	}
}

// resolve queries the result of a change whose reply reported none.
func (e *evidence) resolve(one operatorCommand) verdict {
	match := identityText.FindStringSubmatch(one.text)
	if match == nil {
		return verdict{undecided: true}
	}
	text, _ := operate(e.d, []string{"why", match[1]})
	read := readVerdict(text)
	read.everywhere = false
	return read
}

// report returns the counts and the violations as text.
func (e *evidence) report() string {
	sort.Strings(e.violations)
	return strings.Join(e.counts, "\n") + "\n" + strings.Join(e.violations, "\n")
}
