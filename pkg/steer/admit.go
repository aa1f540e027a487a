package steer

import (
	"strconv"
	"time"
)

// An engine accepts every request, and all requests in its queue are late together. So a
// request is only sent where its answer is predicted to begin in time, and otherwise
// refused at once.

// Parameters of admission by predicted time to first token.
const (
	// targetShare is the share of a route's target that a prediction may use. The rest
	// covers the path back to the caller and requests of others that are not reported yet.
	targetShare = 0.85
	// minWaitShare is the share of a target that a request may wait for others even if its
	// own prompt uses up the rest, so that the largest prompts are served too, if late.
	minWaitShare = 0.3
	// yieldShare is the share of the wait tolerated by a more urgent route of the same
	// service that a less urgent one may use; the rest is reserved for the former.
	yieldShare = 0.4
	// defaultHolding is the time that a request occupies its slot where none was measured.
	defaultHolding = time.Second
)

// waitTime is a request's wait at an engine, in milliseconds, for other requests and for
// its own prompt.
type waitTime struct{ queued, own float64 }

func (w *waitTime) total() time.Duration { return milliseconds(w.queued + w.own) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// tooLate reports whether an answer after this wait would miss the route's target or use
// capacity that more urgent requests need. The mean prediction error counts in the caller's
// favour: otherwise instances with late reports would refuse requests that are in time.
func (w *waitTime) tooLate(req *Request, contended bool, forecast *Forecast) bool {
	target := inMilliseconds(req.Route.TargetLatency)
	if target == 0 {
		return false
	}
	bound := max(targetShare*target-w.own, minWaitShare*target)
	if urgent := inMilliseconds(req.Route.UrgentTarget); contended && urgent > 0 {
		bound = min(bound, yieldShare*(targetShare*urgent-forecast.base))
	}
	return w.queued-forecast.meanError > bound
}

// longestWait returns the longest wait for a place with which an answer is in time, zero if the route has
// no target. A plain service's answer takes holding.
func (w *Snapshot) longestWait(req *Request, holding time.Duration) time.Duration {
	target := inMilliseconds(req.Route.TargetLatency)
	own := inMilliseconds(holding)
	if req.Service.Engine != nil {
		forecast := w.Estimates.Forecast(req.Service.Name, w.Now)
		own = forecast.Reading(float64(req.PromptTokens))
	}
	return milliseconds(max(targetShare*target-own, minWaitShare*target))
}

// slotWait returns the wait for one of the slots, in milliseconds, behind inFlight requests
// that each occupy one for holding.
func slotWait(inFlight, slots int, holding time.Duration) float64 {
	if holding == 0 {
		holding = defaultHolding
	}
	beyond := max(0, inFlight+1-slots)
	return float64(beyond) / float64(max(1, slots)) * inMilliseconds(holding)
}

// predict sets when the answer would begin at a candidate, and whether that is too late.
func (w *Snapshot) predict(req *Request, c *Candidate, forecast *Forecast, holding time.Duration) {
	factor := forecast.Factor(c.Upstream.ID)
	own := factor * forecast.Reading(c.read)
	ahead := factor * forecast.perToken * float64(c.Prefill)
	if w.Room == nil {
		// In a place of its own a request waits for no slot.
		ahead += slotWait(c.InFlight, c.Upstream.Slots, holding)
	}
	expected := waitTime{queued: ahead, own: own}
	c.TimeToFirstToken = expected.total()
	c.Late = expected.tooLate(req, req.contendedIn(w.Region), forecast)
}

// meanHolding returns the mean time for which requests occupy a slot of the own region's engines; zero if it
// is not known. It stands for those of other regions.
func (w *Snapshot) meanHolding(service string) time.Duration {
	total, known := time.Duration(0), time.Duration(0)
	for _, upstream := range w.regional(service) {
		if holding := w.Local.Load(upstream.ID).Holding; holding > 0 {
			total += holding
			known++
		}
	}
	return total / max(1, known)
}

// remoteWait returns how long a request would wait in another region.
func (w *Snapshot) remoteWait(req *Request, remote *RemoteRegion, forecast *Forecast) waitTime {
	prefill := float64(remote.Prefill) / float64(remote.Upstreams)
	uncached := float64(req.PromptTokens) - w.remoteCached(req, remote)
	return waitTime{
		queued: slotWait(remote.InFlight, remote.Slots, w.meanHolding(req.Service.Name)) + forecast.perToken*prefill,
		own:    inMilliseconds(regionRoundTrip) + forecast.Reading(uncached),
	}
}

// timelyRegion returns the cheapest region where the answer begins in time, and earlier
// than here by more than the mean prediction error; nil if there is none.
func (w *Snapshot) timelyRegion(req *Request, here *Candidate, regions []RemoteRegion) *RemoteRegion {
	var best *RemoteRegion
	forecast := w.Estimates.Forecast(req.Service.Name, w.Now)
	for i := range regions {
		remote := &regions[i]
		there := w.remoteWait(req, remote, &forecast)
		if there.tooLate(req, req.contendedIn(remote.Region), &forecast) || there.total()+milliseconds(forecast.meanError) > here.TimeToFirstToken {
			continue
		}
		if best == nil || w.remoteCost(req, remote) < w.remoteCost(req, best) {
			best = remote
		}
	}
	return best
}

// RegionKey is the key of a region's backoff for a service's requests of one priority. A
// region that refused such a request for lack of capacity backs off like an upstream: load
// reports are up to a second old, and a request sent there in vain loses 120 ms.
func RegionKey(region string, req *Request) string {
	return region + "/" + req.Service.Name + "/" + strconv.Itoa(req.Route.Priority)
}

// better reports whether c is preferred over best: one that answers in time over one that does not, then
// the cheaper one, at random if they are equal.
func (w *Snapshot) better(c, best *Candidate) bool {
	if c.Late != best.Late {
		return best.Late
	}
	return c.Cost < best.Cost || (c.Cost == best.Cost && w.Random&1 == 0)
}
