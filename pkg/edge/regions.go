package edge

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/exchange"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/steer"
)

// regionAnswers is what a request met at the other instances that were asked to serve it.
type regionAnswers struct {
	// reached is true once one of them was connected to, and unreached once one was not.
	reached, unreached bool
	// full is true once one of them refused for lack of capacity, or a region was found to back off
	// after such a refusal. wait is the Retry-After that the last of them named.
	full bool
	wait time.Duration
}

// recordRegionAnswer records whether another instance refused for lack of capacity in its region.
// Unresponsive upstreams make a region back off as well, but do not lack capacity.
func (c *call) recordRegionAnswer(answer *exchange.Answer, retryAfter time.Duration) {
	if c.regionOverloaded && outcome.Reason(answer.Header.Get(header.Reason)) != outcome.ReasonUnresponsive {
		c.regions.full, c.regions.wait = true, retryAfter
	}
}

// regionsState is the state of the permitted regions for a request that no upstream can take.
type regionsState struct {
	// live is true if a live instance of one of them is known.
	live bool
	// backingOff names those with a live instance that get no such requests for a while, or only a share
	// of them, since some were refused for lack of capacity; backoff is the time until the first comes
	// back, zero if it gets a share.
	backingOff []string
	backoff    time.Duration
	// unresponsive is true if one of them refused lately because its upstreams are unresponsive.
	unresponsive bool
	// full is true if they refused for lack of capacity, now or lately.
	full bool
}

// permittedRegions returns the state of the regions that may process a request. An instance that
// serves a request of another one asks no other region.
func (j *job) permittedRegions(world *steer.Snapshot, query *steer.Request) regionsState {
	var state regionsState
	if j.forwarded || world.Peers == nil {
		return state
	}
	for i := range world.Peers.Others {
		known := &world.Peers.Others[i]
		region := known.Instance.Region
		if !known.Live(world.Now) || !j.route.PermittedIn(region) {
			continue
		}
		state.live = true
		if slices.Contains(state.backingOff, region) {
			continue
		}
		if refuses, backoff := world.RegionRefuses(query, region); refuses {
			if len(state.backingOff) == 0 || backoff < state.backoff {
				state.backoff = backoff
			}
			state.backingOff = append(state.backingOff, region)
		}
	}
	state.unresponsive = len(j.unresponsiveHops) > 0 || j.unresponsiveRegions.include(j.route, j.service.Name, world.Now)
	state.full = j.regions.full || (len(state.backingOff) > 0 && !state.unresponsive) || (j.roomless && !j.route.PermittedIn(world.Region))
	return state
}

// retryAfter returns when to retry a request that the permitted regions refused for lack of capacity.
// Callers wait for no more than a third of the time left to them.
func (s *regionsState) retryAfter(j *job) time.Duration {
	if !s.full {
		return 0
	}
	return min(max(s.backoff, j.regions.wait, j.roomlessWait), j.deadline.Sub(j.now())/3)
}
