package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// Limit bounds a caller's use of all instances together.
type Limit struct {
	// Rate is in units a second, Burst in units. A Rate of zero means no limit.
	Rate, Burst float64
}

// Tolerance is the amount by which the use of all instances together may exceed a limit within a
// sliding window: the fraction Overage of what the limit allows in the window, plus Slack units.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// allowedDebt returns how far a balance may fall below zero: a fraction of the tolerance. The
// rest is for usage that is not known yet.
func (t Tolerance) allowedDebt(limit Limit) float64 {
	allowed := limit.Rate*t.Window.Seconds() + limit.Burst
	return debtFraction * (t.Overage*allowed + t.Slack)
}

// Parameters of the limiter.
const (
	// debtFraction of the tolerance is lent to callers with a few large requests at once. The
	// other two thirds cover the delayed reports of a caller with a sudden demand of several
	// times its limit.
	debtFraction = 1.0 / 3
	// demandTimeConstant is the time constant of measured demand: a few rounds of exchange
	// between the instances.
	demandTimeConstant = 500 * time.Millisecond
	// minRetryWait and maxRetryWait bound the retry time of a refused caller: a round of
	// exchange, and what callers honour.
	minRetryWait = 200 * time.Millisecond
	maxRetryWait = 5 * time.Second
	// honouredDivisor gives the part of their remaining time that callers are willing to wait for a retry.
	honouredDivisor = 3
	// partitionBurst bounds the balance of an instance that reaches few others, in multiples of
	// the reachable share of the burst. The sides of a partition must not each spend a whole
	// burst, but a region that is partitioned at its peak needs more than its share.
	partitionBurst = 3
	// debtCap bounds a negative balance, in multiples of the burst and a second's rate.
	debtCap = 2
	// sourceTimeout is the time without reports after which the usage of a source can no longer
	// be compared with its previous report.
	sourceTimeout = 2500 * time.Millisecond
)

// Limiter enforces callers' limits over all instances, without a call on the request path and
// without a leader. Each instance holds a replica of each caller's balance, which it charges
// with its own usage at once, and with the others' when they report it. While a caller's demand
// exceeds its limit, each instance admits a random fraction of its requests, whatever their
// size; the fraction falls with the balance.
//
// An instance that reaches only some of the others refills only that share of the limit, so that
// the sides of a partition together stay within it. One that has just started does not know the
// previous usage and starts with an empty balance.
//
// It is safe for concurrent use.
type Limiter struct {
	clock     clock.Clock
	tolerance Tolerance
	random    func() float64

	mu        sync.Mutex
	callers   map[string]*balance
	own       counters
	ledger    ledger
	reachable float64
}

// balance is the balance of one caller.
type balance struct {
	limit   Limit
	units   float64
	at      time.Time
	demand  rate
	refused int64
	// promised is told to refused callers.
	promised promises
}

// rate measures units a second with a time constant of demandTimeConstant.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(now time.Time, units float64) {
	r.perSecond(now)
	r.sum += units
}

func (r *rate) perSecond(now time.Time) float64 {
	if passed := now.Sub(r.at); passed > 0 {
		r.sum *= math.Exp(-passed.Seconds() / demandTimeConstant.Seconds())
		r.at = now
	}
	return r.sum / demandTimeConstant.Seconds()
}

// NewLimiter returns a limiter without recorded usage.
func NewLimiter(clock clock.Clock, tolerance Tolerance) *Limiter {
	return &Limiter{
		clock: clock, tolerance: tolerance, random: rand.Float64, reachable: 1,
		callers: make(map[string]*balance), own: make(counters), ledger: make(ledger),
	}
}

// Grant is an admitted request. The zero value is that of a caller without a limit.
type Grant struct {
	limiter *Limiter
	caller  string
	units   int64
}

// Refund gives back the charge of a request that did not run.
func (g *Grant) Refund() {
	if g.limiter == nil {
		return
	}
	l := g.limiter
	g.limiter = nil
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.own.of(g.caller, now).add(0, -g.units, now)
	if b := l.callers[g.caller]; b != nil {
		b.charge(-float64(g.units))
	}
}

// OverLimitError reports that a caller has used up its limit.
type OverLimitError struct {
	Caller string
	// Balance is in units, Demand and Limit in units a second, as known to this instance. Reachable
	// is the fraction of the instances that it reaches.
	Balance, Demand, Limit, Reachable float64
	// Wait is the time after which requests should be admitted again.
	Wait time.Duration
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return "organisation " + e.Caller + " is over its limit"
}

// Admit admits a request that costs the given units, or returns an *OverLimitError. Its caller is
// assumed to honour any retry time.
func (l *Limiter) Admit(caller string, limit Limit, units int) (Grant, error) {
	return l.AdmitWithin(caller, limit, units, maxRetryWait*honouredDivisor)
}

// AdmitWithin is Admit for a request whose caller has some time left.
func (l *Limiter) AdmitWithin(caller string, limit Limit, units int, left time.Duration) (Grant, error) {
	if limit.Rate <= 0 {
		return Grant{}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	b := l.balance(caller, limit, now)
	b.demand.add(now, float64(units))
	b.promised.ask(now, float64(units), 0)
	own := l.own.of(caller, now)
	own.add(int64(units), 0, now)
	if chance := l.chance(b); chance < 1 && l.random() >= chance {
		b.refused++
		return Grant{}, l.refusal(caller, b, float64(units), left, now)
	}
	own.add(0, int64(units), now)
	b.charge(float64(units))
	return Grant{limiter: l, caller: caller, units: int64(units)}, nil
}

// balance returns the caller's balance, brought up to date.
func (l *Limiter) balance(caller string, limit Limit, now time.Time) *balance {
	b := l.callers[caller]
	if b == nil {
		b = &balance{at: now}
		l.callers[caller] = b
	}
	b.refill(now, l.reachable)
	b.limit = limit
	b.cap(l.reachable)
	return b
}

func (b *balance) refill(now time.Time, reachable float64) {
	if passed := now.Sub(b.at); passed > 0 {
		b.units += b.limit.Rate * reachable * passed.Seconds()
		b.at = now
	}
	b.cap(reachable)
}

// cap limits the balance to what may accumulate.
func (b *balance) cap(reachable float64) {
	b.units = min(b.units, b.limit.Burst*min(1, partitionBurst*reachable))
}

// charge subtracts units; negative ones are given back. A debt beyond debtCap is dropped, so
// that a caller that is back within its limit does not wait long for requests that were admitted
// because reports were late.
func (b *balance) charge(units float64) {
	b.units = max(b.units-units, -debtCap*(b.limit.Burst+b.limit.Rate))
}

// chance returns the fraction of the caller's requests to admit: all while the balance is not
// negative, none once the allowed debt is used up.
func (l *Limiter) chance(b *balance) float64 {
	if b.units >= 0 {
		return 1
	}
	allowedDebt := l.reachable * l.tolerance.allowedDebt(b.limit)
	if allowedDebt <= 0 {
		return 0
	}
	return 1 + b.units/allowedDebt
}

// refusal returns an error with the time until there is balance for the request, after those whose callers
// were given a retry time before, spread over the time in which its own units come in. A request for which
// that is longer than its caller waits is given the longest time and reserves nothing.
func (l *Limiter) refusal(caller string, b *balance, units float64, left time.Duration, now time.Time) error {
	limit := b.limit.Rate * l.reachable
	covered := now.Add(seconds(max(0, -b.units) / limit))
	wait, end := b.promised.next(now, covered, units*b.promised.excess(limit)/(limit*b.promised.share()), l.random())
	if wait = max(minRetryWait, wait); wait <= min(maxRetryWait, left/honouredDivisor) {
		b.promised.until = end
	} else {
		wait = maxRetryWait
	}
	return &OverLimitError{Caller: caller, Balance: b.units, Demand: b.demand.perSecond(now), Limit: b.limit.Rate, Reachable: l.reachable, Wait: wait}
}

// LocalUsage returns the usage that this instance has counted, to be reported to the others.
func (l *Limiter) LocalUsage() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own.list(l.clock.Now())
}

// AddRemoteUsage charges the usage that a source has counted since its start.
func (l *Limiter) AddRemoteUsage(name string, start uint64, list []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.ledger.forget(now, sourceTimeout)
	for _, added := range l.ledger.added(name, start, list, now) {
		b := l.callers[added.Caller]
		if b == nil {
			continue
		}
		b.refill(now, l.reachable)
		b.demand.add(now, float64(added.Asked))
		b.promised.ask(now, 0, float64(added.Asked))
		b.charge(float64(added.Used))
	}
}

// SetLimits opens the balances of callers before their first request here, so that the others'
// usage is charged, and drops callers that are no longer limited.
func (l *Limiter) SetLimits(limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for caller, limit := range limits {
		if limit.Rate > 0 {
			l.balance(caller, limit, now)
		}
	}
	for caller := range l.callers {
		if limits[caller].Rate <= 0 {
			delete(l.callers, caller)
		}
	}
}

// SetReachable sets the fraction of the instances that are reachable, this one included.
func (l *Limiter) SetReachable(fraction float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fraction == l.reachable {
		return
	}
	now := l.clock.Now()
	for _, b := range l.callers {
		b.refill(now, l.reachable)
	}
	l.reachable = fraction
}

// State is the known usage of a caller.
type State struct {
	Caller string
	// Balance is in units, Demand and Limit in units a second; Refused counts requests refused
	// here.
	Balance, Demand, Limit float64
	Refused                int64
}

// States returns the state of all limited callers, in no order.
func (l *Limiter) States() []State {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	states := make([]State, 0, len(l.callers))
	for caller, b := range l.callers {
		b.refill(now, l.reachable)
		states = append(states, State{Caller: caller, Balance: b.units, Demand: b.demand.perSecond(now), Limit: b.limit.Rate, Refused: b.refused})
	}
	return states
}
