package quota

import (
	"math"
	"time"
)

// promises are the retry times that an instance has given to refused callers of one organisation. Their
// units are reserved against the instance's part of the refill, one request after the other; a time that
// is past reserves nothing more.
//
// Callers reach all instances at random, so the retries that an instance receives are as many as those it
// has caused, and its part of the refill is its part of the demand.
type promises struct {
	// until is the time at which the refill covers all units that are reserved.
	until time.Time
	// own and all are decaying sums of the units that were asked for here and at all instances.
	own, all float64
	at       time.Time
}

// demandShareTimeConstant is the time constant of an instance's part of the demand. It is longer than
// demandTimeConstant, since an instance may get few requests a second of an organisation.
const demandShareTimeConstant = 4 * time.Second

// ask records units that were asked for here and elsewhere.
func (p *promises) ask(now time.Time, here, elsewhere float64) {
	if passed := now.Sub(p.at); passed > 0 {
		kept := math.Exp(-passed.Seconds() / demandShareTimeConstant.Seconds())
		p.own *= kept
		p.all *= kept
		p.at = now
	}
	p.own += here
	p.all += here + elsewhere
}

// share returns the instance's part of the demand.
func (p *promises) share() float64 {
	if p.own <= 0 || p.all <= 0 {
		return 1
	}
	return min(1, p.own/p.all)
}

// excess returns the factor by which requests that are not told to come back lengthen the time in which
// reserved units come in: they are admitted as well, so the refill is divided by demand. Demand over the last
// seconds counts, as a short burst has ended when the retries come.
func (p *promises) excess(limit float64) float64 {
	return max(1, p.all/demandShareTimeConstant.Seconds()/limit)
}

// next returns the wait of a request whose units take a time to come in, not before the time at which the
// balance is covered, and the end of its reservation. The random number spreads it within its own part.
func (p *promises) next(now, covered time.Time, takes, random float64) (wait time.Duration, end time.Time) {
	from := covered
	if p.until.After(from) {
		from = p.until
	}
	return from.Sub(now) + seconds(random*takes), from.Add(seconds(takes))
}

// seconds returns a duration, bounded by the longest retry time.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryWait.Seconds()) * float64(time.Second))
}
