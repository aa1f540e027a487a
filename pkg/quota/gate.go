package quota

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Times that refusals suggest.
const (
	// maxWait bounds them, because the shares change sooner.
	maxWait = time.Minute
	// slotWait is suggested when all concurrency slots are in use. A gateway without any has to
	// wait for a window before it can get some.
	slotWait = time.Second
)

// Gate admits one gateway's share of each caller's limits. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock

	mu         sync.Mutex
	callers    map[string]*account
	demandView *demandView
}

// account is the state of one caller at one gateway.
type account struct {
	limits           config.Limits
	share            float64
	requests, tokens bucket
	inFlight         int
	meter            meter
	reported         int
	history          history
}

// NewGate returns a gate without knowledge of other gateways.
func NewGate(now clock.Clock) *Gate {
	return &Gate{
		clock:      now,
		callers:    make(map[string]*account),
		demandView: newDemandView(&View{}, now.Now()),
	}
}

// Pass is one admitted request.
type Pass struct {
	gate    *Gate
	account *account
	tokens  int
}

// Admit admits a request with the given estimate of tokens, or refuses it at once. Done must be
// called on the pass; a caller without limits has none.
func (g *Gate) Admit(caller *config.Caller, tokens int) (*Pass, *outcome.Refusal) {
	if !caller.Limits.Any() {
		return nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	a := g.account(caller.Name, caller.Limits, now)
	full := a.full()
	a.meter.ask(now, float64(tokens), full)
	if full {
		return nil, a.refuse("requests in hand", a.slotWait())
	}
	if wait := a.wait(&a.requests, now, 1, a.limits.RequestsPerSecond > 0); wait > 0 {
		return nil, a.refuse("requests a second", wait)
	}
	if wait := a.wait(&a.tokens, now, float64(tokens), a.limits.TokensPerMinute > 0); wait > 0 {
		return nil, a.refuse("tokens a minute", wait)
	}
	a.requests.take(1)
	a.tokens.take(float64(tokens))
	a.inFlight++
	return &Pass{gate: g, account: a, tokens: tokens}, nil
}

// Done ends the request, which used the given number of tokens.
func (p *Pass) Done(tokens int) {
	if p == nil {
		return
	}
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.account.inFlight--
	p.account.tokens.take(float64(tokens - p.tokens))
}

// Tokens returns the estimate with which the request was admitted.
func (p *Pass) Tokens() int {
	if p == nil {
		return 0
	}
	return p.tokens
}

// account returns the caller's account with the limits in force. The caller of account holds mu.
func (g *Gate) account(name string, limits config.Limits, now time.Time) *account {
	a := g.callers[name]
	if a == nil {
		a = &account{}
		g.callers[name] = a
		a.share = a.history.share(g.demandView, name, 0)
	}
	if a.limits != limits {
		a.limits = limits
		a.applyShare(now)
	}
	return a
}

// applyShare applies the share to the buckets.
func (a *account) applyShare(now time.Time) {
	a.requests.set(now, a.share*a.limits.RequestsPerSecond)
	a.tokens.set(now, a.share*perSecond(a.limits.TokensPerMinute))
}

// slots returns the number of requests that may be in flight here. Shares are rounded down,
// except at the one gateway that has more than half, so that they add up to the limit at most.
func (a *account) slots() int {
	slots := a.share * float64(a.limits.Concurrent)
	if a.share > 1.0/2 {
		return int(math.Ceil(slots - slack))
	}
	return int(slots + slack)
}

func (a *account) full() bool {
	return a.limits.Concurrent > 0 && a.inFlight >= a.slots()
}

func (a *account) slotWait() time.Duration {
	if a.slots() == 0 {
		return DomainWindow
	}
	return slotWait
}

func (a *account) wait(b *bucket, now time.Time, cost float64, limited bool) time.Duration {
	if !limited {
		return 0
	}
	return b.wait(now, cost)
}

func (a *account) refuse(what string, wait time.Duration) *outcome.Refusal {
	detail := fmt.Sprintf("the caller's limit of %s is reached; this gateway has %.0f%% of it", what, 100*a.share)
	return outcome.Refuse(http.StatusTooManyRequests, outcome.ReasonCallerLimit, wait, detail)
}

// Update applies the known state of the other gateways.
func (g *Gate) Update(view View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.demandView = newDemandView(&view, now)
	for _, others := range [][]reportedDemand{g.demandView.peers, g.demandView.remote} {
		for _, other := range others {
			g.openAccounts(other.demand)
		}
	}
	for name, a := range g.callers {
		a.share = a.history.share(g.demandView, name, a.reported)
		a.applyShare(now)
		if a.idle(now) {
			delete(g.callers, name)
		}
	}
}

// idle reports whether a new account would be no different.
func (a *account) idle(now time.Time) bool {
	return a.inFlight == 0 && a.requests.full() && a.tokens.full() &&
		a.history.idle() && a.meter.demand(now, a.limits, 0) == 0
}

// openAccounts opens accounts for the callers that others report, so that their windows are
// filled before their first request here.
func (g *Gate) openAccounts(demand map[string]int) {
	for name := range demand {
		if g.callers[name] == nil {
			g.callers[name] = &account{}
		}
	}
}

// Demand measures and returns the callers' demand to be reported from now on.
func (g *Gate) Demand() []board.CallerDemand {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	demands := make(map[string]int)
	for name, a := range g.callers {
		demands[name] = a.reported
		if demand := a.meter.demand(now, a.limits, a.inFlight); moved(a.reported, demand) {
			demands[name] = demand
		}
	}
	list := largest(demands, GatewayDemands)
	reported := byCaller(list)
	for name, a := range g.callers {
		a.reported = reported[name]
	}
	return list
}

// Share returns this gateway's present share of a caller's limits, from 0 to 1.
func (g *Gate) Share(caller string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := g.callers[caller]; a != nil {
		return a.share
	}
	return new(history).share(g.demandView, caller, 0)
}
