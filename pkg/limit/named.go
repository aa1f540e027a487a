package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Named is what an upstream advertises about the requests that it accepts.
type Named struct {
	// PerSecond is the requests a second from all instances together.
	PerSecond float64
	// Limited is false if the upstream advertises no limit and accepts what it can.
	Limited bool
	// Brittle is true if the upstream crashes when it has to reject more than Tolerance requests
	// in a second for lack of room.
	Brittle   bool
	Tolerance int
}

// advertises reports whether the upstream advertises anything.
func (k Named) advertises() bool { return k.Limited || k.Brittle }

// ToldLimit is what an upstream advertises as published to other instances.
type ToldLimit struct {
	Upstream string
	Named    Named
	// Age is the time since the upstream advertised it, at the time of publishing.
	Age time.Duration
	// Rejected is true if the upstream is brittle and rejected a request RejectionAge ago.
	Rejected     bool
	RejectionAge time.Duration
}

// Parameters of the shares of an advertised limit.
const (
	// minShare, in requests a second, is the smallest share of a limit that an instance
	// gets. With smaller ones each instance could still accumulate one request, and all
	// instances together could send them in one burst.
	minShare = 1.0
	// minRate, in requests a second, is what an upstream gets that accepts less: without
	// any request no instance would learn when it accepts more.
	minRate = 0.25
	// burstWindow is the time for which an instance's share may be accumulated; at least
	// one request is.
	burstWindow = 500 * time.Millisecond
	// staleAfter is the time without an answer of an upstream after which instances without
	// a share probe it as well, and how long each one's turn lasts.
	staleAfter = 5 * time.Second
	// publishChangeFor is how long a change is published in each message. publishInterval
	// is the interval at which an unchanged limit is published, for the length of
	// publishWindow, a gossip round and a half.
	publishChangeFor = time.Second
	publishInterval  = 3 * time.Second
	publishWindow    = 150 * time.Millisecond
	// minNewer is by how much a report must be newer than the known one to replace it:
	// relayed reports get older by network delays that are not measured.
	minNewer = 50 * time.Millisecond
)

// Senders returns how many of a region's instances send to an upstream that accepts so many
// requests a second.
func Senders(perSecond float64, instances int) int {
	return min(max(1, int(perSecond/minShare)), max(1, instances))
}

// Part returns how many of an upstream's slots the instance at a place of the order may use, where the
// first senders have equal parts. The parts add up to the slots.
func Part(slots, senders, place int) int {
	if place < 0 || place >= senders {
		return 0
	}
	part := slots / senders
	if place < slots%senders {
		part++
	}
	return part
}

// SenderRank is one instance's rank among those that may send to an upstream.
type SenderRank struct {
	// Instances is the number of instances in the region. Place is this one's rank, from 0,
	// in an order that all of them compute alike.
	Instances, Place int
}

// NamedLimits holds what upstreams advertise in their answers about the requests that they
// accept. Most advertise nothing. It is safe for concurrent use.
type NamedLimits struct {
	now func() time.Time
	// size is the number of entries, and version the number of changes, read without the lock.
	size    atomic.Int64
	version atomic.Uint64
	mu      sync.Mutex
	byID    map[string]*namedLimit
}

type namedLimit struct {
	Named
	// reportedAt is when the upstream last advertised a limit, or answered without one;
	// changed is when this instance learned of the last change.
	reportedAt, changed time.Time
	// rejectedAt is when the brittle upstream last rejected a request, zero if it did not.
	rejectedAt time.Time
	// tokens is what this instance may send at once, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// NewNamedLimits returns empty NamedLimits.
func NewNamedLimits(now func() time.Time) *NamedLimits {
	return &NamedLimits{now: now, byID: make(map[string]*namedLimit)}
}

// Answered records what an answer advertises, and reports whether it changed. An answer that
// advertises nothing ends what is known only if its request was sent after that was last
// advertised, since answers may overtake each other.
func (n *NamedLimits) Answered(upstream string, advertised Named, sent time.Time) (changed bool) {
	if !advertised.advertises() && n.size.Load() == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byID[upstream]
	if !advertised.advertises() && (known == nil || sent.Before(known.reportedAt)) {
		return false
	}
	return n.set(upstream, advertised, n.now())
}

// Learn merges a limit published by another instance, and reports whether it changed.
func (n *NamedLimits) Learn(report ToldLimit) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := n.now().Add(-report.Age)
	known := n.byID[report.Upstream]
	if known == nil && !report.Named.advertises() {
		return false
	}
	if known != nil && at.Sub(known.reportedAt) < minNewer {
		return false
	}
	return n.set(report.Upstream, report.Named, at)
}

// set records what an upstream advertised at a time. The caller holds n.mu.
func (n *NamedLimits) set(upstream string, advertised Named, at time.Time) (changed bool) {
	now := n.now()
	known := n.byID[upstream]
	if known == nil {
		known = &namedLimit{refilledAt: now}
		n.byID[upstream] = known
		n.size.Store(int64(len(n.byID)))
	}
	changed = known.Named != advertised
	if changed {
		known.changed = now
	}
	if advertised.Limited && !known.Limited {
		// A new limit starts without accumulated tokens.
		known.tokens, known.refilledAt = 0, now
	}
	if advertised.Brittle && !known.Brittle {
		known.rejectedAt = time.Time{}
	}
	if changed {
		n.version.Add(1)
	}
	known.Named, known.reportedAt = advertised, at
	return changed
}

// Rejected records that a brittle upstream rejected a request of this instance.
func (n *NamedLimits) Rejected(upstream string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.byID[upstream]; known != nil && known.Brittle {
		known.rejectedAt, known.changed = n.now(), n.now()
	}
}

// RejectedWithin reports whether a brittle upstream rejected a request, of any instance, within a time.
func (n *NamedLimits) RejectedWithin(upstream string, within time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byID[upstream]
	return known != nil && known.Brittle && !known.rejectedAt.IsZero() && n.now().Sub(known.rejectedAt) < within
}

// LearnRejection merges another instance's report of a rejection, and reports whether it is new.
func (n *NamedLimits) LearnRejection(report ToldLimit) (isNew bool) {
	if !report.Rejected {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known, at := n.byID[report.Upstream], n.now().Add(-report.RejectionAge)
	if known == nil || !known.Brittle || at.Sub(known.rejectedAt) < minNewer {
		return false
	}
	known.rejectedAt, known.changed = at, n.now()
	return true
}

// Version changes when what is advertised changes.
func (n *NamedLimits) Version() uint64 { return n.version.Load() }

// Brittle returns the upstreams that are brittle.
func (n *NamedLimits) Brittle() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	brittle := make(map[string]bool)
	for upstream, known := range n.byID {
		if known.Brittle {
			brittle[upstream] = true
		}
	}
	return brittle
}

// Of returns what an upstream advertises.
func (n *NamedLimits) Of(upstream string) Named {
	if n.size.Load() == 0 {
		return Named{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.byID[upstream]; known != nil {
		return known.Named
	}
	return Named{}
}

// Any reports whether there may be an upstream that advertises anything.
func (n *NamedLimits) Any() bool { return n.size.Load() > 0 }

// Wait returns how long this instance must wait until it may send a request to an upstream;
// zero if it may now.
func (n *NamedLimits) Wait(upstream string, sender SenderRank) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byID[upstream]
	if known == nil || !known.Limited {
		return 0
	}
	rate := known.fill(sender, n.now())
	switch {
	case known.tokens >= 1:
		return 0
	case rate == 0:
		return staleAfter
	default:
		return time.Duration((1 - known.tokens) / rate * float64(time.Second))
	}
}

// Take counts a request that is about to be sent; false if it must not be sent.
func (n *NamedLimits) Take(upstream string, sender SenderRank) bool {
	if n.size.Load() == 0 {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byID[upstream]
	if known == nil || !known.Limited {
		return true
	}
	if known.fill(sender, n.now()); known.tokens < 1 {
		return false
	}
	known.tokens--
	return true
}

// fill adds the tokens accumulated since the last call, and returns this instance's share
// of the limit, in requests a second.
func (k *namedLimit) fill(sender SenderRank, now time.Time) float64 {
	total := max(minRate, k.PerSecond)
	senders := Senders(total, sender.Instances)
	rate := 0.0
	if k.sends(sender, senders, now) {
		rate = total / float64(senders)
	}
	k.tokens = min(k.tokens+rate*max(0, now.Sub(k.refilledAt).Seconds()), max(1, rate*burstWindow.Seconds()))
	if rate == 0 {
		// An instance that becomes a sender starts without accumulated tokens.
		k.tokens = 0
	}
	k.refilledAt = now
	return rate
}

// sends reports whether this instance is one of the senders. While no answer is received,
// further instances take turns beside the first ones, which may have no requests.
func (k *namedLimit) sends(sender SenderRank, senders int, now time.Time) bool {
	if sender.Place < senders {
		return true
	}
	turn := int(now.Sub(k.reportedAt) / staleAfter)
	place := (sender.Place - turn*senders) % max(1, sender.Instances)
	if place < 0 {
		place += sender.Instances
	}
	return turn > 0 && place < senders
}

// ToPublish returns what to publish to other instances now: recent changes, and each of the
// other limits at intervals.
func (n *NamedLimits) ToPublish() []ToldLimit {
	return n.reports(func(upstream string, known *namedLimit, now time.Time) bool {
		return now.Sub(known.changed) < publishChangeFor || (known.advertises() && isPublishTurn(upstream, now))
	})
}

// ToIntroduce returns what to publish to an instance that has just started.
func (n *NamedLimits) ToIntroduce() []ToldLimit {
	return n.reports(func(_ string, known *namedLimit, _ time.Time) bool { return known.advertises() })
}

// reports returns the reports of the chosen upstreams.
func (n *NamedLimits) reports(chosen func(upstream string, known *namedLimit, now time.Time) bool) []ToldLimit {
	if n.size.Load() == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var reports []ToldLimit
	for upstream, known := range n.byID {
		if !chosen(upstream, known, now) {
			continue
		}
		report := ToldLimit{Upstream: upstream, Named: known.Named, Age: now.Sub(known.reportedAt)}
		if known.Brittle && !known.rejectedAt.IsZero() {
			report.Rejected, report.RejectionAge = true, now.Sub(known.rejectedAt)
		}
		reports = append(reports, report)
	}
	return reports
}

// isPublishTurn reports whether an unchanged limit is to be published now. It spreads the
// upstreams over the interval.
func isPublishTurn(upstream string, now time.Time) bool {
	phase := time.Duration(xxhash.Sum64String(upstream) % uint64(publishInterval))
	return time.Duration(now.UnixNano()+int64(phase))%publishInterval < publishWindow
}

// Forget drops the limit of an upstream that was deleted.
func (n *NamedLimits) Forget(upstream string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.byID, upstream)
	n.size.Store(int64(len(n.byID)))
	n.version.Add(1)
}

// Slots returns how many of an upstream's slots are usable under the limit, where each
// request occupies one for holding.
func (k Named) Slots(slots int, holding time.Duration) int {
	if !k.Limited {
		return slots
	}
	return min(slots, int(math.Ceil(k.PerSecond*holding.Seconds())))
}
