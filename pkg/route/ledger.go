package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// SpillState records what this gateway has forwarded, across successive tables. It is safe
// for concurrent use.
type SpillState struct {
	arrivals atomic.Int64
	mu       sync.Mutex
	ledgers  map[ledgerID]*ledger
	windows  map[string]*window
}

type ledgerID struct{ domain, pool string }

// NewSpillState returns a SpillState in which nothing has been sent.
func NewSpillState() *SpillState {
	return &SpillState{ledgers: map[ledgerID]*ledger{}, windows: map[string]*window{}}
}

// ledger counts what was sent to one pool of one domain on the basis of one of its reports. A table
// that is being replaced counts on its own report's ledger.
type ledger struct {
	reportedAt time.Time
	current    atomic.Int64
	// marginMetAt is shared by the ledgers of successive reports.
	marginMetAt *atomic.Pointer[time.Time]
}

func (l *ledger) send()                   { l.current.Add(1) }
func (l *ledger) used() int               { return int(l.current.Load()) }
func (l *ledger) marginMet(now time.Time) { l.marginMetAt.Store(&now) }

// lastMarginMet returns the time of the last call of marginMet; zero if there was none.
func (l *ledger) lastMarginMet() time.Time {
	if at := l.marginMetAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// creditInterval is the minimum interval between two renewals of credit.
const creditInterval = 500 * time.Millisecond

// ledger returns the ledger of a pool, a new one when a new report of the domain was
// received: a new digest, or a confirmation of the last one.
func (s *SpillState) ledger(digest *board.DomainDigest, pool string) *ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := ledgerID{digest.Domain, pool}
	l := s.ledgers[id]
	switch {
	case l == nil:
		l = &ledger{reportedAt: digest.HeardAt, marginMetAt: new(atomic.Pointer[time.Time])}
	case digest.HeardAt.Sub(l.reportedAt) >= creditInterval:
		l = &ledger{reportedAt: digest.HeardAt, marginMetAt: l.marginMetAt}
	default:
		return l
	}
	s.ledgers[id] = l
	return l
}

// arrived counts a request towards the base of the spill rules' percents.
func (s *SpillState) arrived() { s.arrivals.Add(1) }

// spillWindow is the time over which a spill rule's percent is enforced.
const spillWindow = 10 * time.Second

// window counts requests sent to one region in the present and the last period.
type window struct {
	started        time.Time
	base, last     int64 // arrivals at the start of this and of the last period
	sent, lastSent int64 // sent in this and in the last period
}

// reserve uses up one credit of r and one request of the spill rule's percent; false if
// there is none. The rule applies only if crossRegion is true.
func (s *SpillState) reserve(r *remote, crossRegion bool, percent int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.ledger.used() >= r.credit {
		return false
	}
	if crossRegion && !s.withinRule(r.digest.Region, percent, now) {
		return false
	}
	r.ledger.send()
	return true
}

// withinRule counts one more request to a region if the percent permits it.
func (s *SpillState) withinRule(region string, percent int, now time.Time) bool {
	w := s.windows[region]
	arrivals := s.arrivals.Load()
	if w == nil {
		w = &window{started: now}
		s.windows[region] = w
	}
	w.advance(arrivals, now)
	if 100*(w.sent+w.lastSent+1) > int64(percent)*(arrivals-w.last) {
		return false
	}
	w.sent++
	return true
}

// advance begins a new period when the present one is over.
func (w *window) advance(arrivals int64, now time.Time) {
	age := now.Sub(w.started)
	if age < spillWindow {
		return
	}
	w.started = now
	if age >= 2*spillWindow {
		w.last, w.lastSent = arrivals, 0
	} else {
		w.last, w.lastSent = w.base, w.sent
	}
	w.base, w.sent = arrivals, 0
}
