package limit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// Unlimited is the limit of an upstream for which no share has been set.
const Unlimited = 1 << 30

// Load is this gateway's own load at one upstream and the limits that apply there.
type Load struct {
	// InFlight counts this gateway's requests at the upstream.
	InFlight int
	// Prefill counts the prompt tokens of those without a first byte yet.
	Prefill int
	// Limit is how many requests this gateway may have there now.
	Limit int
	// Holding is the mean time for which a request occupies a slot of the upstream; zero if
	// not known yet.
	Holding time.Duration
	// Ejected is true while the upstream gets no requests because of failures or late
	// answers.
	Ejected bool
	// Unresponsive is true while the upstream gets no requests because no answer of it delivers
	// data. The Tracker does not set it.
	Unresponsive bool
	// Backoff is how long the upstream gets no requests because it rejected some; zero if
	// it may get them. RequestedBackoff is how much of that it has requested.
	Backoff, RequestedBackoff time.Duration
}

// Tracker counts this gateway's requests at each upstream. It is safe for
// concurrent use; reads take no lock.
type Tracker struct {
	clock   clock.Clock
	ejector *Ejector
	mu      sync.Mutex
	entries atomic.Pointer[map[string]*entry]
}

type entry struct {
	inFlight atomic.Int64
	prefill  atomic.Int64
	share    atomic.Int64
	holding  average
	adaptive adaptive
	backoff  backoff
}

// NewTracker returns a Tracker that consults ejector, if not nil, before each start.
func NewTracker(c clock.Clock, ejector *Ejector) *Tracker {
	t := &Tracker{clock: c, ejector: ejector}
	t.entries.Store(&map[string]*entry{})
	return t
}

// SetShares sets this gateway's share of each upstream's concurrency. Upstreams that are
// not named keep their last share, for requests that still run there.
func (t *Tracker) SetShares(shares map[string]int) {
	for name, share := range shares {
		t.entry(name).share.Store(int64(share))
	}
}

// Load returns the load and limits of an upstream.
func (t *Tracker) Load(upstream string) Load {
	e := (*t.entries.Load())[upstream]
	if e == nil {
		return Load{Limit: Unlimited, Ejected: t.ejected(upstream)}
	}
	return Load{
		InFlight:         int(e.inFlight.Load()),
		Prefill:          int(e.prefill.Load()),
		Limit:            e.limit(),
		Holding:          e.holding.duration(),
		Ejected:          t.ejected(upstream),
		Backoff:          e.backoff.remaining(t.clock.Now),
		RequestedBackoff: e.backoff.requestedRemaining(t.clock.Now),
	}
}

// RequestBackoff records that an upstream asked this gateway to send it nothing for a
// period.
func (t *Tracker) RequestBackoff(upstream string, period time.Duration) {
	t.entry(upstream).backoff.request(t.clock.Now(), period)
}

// RequestedBackoff returns the time until the backoff that an upstream requested ends.
func (t *Tracker) RequestedBackoff(upstream string) time.Duration {
	e := (*t.entries.Load())[upstream]
	if e == nil {
		return 0
	}
	return e.backoff.requestedRemaining(t.clock.Now)
}

// Snapshot returns the in-flight requests by upstream, without upstreams that have none.
func (t *Tracker) Snapshot() map[string]int {
	inFlight := map[string]int{}
	for name, e := range *t.entries.Load() {
		if n := int(e.inFlight.Load()); n > 0 {
			inFlight[name] = n
		}
	}
	return inFlight
}

// Start occupies a slot at an upstream, or returns false if this gateway's limit is
// reached, or the upstream is backing off or ejected. Expected is the predicted time to the
// first byte; zero if there is no prediction.
func (t *Tracker) Start(upstream string, promptTokens int, expected time.Duration) (*Flight, bool) {
	e := t.entry(upstream)
	if e.inFlight.Add(1) > int64(e.limit()) {
		e.inFlight.Add(-1)
		return nil, false
	}
	backoffProbe, ok := e.backoff.begin(t.clock.Now)
	if !ok {
		e.inFlight.Add(-1)
		return nil, false
	}
	var ejectionProbe uint64
	if t.ejector != nil {
		if ejectionProbe, ok = t.ejector.begin(upstream); !ok {
			e.backoff.end(backoffProbe, false)
			e.inFlight.Add(-1)
			return nil, false
		}
	}
	e.prefill.Add(int64(promptTokens))
	flight := &Flight{
		tracker: t, entry: e, upstream: upstream,
		prompt: promptTokens, expected: expected, started: t.clock.Now(),
		backoffProbe: backoffProbe, ejectionProbe: ejectionProbe,
	}
	return flight, true
}

func (t *Tracker) ejected(upstream string) bool {
	return t.ejector != nil && t.ejector.Ejected(upstream)
}

func (t *Tracker) entry(upstream string) *entry {
	if e := (*t.entries.Load())[upstream]; e != nil {
		return e
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current := *t.entries.Load()
	if e := current[upstream]; e != nil {
		return e
	}
	next := maps.Clone(current)
	e := &entry{}
	e.share.Store(Unlimited)
	next[upstream] = e
	t.entries.Store(&next)
	return e
}

func (e *entry) limit() int {
	return e.adaptive.limit(int(e.share.Load()))
}
