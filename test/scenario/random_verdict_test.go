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

// leaveBound is how soon a leaving upstream gets no new work.
const leaveBound = 3 * time.Second

// evidence is everything that the checks compare.
type evidence struct {
	d       *deployment
	entries []journal.Entry
	hops    []hopLine
	told    []*told
	past    history
	watcher *watcher
	faults  *disturber
	// gateways lists the gateways' processes by failure domain.
	gateways map[string][]string

	wrong  []string
	counts []string
}

func (e *evidence) fail(promise, format string, args ...any) {
	e.wrong = append(e.wrong, promise+": "+fmt.Sprintf(format, args...))
}

func (e *evidence) count(format string, args ...any) {
	e.counts = append(e.counts, fmt.Sprintf(format, args...))
}

// check compares everything with each promise in turn.
func (e *evidence) check() {
	e.checkRegions()
	e.checkHops()
	e.checkIsolation()
	e.checkAnswers()
	e.checkNotRun()
	e.checkOnce()
	e.checkShutdown()
	e.checkRevisions()
	e.checkVerdicts()
}

// checkRegions holds each run against the permissions and the drains that the
// failure domain's gateways may have had in force when it began.
func (e *evidence) checkRegions() {
	regions, drains := 0, 0
	for index := range e.entries {
		entry := &e.entries[index]
		if entry.Kind == journal.KindOrder {
			continue
		}
		low, high, ok := e.watcher.between(e.gateways[entry.Domain], entry.Started, entry.Started)
		if !ok {
			e.fail("region", "nothing known of %s at %s", entry.Domain, entry.Started)
			continue
		}
		regions++
		if !e.past.any(low, high, func(f inForce) bool { return f.permitted[entry.Caller+" "+entry.Domain] }) {
			e.fail("region", "%s ran at %s for %s, forbidden in revisions %d to %d", entry.RequestID, entry.Upstream, entry.Caller, low, high)
		}
		low, high, ok = e.watcher.between(e.gateways[entry.Domain], entry.Started.Add(-leaveBound), entry.Started)
		if ok && e.past.any(low, high, func(f inForce) bool { return f.anyDrained() }) {
			drains++
		}
		if ok && !e.past.any(low, high, func(f inForce) bool { return !f.drained[entry.Upstream] }) {
			e.fail("leaving", "%s began at %s, drained in revisions %d to %d", entry.RequestID, entry.Upstream, low, high)
		}
	}
	e.count("region: %d runs held against permissions; leaving: %d of them while some revision had a drain", regions, drains)
}

// checkHops wants each request that was forwarded to come from the failure domain
// whose gateway its caller asked, and no run anywhere else.
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
			e.fail("loop", "%s entered at %s and came to %s from %s", hop.request, entry, hop.domain, hop.origin)
		}
	}
	for _, entry := range e.entries {
		domain, known := entered[entry.RequestID]
		if !known || domain == entry.Domain || reached[entry.RequestID+" "+entry.Domain] || e.endedNear(entry.Domain, entry.Started) {
			continue
		}
		e.fail("loop", "%s entered at %s and ran at %s without a hop there", entry.RequestID, domain, entry.Domain)
	}
	e.count("loop: %d hops held against where their requests entered", forwarded)
}

// endedNear tells whether a gateway of the domain was killed later on, so that its
// log may lack the request.
func (e *evidence) endedNear(domain string, from time.Time) bool {
	for _, name := range e.gateways[domain] {
		for _, end := range e.faults.killed[name] {
			if end.overlaps(from, from.Add(randomTimeout)) {
				return true
			}
		}
	}
	return false
}

// checkIsolation wants each resident's request complete while the own failure
// domain was cut off and nothing else was wrong there.
func (e *evidence) checkIsolation() {
	asked := 0
	for _, one := range e.told {
		domain := homes[one.caller]
		if !strings.Contains(one.caller, "resident") || !one.followed || one.gone {
			continue
		}
		for _, alone := range e.faults.alone[domain] {
			if one.from.Before(alone.from) || one.until.After(alone.until) || strings.HasPrefix(one.key, opaqueKey) {
				continue // opaque keys need the platform
			}
			asked++
			inProgress := one.again == 0 && one.answer.Refusal.Type == outcome.ReasonKeyInProgress
			if one.answer.Outcome != outcome.Complete && !inProgress {
				e.fail("isolation", "%s %s in %s: %s", one.caller, one.id, domain, describeTold(one))
			}
		}
	}
	e.count("isolation: %d requests in cut-off domains", asked)
}

func describeTold(one *told) string {
	return fmt.Sprintf("%s status %d %s %v (sent %s, took %v)", one.answer.Outcome, one.answer.Status, one.answer.Refusal.Type, one.answer.Err,
		one.from.Format(time.StampMilli), one.until.Sub(one.from).Round(time.Millisecond))
}

// checkAnswers wants each complete answer to be the one to its request.
func (e *evidence) checkAnswers() {
	ends := make(map[string]int)
	for _, one := range e.told {
		end := string(one.answer.Outcome)
		if one.gone {
			end = "given up by the caller"
		}
		ends[strings.TrimSpace(end+" "+string(one.answer.Refusal.Type))]++
		if one.wrong != nil {
			e.fail("whole", "%s %s: %v", one.caller, one.id, one.wrong)
		}
	}
	e.count("whole: each complete answer compared with what it must be; ends: %v", ends)
}

// checkNotRun compares each "not run" with the journal: of gateways for each try
// that a caller made, and of callers for each request.
func (e *evidence) checkNotRun() {
	ranTry, ranRequest := make(map[string]bool), make(map[string]bool)
	for index := range e.entries {
		ranTry[e.entries[index].RequestID] = true
		ranRequest[e.entries[index].Caller+" "+ownID(&e.entries[index])] = true
	}
	said := 0
	for _, hop := range e.hops {
		if hop.origin != "" || hop.outcome != string(outcome.NotRun) {
			continue
		}
		said++
		if ranTry[hop.request] {
			e.fail("not-run", "%s was said not to have run, and ran", hop.request)
		}
	}
	for _, one := range e.told {
		if one.answer.Outcome == outcome.NotRun && ranRequest[one.caller+" "+one.id] {
			e.fail("not-run", "%s %s was told %s, and ran", one.caller, one.id, describeTold(one))
		}
	}
	e.count("not-run: said %d times by gateways, each compared with the journal", said)
}

// checkOnce compares the runs of each key, and of each upload without one, with
// what was told.
func (e *evidence) checkOnce() {
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
	tries := make(map[string][]*told)
	for _, one := range e.told {
		if one.path != uploadPath {
			continue
		}
		name := one.key
		if name == "" {
			name = one.caller + " " + one.id
		}
		tries[name] = append(tries[name], one)
	}
	for name, all := range tries {
		e.checkTries(name, runs[name], all)
	}
	e.count("once: %d uploads, each with its tries, held against its runs", len(tries))
}

func (e *evidence) checkTries(name string, runs []journal.Entry, tries []*told) {
	if len(runs) > 1 {
		e.fail("once", "%s ran %d times: %s", name, len(runs), describeTries(tries))
	}
	body := ""
	for _, one := range tries {
		complete := one.answer.Outcome == outcome.Complete
		if complete && len(runs) == 0 {
			e.fail("once", "%s was told complete and did not run: %s", name, describeTries(tries))
		}
		if complete && body != "" && body != string(one.answer.Body) {
			e.fail("once", "%s got two answers: %s and %s", name, body, one.answer.Body)
		}
		if complete {
			body = string(one.answer.Body)
		}
		// Of a key, only what a gateway said counts: a repeat to one address that
		// could not be reached says nothing of earlier tries.
		said := one.answer.Status != 0 || one.followed
		if said && one.answer.Outcome == outcome.NotRun && len(runs) > 0 && ranBefore(runs[0].Started, one, tries) {
			e.fail("not-run", "key %s ran at %s: %s", name, runs[0].Started.Format(time.StampMilli), describeTries(tries))
		}
	}
}

// ranBefore tells whether a run began before a try was told its end, in which case
// "not run" was false. A run that began while the answer was on its way may be
// another try's that overlapped.
func ranBefore(began time.Time, one *told, tries []*told) bool {
	for _, other := range tries {
		if other != one && other.overlaps(one.from, one.until) {
			return began.Before(one.from)
		}
	}
	return began.Before(one.until)
}

func describeTries(tries []*told) string {
	var texts []string
	for _, one := range tries {
		texts = append(texts, one.id+" "+describeTold(one))
	}
	return strings.Join(texts, "; ")
}

// checkShutdown wants every connection that broke under a caller to be a killed
// gateway's: none by a graceful stop.
func (e *evidence) checkShutdown() {
	names := make(map[string]string)
	for name, instance := range e.d.instances {
		names[instance.Gateway.Callers] = name + "/gateway"
	}
	broken, stops := 0, 0
	for _, one := range e.told {
		if !cutOff(one) {
			continue
		}
		broken++
		killed := false
		for _, end := range e.faults.killed[names[one.gateway]] {
			killed = killed || end.overlaps(one.from, one.until)
		}
		if !killed {
			e.fail("shutdown", "%s at %s was cut though the gateway was not killed: %s", one.id, names[one.gateway], describeTold(one))
		}
	}
	for _, ends := range e.faults.stopped {
		stops += len(ends)
	}
	e.count("shutdown: %d processes stopped gracefully; %d connections broke, each looked for among the kills", stops, broken)
}

// cutOff tells whether the connection to a gateway broke under a request.
func cutOff(one *told) bool {
	answer := one.answer
	if one.gone || answer.Err == nil || answer.Outcome != outcome.Unknown || errors.Is(answer.Err, client.ErrBrokenStream) {
		return false
	}
	return answer.Refusal.Type == ""
}

// checkRevisions wants no process to go back.
func (e *evidence) checkRevisions() {
	asked := 0
	for name, samples := range e.watcher.samples {
		for index, one := range samples {
			asked++
			if index > 0 && one.start == samples[index-1].start && one.revision < samples[index-1].revision {
				e.fail("configuration", "%s went from revision %d to %d", name, samples[index-1].revision, one.revision)
			}
		}
	}
	e.count("configuration: %d answers of revisions, in order at each process", asked)
}

// checkVerdicts compares what operators were told with the audit trail.
func (e *evidence) checkVerdicts() {
	accepted := make(map[string]int)
	for _, one := range e.past[min(2, len(e.past)):] {
		accepted[one.line]++
	}
	said := make(map[string]int)
	states := make(map[string]int)
	for _, one := range e.faults.sayings {
		read := readVerdict(one.text)
		if read.open {
			read = e.settle(one)
		}
		line := strings.TrimSuffix(one.line, " !")
		switch {
		case read.open:
			states["open"]++
			e.fail("configuration", "still open after healing: %s: %q", one.line, one.text)
		case read.refused:
			states["refused"]++
		default:
			states["accepted"]++
			said[line]++
			e.checkAccepted(line, one, read)
		}
	}
	for line, times := range accepted {
		if said[line] != times {
			e.fail("configuration", "%q is %d times in the audit trail, told %d times", line, times, said[line])
		}
	}
	e.count("configuration: %d changes told accepted and %d told refused, held against the audit trail of %d revisions", states["accepted"], states["refused"], len(e.past)-1)
}

// checkAccepted compares an accepted change with the audit trail. One that was told
// to be in force everywhere has to be so from then on at each process that has a
// configuration, later starts included.
func (e *evidence) checkAccepted(line string, one saying, read verdict) {
	if read.revision >= len(e.past) || e.past[read.revision].line != line {
		e.fail("configuration", "%q was told revision %d, which is not it", line, read.revision)
	}
	if !read.everywhere {
		return
	}
	for name, samples := range e.watcher.samples {
		for _, later := range samples {
			if later.from.After(one.until) && later.revision > 0 && later.revision < read.revision {
				e.fail("configuration", "%d was told to be in force everywhere, and %s had %d", read.revision, name, later.revision)
			}
		}
	}
}

// settle asks what became of a change whose verdict was unknown.
func (e *evidence) settle(one saying) verdict {
	match := identityText.FindStringSubmatch(one.text)
	if match == nil {
		return verdict{open: true}
	}
	text, _ := operate(e.d, []string{"why", match[1]})
	read := readVerdict(text)
	read.everywhere = false
	return read
}

// report is the verdict in words.
func (e *evidence) report() string {
	sort.Strings(e.wrong)
	return strings.Join(e.counts, "\n") + "\n" + strings.Join(e.wrong, "\n")
}
