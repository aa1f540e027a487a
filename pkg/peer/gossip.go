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
	"github.com/lilacweir/lilacweir/pkg/freshness"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/warmth"
)

// Options of a Gossip.
type Options struct {
	// Self is this instance; Report returns its current report.
	Self   fleet.Instance
	Report func() Report
	// Placed receives other instances' placements; nil if they are not needed.
	Placed func(placement Placement, at time.Time)
	// Evidence receives other instances' observations of requests that may crash upstreams; nil
	// if they are not needed. It must not call the Gossip.
	Evidence func(observations []quarantine.Observation)
	// Limits returns what upstreams advertise, as known to this instance, LearnLimits receives what
	// another instance of the region knows; nil if they are not needed.
	Limits      LimitSource
	LearnLimits func(limits []limit.ToldLimit, source string)
	// Departures returns the upstreams that have announced that they leave, LearnDepartures
	// receives those that another instance reports; nil if they are not needed.
	Departures      func() []string
	LearnDepartures func(upstreams []string, source string)
	// Warmth returns what this instance knows of upstreams by their own answers to queries; direct is true if
	// it is told to all that need it without a hub. LearnWarmth receives what another instance of the region
	// tells. asked is the time at which that one was asked, zero if it told unasked. Both are nil if they are not
	// needed.
	Warmth      func(direct bool) []warmth.ToldState
	LearnWarmth func(told []warmth.ToldState, asked time.Time)
	// Usage receives the remote usage of limited callers; nil if it is not needed.
	Usage UsageListener
	Fleet *board.Section[fleet.View]
	// Store is the local replica of the platform's store.
	Store  *mirror.Mirror
	Client *control.Clients
	// Copies transfers snapshots of the store, which may be large; Client makes all other calls.
	Copies *control.Clients
	Clock  clock.Clock
	// Suspended returns for how long the machine has been suspended; clock.Suspended if it is nil.
	Suspended func() time.Duration
	Log       zerolog.Logger
}

// UsageListener receives the usage of limited callers that a source, an instance or a failure
// domain, has counted since it started counting.
type UsageListener interface {
	AddRemoteUsage(source string, start uint64, used []quota.Usage)
}

// LimitSource returns what upstreams advertise: what is to be published now, and all that an instance
// needs that has just started.
type LimitSource interface {
	ToPublish() []limit.ToldLimit
	ToIntroduce() []limit.ToldLimit
}

// Times and sizes of the exchange.
const (
	// roundInterval is the time between exchanges. The first token of an answer takes 0.3 s, so
	// that reports later than that describe little of the current load.
	roundInterval = 100 * time.Millisecond
	// smallDomain is the largest number of instances of a domain that report to each other. In
	// larger domains all report to the hub.
	smallDomain = 5
	// minUrgentInterval is the minimum time between requested rounds.
	minUrgentInterval = 20 * time.Millisecond
	// crossRegionInterval is the minimum time between a hub's requests to domains of other
	// regions. Traffic between regions is expensive, and the data needed from there changes
	// slowly.
	crossRegionInterval = 600 * time.Millisecond
	// sameRegionTimeout and crossRegionTimeout bound an exchange within a region and between
	// regions: the round trips of a connection and a call, and some processing.
	sameRegionTimeout  = 300 * time.Millisecond
	crossRegionTimeout = 600 * time.Millisecond
	// copyTimeout bounds the transfer of changes in the store: a large configuration over a slow
	// link that others use at the same time.
	copyTimeout = 2 * time.Second
	// followAfterFailure is the time for which an instance follows the store itself after a copy
	// failed.
	followAfterFailure = 5 * time.Second
	// avoidDuration is the time for which an instance that did not answer is not asked again.
	avoidDuration = time.Second
	// forgetAfter is the time after which an instance without reports is dropped.
	forgetAfter = 30 * time.Second
	// watchers is the number of instances of a domain that follow the store, so that a second
	// one takes over without a gap when the first crashes.
	watchers = 2
)

// Gossip exchanges reports. It is safe for concurrent use.
type Gossip struct {
	options Options
	view    board.Section[View]
	mu      sync.Mutex
	// reports holds the own domain's reports, digests those of the other domains.
	reports map[string]*received[Report]
	digests map[string]*received[Digest]
	// otherRegionAt is the time of the last digest from another region; zero if there was none.
	otherRegionAt time.Time
	// confirmed derives from the others' reports how old the local replica of the store is.
	confirmed freshness.Tracker
	// lag detects that the store answers others and not this instance.
	lag freshness.Lag
	// suspension detects that the machine was suspended since the last round.
	suspension freshness.Suspension
	// sums is the load of the other instances of the own region, as the hub reported it; nil
	// until the first report.
	sums *received[[]Load]
	// ownRoster is the roster of the own domain, as its hub reported it.
	ownRoster Digest
	// lastAskedAt is the time of each instance's last request in a large domain. A reply
	// contains the digests received since. In a region of two domains, with rounds of 0.1 s,
	// most digests of other regions stay the same for six rounds.
	lastAskedAt map[string]time.Time
	// placementLog holds the recent placements that askers may not know yet.
	placementLog *placementLog
	// evidence holds observations of requests that may crash upstreams.
	evidence *evidence
	// reachable is the newest list of the instances that can be reached.
	reachable reachable
	// totals is the region's load as a hub reports it; nil until the first request.
	totals *totals
	// newestDictionary is the dictionary of the newest view of the fleet.
	newestDictionary atomic.Pointer[dictionary]
	// addresses holds the instances that were registered, with their addresses.
	addresses map[string]fleet.Instance
	// replicaOffers holds the peers that offered a snapshot of the store.
	replicaOffers map[string]*received[replicaOffer]
	// requestedRetained holds the fingerprint of each instance's retained entries when they were
	// last requested.
	requestedRetained map[string]uint64
	// avoidedUntil holds the instances that did not answer and the times until which they are
	// not asked.
	avoidedUntil map[string]time.Time
	// noCopyUntil holds the instances of which a copy failed and the times until which they are not
	// asked for another.
	noCopyUntil map[string]time.Time
	// followUntil is the time until which the store is followed because a copy failed.
	followUntil time.Time
	// urgent holds one value while an early round is requested.
	urgent chan struct{}
	// copies has connections of its own so that a large copy does not delay reports.
	copies  *control.Clients
	packer  packer
	copying atomic.Bool
	// watching is the reason for which this instance followed the store in the last round.
	watching watchReason
	// wasBehind is true if it was behind then.
	wasBehind bool
	// used sums the usage of limited callers in the own domain.
	used *quota.Sums
	// receivesAllReports is true while this instance receives reports directly from every
	// instance of its domain, as the hub or as a member of a small domain.
	receivesAllReports atomic.Bool
	// remoteRoundWanted is true after a request from a domain that is not reachable yet. That
	// domain can be asked at once.
	remoteRoundWanted atomic.Bool
}

// replicaOffer is an instance that has a snapshot of the store and offers it.
type replicaOffer struct {
	instance fleet.Instance
	// store is the position of its snapshot.
	store mirror.Position
}

// received is a value with the time at which it was true, by this process's clock.
type received[T any] struct {
	value T
	at    time.Time
	// receivedAt is the time of arrival, where it is needed.
	receivedAt time.Time
}

// New returns a Gossip without knowledge of other instances.
func New(options Options) *Gossip {
	if options.Suspended == nil {
		options.Suspended = clock.Suspended
	}
	return &Gossip{
		suspension:        freshness.SuspensionFrom(options.Suspended()),
		options:           options,
		reports:           make(map[string]*received[Report]),
		digests:           make(map[string]*received[Digest]),
		addresses:         make(map[string]fleet.Instance),
		replicaOffers:     make(map[string]*received[replicaOffer]),
		requestedRetained: make(map[string]uint64),
		avoidedUntil:      make(map[string]time.Time),
		noCopyUntil:       make(map[string]time.Time),
		urgent:            make(chan struct{}, 1),
		placementLog:      newPlacementLog(),
		evidence:          newEvidence(),
		lastAskedAt:       make(map[string]time.Time),
		copies:            options.Copies,
		used:              quota.NewSums(),
	}
}

// View returns the section that holds the state of the other instances.
func (g *Gossip) View() *board.Section[View] { return &g.view }

// RequestRound requests an exchange within the domain before the next round is due, because this
// instance has just sent an upstream so much load that the others would choose differently. It
// never blocks.
func (g *Gossip) RequestRound() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// Run exchanges until ctx ends. No copy is running when it returns, so the caller can then close
// the connections that copies use.
func (g *Gossip) Run(ctx context.Context) {
	var copies sync.WaitGroup
	defer copies.Wait()
	var due time.Time
	// hadPeers is true after the first round with known instances.
	hadPeers := false
	var crossRegionDue time.Time
	for ctx.Err() == nil {
		now, suspended := g.options.Clock.Now(), g.options.Suspended()
		early := now.Before(due)
		knowsFleet := g.options.Fleet.Load() != nil
		first := !hadPeers && knowsFleet
		if early && !first && !g.waitUrgent(ctx, due.Sub(now)) {
			continue
		}
		hadPeers = hadPeers || first
		if !early {
			due = now.Add(roundInterval)
		}
		g.receivesAllReports.Store(!g.usesHub() || g.hub() == g.options.Self.Name)
		g.exchangeWithinDomain(ctx)
		if knowsFleet && g.options.Store.Unreplayed() && g.hasSourceNear() {
			g.startCatchUp(ctx, &copies, true)
		}
		if regions := g.remoteRoundWanted.Swap(false) || g.HasUnreachableDomain(); (regions || !early) && g.hub() == g.options.Self.Name {
			regions = regions || !now.Before(crossRegionDue)
			if regions {
				crossRegionDue = now.Add(crossRegionInterval)
			}
			g.exchangeWithDomains(ctx, regions)
		}
		g.markAwake(suspended)
		g.publish()
		g.logWatching()
		g.startCatchUp(ctx, &copies, knowsFleet)
	}
}

// markAwake records that the others' reports were heard in a round that began at a time, given by
// Options.Suspended.
func (g *Gossip) markAwake(suspended time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspension.Mark(suspended)
}

// HasUnreachableDomain reports whether a registered domain has no current digest. Each round
// checks it: an instance that starts in a region without the store learns the other instances
// after its first rounds, and waiting up to 0.6 s more for the next cross-region round failed
// half of the requests meanwhile because no usable region was known.
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

// waitUrgent waits until the next round is due, and reports whether one should run earlier
// because it was requested or because the fleet became known.
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
