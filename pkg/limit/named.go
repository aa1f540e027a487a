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
	// leastShare, in requests a second, is the smallest part that an instance gets of a limit.
	// Below it so many requests would be saved up, one at each instance, that all instances
	// together could send them in a moment.
	leastShare = 1.0
	// leastRate, in requests a second, is what an upstream gets that takes less: without any
	// request nobody would hear when it takes more.
	leastRate = 0.25
	// savedFor is for how long an instance's share may be saved up; at least one request is.
	savedFor = 500 * time.Millisecond
	// staleAfter is how long an upstream may be silent before instances that have no part try
	// it as well, and how long the turn of each of them lasts.
	staleAfter = 5 * time.Second
	// freshFor is for how long a change is told in each message, and tellEvery how often an
	// unchanged limit is told, for a round and a half (tellFor).
	freshFor  = time.Second
	tellEvery = 3 * time.Second
	tellFor   = 150 * time.Millisecond
	// sameTime is by how much news must be newer to be news: what goes from hand to hand ages
	// by the ways, which nobody measures.
	sameTime = 50 * time.Millisecond
)

// Senders is how many of a region's instances send to an upstream that takes so many requests
// a second.
func Senders(perSecond float64, instances int) int {
	return min(max(1, int(perSecond/leastShare)), max(1, instances))
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
	// heard is when the upstream last named a limit, or answered without one; changed is when
	// this instance learned that it is another.
	heard, changed time.Time
	// tokens is what this instance may send at once, as of filled.
	tokens float64
	filled time.Time
}

// NewNamedLimits returns limits of which none is known.
func NewNamedLimits(now func() time.Time) *NamedLimits {
	return &NamedLimits{now: now, byID: make(map[string]*namedLimit)}
}

// Answered takes what an answer says of its upstream's limit, and whether that is news. One
// without a limit ends the limit that was known only if its request was sent after that was
// last named: answers may overtake each other.
func (n *NamedLimits) Answered(upstream string, said Named, sent time.Time) (changed bool) {
	if !said.Limited && n.size.Load() == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byID[upstream]
	if !said.Limited && (known == nil || sent.Before(known.heard)) {
		return false
	}
	return n.set(upstream, said, n.now())
}

// Learn takes what another instance tells, and says whether that is news.
func (n *NamedLimits) Learn(told ToldLimit) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := n.now().Add(-told.Age)
	known := n.byID[told.Upstream]
	if known == nil && !told.Named.Limited {
		return false
	}
	if known != nil && at.Sub(known.heard) < sameTime {
		return false
	}
	return n.set(told.Upstream, told.Named, at)
}

// set notes what an upstream said at a time. The caller holds n.mu.
func (n *NamedLimits) set(upstream string, said Named, at time.Time) (changed bool) {
	now := n.now()
	known := n.byID[upstream]
	if known == nil {
		known = &namedLimit{filled: now}
		n.byID[upstream] = known
		n.size.Store(int64(len(n.byID)))
	}
	changed = known.Named != said
	if changed {
		known.changed = now
	}
	if said.Limited && !known.Limited {
		// Nothing is saved up from before.
		known.tokens, known.filled = 0, now
	}
	known.Named, known.heard = said, at
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
	total := max(leastRate, k.PerSecond)
	senders := Senders(total, part.Instances)
	rate := 0.0
	if k.sends(part, senders, now) {
		rate = total / float64(senders)
	}
	k.tokens = min(k.tokens+rate*max(0, now.Sub(k.filled).Seconds()), max(1, rate*savedFor.Seconds()))
	if rate == 0 {
		// One that becomes a sender has nothing saved up.
		k.tokens = 0
	}
	k.filled = now
	return rate
}

// sends says whether this instance is one of the senders. As long as the upstream is not heard,
// further ones take turns beside the first: those may have nothing to send.
func (k *namedLimit) sends(part SenderRank, senders int, now time.Time) bool {
	if part.Place < senders {
		return true
	}
	turn := int(now.Sub(k.heard) / staleAfter)
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
	var told []ToldLimit
	for upstream, known := range n.byID {
		if now.Sub(known.changed) < freshFor || (known.Limited && isTurn(upstream, now)) {
			told = append(told, ToldLimit{Upstream: upstream, Named: known.Named, Age: now.Sub(known.heard)})
		}
	}
	return told
}

// isTurn spreads the upstreams over the time in which each is told once.
func isTurn(upstream string, now time.Time) bool {
	phase := time.Duration(xxhash.Sum64String(upstream) % uint64(tellEvery))
	return time.Duration(now.UnixNano()+int64(phase))%tellEvery < tellFor
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
