package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Which segment of a prompt crashes upstreams is a matter of group testing: a crash makes every
// segment of every request in flight there a suspect, and most of them are held by sound requests
// as well. A segment is quarantined if upstreams crash under it again and again while few of its
// requests complete. Of several such segments the one that explains the crashes best comes first;
// its crashes then no longer count against the others.

// Parameters of the rule.
const (
	// crashSpacing is the time after one crash before the next one counts as another failure of the
	// same segment. Upstreams that crash together, for whatever cause, count once: their requests
	// were all sent before the first crash was known.
	crashSpacing = time.Second
	// failuresToQuarantine is the number of such failures after which a segment is quarantined,
	// requestsToQuarantine the number of different requests among them. Repeats of one request are
	// quarantined by its own fingerprint.
	failuresToQuarantine = 3
	requestsToQuarantine = 2
	// manyCrashes is the number of settled crashes with which one failure fewer suffices.
	manyCrashes = 4
	// settleTime is the time after which all instances know of a crash and of the requests that were
	// in flight there. Until then a bystander may be known and the cause not. reportTime is the same
	// for the completions of a segment of which some are known.
	settleTime = time.Second
	reportTime = 2500 * time.Millisecond
	// knownSpacing is the least time between two numbers of completions that are kept.
	knownSpacing = 100 * time.Millisecond
	// completionsPerCrash is the number of completed requests that outweigh one crash: a segment
	// that crashes fewer than a third of the upstreams which run it is not quarantined.
	completionsPerCrash = 2
	// crashesPerFailure bounds the crashes that count for one failure.
	crashesPerFailure = 2
	// earlyReport is the number of completions at one instance from which they are reported after a
	// single crash.
	earlyReport = 4
	// crashesToBreakTie is the number of settled crashes from which, of segments with the same evidence, the
	// one is quarantined that the fewest requests hold: by what was in flight, then by the depth in the
	// prompt. With fewer crashes the next completion or crash is awaited.
	crashesToBreakTie = 5
	// exoneratedTTL is the time after its last crash for which a segment is remembered whose
	// completions outweigh its crashes.
	exoneratedTTL = time.Minute
	// crashTimeTTL is the time for which the time of a crash is kept for late reports.
	crashTimeTTL = time.Minute
	// reportMargin is the score below which completions are no longer reported: four more failures
	// do not make the segment suspect.
	reportMargin = -4 * completionsPerCrash * crashesPerFailure
)

// Bounds of the table's segments; full, they take about 3 MB.
const (
	maxSegmentEntries     = 2048
	maxCrashesPerSegment  = 64
	maxRequestsPerCrash   = 4
	maxReportersOfSegment = 512
	maxCrashTimes         = 4096
	// maxOrganisationsOfSegment is the number of organisations from which a quarantine concerns all.
	maxOrganisationsOfSegment = 2
)

// segmentEntry is the evidence about one segment.
type segmentEntry struct {
	verdict
	// crashes are those that no quarantined request or segment explains, in the order in which this
	// instance learnt of them.
	crashes []segmentCrash
	// depth is the segment's position in a prompt.
	depth int
	// completed is the number of completions that this instance knows of since the first crash, and
	// byReporter the part that others have reported; own and reported are those of this instance and
	// of its last report.
	completed int
	// known holds earlier values of completed, the latest last.
	known         []knownCompletions
	byReporter    map[uint64]int
	own, reported int
	// organisations are the owners of the requests under which upstreams crashed.
	organisations []string
}

// knownCompletions is the number of a segment's completions that the instance knew of at a time.
type knownCompletions struct {
	at        time.Time
	completed int
}

// segmentCrash is an upstream that crashed while it ran requests with a segment.
type segmentCrash struct {
	upstream Upstream
	at       time.Time
	// requests are some of those requests.
	requests []Fingerprint
	// common is true if the crash is one of many at that time, most of them without such a request:
	// what the upstreams have in common explains them, see Table.markCommon.
	common bool
}

// failures counts the crashes that were observed crashSpacing or more after the last counted one.
func (e *segmentEntry) failures() int { return e.failuresUntil(time.Time{}) }

// failuresUntil is failures of the crashes that were observed up to a time, zero for all.
func (e *segmentEntry) failuresUntil(end time.Time) int {
	count, last := 0, time.Time{}
	for i := range e.crashes {
		if !end.IsZero() && e.crashes[i].at.After(end) {
			break
		}
		if e.crashes[i].common {
			continue
		}
		if count == 0 || e.crashes[i].at.Sub(last) >= crashSpacing {
			count, last = count+1, e.crashes[i].at
		}
	}
	return count
}

// requests counts the different requests under which upstreams crashed, up to a number.
func (e *segmentEntry) requests(most int) int {
	seen := make(map[Fingerprint]bool)
	for i := range e.crashes {
		if e.crashes[i].common {
			continue
		}
		for _, request := range e.crashes[i].requests {
			if seen[request] = true; len(seen) == most {
				return most
			}
		}
	}
	return len(seen)
}

// inFlight counts the requests that were in flight at the crashes, up to maxRequestsPerCrash at each.
func (e *segmentEntry) inFlight() (count int) {
	for i := range e.crashes {
		if !e.crashes[i].common {
			count += len(e.crashes[i].requests)
		}
	}
	return count
}

// score weighs the segment's crashes against a number of completions. It is negative for a segment
// that is not the cause.
func (e *segmentEntry) score(completed int) int {
	return completionsPerCrash*min(e.countUntil(time.Time{}), crashesPerFailure*e.failures()) - completed
}

// countUntil counts the crashes that this instance knew of at a time, zero for all. Common ones do not
// count.
func (e *segmentEntry) countUntil(end time.Time) int {
	count := 0
	for i := range e.crashes {
		if !e.crashes[i].common && (end.IsZero() || !e.crashes[i].at.After(end)) {
			count++
		}
	}
	return count
}

// settled counts the crashes that all instances know of.
func (e *segmentEntry) settled(now time.Time) int { return e.countUntil(now.Add(-settleTime)) }

// unbounded is the score without the bound on the crashes of one failure.
func (e *segmentEntry) unbounded() int {
	return completionsPerCrash*e.countUntil(time.Time{}) - e.completed
}

// weight is the score that compares the segment with others. It counts every settled crash: those
// of one failure may have been observed together, and the failures of the cause later than others.
func (e *segmentEntry) weight(now time.Time) int {
	return completionsPerCrash*e.settled(now) - e.completed
}

// addCompletions adds to the completions, and keeps their number for completedUntil.
func (e *segmentEntry) addCompletions(count int, now time.Time) {
	if n := len(e.known); n == 0 || now.Sub(e.known[n-1].at) >= knownSpacing {
		e.known = slices.DeleteFunc(e.known, func(k knownCompletions) bool { return now.Sub(k.at) > reportTime })
		e.known = append(e.known, knownCompletions{at: now, completed: e.completed})
	}
	e.completed += count
}

// completedUntil is the number of completions that this instance knew of at a time, up to reportTime ago.
func (e *segmentEntry) completedUntil(end time.Time) int {
	for _, k := range e.known {
		if k.at.After(end) {
			return k.completed
		}
	}
	return e.completed
}

// public is the number of completions that all instances know of.
func (e *segmentEntry) public() int { return e.completed - e.own + e.reported }

// suspect reports whether the segment may be the cause of its crashes.
func (e *segmentEntry) suspect() bool {
	return !e.held && e.countUntil(time.Time{}) > 0 && e.score(e.completed) >= 0
}

// condemned reports whether the crashes suffice for a quarantine, if no other segment explains them
// better. Only those count whose counter-evidence would be known by now.
func (e *segmentEntry) condemned(now time.Time) bool {
	wait := settleTime
	if e.completed > 0 {
		wait = reportTime
	}
	failures, crashes := e.failuresUntil(now.Add(-wait)), e.countUntil(now.Add(-wait))
	switch {
	case e.held || crashes == 0 || e.requests(requestsToQuarantine) < requestsToQuarantine:
		return false
	case completionsPerCrash*min(crashes, crashesPerFailure*failures) < e.completedUntil(now.Add(settleTime-reportTime)):
		return false
	default:
		return failures >= failuresToQuarantine || (crashes >= manyCrashes && e.failures() >= failuresToQuarantine-1)
	}
}

func (e *segmentEntry) crashOf(upstream Upstream) *segmentCrash {
	for i := range e.crashes {
		if e.crashes[i].upstream == upstream {
			return &e.crashes[i]
		}
	}
	return nil
}

func (e *segmentEntry) sharesCrash(other *segmentEntry) bool {
	return slices.ContainsFunc(other.crashes, func(crash segmentCrash) bool { return e.crashOf(crash.upstream) != nil })
}

func (e *segmentEntry) explains(upstreams []Upstream) bool {
	return !slices.ContainsFunc(upstreams, func(upstream Upstream) bool { return e.crashOf(upstream) == nil })
}

func (e *segmentEntry) addCrash(o *Observation, at time.Time) (isNew bool) {
	crash := e.crashOf(o.Ended)
	if crash == nil {
		if len(e.crashes) >= maxCrashesPerSegment {
			e.crashes = slices.Delete(e.crashes, 0, 1)
		}
		next := len(e.crashes)
		for next > 0 && e.crashes[next-1].at.After(at) {
			next--
		}
		e.crashes = slices.Insert(e.crashes, next, segmentCrash{upstream: o.Ended, at: at})
		crash, isNew = &e.crashes[next], true
	}
	if len(crash.requests) < maxRequestsPerCrash && !slices.Contains(crash.requests, o.Request) {
		crash.requests, isNew = append(crash.requests, o.Request), true
	}
	return e.addOrganisation(o.Organisation) || isNew
}

// addOrganisation adds an owner of requests, and reports whether the quarantine concerns more
// requests by it.
func (e *segmentEntry) addOrganisation(name string) bool {
	if len(e.organisations) >= maxOrganisationsOfSegment || slices.Contains(e.organisations, name) {
		return false
	}
	e.organisations = append(e.organisations, name)
	return true
}

// concerns reports whether the quarantine is in force for an organisation. What one organisation's
// requests crash is no reason to refuse another's, unless that happens to two of them.
func (e *segmentEntry) concerns(organisation string) bool {
	return len(e.organisations) >= maxOrganisationsOfSegment || slices.Contains(e.organisations, organisation)
}

// crashSegments records a crash at a time against the segments of a request, and returns those that are
// quarantined because of it. isNew is false if all of that was known. The caller holds t.mu.
func (t *Table) crashSegments(o *Observation, local bool, at, now time.Time) (quarantined []Segment, isNew bool) {
	if o.Segments == "" {
		return nil, false
	}
	for _, segment := range o.Segments.All() {
		if e := t.segments[segment]; e != nil && e.held {
			return t.crashHeldSegment(segment, e, o, local, now)
		}
	}
	if cause, known := t.attributed[o.Ended]; known && cause.by != o.Request {
		return nil, false
	}
	for depth, segment := range o.Segments.All() {
		e := t.segment(segment, now)
		if now.Sub(e.cleared) < clearGrace {
			continue
		}
		e.last, e.depth = now, max(e.depth, depth)
		e.observedLocally = e.observedLocally || local
		if e.addCrash(o, at) {
			isNew, t.marked = true, false
		}
	}
	return t.judge(now), isNew
}

// crashTime returns the time at which this instance learnt of a crash. Those who had requests in
// flight there report it at different times.
func (t *Table) crashTime(upstream Upstream, now time.Time) time.Time {
	if at, known := t.crashTimes[upstream]; known {
		return at
	}
	if len(t.crashTimes) >= maxCrashTimes {
		maps.DeleteFunc(t.crashTimes, func(_ Upstream, at time.Time) bool { return now.Sub(at) > crashTimeTTL })
	}
	if len(t.crashTimes) < maxCrashTimes {
		t.crashTimes[upstream] = now
		t.marked = false
	}
	return now
}

// crashHeldSegment records a crash under a segment that is quarantined already. It returns the
// segment if the quarantine concerns one more organisation by it.
func (t *Table) crashHeldSegment(segment Segment, e *segmentEntry, o *Observation, local bool, now time.Time) (widened []Segment, isNew bool) {
	e.last = now
	e.observedLocally = e.observedLocally || local
	_, known := t.attributed[o.Ended]
	t.attribute(segment.Fingerprint(), o.Ended, now)
	if e.addOrganisation(o.Organisation) {
		return []Segment{segment}, true
	}
	return nil, !known
}

// segment returns the entry of a segment, a new one if there is none.
func (t *Table) segment(segment Segment, now time.Time) *segmentEntry {
	e := t.segments[segment]
	if e == nil {
		if len(t.segments) >= maxSegmentEntries {
			t.shrinkSegments()
		}
		e = &segmentEntry{verdict: verdict{last: now}}
		t.segments[segment] = e
		t.segmentCount.Store(int64(len(t.segments)))
	}
	return e
}

// Judge quarantines the segments that are condemned by now, and returns them. It should be called
// several times a second.
func (t *Table) Judge() []Segment {
	if !t.HasSegments() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.judge(t.clock.Now())
}

// judge implements Judge. The caller holds t.mu.
func (t *Table) judge(now time.Time) (quarantined []Segment) {
	t.markCommon()
	for {
		segment, e := t.likeliest(now)
		if e == nil {
			return quarantined
		}
		t.hold(segment, e, 0, now)
		quarantined = append(quarantined, segment)
	}
}

// hold quarantines a segment. Its crashes no longer count against others.
func (t *Table) hold(segment Segment, e *segmentEntry, retryAfter time.Duration, now time.Time) {
	e.held, e.retryAfter, e.last = true, retryAfter, now
	t.heldSegments.Add(1)
	for _, crash := range e.crashes {
		t.attribute(segment.Fingerprint(), crash.upstream, now)
	}
}

// likeliest returns a condemned segment whose crashes no other suspected segment explains better,
// nil if there is none.
func (t *Table) likeliest(now time.Time) (Segment, *segmentEntry) {
	var condemned bool
	for _, e := range t.segments {
		condemned = condemned || e.condemned(now)
	}
	if !condemned {
		return 0, nil
	}
	suspects := slices.SortedFunc(maps.Keys(t.segments), func(a, b Segment) int { return t.compareSuspicion(a, b, now) })
	for n, segment := range suspects {
		e := t.segments[segment]
		if !e.suspect() {
			break
		}
		if e.condemned(now) && !t.hasRival(e, suspects[:n]) && (e.settled(now) >= crashesToBreakTie || !t.isTied(e, suspects[n+1:], now)) {
			return segment, e
		}
	}
	return 0, nil
}

// compareSuspicion orders segments, the likeliest cause first: suspected ones by their weight, then by
// how few requests hold them, then by their depth in the prompt; the others follow.
func (t *Table) compareSuspicion(a, b Segment, now time.Time) int {
	one, other := t.segments[a], t.segments[b]
	if c := compareBool(other.suspect(), one.suspect()); c != 0 || !one.suspect() {
		return c
	}
	return cmp.Or(other.weight(now)-one.weight(now), one.inFlight()-other.inFlight(), other.depth-one.depth, cmp.Compare(a, b))
}

// hasRival reports whether one of the likelier segments shares a crash, and is held by several
// requests as well.
func (t *Table) hasRival(e *segmentEntry, likelier []Segment) bool {
	return slices.ContainsFunc(likelier, func(segment Segment) bool {
		other := t.segments[segment]
		return other.sharesCrash(e) && other.requests(requestsToQuarantine) >= requestsToQuarantine
	})
}

// isTied reports whether one of the less likely segments has the same evidence.
func (t *Table) isTied(e *segmentEntry, less []Segment, now time.Time) bool {
	return slices.ContainsFunc(less, func(segment Segment) bool {
		other := t.segments[segment]
		return other.suspect() && other.weight(now) == e.weight(now) && other.sharesCrash(e)
	})
}

// explainedBySegment reports whether a suspected segment that a request does not hold was in flight
// at all of its crashes, and explains them better: by further crashes, less its completions, of which the
// request has none. With the same evidence the request counts as the cause once it suffices for a segment:
// nothing else is refused with it.
func (t *Table) explainedBySegment(crashes []Upstream, held Segments) bool {
	enough := completionsPerCrash * len(crashes)
	if t.sufficeForSegment(crashes) {
		enough++
	}
	for segment, e := range t.segments {
		if e.suspect() && e.unbounded() >= enough && e.requests(requestsToQuarantine) >= requestsToQuarantine &&
			e.explains(crashes) && !held.Contains(segment) {
			return true
		}
	}
	return false
}

// sufficeForSegment reports whether crashes are as many, at as many times, as those for which a segment is
// quarantined.
func (t *Table) sufficeForSegment(crashes []Upstream) bool {
	var e segmentEntry
	for _, upstream := range crashes {
		e.crashes = append(e.crashes, segmentCrash{upstream: upstream, at: t.crashTimes[upstream]})
	}
	slices.SortFunc(e.crashes, func(a, b segmentCrash) int { return a.at.Compare(b.at) })
	failures := e.failures()
	return failures >= failuresToQuarantine || (len(crashes) >= manyCrashes && failures >= failuresToQuarantine-1)
}

// attributeSegments removes a crash from the segments that did not cause it. A crash that a
// request caused goes on counting against the segments of that request: others may hold them.
func (t *Table) attributeSegments(cause Fingerprint, crash Upstream) {
	for segment, e := range t.segments {
		if e.held || segment.Fingerprint() == cause {
			continue
		}
		e.crashes = slices.DeleteFunc(e.crashes, func(known segmentCrash) bool {
			return known.upstream == crash && !slices.Contains(known.requests, cause)
		})
	}
}

// HasSegments reports whether any segment is suspected or quarantined. It takes no lock.
func (t *Table) HasSegments() bool { return t.segmentCount.Load() > 0 }

// RefusesSegments returns a quarantined segment because of which an organisation's request must not
// run, and when its caller should retry.
func (t *Table) RefusesSegments(segments []Segment, organisation string) (quarantined Segment, retryAfter time.Duration, refused bool) {
	if t.heldSegments.Load() == 0 {
		return 0, 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, segment := range segments {
		if e := t.segments[segment]; e != nil && e.held && e.concerns(organisation) {
			return segment, cmp.Or(e.retryAfter, RetryAfter), true
		}
	}
	return 0, 0, false
}

// SuspectsSegments reports whether one of the segments may crash upstreams.
func (t *Table) SuspectsSegments(segments []Segment) bool {
	if !t.HasSegments() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(segments, func(segment Segment) bool {
		e := t.segments[segment]
		return e != nil && e.suspect()
	})
}

// CompleteSegments records that a request with the segments has completed at this instance, and
// returns the observations to report to the others. They are few: only of segments that the other
// instances may still take for the cause, and only when their number has grown by half.
func (t *Table) CompleteSegments(segments []Segment) (reports []Observation) {
	if !t.HasSegments() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, segment := range segments {
		e := t.segments[segment]
		if e == nil || e.held || len(e.crashes) == 0 {
			continue
		}
		e.own++
		e.addCompletions(1, now)
		next := e.reported + max(1, e.reported/2)
		if len(e.crashes) == 1 {
			next = max(next, earlyReport)
		}
		if e.own < next || e.score(e.public()) < reportMargin {
			continue
		}
		e.reported = e.own
		reports = append(reports, Observation{Segments: PackSegments([]Segment{segment}), Completed: e.own})
	}
	return reports
}

// completeReported records the completions that another instance reports.
func (t *Table) completeReported(o *Observation) {
	for _, segment := range o.Segments.All() {
		e := t.segments[segment]
		if e == nil || (len(e.byReporter) >= maxReportersOfSegment && e.byReporter[o.Reporter] == 0) {
			continue
		}
		if e.byReporter == nil {
			e.byReporter = make(map[uint64]int)
		}
		if known := e.byReporter[o.Reporter]; o.Completed > known {
			e.addCompletions(o.Completed-known, t.clock.Now())
			e.byReporter[o.Reporter] = o.Completed
		}
	}
}

// QuarantineSegment quarantines a segment on the report of another instance or the store, for an
// organisation, or for all if its name is empty.
func (t *Table) QuarantineSegment(segment Segment, organisation string, retryAfter time.Duration) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantineSegment(segment, organisation, retryAfter)
}

// quarantineSegment implements QuarantineSegment. The caller holds t.mu.
func (t *Table) quarantineSegment(segment Segment, organisation string, retryAfter time.Duration) Change {
	now := t.clock.Now()
	e := t.segment(segment, now)
	if now.Sub(e.cleared) < clearGrace {
		return Unchanged
	}
	e.addOrganisation(organisation)
	if organisation == "" {
		e.organisations = slices.Repeat([]string{""}, maxOrganisationsOfSegment)
	}
	if e.held {
		return Unchanged
	}
	t.hold(segment, e, retryAfter, now)
	return Quarantined
}

// OrganisationOf returns the organisation that a segment's quarantine concerns, empty for all.
func (t *Table) OrganisationOf(segment Segment) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.segments[segment]; e != nil && len(e.organisations) == 1 {
		return e.organisations[0]
	}
	return ""
}

// Evidence is the evidence about a segment.
type Evidence struct {
	// Crashes are the upstreams that crashed under requests with the segment, Failures the times at
	// which some did, and Requests some of the requests.
	Crashes  []Upstream
	Failures int
	Requests []Fingerprint
	// Completed is the number of requests with it that completed since the first crash.
	Completed int
}

// EvidenceOf returns the evidence about a segment.
func (t *Table) EvidenceOf(segment Segment) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.segments[segment]
	if e == nil {
		return Evidence{}
	}
	evidence := Evidence{Failures: e.failures(), Completed: e.completed}
	for _, crash := range e.crashes {
		evidence.Crashes = append(evidence.Crashes, crash.upstream)
		for _, request := range crash.requests {
			if !slices.Contains(evidence.Requests, request) {
				evidence.Requests = append(evidence.Requests, request)
			}
		}
	}
	return evidence
}

// CountSegments returns the numbers of segments that are suspected and quarantined.
func (t *Table) CountSegments() (suspected, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.segments {
		switch {
		case e.held:
			quarantined++
		case e.suspect():
			suspected++
		}
	}
	return suspected, quarantined
}

// clearSegment ends a segment's quarantine and forgets its crashes. The caller holds t.mu.
func (t *Table) clearSegment(segment Segment, now time.Time) Change {
	e := t.segment(segment, now)
	change := Unchanged
	if e.held {
		change = Cleared
		t.heldSegments.Add(-1)
	}
	*e = segmentEntry{verdict: verdict{cleared: now, released: now, last: now}}
	return change
}

// sweepSegments drops expired entries. The caller holds t.mu.
func (t *Table) sweepSegments(now time.Time) {
	maps.DeleteFunc(t.segments, func(_ Segment, e *segmentEntry) bool {
		idle := now.Sub(e.last)
		return !e.held && !t.isReleased(&e.verdict) && (idle > suspectTTL || (idle > exoneratedTTL && !e.suspect()))
	})
	t.segmentCount.Store(int64(len(t.segments)))
}

// shrinkSegments drops about half of the entries, those with the least evidence first.
func (t *Table) shrinkSegments() {
	ranked := slices.SortedFunc(maps.Keys(t.segments), func(a, b Segment) int {
		one, other := t.segments[a], t.segments[b]
		return cmp.Or(compareBool(one.held, other.held), cmp.Compare(one.failures(), other.failures()), one.last.Compare(other.last))
	})
	for _, segment := range ranked[:len(ranked)/2] {
		if t.segments[segment].held {
			t.heldSegments.Add(-1)
		}
		delete(t.segments, segment)
	}
	t.segmentCount.Store(int64(len(t.segments)))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
