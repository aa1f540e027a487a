package route

import (
	"math"
	"slices"
	"time"
)

// Parameters of forwarding to other domains.
const (
	// defaultMargin is used where the policy declares no spill margin.
	defaultMargin = 300 * time.Millisecond
	// hysteresisShare is the share of the margin that suffices to continue sending to a
	// domain.
	hysteresisShare = 0.5
	// returnTime is the time, after the gain has fallen below the margin, until all traffic
	// has returned to the local caches.
	returnTime = 10 * time.Second
)

// forward returns a decision for another domain if that is the better place.
func (t *Table) forward(p *pool, req *Request, placement []string, here bool, local choice, now time.Time) (Decision, bool) {
	best, estimate := t.bestRemote(p, req, placement, here, now)
	if best == nil {
		return Decision{}, false
	}
	if here && !t.worthForwarding(best, req, local, estimate, now) {
		return Decision{}, false
	}
	crossRegion := best.digest.Region != t.region
	if here && !t.spill.reserve(best, crossRegion, t.rules[best.digest.Region], now) {
		return Decision{}, false
	}
	if !here {
		best.ledger.send()
	}
	return Decision{
		Domain:     best.digest,
		Pool:       p.key,
		Version:    p.id.version,
		FirstToken: seconds(estimate.FirstToken()),
		Predicted:  seconds(estimate.Total()),
		Run:        seconds(estimate.Total()),
		Spilled:    here && crossRegion,
	}, true
}

// bestRemote returns the domain with the best score among those that the request may be
// sent to and that can meet its deadline.
func (t *Table) bestRemote(p *pool, req *Request, placement []string, here bool, now time.Time) (*remote, Estimate) {
	var best *remote
	var lowest Estimate
	for i := range p.remotes {
		r := &p.remotes[i]
		if !t.mayReceive(r, req, placement, here, now) {
			continue
		}
		estimate := r.estimate(req)
		if lateBy(req, estimate.Total(), now) > 0 {
			continue
		}
		if best == nil || t.remoteScore(req, r, estimate) < t.remoteScore(req, best, lowest) {
			best, lowest = r, estimate
		}
	}
	return best, lowest
}

// remoteScore favours the caller's home region by the margin.
func (t *Table) remoteScore(req *Request, r *remote, e Estimate) float64 {
	score := TimeAndCost{CostWeight: t.policy.CostWeight}.Score(req, e)
	if r.digest.Region == req.Caller.Home {
		score -= t.margin()
	}
	return score
}

// mayReceive applies the filters to another domain. Without a permitted place here, neither
// spill rules nor credits apply: the request is not work that this region could do itself.
func (t *Table) mayReceive(r *remote, req *Request, placement []string, here bool, now time.Time) bool {
	if !r.fresh(now) || !t.permitted(req, placement, r.digest.Region) {
		return false
	}
	if slices.Contains(req.Tried, r.digest.Domain) {
		return false
	}
	if !here {
		return true
	}
	if r.digest.Region != t.region && t.rules[r.digest.Region] == 0 {
		return false
	}
	return r.ledger.used() < r.credit
}

// worthForwarding reports whether the predicted end there is sooner than here by the
// margin. The margin is reduced for a domain that already receives requests.
func (t *Table) worthForwarding(r *remote, req *Request, local choice, there Estimate, now time.Time) bool {
	if local.candidate == nil || lateBy(req, local.total(req), now) > 0 {
		return true
	}
	score := TimeAndCost{CostWeight: t.policy.CostWeight}
	gain := score.Score(req, local.estimate) + req.Waiting.Seconds() - score.Score(req, there)
	margin := t.margin()
	if gain >= margin {
		r.ledger.marginMet(now)
		return true
	}
	if gain < hysteresisShare*margin {
		return false
	}
	return t.inReturnRamp(r, req, now)
}

// inReturnRamp lets a decreasing share of the requests go on to the other domain for some
// time, so that local caches fill gradually.
func (t *Table) inReturnRamp(r *remote, req *Request, now time.Time) bool {
	since := now.Sub(r.ledger.lastMarginMet())
	if since >= returnTime {
		return false
	}
	share := 1 - float64(since)/float64(returnTime)
	return float64(mix(req.SplitRandom))/math.MaxUint64 < share
}

func (t *Table) margin() float64 {
	if t.policy.SpillMargin > 0 {
		return t.policy.SpillMargin.Std().Seconds()
	}
	return defaultMargin.Seconds()
}
