// Package warmth answers whether an upstream is warm, who says so, and how old that is.
//
// An upstream may turn cold at any moment, and then bears a few requests a second. The platform's store tells
// so late or never: it may be down, execute the report late, or have lost it, and an entry that stays as it was
// is not written again. So an entry proves that an upstream is cold, never that it is warm. That is proved by
// the upstream's own answer to a query, as of the time at which the query was sent, whoever sent it.
//
// An instance therefore counts what it sends to an upstream since the last such proof, and sends no more than
// its share of what a cold one bears. An upstream that gets less than that within ColdWindow needs no query.
package warmth

import (
	"slices"
	"sync"
	"time"
)

// Source is how it is known whether an upstream is warm.
type Source string

// The sources. Asked is the upstream's answer to a query of this process, Told one to a query of another
// instance, Listed its entry in the platform's store.
const (
	Unknown Source = ""
	Asked   Source = "query"
	Told    Source = "peer"
	Listed  Source = "entry"
)

const (
	// minSuspicionInterval is the time after an upstream has confirmed its start time in which a
	// broken answer raises no new suspicion: upstreams that break a few percent of their answers
	// would be queried all the time, and a restart takes longer.
	minSuspicionInterval = time.Second
	// DefaultWarmUp is the usual time for which an upstream is cold. An upstream that reports no
	// start time stays under suspicion for as long.
	DefaultWarmUp = 10 * time.Second
	// retryPause separates queries to an upstream that does not answer them.
	retryPause = 300 * time.Millisecond
	// tellPause separates announcements of one domain: its upstreams are found to be cold one after the other.
	tellPause = time.Second
	// publishFor is the time for which an answer to a query of this process is published.
	publishFor = 500 * time.Millisecond
)

// Register holds what is known of each upstream, by its ID. It is safe for concurrent use.
type Register struct {
	mu   sync.RWMutex
	byID map[string]*record
	// turnedCold holds, by failure domain, the time at which an upstream was last found to be cold that
	// counted as warm: an evacuation makes the upstreams of a domain cold together.
	turnedCold map[string]time.Time
	// toldOf holds, by failure domain, the time at which this process or another instance last told of that.
	toldOf map[string]time.Time
	// settled is closed and replaced when a query ends, or another instance tells of an answer.
	settled chan struct{}
}

// record is what is known of one upstream.
type record struct {
	// suspectedSince is the time since which it may have restarted under its name, zero if it may not.
	suspectedSince time.Time
	// acceptedStart is a start time, other than that of its entry, after which it has told that it is warm.
	acceptedStart int64
	// confirmedAt is the time of the query whose answer confirmed the known start time.
	confirmedAt time.Time
	// warmAt is the latest time at which it is known to have been warm, and source tells from whom.
	warmAt time.Time
	source Source
	// coldUntil is the end of the cold time that it reported.
	coldUntil time.Time
	// queriedAt is the time of the last query. querying is true while it runs.
	queriedAt time.Time
	querying  bool
	// answeredAt is the time of the last answer to a query of this process.
	answeredAt time.Time
	// failingSince is the time of the first of the queries that it has not answered since its last answer,
	// zero if it answered the last one.
	failingSince time.Time
	// toldUntil is the end of the cold time of which others told unasked, at toldAt.
	toldUntil, toldAt time.Time
}

// Report is an upstream's answer to a query.
type Report struct {
	// StartTime is its start time in Unix milliseconds by its own clock, zero if it reports none.
	StartTime int64
	// ColdKnown is true if it has told whether it is cold, and ColdFor is the remaining time of that.
	ColdKnown bool
	ColdFor   time.Duration
}

// Question is what is asked about an upstream.
type Question struct {
	Now time.Time
	// Domain is its failure domain.
	Domain string
	// ListedColdUntil is the end of its cold time by its entry.
	ListedColdUntil time.Time
	// DoubtSince is the time since which events make it likely that it is cold, zero if there are none.
	DoubtSince time.Time
	// WarmUp is the longest time for which it is cold: what may have made it cold longer ago is no doubt.
	WarmUp time.Duration
}

// Answer is what is known of an upstream.
type Answer struct {
	// Cold is true if it is cold, or is likely to be until it has answered a query.
	Cold bool
	// Doubtful is true if it has to be queried for that.
	Doubtful bool
	// WarmAt is the latest time at which it is known to have been warm, by the clock of this process, and
	// Source tells from whom; zero if it is not known.
	WarmAt time.Time
	Source Source
}

// NewRegister returns a Register that knows nothing.
func NewRegister() *Register {
	return &Register{byID: make(map[string]*record), turnedCold: make(map[string]time.Time), toldOf: make(map[string]time.Time), settled: make(chan struct{})}
}

// record returns the record of an upstream. The caller holds r.mu.
func (r *Register) record(id string) *record {
	known := r.byID[id]
	if known == nil {
		known = &record{}
		r.byID[id] = known
	}
	return known
}

// Suspect records that an upstream may have restarted under its name. unreached is true if no connection
// could be made.
func (r *Register) Suspect(id string, unreached bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.record(id)
	if known.suspectedSince.IsZero() && (unreached || now.Sub(known.confirmedAt) >= minSuspicionInterval) {
		known.suspectedSince = now
	}
}

// Len returns the number of upstreams of which anything is known.
func (r *Register) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.byID)
}

// Look returns what is known of an upstream.
func (r *Register) Look(id string, question *Question) Answer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	listedCold := question.Now.Before(question.ListedColdUntil)
	known := r.byID[id]
	if known == nil {
		known = &record{}
	}
	doubtSince := latest(question.DoubtSince, r.turnedCold[question.Domain], known.coldUntil)
	doubtful := !known.suspectedSince.IsZero() || (!known.warmAt.After(doubtSince) && question.Now.Sub(doubtSince) <= question.WarmUp)
	answer := Answer{Cold: doubtful || listedCold || question.Now.Before(known.coldUntil), Doubtful: doubtful}
	if !answer.Cold {
		answer.WarmAt, answer.Source = known.warmAt, known.source
	}
	return answer
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// Unanswered returns the time for which an upstream has not answered queries, zero if it answered the last one.
func (r *Register) Unanswered(id string, now time.Time) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if known := r.byID[id]; known != nil && !known.failingSince.IsZero() {
		return now.Sub(known.failingSince)
	}
	return 0
}

// BeginQuery records that an upstream is being queried. It returns false if another query is running, the
// last one began less than pause ago, or less than retryPause ago without an answer, or the upstream has told
// that it is cold. If it returns true the caller must call FinishQuery or AbandonQuery with the same time.
func (r *Register) BeginQuery(id string, pause time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.record(id)
	if !known.failingSince.IsZero() {
		pause = max(pause, retryPause)
	}
	if known.querying || now.Sub(known.queriedAt) < pause || now.Before(known.coldUntil) {
		return false
	}
	known.querying, known.queriedAt = true, now
	return true
}

// Querying reports whether an upstream is being queried.
func (r *Register) Querying(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	known := r.byID[id]
	return known != nil && known.querying
}

// Settled returns a channel that is closed when the next query ends, of any upstream.
func (r *Register) Settled() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.settled
}

// FinishQuery records the answer to a query that began at a time, nil if none arrived, and compares it with the
// known start time.
func (r *Register) FinishQuery(id string, began time.Time, answer *Report, known int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.notify()
	entry := r.byID[id]
	if entry == nil || !entry.queriedAt.Equal(began) {
		// The upstream was removed meanwhile.
		return
	}
	entry.querying = false
	if answer == nil {
		if entry.failingSince.IsZero() {
			entry.failingSince = began
		}
		return
	}
	entry.failingSince = time.Time{}
	same := answer.StartTime == known || (answer.StartTime != 0 && answer.StartTime == entry.acceptedStart)
	if !same && answer.StartTime != 0 && answer.ColdKnown && answer.ColdFor == 0 &&
		!entry.suspectedSince.IsZero() && now.Sub(entry.suspectedSince) >= DefaultWarmUp {
		// Its entry lags, and it has had the time to warm up.
		same, entry.acceptedStart = true, answer.StartTime
	}
	withoutStart := answer.StartTime == 0 && now.Sub(entry.suspectedSince) >= DefaultWarmUp
	switch {
	case !same && answer.StartTime != 0 && entry.suspectedSince.IsZero():
		// It has restarted, which its entry does not tell yet.
		entry.suspectedSince = now
	case (same || withoutStart) && !entry.suspectedSince.After(began):
		entry.suspectedSince, entry.confirmedAt = time.Time{}, began
	}
	entry.answeredAt = now
	switch {
	case answer.ColdFor > 0:
		// The answer is in whole milliseconds.
		entry.coldUntil, entry.source = now.Add(answer.ColdFor+time.Millisecond), Asked
	case answer.ColdKnown && (same || withoutStart):
		entry.learnWarm(began, Asked)
	}
}

// AbandonQuery ends a query that was to begin at a time and was not sent.
func (r *Register) AbandonQuery(id string, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.notify()
	if entry := r.byID[id]; entry != nil && entry.queriedAt.Equal(began) {
		entry.querying = false
	}
}

func (k *record) learnWarm(at time.Time, source Source) {
	if at.After(k.warmAt) {
		k.warmAt, k.source = at, source
	}
}

// ToldState is what an instance publishes of an upstream.
type ToldState struct {
	Upstream string
	// ColdFor is the remaining time for which it is cold, zero if it is warm. The upstream told so Age ago.
	ColdFor, Age time.Duration
}

// ToPublish returns the upstreams that are cold by their own answers, and, if warm is true, those that have lately
// confirmed to this process that they are warm.
func (r *Register) ToPublish(warm bool, now time.Time) []ToldState {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var states []ToldState
	for id, known := range r.byID {
		switch {
		case now.Before(known.coldUntil):
			states = append(states, ToldState{Upstream: id, ColdFor: known.coldUntil.Sub(now), Age: now.Sub(known.answeredAt)})
		case now.Before(known.toldUntil) && !known.warmAt.After(known.toldAt):
			states = append(states, ToldState{Upstream: id, ColdFor: known.toldUntil.Sub(now), Age: now.Sub(known.toldAt)})
		case warm && known.source == Asked && now.Sub(known.answeredAt) < publishFor && known.warmAt.After(known.coldUntil):
			states = append(states, ToldState{Upstream: id, Age: now.Sub(known.warmAt)})
		}
	}
	return states
}

// Learn records what another instance tells of an upstream. asked is the time at which that instance was asked, zero
// if it told unasked: then it is not known how long its word has been on its way, which makes it likely that the
// upstream is cold, and proves nothing. It returns true if the upstream is, or is likely to be, cold and that was not
// known.
func (r *Register) Learn(state *ToldState, asked, now time.Time) (turnedCold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.record(state.Upstream)
	until := now.Add(state.ColdFor)
	switch {
	case state.ColdFor > 0 && (asked.IsZero() || known.warmAt.After(asked.Add(-state.Age))):
		turnedCold = !now.Before(known.coldUntil) && !now.Before(known.toldUntil) && asked.IsZero()
		if turnedCold {
			known.toldUntil, known.toldAt = until, now
		}
	case state.ColdFor > 0:
		turnedCold = !now.Before(known.coldUntil) && !now.Before(known.toldUntil)
		if until.After(known.coldUntil) {
			known.coldUntil, known.source, known.answeredAt = until, Told, asked.Add(-state.Age)
		}
	case !asked.IsZero() && asked.Add(-state.Age).After(known.warmAt):
		known.learnWarm(asked.Add(-state.Age), Told)
		r.notify()
	}
	return turnedCold
}

// notify wakes those that wait for the end of a query. The caller holds r.mu.
func (r *Register) notify() {
	close(r.settled)
	r.settled = make(chan struct{})
}

// RecordTurnedCold records that an upstream of a failure domain that counted as warm is cold, and who says so. It returns
// true if the other instances have to be told, since nobody has told of that domain within tellPause. They read entries
// themselves.
func (r *Register) RecordTurnedCold(domain string, source Source, now time.Time) (tell bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turnedCold[domain] = now
	told := r.toldOf[domain]
	tell = source == Asked && (told.IsZero() || now.Sub(told) > tellPause)
	if tell || source == Told {
		r.toldOf[domain] = now
	}
	return tell
}

// WarmAt returns the latest time at which an upstream is known to have been warm, zero if there is none.
func (r *Register) WarmAt(id string) time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if known := r.byID[id]; known != nil {
		return known.warmAt
	}
	return time.Time{}
}

// Forget deletes the record of an upstream that was removed.
func (r *Register) Forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}
