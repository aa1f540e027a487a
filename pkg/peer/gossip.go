package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
	"github.com/lilacweir/lilacweir/pkg/quota"
)

// Options of a Gossip.
type Options struct {
	// Self is this instance; Report is what it says of itself now.
	Self   fleet.Instance
	Report func() Report
	// Placed is told of other instances' placements; nil: they are not needed.
	Placed func(placement Placement, at time.Time)
	// Evidence is told what other instances saw of requests that may end upstreams; nil: it
	// is not needed. It must not call the Gossip.
	Evidence func(seen []quarantine.Observation)
	// Limits is what this instance tells of the limits of upstreams, LearnLimits is told what
	// others of the region tell; nil: they are not needed.
	Limits      LimitSource
	LearnLimits func(told []limit.ToldLimit)
	// Departures is what this instance tells of upstreams that have said that they leave,
	// LearnDepartures is told what another one tells; nil: they are not needed.
	Departures      func() []string
	LearnDepartures func(upstreams []string, sender string)
	// Usage learns what limited callers have used elsewhere; nil: it is not needed.
	Usage UsageListener
	Fleet *board.Section[fleet.View]
	// Store is this instance's copy of the platform's store.
	Store  *mirror.Mirror
	Client *control.Clients
	// Copies is for copies of the store, which may be large; Client is for the rest.
	Copies *control.Clients
	Clock  clock.Clock
	Log    zerolog.Logger
}

// UsageListener learns what a teller, an instance or a failure domain, has counted of
// limited callers since it began to count.
type UsageListener interface {
	AddRemoteUsage(sender string, start uint64, used []quota.Usage)
}

// LimitTeller tells which limits upstreams name.
type LimitSource interface{ Told() []limit.ToldLimit }

// Times and sizes of the exchange.
const (
	// round passes between exchanges. An answer takes 0.3 s to begin, and what is told
	// later than that says little of it.
	roundInterval = 100 * time.Millisecond
	// smallDomain is up to how many instances of a domain report to each other; in
	// larger ones all report to the hub.
	smallDomain = 5
	// urgentPause keeps rounds apart that were asked for.
	minUrgentInterval = 20 * time.Millisecond
	// farPause is at least between two times that a hub asks the domains of other regions;
	// bytes between regions are dear, and what is asked for there changes slowly.
	crossRegionInterval = 600 * time.Millisecond
	// nearTimeout and farTimeout bound an exchange inside a region, and between regions:
	// a connection's and a call's round trip, and some work.
	sameRegionTimeout  = 300 * time.Millisecond
	crossRegionTimeout = 600 * time.Millisecond
	// copyTimeout bounds the copying of what changed in the store: a large configuration
	// over a slow link, beside others that copy it.
	copyTimeout = 2 * time.Second
	// followAfter is for how long an instance follows the store itself after a copy failed.
	followAfterFailure = 5 * time.Second
	// avoidFor is for how long an instance that did not answer is not asked again.
	avoidDuration = time.Second
	// forgetAfter is when a silent instance is dropped.
	forgetAfter = 30 * time.Second
	// watchers is how many instances of a domain follow the store: a second takes over
	// without a gap when the first is gone.
	watchers = 2
)

// Gossip exchanges reports. It is safe for concurrent use.
type Gossip struct {
	options Options
	view    board.Section[View]
	mu      sync.Mutex
	// reports holds the own domain's, digests the other domains'.
	reports map[string]*received[Report]
	digests map[string]*received[Digest]
	// abroad is when another region was last heard of; zero: never.
	otherRegionAt time.Time
	// sums is the work of the others of the own region, as the hub told it; nil: never.
	sums *received[[]Load]
	// ownRoster is who the own domain holds, as its hub told it.
	ownRoster Digest
	// askedAt is when each instance of a large domain last asked: it is told of the digests
	// that were taken since. In a region of two domains and with rounds of 0.1 s most of
	// what other regions tell is the same in six rounds.
	lastAskedAt map[string]time.Time
	// news holds the placements that those who ask may not know yet.
	placementLog *placementLog
	// evidence holds what is told of requests that may end upstreams.
	evidence *evidence
	// reachable is the newest list of the instances that can be reached.
	reachable reachable
	// totals is what a hub tells of the region's work, nil before anyone asked.
	totals *totals
	// newestDictionary belongs to the newest view of the fleet.
	newestDictionary atomic.Pointer[dictionary]
	// addresses holds the instances that were registered, and where to reach them.
	addresses map[string]fleet.Instance
	// askers holds who said where to get a copy of the store.
	replicaOffers map[string]*received[replicaOffer]
	// askedFor holds what each instance held over when it was last asked for that.
	requestedRetained map[string]uint64
	// avoided holds the instances that did not answer, and until when.
	avoidedUntil map[string]time.Time
	// urgent holds one value while a round should come early.
	urgent chan struct{}
	// copies has connections of its own: a large copy must not hold up reports.
	copies *control.Clients
	packer packer
	// followUntil is until when, in Unix nanoseconds, the store is followed because a copy
	// failed.
	followUntil atomic.Int64
	copying     atomic.Bool
	// used adds up what limited callers use in the own domain.
	used *quota.Sums
	// leads is true while this instance hears each of its domain itself: it is the hub, or
	// the domain is small.
	receivesAllReports atomic.Bool
	// farWanted is true when an instance of a domain has asked that is not heard of yet: it
	// can be asked in turn at once.
	remoteRoundWanted atomic.Bool
}

// asker is an instance that has a copy of the store and offers it.
type replicaOffer struct {
	instance fleet.Instance
	// store is the position of its copy.
	store mirror.Position
}

// heard is something with the time at which it was true, by this process's clock.
type received[T any] struct {
	value T
	at    time.Time
	// taken is when this instance was told, where that matters.
	receivedAt time.Time
}

// New returns a Gossip that knows nobody.
func New(options Options) *Gossip {
	return &Gossip{
		options:           options,
		reports:           make(map[string]*received[Report]),
		digests:           make(map[string]*received[Digest]),
		addresses:         make(map[string]fleet.Instance),
		replicaOffers:     make(map[string]*received[replicaOffer]),
		requestedRetained: make(map[string]uint64),
		avoidedUntil:      make(map[string]time.Time),
		urgent:            make(chan struct{}, 1),
		placementLog:      newPlacementLog(),
		evidence:          newEvidence(),
		lastAskedAt:       make(map[string]time.Time),
		copies:            options.Copies,
		used:              quota.NewSums(),
	}
}

// View returns the section that holds what is known of the others.
func (g *Gossip) View() *board.Section[View] { return &g.view }

// RequestRound asks for an exchange inside the domain before the next round is due: this
// instance has just sent so much to an upstream that the others would choose
// differently if they knew. It never waits.
func (g *Gossip) RequestRound() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// Run exchanges until ctx ends. When it returns, no copy of its is under way any more: the
// connections that a copy uses are the caller's to close.
func (g *Gossip) Run(ctx context.Context) {
	var copies sync.WaitGroup
	defer copies.Wait()
	var due time.Time
	// met is true once there was somebody to ask.
	hadPeers := false
	var crossRegionDue time.Time
	for ctx.Err() == nil {
		now := g.options.Clock.Now()
		early := now.Before(due)
		first := !hadPeers && g.options.Fleet.Load() != nil
		if early && !first && !g.waitUrgent(ctx, due.Sub(now)) {
			continue
		}
		hadPeers = hadPeers || first
		if !early {
			due = now.Add(roundInterval)
		}
		g.receivesAllReports.Store(!g.usesHub() || g.hub() == g.options.Self.Name)
		g.exchangeWithinDomain(ctx)
		if regions := g.remoteRoundWanted.Swap(false) || g.HasUnreachableDomain(); (regions || !early) && g.hub() == g.options.Self.Name {
			regions = regions || !now.Before(crossRegionDue)
			if regions {
				crossRegionDue = now.Add(crossRegionInterval)
			}
			g.exchangeWithDomains(ctx, regions)
		}
		g.publish()
		g.startCatchUp(ctx, &copies)
	}
}

// HasUnreachableDomain says whether there is a registered domain that is not heard. It is asked in each
// round: an instance that begins far from the store is told where the others are after
// its first rounds, and a further 0.6 s until the next round for other regions cost half
// of the requests that came meanwhile for want of a region that might process them.
func (g *Gossip) HasUnreachableDomain() bool {
	others := g.registered()
	now := g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range others {
		domain := others[i].Domain
		if domain == g.options.Self.Domain {
			continue
		}
		if digest := g.digests[domain]; digest == nil || now.Sub(digest.at) > SilentAfter {
			return true
		}
	}
	return false
}

// waitUrgent waits until a round is due, and says whether one is wanted before: it was asked
// for, or there is somebody to ask for the first time.
func (g *Gossip) waitUrgent(ctx context.Context, left time.Duration) bool {
	timer := time.NewTimer(left)
	defer timer.Stop()
	last := g.options.Clock.Now()
	changed := g.options.Fleet.Changed()
	if g.options.Fleet.Load() != nil {
		changed = nil
	}
	select {
	case <-g.urgent:
		return clock.Sleep(ctx, minUrgentInterval-g.options.Clock.Now().Sub(last))
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
