// Package steer decides which discovered upstream gets a request of a declared route, or which
// instances may serve it: neighbours, or those of another region.
//
// A decision is a pure function of snapshots, local counts, a clock and a random number: it
// does no I/O and does not block.
package steer

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/peer"
)

// Segment is one segment of a prompt. A segment is cached for a request only if all
// segments before it are cached too.
type Segment struct {
	ID     string
	Tokens int
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Route   *httproute.Route
	Service *httproute.Service
	// Segments are the prompt's segments in order; the last belongs to the request or its
	// session alone.
	Segments []Segment
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// Contended is true while more urgent requests of the service find no capacity in time.
	Contended bool
	// Tried names the upstreams and instances that must not be chosen again.
	Tried []string
	// Ahead is the number of waiting requests that get places first, if room is bounded.
	Ahead int
	// Software is the only software version that may serve the request, since it began the stream
	// that goes on; nil if any may.
	Software *string
	// LastResort is true if nothing else serves the request: it may then use upstreams that
	// otherwise get none of its kind, see Snapshot.fits.
	LastResort bool
}

// Local provides this instance's own load at an upstream.
type Local interface {
	Load(upstream string) limit.Load
}

// Snapshot is the state that a decision reads. Each decision has its own.
type Snapshot struct {
	Region string
	Fleet  *fleet.View
	Peers  *peer.View
	Local  Local
	// Admits reports whether an upstream that is or may be cold can take one more request
	// now.
	Admits func(u *fleet.Upstream, service *httproute.Service) bool
	// Named returns the rate limit that an upstream advertises, and LimitWait how long this
	// instance must not send to it because of that limit. Both are nil if there are no
	// limits.
	Named     func(upstream string) limit.Named
	LimitWait func(u *fleet.Upstream) time.Duration
	// Room returns how many requests this instance may have at an upstream, and how many more it
	// may send now. It is nil if that is not bounded.
	Room func(u *fleet.Upstream) (places, free int)
	// PathLost reports whether this instance can make no connection to an upstream; nil if it
	// can to all.
	PathLost func(upstream string) bool
	// HopRefused reports whether an instance has refused a request for a service lately because
	// it reaches no upstream; nil if none has.
	HopRefused func(instance, service string) bool
	// Leaving reports whether an upstream has announced that it is leaving; nil if none
	// has.
	Leaving func(upstream string) bool
	// Recent records where prompt segments were sent recently, CallTimes how long plain
	// calls take, Estimates how long engines take to begin an answer.
	Recent    *RecentPlacements
	CallTimes *CallTimes
	Estimates *Estimator
	// Lateness is the share of answers that begin late; nil if it is not measured.
	Lateness *Lateness
	// Acceptance is the share of forwarded requests that each region accepts, by RegionKey; nil if regions
	// back off after each refusal.
	Acceptance *limit.Acceptance
	// Flow measures what this instance sends.
	Flow   *Flow
	Now    time.Time
	Random uint64
	// prefixRegion caches the last result of favouriteRegion.
	prefixRegion prefixRegion
}

// Weights of a candidate's cost, in prompt tokens that an engine would have to read.
const (
	// tokensPerRequest is the cost of a running request to those that run beside it: its
	// share of each step of the batch.
	tokensPerRequest = 15
	// queuedPenalty is added for each request beyond the slots, which waits until a running
	// one ends. It is less than what an engine reads meanwhile, so that a short queue does
	// not drive prompts away from the upstreams that cache their segments.
	queuedPenalty = 500
	// backlogWeight is the cost of an unread token at an upstream. It is below 1 because
	// prompts count in full until their answer begins although they are half read on
	// average, and because the reports are old.
	backlogWeight = 0.3
	// plainJitter is the largest relative random increase of the load of a plain service's
	// upstream: reports are up to a gossip round old, and instances with the same reports
	// would all choose the same upstream.
	plainJitter = 0.5
	// engineJitter is the largest random cost relative to the tokens that others have sent
	// unreported; the average is half of that.
	engineJitter = 5.0
	// affinity is the share of a shared segment that counts as cached at the upstream to
	// which it is hashed, if no placement of it is known.
	affinity = 0.75
	// remoteAffinity is the same for segments that are collected in another region: little,
	// but enough for those that stay here to meet at one upstream.
	remoteAffinity = 0.15
	// copyCost is the cost of a token that is copied from an upstream known to cache it,
	// relative to one that is read. The transfer takes a third of the time of reading (164
	// KB over 260 Gbit/s). The rest is for copies that fail, because the holder has not
	// read the segment yet or has dropped it, and for the cache space that a further copy
	// takes from other segments.
	copyCost = 0.6
	// cachedWeight raises the cost of reading a prompt again, which also evicts what other
	// requests would have found in the cache.
	cachedWeight = 1.5
)

// Candidate is an upstream with the load and cost that the request would meet there.
type Candidate struct {
	Upstream *fleet.Upstream
	// Cost orders candidates; lower is better. For engines it is in prompt tokens.
	Cost float64
	// InFlight and Prefill are the work of all instances there.
	InFlight, Prefill int
	// Uncached estimates the prompt tokens that the upstream would have to read.
	Uncached int
	// read is the prompt tokens that it would have to read, or copy in the time of so many.
	read float64
	// TimeToFirstToken is, for engines, the predicted time until the answer begins; Late is true if
	// that is too late for the route's target.
	TimeToFirstToken time.Duration
	Late             bool
	// Source is the upstream from which it should copy the cached segments of the prompt;
	// nil if no upstream is known to cache more.
	Source *fleet.Upstream
}

// Full reports whether every slot is taken.
func (c *Candidate) Full() bool { return c.InFlight >= c.Upstream.Slots }

// Survey is the state of the own region's upstreams for one request.
type Survey struct {
	// Best is the cheapest candidate; its Upstream is nil when there is none.
	Best Candidate
	// Known counts the upstreams of the service in the region and Usable those that may get
	// work. Slots, InFlight and Prefill are sums over the usable ones.
	Known, Usable, Slots, InFlight, Prefill int
	// Cold counts the upstreams skipped because they are cold. BackingOff counts those
	// skipped because they failed or rejected a request recently, or requested a backoff;
	// BackoffWait is the shortest time until one of the latter gets a request.
	Cold, BackingOff int
	BackoffWait      time.Duration
	// Unreachable counts the upstreams skipped because this instance can make no connection
	// to them.
	Unreachable int
	// Unresponsive counts the upstreams skipped because they deliver no data.
	Unresponsive int
	// Limited counts the upstreams skipped because of the limit that they advertise,
	// LimitWait is the shortest time until one of them may get a request.
	Limited   int
	LimitWait time.Duration
	// Crowded counts the upstreams skipped because this instance has no free place there. Places and
	// Free are sums of its places. PlaceWait is the expected time until the request would get one, and
	// PlaceWaitInTime the longest one with which its answer is in time, zero if its route has no target.
	Crowded, Places, Free      int
	PlaceWait, PlaceWaitInTime time.Duration
	// meanHolding is the mean time for which requests hold those places.
	meanHolding time.Duration
}

// usable reports whether an upstream may get new work. Its own announcement that it is
// leaving overrides the store, which may be unreachable or behind.
func (w *Snapshot) usable(u *fleet.Upstream) bool {
	return w.Fleet.Usable(u) && (w.Leaving == nil || !w.Leaving(u.ID))
}

// fits reports whether an upstream may serve the request by its software version and state. A
// stream that goes on needs the version that began it, as a last resort at an upstream that has just
// begun to leave. New streams avoid a version that is new to the service, unless there is no other:
// not all instances know it yet.
func (w *Snapshot) fits(req *Request, u *fleet.Upstream) bool {
	if req.Software != nil {
		return u.Software == *req.Software && (w.usable(u) || (req.LastResort && w.finishes(u)))
	}
	return w.usable(u) && (req.LastResort || req.Route.Kind != httproute.Streaming || w.Fleet.Settled(u, w.Now))
}

// finishes reports whether an upstream that leaves may still get streams that began at its version.
// Once it has announced its leaving itself it may get nothing.
func (w *Snapshot) finishes(u *fleet.Upstream) bool {
	return w.Fleet.Finishes(u, w.Now) && (w.Leaving == nil || !w.Leaving(u.ID))
}

// HasVersion reports whether an upstream of any region can go on with the stream, now or once it
// accepts requests again.
func (w *Snapshot) HasVersion(req *Request) bool {
	for _, upstream := range w.Fleet.Service(req.Service.Name) {
		if upstream.Software == *req.Software && req.Route.PermittedIn(upstream.Region) && (w.usable(upstream) || w.finishes(upstream)) {
			return true
		}
	}
	return false
}

// SurveyRegion returns the state of the own region's upstreams.
func (w *Snapshot) SurveyRegion(req *Request) Survey {
	var survey Survey
	upstreams := w.regional(req.Service.Name)
	shared := w.locatePrefix(req, upstreams)
	forecast := w.Estimates.Forecast(req.Service.Name, w.Now)
	unseen := w.unreportedTokens(req.Service.Name, len(upstreams))
	others, mean := w.reported(upstreams)
	_, age := w.Peers.RegionPeers(w.Now)
	for i, upstream := range upstreams {
		survey.Known++
		if !w.fits(req, upstream) {
			continue
		}
		own := w.Local.Load(upstream.ID)
		c := Candidate{Upstream: upstream, InFlight: own.InFlight + others[i].InFlight, Prefill: own.Prefill + others[i].Prefill}
		survey.Usable++
		survey.Slots += w.slots(upstream, req.Service)
		survey.InFlight += c.InFlight
		survey.Prefill += c.Prefill
		if !survey.usable(w, req, upstream, &own) {
			continue
		}
		if req.Service.Engine == nil {
			// The call itself counts, so that idle upstreams are chosen at random as well.
			load := 1 + float64(own.InFlight) + expectedLoad(float64(others[i].InFlight), mean, age, w.CallTimes.Of(req.Service.Name))
			c.Cost = load*(1+plainJitter*w.fraction(upstream.ID)) + unseenCalls(mean, age, w.CallTimes.Of(req.Service.Name))*w.fraction(upstream.ID)
		} else {
			w.cost(req, &c, &shared)
			c.Cost += engineJitter * backlogWeight * unseen * w.fraction(upstream.ID)
			w.predict(req, &c, &forecast, own.Holding)
		}
		if survey.Best.Upstream == nil || w.better(&c, &survey.Best) {
			survey.Best = c
		}
	}
	if w.Room != nil {
		survey.queue(w, req)
	}
	return survey
}

// queue leaves the free places to the requests that have waited for them longer, and estimates the wait
// for one.
func (s *Survey) queue(w *Snapshot, req *Request) {
	if s.Best.Upstream != nil && s.Free <= req.Ahead {
		s.Best = Candidate{}
		s.Crowded++
	}
	if s.Best.Upstream == nil && s.Places > 0 {
		holding := w.holding(req.Service, s.meanHolding)
		s.PlaceWait = time.Duration(float64(holding) * float64(max(0, req.Ahead+1-s.Free)) / float64(s.Places))
		s.PlaceWaitInTime = w.longestWait(req, holding)
	}
}

// usable reports whether the upstream may be considered, and counts the reason if not.
func (s *Survey) usable(w *Snapshot, req *Request, upstream *fleet.Upstream, own *limit.Load) bool {
	switch {
	case w.pathLost(upstream):
		s.Unreachable++
	case own.Unresponsive:
		s.Unresponsive++
	case own.Ejected:
		s.BackingOff++
	case own.Backoff > 0:
		s.BackoffWait = shortest(s.BackoffWait, own.RequestedBackoff)
		s.BackingOff++
	case tried(req, upstream.ID):
	case !w.Admits(upstream, req.Service):
		s.Cold++
	case w.LimitWait != nil && s.limited(w.LimitWait(upstream)):
	case w.Room != nil && s.crowded(w, upstream, own):
	default:
		return true
	}
	return false
}

func (w *Snapshot) pathLost(u *fleet.Upstream) bool { return w.PathLost != nil && w.PathLost(u.ID) }

// limited reports whether an upstream's advertised limit forbids sending to it now, and
// counts it if so.
func (s *Survey) limited(wait time.Duration) bool {
	if wait == 0 {
		return false
	}
	s.LimitWait = shortest(s.LimitWait, wait)
	s.Limited++
	return true
}

// crowded reports whether this instance has no free place at an upstream, and counts its places.
func (s *Survey) crowded(w *Snapshot, upstream *fleet.Upstream, own *limit.Load) bool {
	places, free := w.Room(upstream)
	if own.Holding > 0 && places > 0 {
		s.meanHolding += (own.Holding - s.meanHolding) * time.Duration(places) / time.Duration(s.Places+places)
	}
	s.Places += places
	s.Free += free
	if free == 0 {
		s.Crowded++
	}
	return free == 0
}

// Wait returns the shortest time until an upstream that requested a backoff, or whose limit
// is used up, may get a request; zero if there is none.
func (s *Survey) Wait() time.Duration { return shortest(s.BackoffWait, s.LimitWait) }

// shortest returns the shorter of two times; zero means that there is none.
func shortest(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// slots returns how many requests an upstream runs at once, within the limit that it
// advertises.
func (w *Snapshot) slots(upstream *fleet.Upstream, service *httproute.Service) int {
	if w.Named == nil {
		return upstream.Slots
	}
	return w.Named(upstream.ID).Slots(upstream.Slots, w.holding(service, 0))
}

// holding returns the time for which a request of a service occupies a slot, measured if it is known.
func (w *Snapshot) holding(service *httproute.Service, measured time.Duration) time.Duration {
	switch {
	case measured > 0:
		return measured
	case service.Engine == nil:
		return w.CallTimes.Of(service.Name)
	default:
		return defaultHolding
	}
}

// regional returns the service's upstreams in the own region.
func (w *Snapshot) regional(service string) []*fleet.Upstream {
	all := w.Fleet.Service(service)
	kept := make([]*fleet.Upstream, 0, len(all))
	for _, upstream := range all {
		if upstream.Region == w.Region {
			kept = append(kept, upstream)
		}
	}
	return kept
}

// unreportedTokens returns how many prompt tokens the others have sent to an engine of the
// region, on average, since their last reports. Where they went is not known: the same
// reports make all instances choose alike. A random cost in proportion to the result
// spreads their choices.
func (w *Snapshot) unreportedTokens(service string, engines int) float64 {
	if engines == 0 {
		return 0
	}
	others, age := w.Peers.RegionPeers(w.Now)
	return w.Flow.Of(service, w.Now) * float64(others) / float64(engines) * age.Seconds()
}

// fraction returns a random number from 0 to 1 for one upstream and this decision.
func (w *Snapshot) fraction(upstream string) float64 {
	return float64(member.Key("spread", upstream)*(w.Random|1)>>11) / (1 << 53)
}

func tried(req *Request, id string) bool {
	for _, name := range req.Tried {
		if name == id {
			return true
		}
	}
	return false
}

// reported returns the reported work of other instances at the upstreams, and the mean of
// their requests at one.
func (w *Snapshot) reported(upstreams []*fleet.Upstream) (others []peer.Load, mean float64) {
	others = make([]peer.Load, len(upstreams))
	for i, upstream := range upstreams {
		others[i] = w.Peers.Upstream(upstream.ID)
	}
	return others, meanInFlight(others)
}

// cost sets what the request would cost at an engine.
func (w *Snapshot) cost(req *Request, c *Candidate, shared *prefixLocation) {
	beyond := max(0, c.InFlight+1-c.Upstream.Slots)
	c.Uncached = max(0, req.PromptTokens-shared.held(c.Upstream))
	read := float64(c.Uncached)
	// Copies from another region do not lower the cost: all engines of this one would look alike, and each
	// would copy the segments.
	if c.Source = shared.source(c.Upstream); c.Source != nil && shared.known() {
		read -= (1 - copyCost) * float64(shared.tokens)
	}
	c.read = read
	c.Cost = backlogWeight*float64(c.Prefill) + cachedWeight*read +
		tokensPerRequest*float64(c.InFlight) + queuedPenalty*float64(beyond)
}
