package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Named is what an upstream says of how much it takes.
type Named struct {
	// PerSecond is the requests a second from all instances together.
	PerSecond float64
	// Limited is false where the upstream says nothing of it, and takes what it can.
	Limited bool
}

// ToldLimit is what an instance tells others of an upstream's limit.
type ToldLimit struct {
	Upstream string
	Named    Named
	// Age is how long ago the upstream said so, where it is told.
	Age time.Duration
}

// Parameters of shares of a named limit.
const (
	// minShare, in requests a second, is the smallest part that an instance gets of a limit.
	// Below it so many requests would be saved up, one at each instance, that all instances
	// together could send them in a moment.
	minShare = 1.0
	// minRate, in requests a second, is what an upstream gets that takes less: without any
	// request nobody would hear when it takes more.
	minRate = 0.25
	// burstWindow is for how long an instance's share may be saved up; at least one request is.
	burstWindow = 500 * time.Millisecond
	// staleAfter is how long an upstream may be silent before instances that have no part try
	// it as well, and how long the turn of each of them lasts.
	staleAfter = 5 * time.Second
	// publishChangeFor is for how long a change is told in each message, and tellEvery how often an
	// unchanged limit is told, for a round and a half (tellFor).
	publishChangeFor = time.Second
	publishInterval  = 3 * time.Second
	publishWindow    = 150 * time.Millisecond
	// minNewer is by how much news must be newer to be news: what goes from hand to hand ages
	// by the ways, which nobody measures.
	minNewer = 50 * time.Millisecond
)

// Senders is how many of a region's instances send to an upstream that takes so many requests
// a second.
func Senders(perSecond float64, instances int) int {
	return min(max(1, int(perSecond/minShare)), max(1, instances))
}

// SenderRank is one instance's place among those that send to an upstream.
type SenderRank struct {
	// Instances is how many the region has, Place this one's among them by a ranking that all
	// of them make alike, from 0.
	Instances, Place int
}

// NamedLimits holds the limits that upstreams name in their answers. An upstream that is not
// in need names none. It is safe for concurrent use.
type NamedLimits struct {
	now func() time.Time
	// size is the number of entries, read without the lock.
	size atomic.Int64
	mu   sync.Mutex
	byID map[string]*namedLimit
}

type namedLimit struct {
	Named
	// reportedAt is when the upstream last named a limit, or answered without one; changed is when
	// this instance learned that it is another.
	reportedAt, changed time.Time
	// tokens is what this instance may send at once, as of filled.
	tokens     float64
	refilledAt time.Time
}

// NewNamedLimits returns limits of which none is known.
func NewNamedLimits(now func() time.Time) *NamedLimits {
	return &NamedLimits{now: now, byID: make(map[string]*namedLimit)}
}

// Answered takes what an answer says of its upstream's limit, and whether that is news. One
// without a limit ends the limit that was known only if its request was sent after that was
// last named: answers may overtake each other.
func (n *NamedLimits) Answered(upstream string, advertised Named, sent time.Time) (changed bool) {
	if !advertised.Limited && n.size.Load() == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byID[upstream]
	if !advertised.Limited && (known == nil || sent.Before(known.reportedAt)) {
		return false
	}
	return n.set(upstream, advertised, n.now())
}

// Learn takes what another instance tells, and says whether that is news.
func (n *NamedLimits) Learn(report ToldLimit) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := n.now().Add(-report.Age)
	known := n.byID[report.Upstream]
	if known == nil && !report.Named.Limited {
		return false
	}
	if known != nil && at.Sub(known.reportedAt) < minNewer {
		return false
	}
	return n.set(report.Upstream, report.Named, at)
}

// set notes what an upstream said at a time. The caller holds n.mu.
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
		// Nothing is saved up from before.
		known.tokens, known.refilledAt = 0, now
	}
	known.Named, known.reportedAt = advertised, at
	return changed
}

// Of returns the limit of an upstream.
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

// Any says whether there may be an upstream with a limit.
func (n *NamedLimits) Any() bool { return n.size.Load() > 0 }

// Wait returns how long this instance must wait until it may send a request to an upstream;
// zero: it may now.
func (n *NamedLimits) Wait(upstream string, part SenderRank) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byID[upstream]
	if known == nil || !known.Limited {
		return 0
	}
	rate := known.fill(part, n.now())
	switch {
	case known.tokens >= 1:
		return 0
	case rate == 0:
		return staleAfter
	default:
		return time.Duration((1 - known.tokens) / rate * float64(time.Second))
	}
}

// Take counts a request that is about to be sent; false: it must not be.
func (n *NamedLimits) Take(upstream string, part SenderRank) bool {
	if n.size.Load() == 0 {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byID[upstream]
	if known == nil || !known.Limited {
		return true
	}
	if known.fill(part, n.now()); known.tokens < 1 {
		return false
	}
	known.tokens--
	return true
}

// fill adds what has come in since it was last asked, and returns this instance's part of
// the limit, in requests a second.
func (k *namedLimit) fill(part SenderRank, now time.Time) float64 {
	total := max(minRate, k.PerSecond)
	senders := Senders(total, part.Instances)
	rate := 0.0
	if k.sends(part, senders, now) {
		rate = total / float64(senders)
	}
	k.tokens = min(k.tokens+rate*max(0, now.Sub(k.refilledAt).Seconds()), max(1, rate*burstWindow.Seconds()))
	if rate == 0 {
		// One that becomes a sender has nothing saved up.
		k.tokens = 0
	}
	k.refilledAt = now
	return rate
}

// sends says whether this instance is one of the senders. As long as the upstream is not heard,
// further ones take turns beside the first: those may have nothing to send.
func (k *namedLimit) sends(part SenderRank, senders int, now time.Time) bool {
	if part.Place < senders {
		return true
	}
	turn := int(now.Sub(k.reportedAt) / staleAfter)
	place := (part.Place - turn*senders) % max(1, part.Instances)
	if place < 0 {
		place += part.Instances
	}
	return turn > 0 && place < senders
}

// Told returns what to tell other instances now: what changed lately, and each of the others
// from time to time.
func (n *NamedLimits) Told() []ToldLimit {
	if n.size.Load() == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var reports []ToldLimit
	for upstream, known := range n.byID {
		if now.Sub(known.changed) < publishChangeFor || (known.Limited && isPublishTurn(upstream, now)) {
			reports = append(reports, ToldLimit{Upstream: upstream, Named: known.Named, Age: now.Sub(known.reportedAt)})
		}
	}
	return reports
}

// isPublishTurn spreads the upstreams over the time in which each is told once.
func isPublishTurn(upstream string, now time.Time) bool {
	phase := time.Duration(xxhash.Sum64String(upstream) % uint64(publishInterval))
	return time.Duration(now.UnixNano()+int64(phase))%publishInterval < publishWindow
}

// Forget drops what is known of an upstream that is gone.
func (n *NamedLimits) Forget(upstream string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.byID, upstream)
	n.size.Store(int64(len(n.byID)))
}

// Slots is how many of an upstream's slots a limit leaves to use, where requests hold one for
// a time.
func (k Named) Slots(slots int, holding time.Duration) int {
	if !k.Limited {
		return slots
	}
	return min(slots, int(math.Ceil(k.PerSecond*holding.Seconds())))
}
