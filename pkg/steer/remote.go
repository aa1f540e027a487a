package steer

import (
	"math"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/peer"
)

// RemoteRegion is another region with the load that a request would meet there.
type RemoteRegion struct {
	Region string
	// Peers are the live instances there, at least one.
	Peers []*peer.Known
	// Upstreams counts the usable upstreams, Slots is the sum of their slots.
	Upstreams, Slots int
	// InFlight and Prefill are the work of all instances there.
	InFlight, Prefill int
	// Yielded is true if the request is sent there to leave its slot to requests that are bound to the own
	// region.
	Yielded bool
	// excluded is true if the request may not be processed there, or the region refused
	// such a request recently.
	excluded bool
}

// Regions returns the other regions that may process the request and have a live instance
// and a usable upstream, sorted by name.
func (w *Snapshot) Regions(req *Request) []RemoteRegion {
	var regions []RemoteRegion
	for i := range w.peers() {
		known := &w.Peers.Others[i]
		region := known.Instance.Region
		if region == w.Region {
			continue
		}
		at := slices.IndexFunc(regions, func(a RemoteRegion) bool { return a.Region == region })
		if at < 0 {
			at = len(regions)
			regions = append(regions, RemoteRegion{Region: region, excluded: w.excluded(req, region), Peers: make([]*peer.Known, 0, len(w.Peers.Others)/2)})
		}
		if regions[at].excluded || !w.servesHops(req, known) {
			continue
		}
		regions[at].Peers = append(regions[at].Peers, known)
	}
	kept := regions[:0]
	for i := range regions {
		if len(regions[i].Peers) > 0 && w.measure(&regions[i], req) {
			kept = append(kept, regions[i])
		}
	}
	slices.SortFunc(kept, func(a, b RemoteRegion) int { return compareText(a.Region, b.Region) })
	return kept
}

// Neighbours returns the other instances of the own region that may serve the request.
func (w *Snapshot) Neighbours(req *Request) []*peer.Known {
	if w.excluded(req, w.Region) {
		return nil
	}
	var neighbours []*peer.Known
	for i := range w.peers() {
		if known := &w.Peers.Others[i]; known.Instance.Region == w.Region && w.servesHops(req, known) {
			neighbours = append(neighbours, known)
		}
	}
	return neighbours
}

// servesHops reports whether another instance can serve the request, as far as is known.
func (w *Snapshot) servesHops(req *Request, known *peer.Known) bool {
	return !known.Leaving && known.Ready && known.Live(w.Now) && !tried(req, known.Instance.Name) &&
		known.Reaches(req.Service.Name) && (w.HopRefused == nil || !w.HopRefused(known.Instance.Name, req.Service.Name))
}

// excluded reports whether a request is not sent to a region, since it is not permitted there or the region
// has refused such requests lately. Requests that are bound to some regions still get the share that the
// region accepts, as they have no other.
func (w *Snapshot) excluded(req *Request, region string) bool {
	if !req.Route.PermittedIn(region) {
		return true
	}
	key := RegionKey(region, req)
	if w.Acceptance != nil && req.Route.Bound() {
		return w.fraction(key) >= w.Acceptance.Share(key, w.Now)
	}
	return w.Local.Load(key).Backoff > 0
}

// RegionRefuses reports whether a region has lately refused requests like this one, and how long it gets none
// for that.
func (w *Snapshot) RegionRefuses(req *Request, region string) (refuses bool, backoff time.Duration) {
	key := RegionKey(region, req)
	if w.Acceptance != nil && req.Route.Bound() {
		return w.Acceptance.Share(key, w.Now) < 1, 0
	}
	backoff = w.Local.Load(key).Backoff
	return backoff > 0, backoff
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (w *Snapshot) peers() []peer.Known {
	if w.Peers == nil {
		return nil
	}
	return w.Peers.Others
}

// measure sets a region's load; false if no upstream there may get work.
func (w *Snapshot) measure(remote *RemoteRegion, req *Request) bool {
	for _, upstream := range w.Fleet.Service(req.Service.Name) {
		if upstream.Region == remote.Region && w.fits(req, upstream) && !upstream.Cold(w.Now) {
			remote.Slots += upstream.Slots
			remote.Upstreams++
		}
	}
	load := w.Peers.Service(remote.Region, req.Service.Name)
	remote.InFlight, remote.Prefill = load.InFlight, load.Prefill
	return remote.Upstreams > 0 && remote.Slots > 0
}

// Parameters of forwarding to another region.
const (
	// roundTripTokens is the cost of the round trip to another region, in prompt tokens
	// that an engine reads meanwhile: 110 ms at about 40 tokens a millisecond.
	roundTripTokens = 4400
	// remoteMargin is how much cheaper, in prompt tokens, a remote engine must be, since
	// remote reports are older.
	remoteMargin = 1500
	// regionRoundTrip is the round trip time to another region.
	regionRoundTrip = 110 * time.Millisecond
	// minRemoteGain is how much sooner a plain service must answer in another region.
	minRemoteGain = 30 * time.Millisecond
	// localTargetShare is the share of the target below which a plain call gains nothing by
	// being forwarded.
	localTargetShare = 0.5
)

// Choose returns the region that is worth the round trip; nil if none is. Without a usable
// upstream here it returns the cheapest region.
func (w *Snapshot) Choose(req *Request, here Survey, regions []RemoteRegion) *RemoteRegion {
	var best *RemoteRegion
	lowest := math.Inf(1)
	for i := range regions {
		if cost := w.remoteCost(req, &regions[i]); cost < lowest {
			best, lowest = &regions[i], cost
		}
	}
	if best == nil {
		return nil
	}
	if here.Best.Upstream == nil {
		return w.chooseWithout(&here, best, regions)
	}
	if remote := w.yield(req, &here, regions); remote != nil {
		return remote
	}
	if here.Best.Late {
		return w.timelyRegion(req, &here.Best, regions)
	}
	if req.Service.Engine != nil {
		if lowest+remoteMargin < here.Best.Cost {
			return best
		}
		return nil
	}
	if remote := w.spill(req, &here, regions); remote != nil {
		return remote
	}
	meanTime := w.CallTimes.Of(req.Service.Name)
	local := callTime(meanTime, here.InFlight, here.Slots)
	if float64(local) < localTargetShare*float64(req.Route.TargetLatency) {
		return nil
	}
	if callTime(meanTime, best.InFlight, best.Slots)+regionRoundTrip+minRemoteGain < local {
		return best
	}
	return nil
}

// chooseWithout returns the region that gets a request for which there is no upstream here: the best
// one, or, if the upstreams here have no place now, one with room, unless a place here is near.
func (w *Snapshot) chooseWithout(here *Survey, best *RemoteRegion, regions []RemoteRegion) *RemoteRegion {
	if here.Crowded == 0 {
		return best
	}
	if here.Places > 0 && here.PlaceWait < regionRoundTrip {
		return nil
	}
	return w.drawRoom(regions)
}

// drawRoom draws one of the regions with room, weighted by it; nil if there is none.
func (w *Snapshot) drawRoom(regions []RemoteRegion) *RemoteRegion {
	rooms := make([]float64, len(regions))
	for i := range regions {
		rooms[i] = max(0, float64(regions[i].Slots-regions[i].InFlight))
	}
	return w.draw(regions, rooms)
}

// callTime returns how long a call of a plain service takes at the given load.
func callTime(meanTime time.Duration, inFlight, slots int) time.Duration {
	load := float64(inFlight+1) / float64(max(1, slots))
	return time.Duration(float64(meanTime) * max(1, load))
}

// remoteCost returns the request's cost in another region: for engines in prompt tokens, as
// in Candidate.Cost; for plain services requests in flight per slot.
func (w *Snapshot) remoteCost(req *Request, remote *RemoteRegion) float64 {
	if req.Service.Engine == nil {
		return float64(remote.InFlight) / float64(remote.Slots)
	}
	upstreams := float64(remote.Upstreams)
	beyond := max(0, float64(remote.InFlight+1-remote.Slots)) / upstreams
	uncached := float64(req.PromptTokens) - w.remoteCached(req, remote)
	return roundTripTokens + backlogWeight*float64(remote.Prefill)/upstreams + cachedWeight*uncached +
		tokensPerRequest*float64(remote.InFlight)/upstreams + queuedPenalty*beyond
}

// remoteCached estimates how many of the prompt's tokens are cached in the region.
func (w *Snapshot) remoteCached(req *Request, remote *RemoteRegion) float64 {
	shared := sharedSegment(req)
	if shared == nil {
		return 0
	}
	for _, holder := range w.Recent.Holders(shared.ID, w.Now) {
		if holder == remote.Region || w.Fleet.RegionOf(holder) == remote.Region {
			return float64(sharedTokens(req))
		}
	}
	if w.favouriteRegion(req, shared) == remote.Region {
		return affinity * float64(sharedTokens(req))
	}
	return 0
}

// RetryAfter returns after what time a request that found no place should be retried.
func RetryAfter(now, deadline time.Time) time.Duration {
	const usual = 300 * time.Millisecond
	if left := deadline.Sub(now) / 3; left > 0 && left < usual {
		return left
	}
	return usual
}
