package steer

import (
	"strconv"
	"time"
)

// An engine takes whatever it is sent, and everyone in its queue is late together. So a
// request is only sent where its answer is predicted to begin in time, and refused at once
// where there is no such place.

// Parameters of what counts as in time.
const (
	// targetShare is the part of a route's target that a prediction may take up: the rest is
	// for the way to the caller, and for what others send before they hear of this.
	targetShare = 0.85
	// minWaitShare is the part of a target for which a request may wait for others though
	// its own prompt takes the rest: the largest prompts are served too, if late.
	minWaitShare = 0.3
	// yieldShare is the part of the wait that a more urgent route of the same service bears
	// for which a less urgent one may wait: what it leaves is room for the others.
	yieldShare = 0.4
	// defaultHolding is for how long a request holds its place where that was not measured.
	defaultHolding = time.Second
)

// waitTime is how long a request would waitTime at an engine, in milliseconds: for others, and for
// its own prompt.
type waitTime struct{ queued, own float64 }

func (w *waitTime) total() time.Duration { return milliseconds(w.queued + w.own) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// tooLate says whether an answer after such a wait is no longer worth beginning now: it
// comes after the route's target, or takes what more urgent requests need. The doubt is the
// caller's, by the mean error of predictions: instances that hear of each other late would
// refuse what would have been in time.
func (w *waitTime) tooLate(req *Request, forecast *Forecast) bool {
	target := inMilliseconds(req.Route.TargetLatency)
	if target == 0 {
		return false
	}
	bound := max(targetShare*target-w.own, minWaitShare*target)
	if urgent := inMilliseconds(req.Route.Yields); req.Contended && urgent > 0 {
		bound = min(bound, yieldShare*(targetShare*urgent-forecast.base))
	}
	return w.queued-forecast.meanError > bound
}

// slotWait is how long a request waits for one of the slots, in milliseconds, where so many
// others are in hand and each holds its place for a time.
func slotWait(inFlight, slots int, holding time.Duration) float64 {
	if holding == 0 {
		holding = defaultHolding
	}
	beyond := max(0, inFlight+1-slots)
	return float64(beyond) / float64(max(1, slots)) * inMilliseconds(holding)
}

// predict fills in when the answer would begin at a candidate, and whether that is too
// late.
func (w *Snapshot) predict(req *Request, c *Candidate, forecast *Forecast, holding time.Duration) {
	factor := forecast.Factor(c.Upstream.ID)
	own := factor * forecast.Reading(float64(c.Uncached))
	ahead := slotWait(c.InFlight, c.Upstream.Slots, holding) + factor*forecast.perToken*float64(c.Prefill)
	expected := waitTime{queued: ahead, own: own}
	c.First = expected.total()
	c.Late = expected.tooLate(req, forecast)
}

// remoteWait is how long a request would wait in another region.
func (w *Snapshot) remoteWait(req *Request, remote *RemoteRegion, forecast *Forecast) waitTime {
	prefill := float64(remote.Prefill) / float64(remote.Upstreams)
	uncached := float64(req.PromptTokens) - w.remoteCached(req, remote)
	return waitTime{
		queued: slotWait(remote.InFlight, remote.Slots, 0) + forecast.perToken*prefill,
		own:    inMilliseconds(regionRoundTrip) + forecast.Reading(uncached),
	}
}

// timelyRegion returns the cheapest region where the answer begins in time, and sooner than
// here by more than predictions are usually wrong; nil when there is none.
func (w *Snapshot) timelyRegion(req *Request, here *Candidate, regions []RemoteRegion) *RemoteRegion {
	var best *RemoteRegion
	forecast := w.Estimates.Forecast(req.Service.Name, w.Now)
	for i := range regions {
		remote := &regions[i]
		there := w.remoteWait(req, remote, &forecast)
		if there.tooLate(req, &forecast) || there.total()+milliseconds(forecast.meanError) > here.First {
			continue
		}
		if best == nil || w.remoteCost(req, remote) < w.remoteCost(req, best) {
			best = remote
		}
	}
	return best
}

// RegionKey names a region as a place for a service's requests of a rank. One that refused
// such a request for want of capacity rests under that name as an upstream does: what is
// told of its load is up to a second old, and each request that is sent there in vain
// comes back 120 ms older.
func RegionKey(region string, req *Request) string {
	return region + "/" + req.Service.Name + "/" + strconv.Itoa(req.Route.Priority)
}

// better says whether a candidate is to be preferred.
func (w *Snapshot) better(c, best *Candidate) bool {
	return c.Cost < best.Cost || (c.Cost == best.Cost && w.Random&1 == 0)
}
