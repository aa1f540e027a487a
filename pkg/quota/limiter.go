package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// Limit is what a caller may use over all instances together.
type Limit struct {
	// Rate is in units a second, Burst in units; a Rate of zero: no limit.
	Rate, Burst float64
}

// Tolerance is by how much the use of all instances together may pass a limit within a
// sliding window: Overage of what the limit allows in the window, and Slack units.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// depth is how far a balance may fall below zero: a part of what is tolerated. The rest
// is for use that is not known yet.
func (t Tolerance) allowedDebt(limit Limit) float64 {
	allowed := limit.Rate*t.Window.Seconds() + limit.Burst
	return debtFraction * (t.Overage*allowed + t.Slack)
}

// Parameters of the limiter.
const (
	// depthPart of the tolerance is lent to callers whose few large requests come
	// together; news of a caller that suddenly asks for several times its limit needs
	// the other two thirds.
	debtFraction = 1.0 / 3
	// askedTime is the time constant of measured demand: a few rounds in which the
	// instances tell each other of it.
	demandTimeConstant = 500 * time.Millisecond
	// leastWait and mostWait bound when a refused caller is asked to return: a round of
	// news, and what callers honour.
	minRetryWait = 200 * time.Millisecond
	maxRetryWait = 5 * time.Second
	// aloneBurst bounds how much of the burst an instance that hears few others may have
	// gathered, in multiples of their part: the sides of a partition must not each spend a
	// whole burst, but a region that is cut off at its peak needs more than its part.
	partitionBurst = 3
	// mostDebt bounds a negative balance, in multiples of the burst and a second's rate.
	debtCap = 2
	// tellerSilence is when a teller's usage no longer connects to what it told before.
	sourceTimeout = 2500 * time.Millisecond
)

// Limiter keeps callers to their limits over all instances, without a call on the request's
// path and without a leader. Each instance holds a copy of each caller's balance: it charges
// its own use at once, and the others' when it hears of it. While a caller asks for more
// than its limit, each instance lets in a part of its requests, whatever their size, chosen
// at random; the part falls with the balance.
//
// An instance that hears a part of the others only refills that part of the limit, so that
// the sides of a partition together stay within it. One that has just begun knows nothing
// of what was used and begins with an empty balance.
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

// balance is one caller's.
type balance struct {
	limit   Limit
	units   float64
	at      time.Time
	demand  rate
	refused int64
}

// rate measures units a second with a time constant of askedTime.
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

// NewLimiter returns a limiter that knows of no use.
func NewLimiter(clock clock.Clock, tolerance Tolerance) *Limiter {
	return &Limiter{
		clock: clock, tolerance: tolerance, random: rand.Float64, reachable: 1,
		callers: make(map[string]*balance), own: make(counters), ledger: make(ledger),
	}
}

// Grant is a request that was let in. The zero value is one of a caller without a limit.
type Grant struct {
	limiter *Limiter
	caller  string
	units   int64
}

// Return gives back what the request was charged, as it did not run.
func (g *Grant) Return() {
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

// OverLimitError says that a caller has used its limit.
type OverLimitError struct {
	Caller string
	// Balance is in units, and Demand and Limit in units a second, as this instance knows
	// them; Heard is the part of the instances that it hears.
	Balance, Demand, Limit, Heard float64
	// Wait is when there should be room.
	Wait time.Duration
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return "organisation " + e.Caller + " is over its limit"
}

// Admit lets a request in that counts so many units, or returns an *OverLimitError.
func (l *Limiter) Admit(caller string, limit Limit, units int) (Grant, error) {
	if limit.Rate <= 0 {
		return Grant{}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	b := l.balance(caller, limit, now)
	b.demand.add(now, float64(units))
	own := l.own.of(caller, now)
	own.add(int64(units), 0, now)
	if chance := l.chance(b); chance < 1 && l.random() >= chance {
		b.refused++
		return Grant{}, l.refusal(caller, b, now)
	}
	own.add(0, int64(units), now)
	b.charge(float64(units))
	return Grant{limiter: l, caller: caller, units: int64(units)}, nil
}

// balance returns the caller's, brought up to date.
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

// cap keeps the balance below what may be gathered.
func (b *balance) cap(reachable float64) {
	b.units = min(b.units, b.limit.Burst*min(1, partitionBurst*reachable))
}

// charge takes units, or gives them back when negative. A debt beyond mostDebt is forgotten:
// a caller that is back within its limit is not made to wait long for what was let in for
// want of news.
func (b *balance) charge(units float64) {
	b.units = max(b.units-units, -debtCap*(b.limit.Burst+b.limit.Rate))
}

// chance is the part of the caller's requests that fits: all while the balance is not
// negative, none where what is lent is used up.
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

// refusal tells when the balance is no longer negative if nothing is let in until then, and
// spreads those who return over the time that it takes to serve what is asked for.
func (l *Limiter) refusal(caller string, b *balance, now time.Time) error {
	demand, limit := b.demand.perSecond(now), b.limit.Rate*l.reachable
	seconds := max(0, -b.units)/limit + l.random()*max(0, demand/limit-1)*demandTimeConstant.Seconds()
	wait := min(maxRetryWait, max(minRetryWait, time.Duration(seconds*float64(time.Second))))
	return &OverLimitError{Caller: caller, Balance: b.units, Demand: demand, Limit: b.limit.Rate, Heard: l.reachable, Wait: wait}
}

// LocalUsage returns what this instance has counted, to be told to the others.
func (l *Limiter) LocalUsage() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own.list(l.clock.Now())
}

// Hear takes what a teller has counted since its start.
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
		b.charge(float64(added.Used))
	}
}

// SetLimits opens the balances of callers before their first request here, so that the
// others' use is charged, and forgets callers that are no longer limited.
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

// SetReachable says which part of the instances is heard, this one included.
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

// State is what this instance knows of a caller's use.
type State struct {
	Caller string
	// Balance is in units, Demand and Limit in units a second; Refused counts requests
	// refused here.
	Balance, Demand, Limit float64
	Refused                int64
}

// States returns what is known of all limited callers, in no order.
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
