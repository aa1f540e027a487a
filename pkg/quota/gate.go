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
	// maxWait bounds them: the parts change sooner.
	maxWait = time.Minute
	// placeWait is suggested when all places are taken; when there is none here, a
	// window must pass before there may be.
	slotWait = time.Second
)

// Gate lets in one gateway's part of each caller's limits. It is safe for
// concurrent use.
type Gate struct {
	clock clock.Clock

	mu         sync.Mutex
	callers    map[string]*account
	demandView *demandView
}

// account is what one gateway keeps of one caller.
type account struct {
	limits           config.Limits
	share            float64
	requests, tokens bucket
	inFlight         int
	meter            meter
	reported         int
	history          history
}

// NewGate returns a gate that knows of no other gateway.
func NewGate(now clock.Clock) *Gate {
	return &Gate{
		clock:      now,
		callers:    make(map[string]*account),
		demandView: newDemandView(&View{}, now.Now()),
	}
}

// Pass is one request that was let in.
type Pass struct {
	gate    *Gate
	account *account
	tokens  int
}

// Admit lets a request in, which may take the given tokens by estimate, or refuses
// it at once. Done must be called on the pass; a caller without limits has none.
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

// Done ends the request, which took the given tokens in truth.
func (p *Pass) Done(tokens int) {
	if p == nil {
		return
	}
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.account.inFlight--
	p.account.tokens.take(float64(tokens - p.tokens))
}

// Tokens is the estimate that the request was let in with.
func (p *Pass) Tokens() int {
	if p == nil {
		return 0
	}
	return p.tokens
}

// account returns the caller's account, with the limits in force. Callers hold mu.
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

// share brings the part into force.
func (a *account) applyShare(now time.Time) {
	a.requests.set(now, a.share*a.limits.RequestsPerSecond)
	a.tokens.set(now, a.share*perSecond(a.limits.TokensPerMinute))
}

// places is how many requests may be in hand here. Parts are rounded down, but for
// the one gateway that has more than half: so they add up to the limit at most.
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

// Update takes what is known of the other gateways.
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

// idle says that a fresh account would be no different.
func (a *account) idle(now time.Time) bool {
	return a.inFlight == 0 && a.requests.full() && a.tokens.full() &&
		a.history.idle() && a.meter.demand(now, a.limits, 0) == 0
}

// meet opens accounts for the callers that others tell of, so that their windows
// are filled before their first request here.
func (g *Gate) openAccounts(demand map[string]int) {
	for name := range demand {
		if g.callers[name] == nil {
			g.callers[name] = &account{}
		}
	}
}

// Demand measures what is to be told of callers from now on.
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

// Part returns this gateway's part of a caller's limits now, from 0 to 1.
func (g *Gate) Share(caller string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := g.callers[caller]; a != nil {
		return a.share
	}
	return new(history).share(g.demandView, caller, 0)
}
