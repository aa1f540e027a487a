package edge

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
)

// Times of suspicions.
const (
	// suspicionPause is for how long after an upstream has said which start it is an answer
	// that broke off raises no new suspicion: servers that break off a few answers of a
	// hundred would be asked all the time, and one that starts again takes longer.
	minSuspicionInterval = time.Second
	// askPause passes between questions to an upstream that does not answer them.
	queryRetryInterval = 300 * time.Millisecond
	// askTimeout bounds a question: a round trip inside the region, and some work.
	queryTimeout = 300 * time.Millisecond
	// silentFor is for how long an upstream that says nothing of its start stays under suspicion:
	// the usual time for which an upstream is cold.
	defaultWarmUp = 10 * time.Second
)

// suspicions holds the upstreams that may be cold without this instance knowing it: they may have
// started again under their names, since a connection failed and their entries in the store may
// be old; or what is known of their cold time is in doubt. They would be overrun by what they
// bear while they are warm, so that each gets no more than a cold upstream may until it has
// answered a question. It is safe for concurrent use.
type suspicions struct {
	mu   sync.Mutex
	byID map[string]*suspicion
	// known is how many byID holds: where there is none, a decision takes no lock.
	size atomic.Int64
	// turned holds when an upstream of a failure domain last said that it is cold, which was not
	// known: an evacuation makes those of a domain cold together.
	turnedCold map[string]time.Time
}

type suspicion struct {
	// open since; zero: settled.
	openSince time.Time
	// settled is when the question was asked by whose answer the start is the known one.
	settledAt time.Time
	// asked is when the upstream was last asked; asking is true until it has answered.
	queriedAt time.Time
	querying  bool
	// sent is how many requests it got of this instance since the question by whose answer the start is
	// the known one, as far as they are counted; sentBefore is how many of them it had got as
	// it was last asked, spent since when they are as many as it may get without an answer.
	sent, sentAtQuery int
	spentAt           time.Time
	// coldUntil is until when the upstream is cold by its own answer.
	coldUntil time.Time
}

// occasion is why an upstream is looked at.
type coldCheck struct {
	now time.Time
	// doubt is since when it is not known whether the upstream is cold; zero: it is known.
	uncertainSince time.Time
	// unasked is how many requests the upstream may get between two of its answers, though there is
	// no doubt; zero: any number. Where it is bounded, another one of its failure domain that says that it is
	// cold casts doubt on it.
	maxUnconfirmed int
	// pause passes between such questions; one that does not answer them is believed after warmUp.
	queryInterval, warmUp time.Duration
	domain                string
}

// word is what an upstream says of itself when it is asked.
type selfReport struct {
	// began is when its start began, in Unix milliseconds by its clock; zero: it does not say.
	startTime int64
	// coldFor is for how long it is still cold.
	coldFor time.Duration
}

func newSuspicions() *suspicions {
	return &suspicions{byID: make(map[string]*suspicion), turnedCold: make(map[string]time.Time)}
}

// entry returns what is known of an upstream. The caller holds s.mu.
func (s *suspicions) entry(id string) *suspicion {
	entry := s.byID[id]
	if entry == nil {
		entry = &suspicion{}
		s.byID[id] = entry
		s.size.Store(int64(len(s.byID)))
	}
	return entry
}

// raise opens a suspicion. Unreached says that no connection could be made.
func (s *suspicions) raise(id string, unreached bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entry(id)
	if entry.openSince.IsZero() && (unreached || now.Sub(entry.settledAt) >= minSuspicionInterval) {
		entry.openSince = now
	}
}

// about says whether an upstream may be cold, for what it has said itself or for a suspicion, and
// whether it should be asked now.
func (s *suspicions) evaluate(id string, check *coldCheck) (cold, query bool) {
	checked := !check.uncertainSince.IsZero() || check.maxUnconfirmed > 0
	if !checked && s.size.Load() == 0 {
		return false, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !checked && s.byID[id] == nil {
		return false, false
	}
	entry := s.entry(id)
	uncertainSince := check.uncertainSince
	if check.maxUnconfirmed > 0 {
		uncertainSince = latest(uncertainSince, s.turnedCold[check.domain], entry.coldUntil)
	}
	reportedCold := check.now.Before(entry.coldUntil)
	uncertain := !uncertainSince.IsZero() && !entry.settledAt.After(uncertainSince)
	suspected := uncertain || !entry.openSince.IsZero()
	spent := entry.hasSpent(check)
	cold = suspected || reportedCold || spent
	var pause time.Duration
	switch {
	case check.maxUnconfirmed > 0 && 2*entry.sent >= check.maxUnconfirmed:
		// Before all is spent, so that the answer is there by then.
		pause = check.queryInterval
	case suspected:
		pause = queryRetryInterval
	}
	return cold, pause > 0 && !reportedCold && !entry.querying && check.now.Sub(entry.queriedAt) >= pause
}

// hasSpent says whether the upstream has got as many requests as it may without an answer.
func (s *suspicion) hasSpent(check *coldCheck) bool {
	switch {
	case check.maxUnconfirmed == 0 || s.sent < check.maxUnconfirmed:
		s.spentAt = time.Time{}
		return false
	case s.spentAt.IsZero():
		s.spentAt = check.now
	}
	return check.now.Sub(s.spentAt) < check.warmUp
}

// count notes a request that is sent to an upstream.
func (s *suspicions) countSend(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry(id).sent++
}

// begin notes that an upstream is being asked; false: somebody else does. Whoever begins must call
// answered.
func (s *suspicions) beginQuery(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byID[id]
	if entry == nil || entry.querying {
		return false
	}
	entry.querying, entry.queriedAt, entry.sentAtQuery = true, now, entry.sent
	return true
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// turn notes that an upstream of a failure domain has turned cold, which was not known.
func (s *suspicions) noteTurnedCold(domain string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedCold[domain] = now
}

// answered takes the answer to a question, and the known start; answered is false when none
// came.
func (s *suspicions) finishQuery(id string, answered bool, reported selfReport, known int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byID[id]
	if entry == nil {
		return
	}
	entry.querying = false
	if !answered {
		return
	}
	if reported.coldFor > 0 {
		entry.coldUntil = now.Add(reported.coldFor)
	}
	same := reported.startTime == known
	withoutStart := reported.startTime == 0 && now.Sub(entry.openSince) >= defaultWarmUp
	if same || withoutStart {
		entry.openSince, entry.settledAt = time.Time{}, entry.queriedAt
		entry.sent -= entry.sentAtQuery
	}
}

// forget drops what is known of an upstream that is gone.
func (s *suspicions) forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
	s.size.Store(int64(len(s.byID)))
}

// suspect opens a suspicion about an upstream after a failed exchange, if the failure may be
// the end of its start. One whose name is new at each start needs no suspicion: it would
// refuse requests for another.
func (e *Edge) suspect(upstream *fleet.Upstream, err error) {
	var failure *exchange.Error
	if upstream.Began == 0 || !errors.As(err, &failure) || errors.Is(err, exchange.ErrFull) || errors.Is(err, context.Canceled) {
		return
	}
	e.suspicions.raise(upstream.ID, failure.Stage == exchange.Unsent, e.now())
	e.mayBeCold(upstream, e.service(upstream))
}

// mayBeCold says whether an upstream of a service (nil: unknown) is cold, or may be for what is
// known. It has it asked where that is due, which it never is while it rests.
func (e *Edge) mayBeCold(upstream *fleet.Upstream, service *httproute.Service) bool {
	now := e.now()
	check := coldCheck{now: now, domain: upstream.Domain}
	if service != nil && service.ColdRate > 0 {
		check.uncertainSince = e.uncertainSince(upstream, service, now)
		e.boundUnconfirmed(&check, service)
	}
	cold, query := e.suspicions.evaluate(upstream.ID, &check)
	if query && e.tracker.AskedRest(upstream.ID) == 0 && e.suspicions.beginQuery(upstream.ID, now) {
		go e.queryStatus(upstream)
	}
	return cold || upstream.Cold(now)
}

// ask has an upstream say which start it is, and whether it is cold.
func (e *Edge) queryStatus(upstream *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	reported, err := e.fetchSelfReport(ctx, upstream)
	now := e.now()
	e.suspicions.finishQuery(upstream.ID, err == nil, reported, upstream.Began, now)
	switch {
	case err != nil:
		e.log.Debug().Err(err).Str(event.KeyUpstream, upstream.ID).Msg(string(event.UpstreamSilent))
	case reported.startTime > upstream.Began:
		e.log.Warn().Str(event.KeyUpstream, upstream.ID).Int64(event.KeyBegan, reported.startTime).Msg(string(event.UpstreamReborn))
	case reported.coldFor > 0 && !upstream.Cold(now):
		e.suspicions.noteTurnedCold(upstream.Domain, now)
		e.log.Info().Str(event.KeyUpstream, upstream.ID).Int64(event.KeyForMS, reported.coldFor.Milliseconds()).Msg(string(event.UpstreamCold))
	}
}

// wordOf asks an upstream what it says of itself. One whose name is new at each start is not asked
// for that.
func (e *Edge) fetchSelfReport(ctx context.Context, upstream *fleet.Upstream) (reported selfReport, err error) {
	if upstream.Began != 0 {
		if reported.startTime, err = e.fetchStartTime(ctx, upstream); err != nil {
			return reported, err
		}
	}
	if service := e.service(upstream); service != nil && service.HealthPath != "" {
		reported.coldFor, err = e.fetchColdTime(ctx, upstream, service.HealthPath)
	}
	return reported, err
}

// startOf asks an upstream for its start, in Unix milliseconds by its clock; zero: it does
// not say.
func (e *Edge) fetchStartTime(ctx context.Context, upstream *fleet.Upstream) (int64, error) {
	answer, _, err := e.query(ctx, upstream, e.dialect.StatusRequest(upstream.Address))
	if err != nil {
		return 0, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered))
	if err != nil {
		return 0, err
	}
	return e.dialect.Started(answer.Status, body)
}

// question sends an upstream a question of this instance's own, and takes what the answer's head
// says. The caller closes the answer.
func (e *Edge) query(ctx context.Context, upstream *fleet.Upstream, request *exchange.Request) (*exchange.Answer, Reading, error) {
	sent := e.now()
	answer, err := e.upstreams.Do(ctx, exchange.Target{ID: upstream.ID, Address: upstream.Address}, request)
	if err != nil {
		return nil, Reading{}, err
	}
	reading := e.dialect.Reading(answer.Status, answer.Header)
	e.recordState(upstream, &reading, sent)
	return answer, reading, nil
}
