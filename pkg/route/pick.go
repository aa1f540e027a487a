package route

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Pick decides where a request goes. It allocates only if it refuses; the refusal is always
// "not run". A decision to send to another domain uses up credit, so it must be made only
// once for each request that is then sent.
func (t *Table) Pick(req *Request, load LocalLoad, rnd Rand, now time.Time) (Decision, *outcome.Refusal) {
	placement, refusal := t.placement(req)
	if refusal != nil {
		return Decision{}, refusal
	}
	here := t.permitted(req, placement, t.region)
	if !here && req.Class == ClassDomain {
		return Decision{}, refuseRegion()
	}
	if !here && !t.permittedAnywhere(req, placement) {
		return Decision{}, refuseRegion()
	}
	p := t.choosePool(req, placement, here, now)
	if p == nil {
		return Decision{}, refuseNoUpstream()
	}
	t.count(req)
	var local choice
	if here {
		local = t.pickLocal(p, req, load, rnd, now)
	}
	if req.Class == ClassEntry {
		if decision, ok := t.forward(p, req, placement, here, local, now); ok {
			return decision, nil
		}
	}
	return t.decideLocal(p, req, here, local, now)
}

// count counts a caller's request once towards the spill rules, however often Pick is
// called for it.
func (t *Table) count(req *Request) {
	if req.counted || req.Class != ClassEntry || len(req.Tried) > 0 {
		return
	}
	req.counted = true
	t.spill.arrived()
}

// choice is the best local upstream, if any.
type choice struct {
	candidate *candidate
	estimate  Estimate
	// full is true if upstreams were excluded only by this gateway's limit.
	full bool
	// backoff is the shortest time until one of the upstreams that are backing off may be
	// tried; zero if none is backing off.
	backoff time.Duration
}

// exclude records why an upstream was excluded.
func (c *choice) exclude(own limit.Load) {
	c.full = c.full || own.InFlight >= own.Limit
	if own.Backoff > 0 && (c.backoff == 0 || own.Backoff < c.backoff) {
		c.backoff = own.Backoff
	}
}

func (c choice) total(req *Request) float64 { return c.estimate.Total() + req.Waiting.Seconds() }

func (t *Table) pickLocal(p *pool, req *Request, load LocalLoad, rnd Rand, now time.Time) choice {
	if len(p.locals) == 0 {
		return choice{}
	}
	preferred := int32(-1)
	if key, ok := affinityKey(req); ok {
		preferred = p.preferred(key)
	}
	_, holders := p.longestHint(req)
	sampled := Sampled{Size: len(p.locals), Preferred: preferred, Holders: holders}
	sample := t.strategy.Picker.Sample(req, sampled, rnd)
	at := decisionTime{now: now, sinceCompile: now.Sub(t.compiled)}
	best := t.bestOf(p, req, load, &sample, preferred, at)
	if best.candidate != nil || sample.count == len(p.locals) {
		return best
	}
	return t.firstUsable(p, req, load, preferred, at, int(rnd.Uint64()%uint64(len(p.locals))))
}

// bestOf scores the sampled upstreams that pass the filters.
func (t *Table) bestOf(p *pool, req *Request, load LocalLoad, sample *Sample, preferred int32, at decisionTime) choice {
	var best choice
	lowest := 0.0
	for _, i := range sample.indices[:sample.count] {
		c := &p.locals[i]
		own := load.Load(c.upstream.Name)
		if !t.keep(req, c, own) {
			best.exclude(own)
			continue
		}
		estimate := p.estimate(req, i, preferred, own, at)
		score := t.strategy.Scorer.Score(req, estimate)
		if best.candidate == nil || score < lowest {
			best.candidate, best.estimate, lowest = c, estimate, score
		}
	}
	return best
}

// firstUsable searches the whole pool if no sampled upstream is usable.
func (t *Table) firstUsable(p *pool, req *Request, load LocalLoad, preferred int32, at decisionTime, start int) choice {
	var none choice
	for n := range p.locals {
		i := int32((start + n) % len(p.locals))
		c := &p.locals[i]
		own := load.Load(c.upstream.Name)
		if t.keep(req, c, own) {
			return choice{candidate: c, estimate: p.estimate(req, i, preferred, own, at)}
		}
		none.exclude(own)
	}
	return none
}

func (t *Table) keep(req *Request, c *candidate, own limit.Load) bool {
	for _, filter := range t.strategy.Filters {
		if !filter.Keep(req, c.upstream.Name, own) {
			return false
		}
	}
	return true
}

// decideLocal turns the local choice into a decision or a refusal.
func (t *Table) decideLocal(p *pool, req *Request, here bool, local choice, now time.Time) (Decision, *outcome.Refusal) {
	if !here {
		return Decision{}, refuseNoUpstream()
	}
	if local.candidate == nil {
		if local.full {
			return Decision{}, refuseFull(p, req)
		}
		if local.backoff > 0 {
			return Decision{}, refuseBackingOff(local.backoff)
		}
		return Decision{}, refuseNoUpstream()
	}
	total := local.total(req)
	if late := lateBy(req, total, now); late > 0 {
		return Decision{}, refuseLate(late, local.estimate.Wait+req.Waiting.Seconds())
	}
	return Decision{
		Upstream:   local.candidate.upstream,
		Pool:       p.key,
		Version:    p.id.version,
		FirstToken: seconds(local.estimate.FirstToken()) + req.Waiting,
		Predicted:  seconds(total),
		Run:        seconds(local.estimate.Total()),
	}, nil
}

// lateBy returns by how much a request of that predicted duration exceeds its deadline.
func lateBy(req *Request, total float64, now time.Time) time.Duration {
	if req.Deadline.IsZero() {
		return 0
	}
	return seconds(total) - req.Deadline.Sub(now)
}

// placement returns the regions in which the model or service may run.
func (t *Table) placement(req *Request) ([]string, *outcome.Refusal) {
	if t.revision == 0 {
		return nil, refuseNoConfiguration()
	}
	if req.Kind == config.KindService {
		if service := t.services[req.Serves]; service != nil {
			return service.Regions, nil
		}
		return nil, refuseUnknown(req)
	}
	model := t.models[req.Serves]
	if model == nil {
		return nil, refuseUnknown(req)
	}
	if len(req.Caller.Models) > 0 && !slices.Contains(req.Caller.Models, req.Serves) {
		return nil, refuseModel()
	}
	return model.Regions, nil
}

// permitted reports whether the request may be processed in a region.
func (t *Table) permitted(req *Request, placement []string, region string) bool {
	return slices.Contains(req.Caller.Regions, region) && slices.Contains(placement, region)
}

func (t *Table) permittedAnywhere(req *Request, placement []string) bool {
	for _, region := range req.Caller.Regions {
		if slices.Contains(placement, region) {
			return true
		}
	}
	return false
}
