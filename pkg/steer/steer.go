// Package steer decides which discovered upstream, or which other region, gets a
// request of a declared route.
//
// A decision is a pure function of snapshots, local counts, a clock and a random
// number: it does no input or output and waits for nothing.
package steer

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/peer"
)

// Segment is one part of a prompt. A part is cached for a request only where all parts
// before it are cached too.
type Segment struct {
	ID     string
	Tokens int
}

// Request is what a decision needs to know of a request.
type Request struct {
	Route   *httproute.Route
	Service *httproute.Service
	// Segments are the prompt's parts in order; the last belongs to the request or its
	// session alone.
	Segments []Segment
	// PromptTokens is the whole prompt.
	PromptTokens int
	// Contended is true while more urgent requests of the service find no room in time.
	Contended bool
	// Tried names the upstreams and instances that must not be chosen again.
	Tried []string
}

// Local is what this instance knows at first hand of an upstream.
type Local interface {
	Load(upstream string) limit.Load
}

// Snapshot is the snapshots that a decision reads. Each decision has its own.
type Snapshot struct {
	Region string
	Fleet  *fleet.View
	Peers  *peer.View
	Local  Local
	// Admits says whether an upstream may get one more request now, as far as it is, or
	// may be, cold.
	Admits func(u *fleet.Upstream, service *httproute.Service) bool
	// Named is the limit that an upstream names, and LimitWait how long this instance must not
	// send to it for that; nil: there are none.
	Named     func(upstream string) limit.Named
	LimitWait func(u *fleet.Upstream) time.Duration
	// Leaving says whether an upstream has said itself that it leaves; nil: none has.
	Leaving func(upstream string) bool
	// Recent is where prompt parts went lately, Pace how long plain calls take, Estimates
	// how long engines take to begin an answer.
	Recent    *Recent
	CallTimes *CallTimes
	Estimates *Estimator
	// Flow is what this instance sends.
	Flow *Flow
	Now  time.Time
	// Random is a random number.
	Random uint64
	// prefixRegion is the last answer of favouriteRegion.
	prefixRegion prefixRegion
}

// Weights of a candidate's cost, in prompt tokens that an engine would have to read.
const (
	// tokensPerRequest is what a running request costs those beside it: its share of
	// each step of the batch.
	tokensPerRequest = 15
	// queuedPenalty is added for each request beyond the slots: it waits until one of those
	// that run ends. It is below what an engine reads meanwhile, so that a short queue does
	// not drive prompts from the upstreams that hold their parts.
	queuedPenalty = 500
	// backlogWeight is what an unread token in hand at an upstream counts: they count whole
	// until their answer begins and are half read on the average, and what is known of them
	// is old.
	backlogWeight = 0.3
	// plainJitter is by how much the load of a plain service's upstream is taken to be
	// higher, at random: what is known of the others' work is up to a round old, and
	// instances that all believe the same would all send to the same upstream.
	plainJitter = 0.5
	// engineJitter is the largest random cost in units of what others have sent unseen; it is half
	// of that on the average.
	engineJitter = 5.0
	// affinity is the part of a shared prompt part that counts as cached at the
	// upstream to which it is hashed, when nothing is known of it.
	affinity = 0.75
	// remoteAffinity is the same for parts that are gathered in another region: little, but
	// enough for those that stay here to meet at one upstream.
	remoteAffinity = 0.15
	// copyCost is what a token costs that is to be copied from an upstream that is known to
	// hold it, in tokens that are read. The way itself takes a third of the time of reading
	// (164 KB over 260 Gbit/s); the rest stands for copies that come to nothing, as the
	// holder has not read the part yet or has dropped it, and for the room that a further
	// copy takes from other parts.
	copyCost = 0.6
	// cachedWeight raises what a second reading costs: it also drives out what other
	// requests would have found.
	cachedWeight = 1.5
)

// Candidate is an upstream with what the request would meet there.
type Candidate struct {
	Upstream *fleet.Upstream
	// Cost orders candidates; lower is better. For engines it is in prompt tokens.
	Cost float64
	// InFlight and Prefill are the work of all instances there.
	InFlight, Prefill int
	// Uncached estimates the prompt tokens that it would have to read.
	Uncached int
	// First predicts, for engines, after what time the answer begins; Late says that it
	// would be too late for the route's target.
	First time.Duration
	Late  bool
	// Source is the upstream from which it should copy what that one holds of the
	// prompt; nil when nobody is known to hold more.
	Source *fleet.Upstream
}

// Full says whether every slot is taken.
func (c *Candidate) Full() bool { return c.InFlight >= c.Upstream.Slots }

// Survey is what a look at the own region's upstreams found.
type Survey struct {
	// Best is the cheapest candidate; its Upstream is nil when there is none.
	Best Candidate
	// Known counts upstreams of the service in the region, Usable those that may get
	// work, Slots and InFlight add up over the usable ones.
	Known, Usable, Slots, InFlight, Prefill int
	// Cold counts those that were passed over because they are cold, Resting those that
	// were because they failed or rejected a request lately, or have asked for rest; RestWait
	// is the shortest time until one of the latter gets a request again.
	Cold, Resting int
	RestWait      time.Duration
	// Limited counts those that were passed over for the limit that they name, LimitWait is
	// the shortest time until one of them may get a request.
	Limited   int
	LimitWait time.Duration
}

// usable says whether an upstream may get new work. Its own word that it leaves counts whatever
// the store says, which may be away or behind.
func (w *Snapshot) usable(u *fleet.Upstream) bool {
	return w.Fleet.Usable(u) && (w.Leaving == nil || !w.Leaving(u.ID))
}

// SurveyRegion surveys the own region.
func (w *Snapshot) SurveyRegion(req *Request) Survey {
	var survey Survey
	upstreams := w.regional(req.Service.Name)
	shared := w.locatePrefix(req, upstreams)
	forecast := w.Estimates.Forecast(req.Service.Name, w.Now)
	unseen := w.unreportedTokens(req.Service.Name, len(upstreams))
	others, mean := w.reported(upstreams)
	_, age := w.Peers.Near(w.Now)
	for i, upstream := range upstreams {
		survey.Known++
		if !w.usable(upstream) {
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
			// The call itself counts: idle upstreams are chosen at random as well.
			load := 1 + float64(own.InFlight) + expectedLoad(float64(others[i].InFlight), mean, age, w.CallTimes.Of(req.Service.Name))
			c.Cost = load * (1 + plainJitter*w.fraction(upstream.ID))
		} else {
			w.cost(req, &c, &shared)
			c.Cost += engineJitter * backlogWeight * unseen * w.fraction(upstream.ID)
			w.predict(req, &c, &forecast, own.Holding)
		}
		if survey.Best.Upstream == nil || w.better(&c, &survey.Best) {
			survey.Best = c
		}
	}
	return survey
}

// usable says whether the upstream may be considered, and counts why not.
func (s *Survey) usable(w *Snapshot, req *Request, upstream *fleet.Upstream, own *limit.Load) bool {
	switch {
	case own.Ejected:
		s.Resting++
	case own.Backoff > 0:
		s.RestWait = shortest(s.RestWait, own.RequestedBackoff)
		s.Resting++
	case tried(req, upstream.ID):
	case !w.Admits(upstream, req.Service):
		s.Cold++
	case w.LimitWait != nil && s.limited(w.LimitWait(upstream)):
	default:
		return true
	}
	return false
}

// limited says whether an upstream's limit keeps this instance from sending to it, and counts
// it if so.
func (s *Survey) limited(wait time.Duration) bool {
	if wait == 0 {
		return false
	}
	s.LimitWait = shortest(s.LimitWait, wait)
	s.Limited++
	return true
}

// Wait is the shortest time until an upstream may get a request that wants nothing now, or takes no
// more by its limit; zero: there is none.
func (s *Survey) Wait() time.Duration { return shortest(s.RestWait, s.LimitWait) }

// shortest returns the shorter of two times of which zero means that there is none.
func shortest(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// slots is how many requests an upstream works on at once, as far as the limit that it names
// lets it.
func (w *Snapshot) slots(upstream *fleet.Upstream, service *httproute.Service) int {
	if w.Named == nil {
		return upstream.Slots
	}
	holding := defaultHolding
	if service.Engine == nil {
		holding = w.CallTimes.Of(service.Name)
	}
	return w.Named(upstream.ID).Slots(upstream.Slots, holding)
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

// unreportedTokens is how many prompt tokens the others have sent to an engine of the region, on the
// average, since they were last heard. Where they went is not known: the same news makes
// all of them choose alike. A random cost in proportion to it keeps them apart.
func (w *Snapshot) unreportedTokens(service string, engines int) float64 {
	if engines == 0 {
		return 0
	}
	others, age := w.Peers.Near(w.Now)
	return w.Flow.Of(service, w.Now) * float64(others) / float64(engines) * age.Seconds()
}

// fraction is a random number from 0 to 1 for one upstream and this decision.
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

// reported is the others' work at the upstreams, and their mean requests at one.
func (w *Snapshot) reported(upstreams []*fleet.Upstream) (others []peer.Load, mean float64) {
	others = make([]peer.Load, len(upstreams))
	for i, upstream := range upstreams {
		others[i] = w.Peers.Upstream(upstream.ID)
	}
	return others, meanInFlight(others)
}

// cost estimates what the request would cost at an engine.
func (w *Snapshot) cost(req *Request, c *Candidate, shared *prefixLocation) {
	beyond := max(0, c.InFlight+1-c.Upstream.Slots)
	c.Uncached = max(0, req.PromptTokens-shared.held(c.Upstream))
	read := float64(c.Uncached)
	if copied := shared.copied(c.Upstream); copied > 0 {
		c.Source = shared.holder
		if shared.known() {
			read -= (1 - copyCost) * float64(copied)
		}
	}
	c.Cost = backlogWeight*float64(c.Prefill) + cachedWeight*read +
		tokensPerRequest*float64(c.InFlight) + queuedPenalty*float64(beyond)
}
