package route

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/limit"
)

// ExpectedAnswerTokens is the assumed length of an answer in tokens, unless the request limits it
// to less.
const ExpectedAnswerTokens = 256

// defaultHolding is the assumed duration of a service call if none has been measured.
const defaultHolding = 100 * time.Millisecond

// Estimate is the prediction for a request at one place. Times are in seconds.
type Estimate struct {
	// Wait is the time until the request gets a slot, Prefill the time until its prompt is
	// processed, including prompts ahead of it, and Decode the time from there to the end
	// of the answer.
	Wait, Prefill, Decode float64
	// Link is the network round trip time.
	Link float64
	// EngineSeconds is the engine time that the request's uncached prompt takes.
	EngineSeconds float64
	// AtUpstream estimates the requests that are already there.
	AtUpstream float64
	// Own is the number of them that this gateway sent.
	Own float64
}

// FirstToken is the predicted time to the first byte, in seconds.
func (e Estimate) FirstToken() float64 { return e.Wait + e.Prefill + e.Link }

// Total is the predicted time to the whole answer, in seconds.
func (e Estimate) Total() float64 { return e.FirstToken() + e.Decode }

// TimeAndCost scores by predicted time plus the weighted cost of prefill.
type TimeAndCost struct {
	// CostWeight is 0 (latency alone) to 1.
	CostWeight float64
	// PrefillWeight is a weight of engine-seconds that is independent of CostWeight.
	PrefillWeight float64
}

// Weights of an engine-second of prefill, in seconds of the request's own time.
const (
	// prefillWeight is used among the upstreams of a pool: a prompt in prefill delays those
	// behind it, and what it adds to the cache evicts what other requests would have used.
	prefillWeight = 3.0
	// costScale is added at full CostWeight.
	costScale = 5.0
)

// Score implements Scorer.
func (s TimeAndCost) Score(_ *Request, e Estimate) float64 {
	return e.Total() + (s.PrefillWeight+s.CostWeight*costScale)*e.EngineSeconds
}

// answerTokens is the answer's expected length.
func answerTokens(req *Request) float64 {
	if req.MaxTokens > 0 && req.MaxTokens < ExpectedAnswerTokens {
		return float64(req.MaxTokens)
	}
	return ExpectedAnswerTokens
}

// estimate predicts a request's times at a local upstream.
func (p *pool) estimate(req *Request, i, preferred int32, own limit.Load, clock decisionTime) Estimate {
	c := &p.locals[i]
	others := c.othersNow(own.InFlight, p.peers, p.mean, clock.sinceCompile)
	e := Estimate{AtUpstream: others + float64(own.InFlight), Own: float64(own.InFlight)}
	slots := c.rampedSlots(clock.now)
	holding := own.Holding.Seconds()
	if c.upstream.Kind == config.KindService {
		if holding == 0 {
			holding = defaultHolding.Seconds()
		}
		e.Wait = slotWait(e.AtUpstream, slots, holding)
		e.Decode = holding
		return e
	}
	uncached := float64(req.PromptTokens) - p.cachedTokens(req, i, preferred)
	e.EngineSeconds = uncached / c.prefillRate
	// A prompt in prefill is done before the peers could publish it: they are assumed to
	// have as many there as this gateway.
	e.Prefill = e.EngineSeconds + (1+p.peers)*float64(own.Prefill)/c.prefillRate
	e.Decode = answerTokens(req) / c.decodeRate
	if holding == 0 {
		holding = e.EngineSeconds + e.Decode
	}
	e.Wait = slotWait(e.AtUpstream, slots, holding)
	return e
}

// slotWait returns how long a request waits for one of the slots, behind ahead others that
// each occupy a slot for holding seconds.
func slotWait(ahead, slots, holding float64) float64 {
	over := ahead + 1 - slots
	if over <= 0 {
		return 0
	}
	return over / slots * holding
}

type decisionTime struct {
	now          time.Time
	sinceCompile time.Duration
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
